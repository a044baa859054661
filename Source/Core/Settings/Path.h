// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

// Where a node stands in the settings tree.
namespace Holdpost::Settings
{
enum class Level
{
  Root,
  Region,
  DataHall,
  Service,
  Organisation,
};

constexpr std::size_t LEVEL_COUNT = 5;
constexpr std::string_view ANY = "*";

std::string_view LevelName(Level level);

// A path such as /ost/oslo-a/assist/bygg. A segment "*" stands for every region, hall or service:
// /*/*/assist states what the service assist is in all halls. After "*" as region the hall must be
// "*" too, and an organisation is always named.
class Path
{
public:
  Path() = default;
  // Empty if the text is no path.
  static std::optional<Path> Parse(std::string_view text);
  // Says what is wrong with a text that Parse refuses.
  static std::string Explain(std::string_view text);

  Level Depth() const { return m_depth; }
  // The segment that names a region, hall, service or organisation; empty above that level.
  const std::string& Segment(Level level) const { return m_segments[static_cast<size_t>(level)]; }
  // The path one level up; the root for the root.
  Path Parent() const;
  // True if this node's settings apply to the place, which has no "*".
  bool Covers(const Path& place) const;
  // Orders nodes that cover one place: the later one wins. By level, then by named hall, region
  // and service.
  bool AppliesBefore(const Path& other) const;
  bool HasWildcard() const;
  std::string ToString() const;

  auto operator<=>(const Path&) const = default;

private:
  std::array<std::string, LEVEL_COUNT> m_segments;
  Level m_depth = Level::Root;
};

// Names are 1 to 63 of a-z, 0-9 and "-".
bool IsName(std::string_view text);
// The path of a place without "*"; trailing empty names end it early.
Path MakePlace(const std::string& region, const std::string& hall = "",
               const std::string& service = "", const std::string& organisation = "");
} // namespace Holdpost::Settings
