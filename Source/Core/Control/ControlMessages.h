// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Gateway/Target.h"
#include "Core/Settings/Document.h"

// The requests that gateways and sidecars send to a platform that delivers whole settings documents
// and a target list, and the platform's answers.
namespace Holdpost::Control
{
// A position in the platform's sequence of changes; 0 requests the newest full state. A platform
// that comes back from an older copy begins a new era, in which it gives out offsets again. All
// positions of an era are larger than those of the eras before.
using Position = std::uint64_t;

inline constexpr unsigned OFFSET_BITS = 44;

constexpr Position MakePosition(std::uint64_t era, std::uint64_t offset)
{
  return era << OFFSET_BITS | offset;
}

constexpr std::uint64_t EraOf(Position position)
{
  return position >> OFFSET_BITS;
}

constexpr std::uint64_t OffsetOf(Position position)
{
  return position & ((std::uint64_t{1} << OFFSET_BITS) - 1);
}

// Which of several records of a target one is.
struct RecordVersion
{
  // The era in which it was read.
  std::uint64_t era = 0;
  // Of the target that wrote it; 0 if it is not known.
  std::uint64_t incarnation = 0;
  // Increases with each record that the incarnation writes; 0 if it is not known.
  std::uint64_t revision = 0;

  bool operator==(const RecordVersion&) const = default;
};

// A version of a model's weights that an operator has named.
struct NamedWeights
{
  std::string model;
  std::uint64_t version = 0;

  bool operator==(const NamedWeights&) const = default;
};

// The operators' changes since a position.
struct OperatorChanges
{
  std::shared_ptr<const Settings::Document> document; // null if unchanged
  Common::Bytes text;                                 // the document as the platform wrote it
  std::vector<NamedWeights> weights;
  Position next = 0;
};

// The reason why a target is not in the target list.
enum class Removal
{
  // Its record no longer exists. The record may have lapsed during an outage of the platform
  // although the target runs.
  Gone,
  // Its record cannot be parsed, so there is no such target, whoever wrote the record.
  Unreadable,
};

// An added, changed or removed target.
struct TargetChange
{
  Gateway::TargetId id;
  std::optional<Gateway::ListedTarget> target; // empty if removed
  Removal removal = Removal::Gone;
  // Of the record, or of the last one before the target was removed.
  RecordVersion version = {};

  bool operator==(const TargetChange&) const = default;
};

struct TargetsRead
{
  // The changes are the full list, so targets that are missing from them have been removed.
  bool is_whole = false;
  std::vector<TargetChange> changes;
  Position next = 0;
};

// Changes of the target list that one process forwards to another.
struct TargetListChanges
{
  // A process that knows the list up to this position needs only the changes; 0 if the changes are
  // the full list.
  Position base = 0;
  Position position = 0;
  std::vector<TargetChange> changes;
};

// --- requests to the platform ---

// Reads the operators' changes; the platform waits up to `wait` for a change.
struct ReadOperatorChanges
{
  Position from = 0;
  Common::Milliseconds wait{0};
  // Counts the reads, so that a late answer is not taken for that of a later read.
  std::uint64_t number = 0;
};

struct ReadTargets
{
  Position from = 0;
};

using Action = std::variant<ReadOperatorChanges, ReadTargets>;
using Actions = std::vector<Action>;
} // namespace Holdpost::Control
