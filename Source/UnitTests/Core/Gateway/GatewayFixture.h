// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Core/Gateway/Gateway.h"
#include "Support/Actions.h"
#include "Support/Engines.h"

// A gateway with a model service and a plain service (without a model) of two targets each, for
// tests of the actions that it returns.
namespace Holdpost::Gateway
{
using Common::ErrorKind;
using Common::Milliseconds;

inline const Common::TimePoint START{std::chrono::hours(1)};

inline Settings::Route MakeRoute(const std::string& prefix, const std::string& service)
{
  Settings::Route route;
  route.name = prefix;
  route.host = "api.example";
  route.path_prefix = prefix;
  route.services = {{service, 1}};
  route.timeout = Milliseconds(6000);
  route.goal = Milliseconds(400);
  return route;
}

inline std::shared_ptr<Settings::Document> MakeDocument(Settings::DocumentVersion version)
{
  auto document = std::make_shared<Settings::Document>();
  document->version = version;
  Settings::Route stream = MakeRoute("/chat/", "llm");
  stream.is_stream = true;
  stream.is_resumable = true;
  stream.repetition = Settings::Repetition::Idempotent;
  stream.max_attempts = 2;
  Settings::Route once = MakeRoute("/book/", "desk");
  Settings::Route lookup = MakeRoute("/status/", "desk");
  lookup.repetition = Settings::Repetition::Idempotent;
  lookup.max_attempts = 2;
  Settings::Route open = MakeRoute("/open/", "desk");
  open.allows_anonymous = true;
  Settings::Route single = MakeRoute("/single/", "desk");
  single.repetition = Settings::Repetition::Idempotent;
  single.max_attempts = 1;
  Settings::Route draft = MakeRoute("/draft/", "llm");
  draft.is_stream = true;
  document->routes = {stream, once, lookup, open, single, draft};
  document->services = {{"llm", 100, Testing::MakeEngine(2), {{"m", 96, 24576, Milliseconds(300)}}},
                        {"desk", 100, std::nullopt, {}}};
  document->organisations = {{"firm", {"key-1"}, std::nullopt}, {"shop", {"key-2"}, std::nullopt}};
  return document;
}

inline ListedTarget MakeTarget(const std::string& id, const std::string& service,
                               std::uint64_t weights = 0)
{
  ListedTarget target;
  target.id = id;
  target.service = service;
  target.hall = "here";
  target.address = {service == "llm" ? "10.0.0.1" : "10.0.0.2",
                    static_cast<std::uint16_t>(8000 + id.back())};
  target.slots = 2;
  target.needs_weights = weights > 0;
  target.weights_version = weights;
  return target;
}

inline const RetryLimits FIXTURE_RETRIES{Milliseconds(10000), 0.2, 50};

struct GatewayFixture
{
  explicit GatewayFixture(const RetryLimits& retries = FIXTURE_RETRIES)
      : gateway({"here", retries, Milliseconds(8000)}, metrics)
  {
    gateway.SetGateways({1, 1, 1}, now);
    gateway.OfferDocument(MakeDocument(1), now);
    SetTargets({MakeTarget("llm-1", "llm", 1), MakeTarget("llm-2", "llm", 1),
                MakeTarget("desk-1", "desk"), MakeTarget("desk-2", "desk")});
  }
  void SetTargets(const std::vector<ListedTarget>& targets)
  {
    listed = targets;
    gateway.SetTargets(targets, now, &actions);
  }
  RequestNumber Arrive(const std::string& path, const std::string& credential = "key-1",
                       std::optional<Milliseconds> deadline = std::nullopt)
  {
    CallerRequest request;
    request.id = "r" + std::to_string(++last_number);
    request.host = "api.example";
    request.path = path;
    request.credential = credential;
    request.deadline = deadline;
    if (path.starts_with("/chat/") || path.starts_with("/draft/"))
      request.generation = GenerationHint{"m", 1000, 100, 100};
    gateway.Handle(RequestArrived{last_number, request}, now, &actions);
    return last_number;
  }
  template <typename Event>
  void Feed(Event event)
  {
    gateway.Handle(event, now, &actions);
  }
  void Advance(Common::Duration time)
  {
    now += time;
    gateway.OnTick(now, &actions);
  }
  AnswerBegan Began(RequestNumber number, int status = 200)
  {
    return {number, status, false, false, false, status == 200};
  }

  Common::Metrics metrics;
  Holdpost::Gateway::Gateway gateway;
  std::vector<ListedTarget> listed;
  Common::TimePoint now = START;
  Actions actions;
  RequestNumber last_number = 0;
};
} // namespace Holdpost::Gateway
