// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/Effective.h"

#include <algorithm>
#include <vector>

namespace Holdpost::Settings
{
Effective::Effective(const Tree& tree, const Path& place)
{
  std::vector<const Tree::value_type*> covering;
  for (const auto& entry : tree)
  {
    if (entry.first.Covers(place))
      covering.push_back(&entry);
  }
  std::ranges::sort(covering,
                    [](const auto* a, const auto* b) { return a->first.AppliesBefore(b->first); });
  for (const auto* entry : covering)
  {
    for (const auto& [field, value] : entry->second.values)
      m_stated[field] = {value, entry->first};
  }
}

const Value& Effective::At(Field field) const
{
  const auto found = m_stated.find(field);
  return found == m_stated.end() ? RuleFor(field).fallback : found->second.value;
}

std::optional<Path> Effective::Source(Field field) const
{
  const auto found = m_stated.find(field);
  if (found == m_stated.end())
    return std::nullopt;
  return found->second.source;
}

Common::Digest Effective::DigestAt(Field field) const
{
  return Common::DigestFromHex(Text(field)).value_or(Common::Digest());
}
} // namespace Holdpost::Settings
