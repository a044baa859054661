// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Settings/Fields.h"
#include "Core/Settings/Path.h"

// The settings tree: a set of nodes, each stating only what differs from the level above.
namespace Holdpost::Settings
{
struct Node
{
  Values values;
  // Log offset of the record that last changed the node; 0 in a tree read from a file.
  Common::Offset offset = 0;

  bool operator==(const Node&) const = default;
};

using Tree = std::map<Path, Node>;

struct TreeProblem
{
  Path path;
  std::string field; // empty if it concerns the node
  std::string text;
};

// Everything that is wrong with a tree, by rules that need nothing but the tree, so that every
// reader of the log comes to the same verdict.
std::vector<TreeProblem> CheckTree(const Tree& tree);

// What a change did to one node of a tree that was good before.
struct ChangedNode
{
  Path path;
  Values before; // empty if the node is new
  bool is_new = false;
};

// The same verdict as CheckTree, for a tree that was good before `changed`; looks only at what they
// can have broken. Nodes that were removed are looked at with all of the tree.
std::vector<TreeProblem> CheckChanged(const Tree& tree, const std::vector<ChangedNode>& changed);

// The region that a hall belongs to; empty if the tree does not know the hall.
std::string RegionOf(const Tree& tree, const std::string& hall);
// Names of the services and organisations that the tree has for a hall, sorted.
std::vector<std::string> ServicesOf(const Tree& tree, const std::string& hall);
std::vector<std::string> OrganisationsOf(const Tree& tree, const std::string& hall,
                                         const std::string& service);
} // namespace Holdpost::Settings
