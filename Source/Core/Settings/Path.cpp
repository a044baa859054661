// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/Path.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include <fmt/format.h>

namespace Holdpost::Settings
{
static constexpr std::size_t NAME_MAX_LENGTH = 63;

std::string_view LevelName(Level level)
{
  static constexpr std::array<std::string_view, LEVEL_COUNT> NAMES = {"root", "region", "data hall",
                                                                      "service", "organisation"};
  return NAMES[static_cast<std::size_t>(level)];
}

bool IsName(std::string_view text)
{
  const auto is_allowed = [](char c)
  { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
  return !text.empty() && text.size() <= NAME_MAX_LENGTH && std::ranges::all_of(text, is_allowed);
}

static std::vector<std::string> Split(std::string_view text)
{
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start <= text.size())
  {
    const std::size_t slash = std::min(text.find('/', start), text.size());
    parts.emplace_back(text.substr(start, slash - start));
    start = slash + 1;
  }
  return parts;
}

std::string Path::Explain(std::string_view text)
{
  if (text.empty() || text[0] != '/')
    return fmt::format("found '{}', expected a path that begins with /", text);
  if (text == "/")
    return "";
  const std::vector<std::string> parts = Split(text);
  if (parts.size() >= LEVEL_COUNT)
    return fmt::format("found '{}', expected at most /region/hall/service/organisation", text);
  for (const std::string& part : parts)
  {
    if (part != ANY && !IsName(part))
      return fmt::format("found '{}', expected names of a-z, 0-9 and '-', or '*'", text);
  }
  if (parts.size() == 4 && parts[3] == ANY)
    return fmt::format("found '{}', expected a named organisation", text);
  if (parts.size() >= 2 && parts[0] == ANY && parts[1] != ANY)
    return fmt::format("found '{}', expected '*' as the hall of region '*'", text);
  if (parts.size() <= 2 && parts.back() == ANY)
    return fmt::format("found '{}', expected a service or organisation below '*'", text);
  if (parts.size() == 3 && parts[2] == ANY)
    return fmt::format("found '{}', expected an organisation below '*'", text);
  return "";
}

std::optional<Path> Path::Parse(std::string_view text)
{
  if (!Explain(text).empty())
    return std::nullopt;
  Path path;
  if (text == "/")
    return path;
  const std::vector<std::string> parts = Split(text);
  for (std::size_t i = 0; i < parts.size(); ++i)
    path.m_segments[i + 1] = parts[i];
  path.m_depth = static_cast<Level>(parts.size());
  return path;
}

Path Path::Parent() const
{
  Path parent = *this;
  if (m_depth == Level::Root)
    return parent;
  parent.m_segments[static_cast<std::size_t>(m_depth)].clear();
  parent.m_depth = static_cast<Level>(static_cast<int>(m_depth) - 1);
  return parent;
}

bool Path::Covers(const Path& place) const
{
  if (m_depth > place.m_depth)
    return false;
  for (std::size_t i = 1; i <= static_cast<std::size_t>(m_depth); ++i)
  {
    if (m_segments[i] != ANY && m_segments[i] != place.m_segments[i])
      return false;
  }
  return true;
}

bool Path::AppliesBefore(const Path& other) const
{
  const auto rank = [](const Path& path)
  {
    return std::make_tuple(path.m_depth, path.Segment(Level::DataHall) != ANY,
                           path.Segment(Level::Region) != ANY, path.Segment(Level::Service) != ANY);
  };
  return rank(*this) < rank(other);
}

bool Path::HasWildcard() const
{
  return std::ranges::find(m_segments, ANY) != m_segments.end();
}

std::string Path::ToString() const
{
  if (m_depth == Level::Root)
    return "/";
  std::string text;
  for (std::size_t i = 1; i <= static_cast<std::size_t>(m_depth); ++i)
    text += "/" + m_segments[i];
  return text;
}

Path MakePlace(const std::string& region, const std::string& hall, const std::string& service,
               const std::string& organisation)
{
  std::string text;
  for (const std::string& segment : {region, hall, service, organisation})
  {
    if (segment.empty())
      break;
    text += "/" + segment;
  }
  return Path::Parse(text.empty() ? "/" : text).value_or(Path());
}
} // namespace Holdpost::Settings
