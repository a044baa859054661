// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Common/Types.h"
#include "Core/Gateway/Target.h"

// The events that a gateway's state machine takes, and the actions that it returns.
namespace Holdpost::Gateway
{
// The executor of the actions numbers the requests; one incarnation of a process never uses a
// number twice.
using RequestNumber = std::uint64_t;
// The id of an event of a stream; the ids of a stream increase.
using EventId = std::uint64_t;

// A caller's description of the work that it requests from a model.
struct GenerationHint
{
  std::string model;
  std::uint32_t prompt_tokens = 0;
  // The maximum number of generated tokens, and the number that the caller expects.
  std::uint32_t max_answer_tokens = 0;
  std::uint32_t expected_answer_tokens = 0;
};

// A completely received request of a caller.
struct CallerRequest
{
  std::string id; // chosen by the caller
  std::string host;
  std::string path; // without the query
  std::string credential;
  std::optional<Common::Milliseconds> deadline;
  std::optional<EventId> last_event;
  std::optional<GenerationHint> generation;
  // The ids of the parts that the prompt shares with others, in order and each once.
  std::vector<std::string> shared_parts;
  // The digest of the method, the path with its query, and the body.
  Common::Digest content;
};

// A target's own failure, which is passed on to the caller unchanged, has at least this status.
inline constexpr int MIN_FAILURE_STATUS = 500;
// A target that rejects a request, or redirects its caller, answers with at least this status.
inline constexpr int MIN_REJECTION_STATUS = 300;

// --- events ---

struct RequestArrived
{
  RequestNumber number = 0;
  CallerRequest request;
  // There is no memory for another request.
  bool is_memory_full = false;
};

// The caller closed its connection before the answer ended.
struct CallerLeft
{
  RequestNumber number = 0;
};

// The head of an answer has come from the target, before its first event or its body. It tells what
// the target says of itself.
struct AnswerHead
{
  RequestNumber number = 0;
  // The answer is to another, earlier request on the same connection.
  bool is_foreign = false;
  // Another target has taken over the address of the chosen target.
  bool is_other_target = false;
  // The target leaves and wants no more requests.
  bool is_leaving = false;
  // The target has turned the request away.
  bool is_rejected = false;
  // The time for which the target wants no more requests from this gateway; empty if it names none.
  std::optional<Common::Duration> rest = std::nullopt;
};

// The target began to answer. The executor buffers the received part until it is passed on.
struct AnswerBegan
{
  RequestNumber number = 0;
  int status = 0;
  // The whole answer is buffered, so that it cannot break off any more.
  bool is_whole = false;
  // The target answers that it did not run the request.
  bool is_not_run = false;
  // Another target has taken over the address of the chosen target.
  bool is_other_target = false;
  // The answer has a success status, and its body is an event stream.
  bool is_event_stream = false;
  // The version of weights that the answer began with; 0 if the target does not report it.
  std::uint64_t weights_version = 0;
  // The requests a second that the target takes from all gateways together; empty if it names no
  // limit.
  std::optional<double> rate_limit = std::nullopt;
};

// The target has closed the connection in good order, and nothing else marks the end of the answer.
// The executor keeps the answer open until EndClosedAnswer.
struct AnswerClosed
{
  RequestNumber number = 0;
};

enum class ProbeOutcome
{
  // The target has answered.
  Runs,
  // Nothing listens at its address, or another target has answered.
  Ended,
  Unknown,
};

// A probe of a target has ended.
struct ProbeEnded
{
  TargetId target;
  Common::Address address;
  ProbeOutcome outcome = ProbeOutcome::Unknown;
};

// The answer was passed on completely.
struct AnswerEnded
{
  RequestNumber number = 0;
  // Nothing but the end of its connection marks the end of the answer, so that it looks the same if
  // the target ends.
  bool ends_with_connection = false;
  // The last event of a stream.
  std::optional<EventId> last_event = std::nullopt;
};

enum class AttemptFailure
{
  // No byte of the request left for the target.
  NotSent,
  // The request may have run: the connection broke, or the received bytes are no valid answer.
  Lost,
};

// Why an attempt ended without a whole answer; for the log.
enum class AttemptEnd
{
  None,
  NoConnection,
  // The connection was reset, or the target did not acknowledge sent bytes for too long.
  Reset,
  // The target closed the connection before the answer was whole.
  ClosedEarly,
  // The received bytes are no valid answer, or belong to another request.
  BadAnswer,
  // More bytes came than an answer, its head or what may precede it can have.
  TooManyBytes,
  // The answer ended in the middle of an event.
  PartialEvent,
  // The events of a continued stream did not follow on those before.
  EventGap,
  // The gateway took the request back before the connection came up.
  Recalled,
  // The connection closed as at the end of an answer, but with it the target ended.
  TargetEnded,
  // The same, but it did not become known whether the target ran on.
  UnprovedEnd,
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
  // Another attempt may continue a stream that was passed on in part, as the ids of its events tell
  // where.
  bool may_continue = true;
  // The ids of its events rose by one.
  bool ids_rise_by_one = false;
};

// --- actions ---

// Sends the request to the target.
struct Dispatch
{
  RequestNumber number = 0;
  TargetId target;
  Common::Address address;
  // The remaining time until the caller's deadline.
  Common::Milliseconds time_left{0};
  std::string organisation; // empty for anonymous requests
  // The expected time until the answer begins.
  Common::Duration expected_start{};
  // The target is to continue the stream after this event.
  std::optional<EventId> resume_after;
  // The ids rose by one until there.
  bool ids_rise_by_one = false;
  std::uint64_t weights_version = 0; // 0 if any version is acceptable
  bool is_stream = false;
  // The request may be sent again if the connection turns out to be dead.
  bool may_repeat = false;
  // The kept connections to the target may be dead.
  bool needs_new_connection = false;
};

// Takes back the requests to the target whose connections have not come up yet.
struct RecallConnecting
{
  TargetId target;
};

// Passes the answer of the present attempt on to the caller.
struct PassAnswer
{
  RequestNumber number = 0;
};

// Cancels the present attempt; the target is to stop working on it.
struct CancelAttempt
{
  RequestNumber number = 0;
};

// Sends the final error answer to a caller to which no part of an answer was passed on.
struct Refuse
{
  RequestNumber number = 0;
  Common::Error error;
  // The id of the prompt part for which the request is refused, so that its caller may leave it
  // out.
  std::optional<std::string> blocked_part = std::nullopt;
};

// Ends an answer that was passed on only in part, in such a way that the caller cannot take it for
// a whole answer.
struct AbortAnswer
{
  RequestNumber number = 0;
};

// Ends the answer of AnswerClosed: as whole, or as broken for the reason.
struct EndClosedAnswer
{
  RequestNumber number = 0;
  AttemptEnd reason = AttemptEnd::None; // None: it is whole
};

// Asks the target for its health page, to learn whether it runs.
struct ProbeTarget
{
  TargetId target;
  Common::Address address;
  std::string path;
};

// Reports to the agent beside a target which work this gateway has at the target now.
struct ReportWorkToAgent
{
  Common::Address target;
  GatewayWork work;
};

// Reports to the agent beside a target which rate limit an answer of the target has named.
struct ReportLimitToAgent
{
  Common::Address target;
  std::optional<double> per_second;
};

// Reports to the other gateways that a target has said that it leaves.
struct ReportLeaving
{
  LeavingTarget target;
};

using Action =
    std::variant<Dispatch, PassAnswer, CancelAttempt, Refuse, AbortAnswer, ReportWorkToAgent,
                 ReportLimitToAgent, ReportLeaving, RecallConnecting, EndClosedAnswer, ProbeTarget>;
using Actions = std::vector<Action>;
} // namespace Holdpost::Gateway
