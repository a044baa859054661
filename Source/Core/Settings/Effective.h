// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Common/Hash.h"
#include "Common/Types.h"
#include "Core/Settings/Tree.h"

// The settings in force at one place, each with the node that it comes from.
namespace Holdpost::Settings
{
class Effective
{
public:
  // With nothing stated: every field has its fallback.
  Effective() = default;
  // `place` has no "*".
  Effective(const Tree& tree, const Path& place);

  const Value& At(Field field) const;
  // The node that states the value; empty if it is the fallback.
  std::optional<Path> Source(Field field) const;

  std::int64_t Integer(Field field) const { return std::get<std::int64_t>(At(field)); }
  bool Flag(Field field) const { return std::get<bool>(At(field)); }
  const std::string& Text(Field field) const { return std::get<std::string>(At(field)); }
  // For fields whose names end in _ms.
  Common::Milliseconds Time(Field field) const { return Common::Milliseconds(Integer(field)); }
  // Zero if nothing is stated.
  Common::Digest DigestAt(Field field) const;

private:
  struct Stated
  {
    Value value;
    Path source;
  };
  std::map<Field, Stated> m_stated;
};
} // namespace Holdpost::Settings
