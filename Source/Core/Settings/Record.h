// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Settings/Tree.h"

// What the system writes to the platform's log: one JSON object a record.
namespace Holdpost::Settings
{
struct NodeChange
{
  Path path;
  // Offset of the last record that changed the node, as the operator knew it; 0 for none.
  Common::Offset base = 0;
  // The whole new content of the node; empty to remove it.
  std::optional<Values> values;
};

// All nodes of a change are accepted together, or none is.
struct Change
{
  std::string id; // unique; how a writer finds its own record again
  std::string author;
  std::vector<NodeChange> nodes;
};

// An agent takes the target of its slot. The record's offset is the fencing token.
struct TargetClaim
{
  std::string id;
  std::string target;
  std::string instance;
};

// The tree as folded up to `offset`, for readers that come after older records were dropped.
struct Snapshot
{
  Common::Offset offset = 0;
  std::string state; // Fold::Serialize
};

// The key of a request that is about to be dispatched; the lowest offset of a key wins.
struct KeyClaim
{
  std::string scope;   // organisation/service
  std::string key;     // hash of the caller's key
  std::string request; // hash of what is asked under it
};

// Claims of one entry, several in a record, so that the log's rate is not the limit.
struct KeyClaims
{
  std::string id;
  std::string entry;
  std::uint64_t incarnation = 0;
  std::vector<KeyClaim> claims;
};

using Record = std::variant<Change, TargetClaim, Snapshot, KeyClaims>;

std::string EncodeRecord(const Record& record);
Common::Result<Record> DecodeRecord(const std::string& text);
// The offset of a snapshot record; empty for any other. Cheap, as every reader asks it of every
// record.
std::optional<Common::Offset> SnapshotOffset(const std::string& text);
std::string ValuesToJson(const Values& values);
} // namespace Holdpost::Settings
