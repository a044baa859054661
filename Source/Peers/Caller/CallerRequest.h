// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Error.h"
#include "Common/HttpServer.h"
#include "Core/Settings/Tree.h"

// What callers send to an entry: an OpenAI-style completion for a model, or a call to a plain
// service below /services/NAME/.
namespace Holdpost::CallerPeer
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
  bool is_stream = false;
};

Common::Result<CallerRequest> ParseCallerRequest(const Common::HttpRequest& request);

// The organisation that a credential belongs to at a hall and service; empty if it is nobody's or
// the organisation is barred there. Compares the hash of the credential only.
std::string OrganisationFor(const Settings::Tree& tree, const std::string& hall,
                            const std::string& service, const std::string& credential);
// The service of a hall that answers for a model; empty if none does.
std::string ServiceForModel(const Settings::Tree& tree, const std::string& hall,
                            const std::string& model);
} // namespace Holdpost::CallerPeer
