// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Core/Sidecar/EngineMessages.h"
#include "Core/Sidecar/Sidecar.h"

// The calls that a sidecar makes to the engine on its machine and to the origin of weights. A
// platform's adapter implements them: it translates names and formats, and decides nothing.
namespace Holdpost::ControlPeer
{
class EngineControl
{
public:
  template <typename T>
  using Done = std::function<void(Common::Result<T>)>;
  using CallId = std::uint64_t;

  virtual ~EngineControl() = default;

  virtual void ReadReport(Done<Sidecar::EngineReport> done) = 0;
  virtual void ReadIdentity(const Sidecar::ReadIdentity& read, Done<std::string> done) = 0;
  virtual void ListStaged(const Sidecar::ListStaged& list,
                          Done<std::vector<std::uint32_t>> done) = 0;
  virtual void ReadStaged(const Sidecar::ReadStaged& read, Done<Common::Bytes> done) = 0;
  virtual void StagePiece(const Sidecar::StagePiece& stage, Done<std::monostate> done) = 0;
  virtual void Start(const Sidecar::LoadStagedWeights& start, Done<Sidecar::OrderOutcome> done) = 0;
  // The manifest comes in the product's own form.
  virtual CallId FetchFromOrigin(const Sidecar::FetchFromOrigin& fetch,
                                 Done<Common::Bytes> done) = 0;
  // No call of `done` follows.
  virtual void CancelFetch(CallId id) = 0;
};
} // namespace Holdpost::ControlPeer
