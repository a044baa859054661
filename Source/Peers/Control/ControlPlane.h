// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Control/ControlMessages.h"
#include "Core/Crashes/CrashLedger.h"

// The calls that gateways and sidecars make to a platform. A platform's adapter implements them: it
// translates names and formats, and decides nothing.
namespace Holdpost::ControlPeer
{
class ControlPlane
{
public:
  virtual ~ControlPlane() = default;

  // Later calls go there.
  virtual void SetAddress(const Common::Address& address) = 0;

  virtual void
  ReadOperatorChanges(const Control::ReadOperatorChanges& read,
                      std::function<void(Common::Result<Control::OperatorChanges>)> done) = 0;
  virtual void ReadTargets(const Control::ReadTargets& read,
                           std::function<void(Common::Result<Control::TargetsRead>)> done) = 0;
  // The records of blocked requests that any process has written; their ages are as of now.
  virtual void
  ReadCrashRecords(std::function<void(Common::Result<std::vector<Crashes::CrashRecord>>)> done) = 0;
  // Replaces the record of the request.
  virtual void WriteCrashRecord(const Crashes::CrashRecord& record,
                                std::function<void(bool is_written)> done) = 0;
  virtual void DropCrashRecord(const Crashes::CrashCause& cause,
                               std::function<void(bool is_dropped)> done) = 0;
  // A document as the platform writes it, got from another process.
  virtual Common::Result<Settings::Document> ParseDocument(const std::string& text) const = 0;
};
} // namespace Holdpost::ControlPeer
