// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/Fields.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace Holdpost::Settings
{
namespace
{
constexpr std::int64_t DAY_MS = 86400000;
constexpr std::int64_t LARGE = 1000000000000;

FieldRule Integer(Field field, std::string_view name, std::int64_t least, std::int64_t most,
                  std::int64_t fallback, Level deepest, std::string_view help)
{
  return {field, name, FieldType::Integer, least, most, "", deepest, Level::Root, fallback, help};
}

FieldRule Boolean(Field field, std::string_view name, bool fallback, Level deepest,
                  std::string_view help)
{
  return {field, name, FieldType::Boolean, 0, 0, "", deepest, Level::Root, fallback, help};
}

FieldRule Text(Field field, std::string_view name, FieldType type, Level deepest, Level highest,
               std::string_view help)
{
  return {field, name, type, 0, 0, "", deepest, highest, std::string(), help};
}

FieldRule Choice(Field field, std::string_view name, std::string_view choices,
                 const std::string& fallback, Level deepest, std::string_view help)
{
  return {field, name, FieldType::Choice, 0, 0, choices, deepest, Level::Root, fallback, help};
}

const auto& Rules()
{
  static const std::array RULES = {
      Integer(Field::AnswerBytesMost, "answer_bytes_most", 1024, 1 << 30, 16 << 20,
              Level::Organisation, "largest answer that is passed on, bytes"),
      Integer(Field::BurstTokens, "burst_tokens", 1, LARGE, 20000, Level::Organisation,
              "tokens an organisation may use at once before tokens_per_second binds"),
      Text(Field::CredentialSha256, "credential_sha256", FieldType::Digest, Level::Organisation,
           Level::Organisation, "SHA-256 of the organisation's bearer credential, hex"),
      Integer(Field::DeadAfterMs, "dead_after_ms", 100, DAY_MS, 3000, Level::DataHall,
              "an instance not heard of for so long gets no new work, ms"),
      Integer(Field::DeadlineMs, "deadline_ms", 1, DAY_MS, 30000, Level::Organisation,
              "time to the start of an answer if the request names none, ms"),
      Integer(Field::DrainMs, "drain_ms", 0, DAY_MS, 30000, Level::DataHall,
              "a leaving instance waits so long for running requests, ms"),
      Boolean(Field::Enabled, "enabled", true, Level::Organisation,
              "false closes a service, or bars an organisation from it"),
      Integer(Field::HeartbeatMs, "heartbeat_ms", 50, 60000, 500, Level::DataHall,
              "period of reports between instances, ms"),
      Integer(Field::KeptAnswerBytes, "kept_answer_bytes", 0, 1 << 30, 4 << 20, Level::Organisation,
              "memory of an entry for answers of keyed requests of an organisation, bytes"),
      Integer(Field::KeptAnswerMs, "kept_answer_ms", 0, DAY_MS, 600000, Level::DataHall,
              "how long the answer of a keyed request is kept, ms"),
      Choice(Field::Kind, "kind", "model plain", "model", Level::Service,
             "whether targets are model engines or plain services"),
      Integer(Field::LeaseMs, "lease_ms", 1000, DAY_MS, 15000, Level::DataHall,
              "lease of an agent on its target, ms"),
      Integer(Field::LinkBytesPerSecond, "link_bytes_per_second", 0, LARGE, 0, Level::DataHall,
              "budget of an instance's link in each direction, bytes/s; 0: no limit"),
      Text(Field::Model, "model", FieldType::Name, Level::Service, Level::Service,
           "the model's name as callers give it"),
      Integer(Field::Neighbours, "neighbours", 1, 256, 16, Level::DataHall,
              "instances with which pieces are exchanged"),
      Integer(Field::PatienceMs, "patience_ms", 10, 600000, 1500, Level::DataHall,
              "the next ranked fetcher fetches a piece from the origin after so long, ms"),
      Text(Field::Pool, "pool", FieldType::Name, Level::Service, Level::Service,
           "the pool of targets that serve this service"),
      Integer(Field::Priority, "priority", 0, 9, 5, Level::Organisation,
              "priority that engines are given, 9 is the most urgent"),
      Integer(Field::QueueMost, "queue_most", 0, 1000000, 256, Level::Organisation,
              "requests of one organisation that may wait in an entry"),
      Boolean(Field::Repeatable, "repeatable", false, Level::Service,
              "whether a request may be run again when its outcome is not known"),
      Integer(Field::Replicas, "replicas", 0, 100000, 0, Level::Service,
              "instances in each hall; 0: the whole pool"),
      Integer(Field::ReportEntries, "report_entries", 1, 1000, 8, Level::DataHall,
              "entries of its hall that an agent reports to, and that may send it requests"),
      Integer(Field::RetryPercent, "retry_percent", 0, 100, 20, Level::Service,
              "retries allowed, as a share of requests"),
      Integer(Field::ServingSharePercent, "serving_share_percent", 0, 90, 10, Level::DataHall,
              "share of the link kept for requests during a push"),
      Integer(Field::SlotsPerTarget, "slots_per_target", 1, 100000, 32, Level::Service,
              "requests that run at once on a target"),
      Integer(Field::SnapshotRecords, "snapshot_records", 10, 1000000, 2000, Level::Root,
              "a snapshot is written after so many records; well below what the log keeps"),
      Integer(Field::StallMs, "stall_ms", 50, 600000, 3000, Level::DataHall,
              "a transfer without progress for so long is given up, ms"),
      Integer(Field::SwitchMost, "switch_most", 0, 100000, 0, Level::Service,
              "targets of a hall that may load a new version at once; 0: all"),
      Integer(Field::TokensPerSecond, "tokens_per_second", 0, LARGE, 0, Level::Organisation,
              "quota of an organisation at each entry; 0: no limit"),
      Integer(Field::UploadQueueMost, "upload_queue_most", 1, 10000, 64, Level::DataHall,
              "pieces that may wait to be sent before peers are told to go elsewhere"),
      Text(Field::Version, "version", FieldType::Digest, Level::Service, Level::Service,
           "SHA-256 of the manifest of the weights in force, hex"),
      Choice(Field::Weigh, "weigh", "replicas origin_bytes", "replicas", Level::DataHall,
             "what a push weighs more: time to N replicas, or bytes fetched from the origin"),
      Integer(Field::Weight, "weight", 1, 1000, 1, Level::Organisation,
              "share of an organisation against the others when requests wait"),
      Integer(Field::WindowPieces, "window_pieces", 1, 256, 1, Level::DataHall,
              "pieces asked of one neighbour at once"),
  };
  return RULES;
}

std::string Expected(const FieldRule& rule)
{
  switch (rule.type)
  {
  case FieldType::Integer:
    return fmt::format("a whole number from {} to {}", rule.least, rule.most);
  case FieldType::Boolean:
    return "true or false";
  case FieldType::Name:
    return "a name of a-z, 0-9 and '-'";
  case FieldType::Digest:
    return "64 hex digits";
  case FieldType::Choice:
    break;
  }
  return fmt::format("one of: {}", rule.choices);
}

bool IsChoice(std::string_view choices, std::string_view word)
{
  return !word.empty() &&
         fmt::format(" {} ", choices).find(fmt::format(" {} ", word)) != std::string::npos;
}

bool Fits(const FieldRule& rule, const Value& value)
{
  const auto* number = std::get_if<std::int64_t>(&value);
  const auto* text = std::get_if<std::string>(&value);
  switch (rule.type)
  {
  case FieldType::Integer:
    return number && *number >= rule.least && *number <= rule.most;
  case FieldType::Boolean:
    return std::holds_alternative<bool>(value);
  case FieldType::Name:
    return text && IsName(*text);
  case FieldType::Digest:
    return text && Common::DigestFromHex(*text).has_value();
  case FieldType::Choice:
    break;
  }
  return text && IsChoice(rule.choices, *text);
}
} // namespace

std::span<const FieldRule> FieldRules()
{
  return Rules();
}

const FieldRule& RuleFor(Field field)
{
  return Rules()[static_cast<std::size_t>(field)];
}

const FieldRule* FindRule(std::string_view name)
{
  const auto found = std::ranges::find(Rules(), name, &FieldRule::name);
  return found == Rules().end() ? nullptr : &*found;
}

std::string ExplainValue(const FieldRule& rule, const Value& value)
{
  if (Fits(rule, value))
    return "";
  return fmt::format("found '{}', expected {}", ValueText(value), Expected(rule));
}

Value ParseValue(const FieldRule& rule, const std::string& text)
{
  if (rule.type == FieldType::Integer)
  {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size())
      return number;
  }
  if (rule.type == FieldType::Boolean && (text == "true" || text == "false"))
    return text == "true";
  return text;
}

std::string ValueText(const Value& value)
{
  if (const auto* number = std::get_if<std::int64_t>(&value))
    return std::to_string(*number);
  if (const auto* flag = std::get_if<bool>(&value))
    return *flag ? "true" : "false";
  return std::get<std::string>(value);
}
} // namespace Holdpost::Settings
