// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Gateway/Messages.h"

// Simple ways of routing, to compare the product's with: what they know is what they sent
// themselves, and nothing waits or is refused.
namespace Holdpost::Bench
{
enum class BaselineChoice
{
  RoundRobin,
  FewestInFlight,
};

class BaselineGateway
{
public:
  // `first` is where round robin begins, so that gateways do not walk in step.
  BaselineGateway(BaselineChoice choice, std::size_t first) : m_choice(choice), m_next(first) {}

  void SetTargets(const std::vector<Gateway::ListedTarget>& list);
  void Handle(const Gateway::RequestArrived& event, Gateway::Actions* actions);
  void Handle(const Gateway::AnswerBegan& event, Gateway::Actions* actions);
  void Handle(const Gateway::AnswerEnded& event, Gateway::Actions* actions);
  void Handle(const Gateway::CallerLeft& event, Gateway::Actions* actions);

private:
  struct Open
  {
    Gateway::TargetId target;
    std::set<Gateway::TargetId> tried;
  };

  const Gateway::ListedTarget* Choose(const std::set<Gateway::TargetId>& tried);
  void Send(Gateway::RequestNumber number, Open& open, Gateway::Actions* actions);
  void Forget(Gateway::RequestNumber number);

  BaselineChoice m_choice;
  std::size_t m_next;
  std::vector<Gateway::ListedTarget> m_targets;
  std::map<Gateway::TargetId, std::uint32_t> m_in_flight;
  std::map<Gateway::RequestNumber, Open> m_open;
};
} // namespace Holdpost::Bench
