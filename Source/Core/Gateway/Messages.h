// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Gateway/Target.h"

// What happens to a gateway's requests, and what the gateway decides on them.
namespace Holdpost::Gateway
{
// The carrier numbers requests; a number is never used twice by one incarnation of a process.
using RequestNumber = std::uint64_t;
// Events of a stream carry rising ids.
using EventId = std::uint64_t;

// What a caller says of the work that it asks a model for.
struct GenerationHint
{
  std::string model;
  std::uint32_t prompt_tokens = 0;
  // The most that may be generated, and the caller's guess of how much it will be.
  std::uint32_t answer_tokens_most = 0;
  std::uint32_t answer_tokens_guess = 0;
};

// A whole request of a caller.
struct CallerRequest
{
  std::string id; // as the caller names it
  std::string host;
  std::string path; // without the query
  std::string credential;
  std::optional<Common::Milliseconds> deadline;
  std::optional<EventId> last_event;
  std::optional<GenerationHint> generation;
};

// --- what happens ---

struct RequestArrived
{
  RequestNumber number = 0;
  CallerRequest request;
};

// The caller closed its connection before the answer ended.
struct CallerLeft
{
  RequestNumber number = 0;
};

// The target began to answer, and the carrier holds what came so far.
struct AnswerBegan
{
  RequestNumber number = 0;
  int status = 0;
  // The whole answer is held, so that it cannot break off any more.
  bool is_whole = false;
  // The target says that it did not run the request.
  bool is_not_run = false;
  // Another target has taken over the address.
  bool is_other_target = false;
  // What follows are the events of a stream that succeeds.
  bool is_event_stream = false;
  // The weights that the answer began on; 0 if the target does not tell.
  std::uint64_t weights_version = 0;
};

// The answer that was passed on has ended whole.
struct AnswerEnded
{
  RequestNumber number = 0;
};

enum class AttemptFailure
{
  // No byte of the request left for the target.
  NotSent,
  // It may have run: the connection broke, or what came was no answer.
  Lost,
};

// What an attempt without a whole answer ended by, for the log.
enum class AttemptEnd
{
  None,
  NoConnection,
  // Reset, or the target left our bytes unacknowledged for too long.
  Reset,
  // The target closed the connection before the answer was whole.
  ClosedEarly,
  // What came was no answer, or belonged to another request.
  BadAnswer,
  // The answer ended in the middle of an event.
  PartialEvent,
};
std::string_view AttemptEndName(AttemptEnd end);

// An attempt ended without a whole answer, before or after the answer began.
struct AttemptFailed
{
  RequestNumber number = 0;
  AttemptFailure failure = AttemptFailure::Lost;
  // The last whole event of a stream that was passed on to the caller, in any attempt.
  std::optional<EventId> last_event;
  AttemptEnd end = AttemptEnd::None;
};

// --- what is decided ---

// Send the request to the target.
struct Dispatch
{
  RequestNumber number = 0;
  TargetId target;
  Common::Address address;
  // What is left of the caller's time.
  Common::Milliseconds time_left{0};
  std::string organisation; // empty for anonymous requests
  // Time until the answer is expected to begin.
  Common::Duration expected_start{};
  // Continue a stream after this event.
  std::optional<EventId> resume_after;
  std::uint64_t weights_version = 0; // 0 if any version will do
  bool is_stream = false;
  // It may run again if the connection turns out to be dead.
  bool may_repeat = false;
};

// Pass the answer of the present attempt on to the caller.
struct PassAnswer
{
  RequestNumber number = 0;
};

// Give up the present attempt; the target is to stop working on it.
struct CancelAttempt
{
  RequestNumber number = 0;
};

// The final answer to a request of which nothing was passed on.
struct Refuse
{
  RequestNumber number = 0;
  Common::Error error;
};

// The answer was passed on in part and will not become whole: end it so that it cannot look whole.
struct AbortAnswer
{
  RequestNumber number = 0;
};

// Tell the agent beside a target what this gateway has there now.
struct TellAgent
{
  Common::Address target;
  OwnWork work;
};

using Action = std::variant<Dispatch, PassAnswer, CancelAttempt, Refuse, AbortAnswer, TellAgent>;
using Actions = std::vector<Action>;
} // namespace Holdpost::Gateway
