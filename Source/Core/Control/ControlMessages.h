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
// A position in a sequence of changes; 0 requests the newest full state.
using Position = std::uint64_t;

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
};

struct ReadTargets
{
  Position from = 0;
};

using Action = std::variant<ReadOperatorChanges, ReadTargets>;
using Actions = std::vector<Action>;
} // namespace Holdpost::Control
