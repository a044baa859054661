// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>

#include "Common/YamlReader.h"
#include "Core/Settings/Tree.h"

// The tree as operators write it:
//
//   nodes:
//     - path: /
//       settings: { heartbeat_ms: 500 }
//     - path: /ost/oslo-a
namespace Holdpost::Settings
{
// Every problem names file, line and field.
std::variant<Tree, Common::Problems> ReadTreeFile(const std::string& file);
// Writes a tree in the same form, nodes in the order of their paths.
std::string WriteTree(const Tree& tree);
} // namespace Holdpost::Settings
