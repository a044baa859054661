// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "Common/Types.h"

// One closed list of error kinds, and the table from each kind to what a caller is told.
namespace Holdpost::Common
{
// What is known of a request after an error. NotRun is said only when it is certain.
enum class Outcome
{
  NotRun,
  Ran,
  Unknown,
};

enum class ErrorKind
{
  BadRequest,
  BadCredential,
  NotFound,
  TooLarge,
  HeaderTooLarge,
  RequestTimeout,
  QuotaExceeded,
  QueueFull,
  // The memory for callers is used up, or too short for a large request.
  MemoryFull,
  // All targets load weights, or have none that may still be used.
  NoWeights,
  DeadlineTooShort,
  NoTarget,
  Leaving,
  NotReady,
  LogUnavailable,
  KeyBusy,
  KeyReused,
  KeyElsewhere,
  KeyAnswerGone,
  KeyOutcomeUnknown,
  TargetRefused,
  TargetFailed,
  AnswerCut,
  AnswerTooLarge,
  Unreachable,
  // The request has crashed the targets that ran it, so it is sent to none any more.
  CrashesTargets,
  AnswerTimeout,
  BadSettings,
  Conflict,
  PlatformUnavailable,
  PositionGone,
  SourceBusy,
  PieceNotHeld,
  PieceCorrupt,
  Fenced,
  Cancelled,
  Internal,
};

struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  // One sentence for a person; never holds another organisation's data.
  std::string message;
  // When to come back, if this case knows better than the table.
  std::optional<Milliseconds> retry_after = std::nullopt;
};

template <typename T>
using Result = std::variant<T, Error>;

template <typename T>
bool Succeeded(const Result<T>& result)
{
  return std::holds_alternative<T>(result);
}

// One row of the table: what an error kind means to a caller.
struct ErrorAnswer
{
  ErrorKind kind;
  std::string_view name; // label of the counter and the "error" field of the answer
  int http_status;
  Outcome outcome;
  Milliseconds retry_after; // 0: the header is left out
};

// All rows, in the order of ErrorKind.
std::span<const ErrorAnswer> ErrorTable();
const ErrorAnswer& AnswerFor(ErrorKind kind);
std::string_view OutcomeName(Outcome outcome);
// The inverse of AnswerFor(kind).name; Internal for a name that no row has.
ErrorKind ErrorKindFromName(std::string_view name);
} // namespace Holdpost::Common
