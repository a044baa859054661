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

// What gateways and sidecars ask of a platform that hands out whole settings documents and a list
// of targets, and its answers.
namespace Holdpost::Control
{
// A place in a sequence of changes; 0 asks for the newest state of everything.
using Position = std::uint64_t;

// An operator has named new weights of a model.
struct NamedWeights
{
  std::string model;
  std::uint64_t version = 0;

  bool operator==(const NamedWeights&) const = default;
};

// What operators wrote since a position.
struct OperatorRead
{
  std::shared_ptr<const Settings::Document> document; // null if it has not changed
  Common::Bytes text;                                 // the document as the platform wrote it
  std::vector<NamedWeights> weights;
  Position next = 0;
};

// Why a target is not on the list.
enum class Removal
{
  // Its entry has gone. During an outage of the platform it may have lapsed, though it runs.
  Gone,
  // What stands there cannot be read, so whoever wrote it, the target is not there.
  Unreadable,
};

// A target has come, changed or gone.
struct TargetChange
{
  Gateway::TargetId id;
  std::optional<Gateway::ListedTarget> target; // empty if it has gone
  Removal removal = Removal::Gone;

  bool operator==(const TargetChange&) const = default;
};

struct TargetsRead
{
  // The changes are the whole list, so what they leave out is gone.
  bool is_whole = false;
  std::vector<TargetChange> changes;
  Position next = 0;
};

// Changes of the list of targets that one process passes on to another.
struct TargetsNews
{
  // Who knows the list up to here needs the changes only; 0 if they are the whole list.
  Position base = 0;
  Position position = 0;
  std::vector<TargetChange> changes;
};

// --- asked of the platform ---

// Waits up to `wait` for a change.
struct ReadOperator
{
  Position from = 0;
  Common::Milliseconds wait{0};
};

struct ReadTargets
{
  Position from = 0;
};

using Action = std::variant<ReadOperator, ReadTargets>;
using Actions = std::vector<Action>;
} // namespace Holdpost::Control
