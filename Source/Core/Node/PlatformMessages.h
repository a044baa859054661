// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Distribution/Actions.h"
#include "Core/Membership/Report.h"
#include "Core/Settings/Fold.h"

// What the system asks of the platform, and the platform's answers.
namespace Holdpost::NodeCore
{
// Records after an offset; waits up to `wait` for the first one to come.
struct ReadLog
{
  Common::Offset after = 0;
  Common::Milliseconds wait{0};
};

struct LogRead
{
  Common::TimePoint sent{}; // when the read left here
  Common::Offset first = 0; // oldest offset that the log still has; 0 if it is empty
  Common::Offset head = 0;  // newest offset
  std::vector<Settings::LogRecord> records;
};

struct LogReadDone
{
  Common::Result<LogRead> result;
};

enum class AppendPurpose
{
  ClaimTarget,
  WriteSnapshot,
  ClaimKeys,
};

struct AppendRecord
{
  AppendPurpose purpose;
  std::string text;
};

// After an error the record may or may not be in the log.
struct AppendDone
{
  AppendPurpose purpose;
  Common::Result<Common::Offset> result;
};

struct ReadList
{
};

// The list has not changed since it was read last.
struct ListUnchanged
{
};

using ListRead =
    std::variant<std::vector<Membership::ListedInstance>, ListUnchanged, Common::Error>;

struct ListReadDone
{
  ListRead result;
};

// A piece from the weight store or the origin; the answer is a PieceFetched.
struct FetchFromPlatform
{
  Distribution::FetchId id = 0;
  Distribution::PlatformSource source = Distribution::PlatformSource::Origin;
  Common::Digest version;
  std::uint32_t piece = 0;
};
} // namespace Holdpost::NodeCore
