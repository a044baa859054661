// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Settings/Record.h"
#include "Core/Settings/Tree.h"

// The state in force, as a pure function of the log. Every reader that has folded the same records
// holds the same state; nobody decides for the others.
namespace Holdpost::Settings
{
struct LogRecord
{
  Common::Offset offset = 0;
  std::string text;

  bool operator==(const LogRecord&) const = default;
};

struct Accepted
{
  Common::Offset offset = 0;
};

struct Rejected
{
  Common::Offset offset = 0;
  Common::Error error;
  // For a lost race: the offset of the change that won.
  Common::Offset winner = 0;
};

// The record is of a kind that does not change the settings.
struct NotSettings
{
};

// The record does not follow the last one folded; nothing was done.
struct OutOfOrder
{
  Common::Offset expected = 0;
};

using Verdict = std::variant<Accepted, Rejected, NotSettings, OutOfOrder>;

struct ClaimHolder
{
  std::string instance;
  std::string id;
  Common::Offset offset = 0;
  // Another instance held the target before and may not know yet that it lost it.
  bool has_displaced = false;

  bool operator==(const ClaimHolder&) const = default;
};

class Fold
{
public:
  // Folds the record if it is the next one.
  Verdict Apply(const LogRecord& record);
  // Folds what it can of a stretch of the log. If records have been dropped before the stretch, it
  // starts at the newest snapshot inside. Returns false if the stretch cannot be joined on.
  bool ApplyAll(const std::vector<LogRecord>& records);

  // The last folded offset.
  Common::Offset Position() const { return m_position; }
  // The last offset that changed the tree. Never goes down.
  Common::Offset AcceptedOffset() const { return m_accepted_offset; }
  const Tree& AcceptedTree() const { return m_tree; }
  // Offset of the last change to the node, also after its removal; 0 if there was none.
  Common::Offset NodeOffset(const Path& path) const;
  std::optional<ClaimHolder> HolderOf(const std::string& target) const;

  // The same bytes from every reader that has folded up to Position().
  std::string Serialize() const;
  // Takes over a state that reaches further than the own one; an older one is refused, so that
  // nothing ever reverts.
  Common::Result<std::monostate> Adopt(Common::Offset position, const std::string& state);

private:
  Verdict ApplyChange(const Change& change, Common::Offset offset);
  std::optional<Rejected> FindConflict(const Change& change, Common::Offset offset) const;
  bool JoinAtSnapshot(const std::vector<LogRecord>& records);

  Common::Offset m_position = 0;
  Common::Offset m_accepted_offset = 0;
  Tree m_tree;
  std::map<Path, Common::Offset> m_node_offsets;
  std::map<std::string, ClaimHolder> m_target_claims;
};

// The change that turns `accepted` into `wanted`, each node with the base that the fold knows.
Change ChangeBetween(const Fold& accepted, const Tree& wanted);
} // namespace Holdpost::Settings
