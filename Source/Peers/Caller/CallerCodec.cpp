// SPDX-License-Identifier: Apache-2.0
#include "Peers/Caller/CallerCodec.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Json.h"
#include "Core/Settings/Path.h"

namespace Holdpost::CallerPeer
{
using Common::Error;
using Common::ErrorKind;
using Common::HttpRequest;
using Common::Result;
using nlohmann::json;
using Routing::CallerRequest;

static constexpr std::string_view COMPLETIONS_PATH = "/v1/completions";
static constexpr std::string_view SERVICES_PREFIX = "/services/";
static constexpr std::string_view BEARER = "Bearer ";
static constexpr std::int64_t TOKENS_DEFAULT = 128;
static constexpr std::int64_t TOKENS_MOST = 1 << 20;
// Rough, but the same for everyone: fairness needs a common measure, not an exact one.
static constexpr std::int64_t BYTES_PER_TOKEN = 4;
static constexpr std::size_t AFFINITY_BYTES = 1024;
static constexpr std::size_t KEY_BYTES_MOST = 255;

static Result<CallerRequest> ParseCompletion(const HttpRequest& request, CallerRequest parsed)
{
  if (request.method != "POST")
    return Error{ErrorKind::BadRequest, "completions are sent with POST"};
  const json body = Common::ParseJsonOrDiscard(request.body);
  if (!body.is_object())
    return Error{ErrorKind::BadRequest, "the body is no JSON object"};
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string())
    return Error{ErrorKind::BadRequest, "model: expected a text"};
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string())
    return Error{ErrorKind::BadRequest, "prompt: expected a text"};
  std::int64_t tokens = TOKENS_DEFAULT;
  if (const auto most = body.find("max_tokens"); most != body.end())
  {
    if (!most->is_number_integer() || *most < 1 || *most > TOKENS_MOST)
    {
      return Error{ErrorKind::BadRequest,
                   fmt::format("max_tokens: expected a whole number from 1 to {}", TOKENS_MOST)};
    }
    tokens = most->get<std::int64_t>();
  }
  parsed.model = model->get<std::string>();
  parsed.path = COMPLETIONS_PATH;
  const auto& text = prompt->get_ref<const std::string&>();
  parsed.cost = tokens + static_cast<std::int64_t>(text.size()) / BYTES_PER_TOKEN;
  parsed.prompt_start = text.substr(0, AFFINITY_BYTES);
  return parsed;
}

static Result<CallerRequest> ParseServiceCall(const HttpRequest& request, CallerRequest parsed)
{
  const std::string rest = request.path.substr(SERVICES_PREFIX.size());
  const auto slash = rest.find('/');
  parsed.service = rest.substr(0, slash);
  parsed.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!Settings::IsName(parsed.service))
    return Error{ErrorKind::BadRequest, "the path names no service"};
  parsed.cost = 1 + static_cast<std::int64_t>(request.body.size()) / BYTES_PER_TOKEN;
  return parsed;
}

static Result<std::optional<Common::Milliseconds>> ParseDeadline(const std::string& text)
{
  if (text.empty())
    return std::optional<Common::Milliseconds>();
  std::int64_t milliseconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size() || milliseconds < 1)
    return Error{ErrorKind::BadRequest, "Holdpost-Deadline-Ms: expected a whole number from 1"};
  return std::optional(Common::Milliseconds(milliseconds));
}

Result<CallerRequest> ParseCallerRequest(const HttpRequest& request)
{
  CallerRequest parsed;
  parsed.method = request.method;
  parsed.content_type = request.Header("content-type");
  parsed.body = request.body;
  parsed.idempotency_key = request.Header("idempotency-key");
  if (parsed.idempotency_key.size() > KEY_BYTES_MOST)
    return Error{ErrorKind::BadRequest, "Idempotency-Key: expected at most 255 bytes"};
  const std::string authorization = request.Header("authorization");
  if (!authorization.starts_with(BEARER))
    return Error{ErrorKind::BadCredential, "Authorization: expected Bearer and a credential"};
  parsed.credential = authorization.substr(BEARER.size());
  auto deadline = ParseDeadline(request.Header("holdpost-deadline-ms"));
  if (const auto* error = std::get_if<Error>(&deadline))
    return *error;
  parsed.deadline = std::get<std::optional<Common::Milliseconds>>(deadline);
  if (request.path == COMPLETIONS_PATH)
    return ParseCompletion(request, std::move(parsed));
  if (request.path.starts_with(SERVICES_PREFIX))
    return ParseServiceCall(request, std::move(parsed));
  return Error{ErrorKind::NotFound, "there is no such path"};
}
} // namespace Holdpost::CallerPeer
