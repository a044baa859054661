// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Node/InstanceMessages.h"
#include "Core/Runs/Runs.h"

// What an agent asks of its target, a model engine or a plain service, and the target's answers.
namespace Holdpost::NodeCore
{
// Carried by every order; a target that checks it refuses what is older than the newest it saw.
struct Fence
{
  Common::Offset claim = 0;
  Common::Offset settings = 0;
};

// Give the weights to the target and have it load them. Before each call to the target the carrier
// asks Agent::MayOrder.
struct LoadTarget
{
  std::uint64_t order = 0;
  std::string model;
  Common::Digest version;
  Common::Bytes manifest;
  std::vector<Common::Bytes> pieces;
  Fence fence;
  // Only the order is sent, as the target should have the version.
  bool is_check = false;
};

struct CancelLoad
{
  std::uint64_t order = 0;
};

struct TargetLoaded
{
  std::uint64_t order = 0;
  Common::Result<std::monostate> result;
};

// Run the request and pass the answer on to the entry under the tag.
struct RunOnTarget
{
  CallTag tag = 0;
  Runs::RunRequest request;
};

struct CancelTargetRun
{
  CallTag tag = 0;
};

// The target has begun to answer a run.
struct TargetAnswered
{
  CallTag tag = 0;
  int status = 0;
  std::string content_type;
  Common::Digest version; // zero if the target names none
};

struct TargetRunEnded
{
  CallTag tag = 0;
  std::optional<Common::Error> error; // empty for a whole answer
};
} // namespace Holdpost::NodeCore
