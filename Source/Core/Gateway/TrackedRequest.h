// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <set>
#include <string>

#include "Core/Crashes/CrashCause.h"
#include "Core/Gateway/Messages.h"
#include "Core/Gateway/TargetTable.h"
#include "Core/Settings/Document.h"

namespace Holdpost::Gateway
{
enum class RequestState
{
  // The request is in the queue of its service.
  Waiting,
  // The request is at a target that has not begun to answer.
  Sent,
  // The answer is being passed on to the caller.
  Passing,
};

// The last attempt of a request, and the choice of its target, for the log.
struct LastAttempt
{
  TargetChoice choice;
  Common::TimePoint sent{};
  int answer_status = 0; // 0 until an answer has begun
  AttemptEnd end = AttemptEnd::None;
};

// The state that a gateway keeps for an open request.
struct TrackedRequest
{
  RequestNumber number = 0;
  CallerRequest request;
  // Route, service, organisation and priority by the settings in force when the request arrived.
  Settings::Route route;
  std::string service;
  std::string organisation;
  Crashes::RequestCauses causes;
  int priority = 0;
  Common::TimePoint arrived{};
  // The time of the caller's first attempt, estimated from the deadline. The goal of the route is
  // measured from this time.
  Common::TimePoint first_attempt_at{};
  // The time at which the head of an answer was passed on to the caller.
  Common::TimePoint answer_passed_at{};
  Common::TimePoint deadline{};
  // If no target can begin the request by this time, it is refused.
  Common::TimePoint refuse_at{};
  // No target can begin the request, and it waits until targets have loaded weights.
  bool awaits_weights = false;
  // If the target has not begun to answer at this time, the request may move to another target.
  Common::TimePoint move_at{};
  RequestState state = RequestState::Waiting;
  TargetId target;
  std::set<TargetId> tried;
  std::optional<LastAttempt> last_attempt;
  // The number of times that the request was sent, and the number of times that it may have run.
  std::uint32_t sends = 0;
  std::uint32_t runs = 0;
  bool has_started = false; // the present target has begun to answer
  // When the present target closed an answer of which only the close marks the end.
  std::optional<Common::TimePoint> closed_at;
  bool was_head_passed = false; // the head of an answer was passed on to the caller
  std::optional<EventId> last_event;
  // As the last attempt that failed has told of the stream that was passed on in part.
  bool may_continue = true;
  bool ids_rise_by_one = false;

  std::uint32_t PromptTokens() const
  {
    return request.generation ? request.generation->prompt_tokens : 0;
  }
};
} // namespace Holdpost::Gateway
