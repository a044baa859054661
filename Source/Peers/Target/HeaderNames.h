// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

// The names of the header fields by which callers, gateways and targets speak of a request. A
// platform that has names of its own hands in another table.
namespace Holdpost::TargetPeer
{
struct HeaderNames
{
  // From the caller, and passed on as it came.
  std::string request_id = "Holdpost-Request-Id";
  std::string model = "Holdpost-Model";
  std::string token_counts = "Holdpost-Token-Counts"; // of the prompt, and the most of the answer
  std::string length_hint = "Holdpost-Length-Hint";   // the caller's guess of the answer's tokens
  // The parts of the prompt in order, as ID:TOKENS by commas. The last is the request's own.
  std::string prompt_parts = "Holdpost-Prompt-Parts";
  std::string last_event = "Last-Event-Id";
  std::string credential = "Authorization"; // "Bearer CREDENTIAL"; never passed on
  // From the caller and, with what is left, to the target.
  std::string deadline_ms = "Holdpost-Deadline-Ms";
  // Set by the gateway; what callers send under these names is dropped.
  std::string organisation = "Holdpost-Organisation";
  std::string expected_target = "Holdpost-Expected-Target";
  std::string expected_weights = "Holdpost-Expected-Weights";
  std::string urgency = "Holdpost-Urgency";
  // From the target: the version of the weights that the answer began on.
  std::string weights_version = "Holdpost-Weights-Version";
  // From the target: the request did not run and never will.
  std::string not_run = "Holdpost-Not-Run";
  // From the target: the requests a second that it takes from all callers together.
  std::string rate_limit = "Holdpost-Rate-Limit";
  // From the target: 1 if it leaves and wants no more requests.
  std::string leaving = "Holdpost-Leaving";
  // From the target: its id, on its health page.
  std::string target_id = "Holdpost-Target-Id";
  // From the target, and passed on without being read.
  std::vector<std::string> passed_on = {};
};
} // namespace Holdpost::TargetPeer
