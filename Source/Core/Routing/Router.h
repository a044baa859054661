// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Routing/Budget.h"
#include "Core/Routing/FairQueue.h"
#include "Core/Routing/Targets.h"

// An entry's decisions on requests: admission, order, target, retry, refusal.
namespace Holdpost::Routing
{
using RequestNumber = std::uint64_t;

struct Request
{
  RequestNumber number = 0;
  std::string organisation;
  std::string service;
  std::int64_t cost = 1; // estimated tokens
  std::uint64_t affinity = 0;
  // By when the answer must have started.
  Common::TimePoint deadline{};
  // May be run again when it is not known whether it ran.
  bool is_repeatable = false;
  std::int64_t weight = 1;
  std::size_t queue_most = 256;
};

struct Dispatch
{
  RequestNumber number = 0;
  std::string target;
};

// The final answer to a request that gets no other; sent at once.
struct Refuse
{
  RequestNumber number = 0;
  Common::Error error;
};

// The caller has gone: stop the run.
struct CancelRun
{
  RequestNumber number = 0;
  std::string target;
};

enum class RetryReason
{
  TargetRefused,
  Unreachable,
};

std::string_view RetryReasonName(RetryReason reason);

struct CountRetry
{
  RetryReason reason;
};

using Action = std::variant<Dispatch, Refuse, CancelRun, CountRetry>;
using Actions = std::vector<Action>;

class Router
{
public:
  explicit Router(std::uint64_t seed) : m_random(seed) {}

  void SetQuota(const std::string& organisation, std::int64_t tokens_per_second,
                std::int64_t burst);
  void SetRetryPercent(const std::string& service, std::int64_t percent);
  void SetTarget(const std::string& service, const std::string& target, const TargetState& state,
                 Common::TimePoint now, Actions* actions);
  // The target gets no new work; requests that run there go on.
  void RemoveTarget(const std::string& target, Common::TimePoint now, Actions* actions);

  void Submit(const Request& request, Common::TimePoint now, Actions* actions);
  // The first part of the answer has come.
  void OnStarted(RequestNumber number, Common::TimePoint now);
  // The answer has ended, whole or not, and the caller has been told.
  void OnEnded(RequestNumber number, Common::TimePoint now, Actions* actions);
  // The target says that the request did not run and never will.
  void OnNotRun(RequestNumber number, const Common::Error& error, Common::TimePoint now,
                Actions* actions);
  // Nobody knows whether the request ran, and no part of an answer has come.
  void OnOutcomeUnknown(RequestNumber number, const Common::Error& error, Common::TimePoint now,
                        Actions* actions);
  void OnCallerGone(RequestNumber number, Common::TimePoint now, Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);

  // Requests that wait or run for a service, as the demand that agents share credits by.
  std::uint32_t DemandFor(const std::string& service) const;
  std::size_t Open() const { return m_requests.size(); }
  // Every request below this number has been settled.
  RequestNumber SettledBelow(RequestNumber next_number) const;

private:
  enum class State
  {
    Waiting,
    Running,
    Answering,
  };

  struct Tracked
  {
    Request request;
    State state = State::Waiting;
    std::string target;
    std::set<std::string> tried;
    Common::TimePoint dispatched{};
  };

  struct Service
  {
    FairQueue queue;
    Targets targets;
    RetryBudget retries;
    // Tokens that one run gets through in a second, and runs that go on at once: the wait estimate.
    double tokens_per_second = 0;
  };

  void Pump(Service& service, Common::TimePoint now, Actions* actions);
  void Settle(RequestNumber number, Common::Error error, Actions* actions);
  bool TryAgain(Tracked& tracked, RetryReason reason, Common::TimePoint now, Actions* actions);
  // How long a new request would wait; zero if nothing is known yet.
  Common::Duration ExpectedWait(const Service& service, const Request& request) const;
  void RefuseAllWaiting(Service& service, const std::string& name, Actions* actions);

  std::mt19937_64 m_random;
  std::map<std::string, Service> m_services;
  std::map<std::string, TokenQuota> m_quotas;
  std::map<RequestNumber, Tracked> m_requests;
};
} // namespace Holdpost::Routing
