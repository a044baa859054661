// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Distribution/Actions.h"

// Requests of a sidecar to the model engine on its machine, and the engine's answers. The engine
// keeps staged pieces of weights and loads the staged weights when it receives a load order.
namespace Holdpost::Sidecar
{
// Identifies a call, so that an answer counts only for the call that it belongs to.
using CallTicket = std::uint64_t;

// The layers from `first` up to but not including `end`.
struct LayerRange
{
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  bool operator==(const LayerRange&) const = default;
};

// Layers that the engine has loaded, all of one version.
struct LoadedLayers
{
  LayerRange range;
  std::uint64_t version = 0;
};

// The state that the engine reports.
struct EngineReport
{
  // Increases with each start of the engine; 0 if the engine does not report it.
  std::uint64_t incarnation = 0;
  // The version of the weights that serve requests; 0 if none is loaded.
  std::uint64_t weights_version = 0;
  std::string model;
  // The engine is carrying out a load order.
  bool is_busy = false;
  // Number of load orders that the engine has accepted since it started.
  std::uint64_t orders = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  // The factor by which the engine is slower than its profile.
  double pace = 1;
  // The engine leaves and wants no more requests.
  bool is_leaving = false;
  // The layers that it has loaded; empty if it does not report them.
  std::vector<LoadedLayers> layers = {};
};

// Whether the engine reports that it holds exactly these layers of the version.
bool HoldsExactly(const EngineReport& report, const LayerRange& range, std::uint64_t version);
// Whether the engine reports that it holds some of the layers of a model only.
bool HoldsPart(const EngineReport& report, std::uint32_t layers);

// --- requests to the engine ---

struct ReadReport
{
};

// Reads the id under which the engine appears in the target list. The engine serves it at the path
// `page`.
struct ReadIdentity
{
  std::string page;
};

// Lists the staged pieces of the model.
struct ListStaged
{
  std::string model;
};

struct ReadStaged
{
  CallTicket ticket = 0;
  std::string model;
  std::uint32_t piece = 0;
};

struct StagePiece
{
  CallTicket ticket = 0;
  std::string model;
  std::uint32_t piece = 0;
  Common::Bytes data;
};

// Orders the engine to load the staged weights once its running requests have ended.
struct LoadStagedWeights
{
  CallTicket ticket = 0;
  std::string model;
  std::uint64_t version = 0;
  // Number of orders that the engine has accepted so far: it refuses this one if it has accepted
  // another order in the meantime.
  std::uint64_t expected_orders = 0;
  // The fencing token: an engine that checks fences refuses a token that is lower than one it has
  // seen.
  std::uint64_t fence = 0;
  // The layers to hold afterwards; empty for all. Layers that the engine holds already are kept,
  // and the others are given up.
  std::optional<LayerRange> layers = {};
};

// --- the engine's answers ---

struct ReportRead
{
  Common::Result<EngineReport> result;
};

struct IdentityRead
{
  Common::Result<std::string> result;
};

struct StagedListed
{
  Common::Result<std::vector<std::uint32_t>> result;
};

struct StagedRead
{
  CallTicket ticket = 0;
  std::uint32_t piece = 0;
  Common::Result<Common::Bytes> result;
};

struct PieceStaged
{
  CallTicket ticket = 0;
  std::uint32_t piece = 0;
  Common::Result<std::monostate> result;
};

enum class OrderOutcome
{
  Accepted,
  // The engine holds what was ordered, so it has accepted another order for it before.
  AlreadyHeld,
};

// The engine may have accepted an order even if no answer to it arrived.
struct LoadAnswered
{
  CallTicket ticket = 0;
  Common::Result<OrderOutcome> result;
};
} // namespace Holdpost::Sidecar
