// SPDX-License-Identifier: Apache-2.0
#include "Peers/Target/EventStream.h"

#include <charconv>

namespace Holdpost::TargetPeer
{
// The end of the first event in the text, behind its empty line; npos if it is not whole.
static std::size_t EndOfEvent(std::string_view text)
{
  for (std::size_t line = 0; line < text.size();)
  {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos)
      return std::string_view::npos;
    const bool is_empty = end == line || (end == line + 1 && text[line] == '\r');
    if (is_empty)
      return end + 1;
    line = end + 1;
  }
  return std::string_view::npos;
}

// The fields of an event that matter here.
struct EventFields
{
  bool has_data = false;
  // Of the last id field; empty if there is none.
  std::optional<std::string_view> id;
};

static EventFields FieldsOf(std::string_view event)
{
  EventFields fields;
  while (!event.empty())
  {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' '))
      value.remove_prefix(1);
    if (name == "data")
      fields.has_data = true;
    else if (name == "id")
      fields.id = value;
  }
  return fields;
}

// Empty if the text is no number of 64 bits.
static std::optional<std::uint64_t> ReadId(std::string_view text)
{
  std::uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto [read_to, error] = std::from_chars(text.data(), end, id);
  if (error != std::errc() || read_to != end)
    return std::nullopt;
  return id;
}

EventStream::EventStream(std::optional<ResumePoint> resume) : m_resume(resume)
{
  if (!resume)
    return;
  m_last = resume->after;
  m_has_risen = resume->ids_rise_by_one;
}

std::string_view EventStream::Take(std::string_view data)
{
  m_partial.append(data);
  m_whole.clear();
  std::size_t taken = 0;
  while (!m_has_gap)
  {
    const std::string_view rest = std::string_view(m_partial).substr(taken);
    const std::size_t end = EndOfEvent(rest);
    if (end == std::string_view::npos)
      break;
    TakeEvent(rest.substr(0, end));
    taken += end;
  }
  m_partial.erase(0, taken);
  return m_whole;
}

void EventStream::TakeEvent(std::string_view event)
{
  const EventFields fields = FieldsOf(event);
  const auto id = fields.id ? ReadId(*fields.id) : std::nullopt;
  if (id && m_resume && *id <= m_resume->after)
    return;
  if (id)
    OnId(*id);
  else if (fields.has_data || fields.id)
    m_is_resumable = false;
  if (!m_has_gap)
    m_whole.append(event);
}

void EventStream::OnId(std::uint64_t id)
{
  const bool is_next = m_last && id == *m_last + 1;
  const bool is_first_of_continued = m_resume && m_last == m_resume->after;
  if (is_first_of_continued && m_resume->ids_rise_by_one && !is_next)
  {
    m_has_gap = true;
    return;
  }
  if (m_last && id <= *m_last)
    m_is_resumable = false;
  if (m_last && !is_next)
    m_ids_rise_by_one = false;
  m_has_risen = m_has_risen || is_next;
  m_last = id;
}
} // namespace Holdpost::TargetPeer
