// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <set>
#include <string>

#include "Core/Gateway/Messages.h"
#include "Core/Gateway/TargetTable.h"
#include "Core/Settings/Document.h"

namespace Holdpost::Gateway
{
enum class RequestState
{
  // In the queue of its service.
  Waiting,
  // With a target that has not answered.
  Sent,
  // The answer is being passed on.
  Passing,
};

// The last attempt and the choice that it was made by, for the log.
struct LastAttempt
{
  TargetChoice choice;
  Common::TimePoint sent{};
  int answer_status = 0; // 0 until an answer has begun
  AttemptEnd end = AttemptEnd::None;
};

// What a gateway keeps of an open request.
struct TrackedRequest
{
  RequestNumber number = 0;
  CallerRequest request;
  // What was in force when it came.
  Settings::Route route;
  std::string service;
  std::string organisation;
  int priority = 0;
  Common::TimePoint arrived{};
  // When its caller tried first, as far as its deadline tells: its goal counts from then on.
  Common::TimePoint first_tried{};
  // When the caller got the head of an answer.
  Common::TimePoint begun{};
  Common::TimePoint deadline{};
  // A request that cannot begin is told so by then.
  Common::TimePoint refuse_at{};
  // If the target has not begun to answer by then, another one may be asked.
  Common::TimePoint move_at{};
  RequestState state = RequestState::Waiting;
  TargetId target;
  std::set<TargetId> tried;
  std::optional<LastAttempt> last_attempt;
  // Targets that it was sent to, and those that may have run it.
  std::uint32_t sends = 0;
  std::uint32_t runs = 0;
  bool has_started = false; // at the present target
  bool was_passed = false;  // the caller got the head of an answer
  std::optional<EventId> last_event;

  std::uint32_t PromptTokens() const
  {
    return request.generation ? request.generation->prompt_tokens : 0;
  }
};
} // namespace Holdpost::Gateway
