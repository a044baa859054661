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

// What a sidecar asks of the model engine on its machine and of the origin of weights, and the
// answers. The engine keeps pieces of weights that are staged with it, and loads what is staged
// when it is told to start.
namespace Holdpost::Sidecar
{
// What the engine says of itself.
struct EngineReport
{
  // Grows with each start of the engine; 0 if that is not told.
  std::uint64_t incarnation = 0;
  // The weights that answer requests; 0 for none.
  std::uint64_t weights_version = 0;
  std::string model;
  // An order is under way.
  bool is_busy = false;
  // Orders taken since the engine started.
  std::uint64_t orders = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  // How much slower than its profile it is.
  double pace = 1;
};

// --- asked of the engine ---

struct ReadReport
{
};

// Under which id the engine stands in the list of targets, as a page of it says.
struct ReadIdentity
{
  std::string page;
};

// Which pieces of the model are staged.
struct ListStaged
{
  std::string model;
};

struct ReadStaged
{
  std::string model;
  std::uint32_t piece = 0;
};

struct StagePiece
{
  std::string model;
  std::uint32_t piece = 0;
  Common::Bytes data;
};

// Load what is staged, once what runs has ended.
struct StartWeights
{
  std::string model;
  std::uint64_t version = 0;
  // The orders that the engine has taken so far: it refuses if it has taken another meanwhile.
  std::uint64_t expected_orders = 0;
  // The fencing token: an engine that checks it refuses one that is lower than a token it has seen.
  std::uint64_t fence = 0;
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
  std::uint32_t piece = 0;
  Common::Result<Common::Bytes> result;
};

struct PieceStaged
{
  std::uint32_t piece = 0;
  Common::Result<std::monostate> result;
};

// An order without an answer may have been taken.
struct StartAnswered
{
  std::uint64_t version = 0;
  Common::Result<std::monostate> result;
};
} // namespace Holdpost::Sidecar
