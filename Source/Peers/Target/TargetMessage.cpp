// SPDX-License-Identifier: Apache-2.0
#include "Peers/Target/TargetMessage.h"

#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "Common/EventLoop.h"
#include "Peers/Target/PromptParts.h"

namespace Holdpost::TargetPeer
{
using Common::AppendField;
using Common::EqualsIgnoringCase;
using Common::HttpHead;

static constexpr std::string_view BEARER = "Bearer ";
static constexpr const char* RETRY_AFTER = "Retry-After";
static constexpr int SERVICE_UNAVAILABLE = 503;
static constexpr int TOO_MANY_REQUESTS = 429;
// Larger values are no time that can be kept, but do mean a long one.
static constexpr double MAX_REST_SECONDS = 1e6;
static constexpr std::size_t HEAD_BYTES_USUAL = 1024;

static std::uint32_t ReadNumber(std::string_view text)
{
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

static std::optional<Gateway::GenerationHint> ReadGeneration(const HttpHead& head,
                                                             const HeaderNames& names)
{
  const std::string* model = head.fields.Find(names.model);
  const std::string* counts = head.fields.Find(names.token_counts);
  if (!model || !counts)
    return std::nullopt;
  Gateway::GenerationHint hint;
  hint.model = *model;
  hint.prompt_tokens = ReadNumber(*counts);
  if (const std::size_t comma = counts->find(','); comma != std::string::npos)
    hint.max_answer_tokens = ReadNumber(std::string_view(*counts).substr(comma + 1));
  hint.expected_answer_tokens = static_cast<std::uint32_t>(
      head.fields.FindNumber(names.length_hint).value_or(hint.max_answer_tokens));
  return hint;
}

static Common::Digest DigestContent(const HttpHead& head, std::string_view body)
{
  return Common::Sha256({head.method, " ", head.target, "\n", body});
}

Gateway::CallerRequest ReadCallerRequest(const HttpHead& head, std::string_view body,
                                         const HeaderNames& names)
{
  Gateway::CallerRequest request;
  if (const std::string* id = head.fields.Find(names.request_id))
    request.id = *id;
  if (const std::string* host = head.fields.Find("Host"))
    request.host = *host;
  request.path = head.target.substr(0, head.target.find('?'));
  const std::string* credential = head.fields.Find(names.credential);
  if (credential && credential->size() > BEARER.size() &&
      EqualsIgnoringCase(std::string_view(*credential).substr(0, BEARER.size()), BEARER))
    request.credential = credential->substr(BEARER.size());
  if (const auto deadline = head.fields.FindNumber(names.deadline_ms))
    request.deadline = Common::Milliseconds(std::min<std::uint64_t>(*deadline, 86400000));
  request.last_event = head.fields.FindNumber(names.last_event);
  request.generation = ReadGeneration(head, names);
  request.shared_parts = ReadSharedParts(head, names);
  request.content = DigestContent(head, body);
  return request;
}

// A finite number from 0 that takes up the whole text.
static std::optional<double> ReadDecimal(std::string_view text)
{
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [read_to, error] = std::from_chars(text.data(), end, number);
  const bool is_number = error == std::errc() && read_to == end;
  if (!is_number || !std::isfinite(number) || number < 0)
    return std::nullopt;
  return number;
}

std::optional<double> ReadRateLimit(const HttpHead& answer, const HeaderNames& names)
{
  const std::string* text = answer.fields.Find(names.rate_limit);
  if (!text)
    return std::nullopt;
  return ReadDecimal(*text);
}

std::optional<Common::Duration> ReadRest(const HttpHead& answer)
{
  const bool is_rejected =
      answer.status == SERVICE_UNAVAILABLE || answer.status == TOO_MANY_REQUESTS;
  const std::string* text = is_rejected ? answer.fields.Find(RETRY_AFTER) : nullptr;
  if (!text)
    return std::nullopt;
  const auto seconds = ReadDecimal(*text);
  if (!seconds || *seconds <= 0)
  {
    Common::UnreadFields::Instance().Note("unreadable answer", RETRY_AFTER, *text,
                                          Common::EventLoop::Now());
    return std::nullopt;
  }
  const std::chrono::duration<double> rest(std::min(*seconds, MAX_REST_SECONDS));
  return std::chrono::duration_cast<Common::Duration>(rest);
}

bool SaysLeaving(const HttpHead& answer, const HeaderNames& names)
{
  return answer.fields.FindNumber(names.leaving) == 1;
}

Common::KnownFields KnownAnswerFields(const HeaderNames& names)
{
  std::vector<std::string> known = {
      "Content-Type",   "Content-Length",      "Date",        "Server",         RETRY_AFTER,
      names.request_id, names.weights_version, names.not_run, names.rate_limit, names.leaving};
  known.insert(known.end(), names.passed_on.begin(), names.passed_on.end());
  return Common::KnownFields(std::move(known));
}

static bool IsPassedOn(const HttpHead& head, std::string_view name, const HeaderNames& names)
{
  const std::array<std::string_view, 6> replaced = {names.credential,       names.deadline_ms,
                                                    names.organisation,     names.expected_target,
                                                    names.expected_weights, names.urgency};
  for (const std::string_view own : replaced)
  {
    if (EqualsIgnoringCase(own, name))
      return false;
  }
  return !Common::IsConnectionField(name) && !EqualsIgnoringCase(name, "Content-Length") &&
         !EqualsIgnoringCase(name, "Expect") && !head.fields.HasToken("Connection", name);
}

std::string WriteTargetHead(const HttpHead& head, std::size_t body_bytes,
                            const Gateway::Dispatch& dispatch, const HeaderNames& names)
{
  std::string text;
  text.reserve(HEAD_BYTES_USUAL);
  text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  for (const Common::HttpField& field : head.fields)
  {
    const bool is_replaced =
        dispatch.resume_after && EqualsIgnoringCase(field.name, names.last_event);
    if (!is_replaced && IsPassedOn(head, field.name, names))
      AppendField(&text, field.name, field.value);
  }
  AppendField(&text, names.deadline_ms, fmt::format_int(dispatch.time_left.count()).c_str());
  AppendField(&text, names.expected_target, dispatch.target);
  if (!dispatch.organisation.empty())
    AppendField(&text, names.organisation, dispatch.organisation);
  if (dispatch.resume_after)
    AppendField(&text, names.last_event, fmt::format_int(*dispatch.resume_after).c_str());
  if (dispatch.weights_version > 0)
    AppendField(&text, names.expected_weights, fmt::format_int(dispatch.weights_version).c_str());
  const bool has_body = body_bytes > 0 || head.framing != Common::BodyFraming::None;
  if (has_body)
    AppendField(&text, "Content-Length", fmt::format_int(body_bytes).c_str());
  text.append("\r\n");
  return text;
}

std::string AnswerFieldLines(const HttpHead& answer)
{
  std::string text;
  for (const Common::HttpField& field : answer.fields)
  {
    const bool is_own = Common::IsConnectionField(field.name) ||
                        EqualsIgnoringCase(field.name, "Content-Length") ||
                        answer.fields.HasToken("Connection", field.name);
    if (!is_own)
      AppendField(&text, field.name, field.value);
  }
  return text;
}
} // namespace Holdpost::TargetPeer
