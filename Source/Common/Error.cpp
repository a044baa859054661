// SPDX-License-Identifier: Apache-2.0
#include "Common/Error.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace Holdpost::Common
{
using namespace std::chrono_literals;

namespace
{
constexpr std::array ERROR_TABLE = {
    ErrorAnswer{ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::BadCredential, "bad_credential", 401, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::NotFound, "not_found", 404, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::TooLarge, "too_large", 413, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::HeaderTooLarge, "header_too_large", 431, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::RequestTimeout, "request_timeout", 408, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::QuotaExceeded, "quota_exceeded", 429, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::QueueFull, "queue_full", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::MemoryFull, "memory_full", 503, Outcome::NotRun, 500ms},
    ErrorAnswer{ErrorKind::NoWeights, "no_weights", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::DeadlineTooShort, "deadline_too_short", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::NoTarget, "no_target", 503, Outcome::NotRun, 2000ms},
    ErrorAnswer{ErrorKind::Leaving, "leaving", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::NotReady, "not_ready", 503, Outcome::NotRun, 2000ms},
    ErrorAnswer{ErrorKind::LogUnavailable, "log_unavailable", 503, Outcome::NotRun, 5000ms},
    ErrorAnswer{ErrorKind::KeyBusy, "key_busy", 409, Outcome::Unknown, 1000ms},
    ErrorAnswer{ErrorKind::KeyReused, "key_reused", 422, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::KeyElsewhere, "key_elsewhere", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::KeyAnswerGone, "key_answer_gone", 410, Outcome::Ran, 0ms},
    ErrorAnswer{ErrorKind::KeyOutcomeUnknown, "key_outcome_unknown", 502, Outcome::Unknown, 0ms},
    ErrorAnswer{ErrorKind::TargetRefused, "target_refused", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::TargetFailed, "target_failed", 502, Outcome::Unknown, 0ms},
    ErrorAnswer{ErrorKind::AnswerCut, "answer_cut", 502, Outcome::Unknown, 0ms},
    ErrorAnswer{ErrorKind::AnswerTooLarge, "answer_too_large", 502, Outcome::Ran, 0ms},
    ErrorAnswer{ErrorKind::Unreachable, "unreachable", 502, Outcome::Unknown, 0ms},
    ErrorAnswer{ErrorKind::CrashesTargets, "crashes_targets", 400, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::AnswerTimeout, "answer_timeout", 504, Outcome::Unknown, 0ms},
    ErrorAnswer{ErrorKind::BadSettings, "bad_settings", 400, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::Conflict, "conflict", 409, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::PlatformUnavailable, "platform_unavailable", 503, Outcome::NotRun,
                5000ms},
    ErrorAnswer{ErrorKind::PositionGone, "position_gone", 410, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::SourceBusy, "source_busy", 503, Outcome::NotRun, 1000ms},
    ErrorAnswer{ErrorKind::PieceNotHeld, "piece_not_held", 404, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::PieceCorrupt, "piece_corrupt", 502, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::Fenced, "fenced", 409, Outcome::NotRun, 0ms},
    ErrorAnswer{ErrorKind::Cancelled, "cancelled", 499, Outcome::Unknown, 0ms},
    ErrorAnswer{ErrorKind::Internal, "internal", 500, Outcome::Unknown, 0ms},
};

constexpr bool IsInOrder()
{
  for (std::size_t i = 0; i < ERROR_TABLE.size(); ++i)
  {
    if (ERROR_TABLE[i].kind != static_cast<ErrorKind>(i))
      return false;
  }
  return true;
}

static_assert(ERROR_TABLE.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);
static_assert(IsInOrder(), "the rows of ERROR_TABLE follow ErrorKind");
} // namespace

std::span<const ErrorAnswer> ErrorTable()
{
  return ERROR_TABLE;
}

const ErrorAnswer& AnswerFor(ErrorKind kind)
{
  return ERROR_TABLE[static_cast<std::size_t>(kind)];
}

std::string_view OutcomeName(Outcome outcome)
{
  switch (outcome)
  {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Ran:
    return "ran";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

ErrorKind ErrorKindFromName(std::string_view name)
{
  const auto row = std::ranges::find(ERROR_TABLE, name, &ErrorAnswer::name);
  return row == ERROR_TABLE.end() ? ErrorKind::Internal : row->kind;
}
} // namespace Holdpost::Common
