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

static std::optional<std::uint64_t> IdOfEvent(std::string_view event)
{
  static constexpr std::string_view FIELD = "id:";
  std::size_t line = event.starts_with(FIELD) ? 0 : event.find("\nid:");
  if (line == std::string_view::npos)
    return std::nullopt;
  if (event[line] == '\n')
    ++line;
  std::string_view value = event.substr(line + FIELD.size());
  if (value.starts_with(' '))
    value.remove_prefix(1);
  std::uint64_t id = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id);
  if (error != std::errc() || end == value.data())
    return std::nullopt;
  return id;
}

std::string_view EventStream::Take(std::string_view data)
{
  m_partial.append(data);
  m_whole.clear();
  std::size_t taken = 0;
  for (;;)
  {
    const std::string_view rest = std::string_view(m_partial).substr(taken);
    const std::size_t end = EndOfEvent(rest);
    if (end == std::string_view::npos)
      break;
    const std::string_view event = rest.substr(0, end);
    const auto id = IdOfEvent(event);
    const bool is_known = id && m_last && *id <= *m_last;
    if (!is_known)
      m_whole.append(event);
    if (id && !is_known)
      m_last = id;
    taken += end;
  }
  m_partial.erase(0, taken);
  return m_whole;
}
} // namespace Holdpost::TargetPeer
