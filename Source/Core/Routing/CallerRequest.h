// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Types.h"

// A caller's request as the decisions see it.
namespace Holdpost::Routing
{
struct CallerRequest
{
  std::string model;   // set for completions
  std::string service; // set for plain services
  std::string method;
  std::string path; // as the target gets it
  std::string content_type;
  std::string body;
  std::string credential;
  std::optional<Common::Milliseconds> deadline;
  std::string idempotency_key;
  std::int64_t cost = 1;    // estimated tokens
  std::string prompt_start; // decides the affinity
};
} // namespace Holdpost::Routing
