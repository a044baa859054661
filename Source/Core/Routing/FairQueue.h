// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Requests that wait for a target, shared out fairly between organisations: deficit round robin by
// estimated tokens, with weights.
namespace Holdpost::Routing
{
struct Waiting
{
  std::uint64_t number = 0;
  std::int64_t cost = 1; // estimated tokens
};

class FairQueue
{
public:
  void Add(const std::string& organisation, std::int64_t weight, Waiting waiting);
  // For a request that was dispatched, did not run and is to be tried again: it keeps its turn.
  void AddFront(const std::string& organisation, std::int64_t weight, Waiting waiting);
  // The next request in fair order; empty if nothing waits.
  std::optional<Waiting> Take();
  void Remove(const std::string& organisation, std::uint64_t number);

  std::size_t Size() const { return m_size; }
  std::size_t SizeOf(const std::string& organisation) const;
  // Tokens that will be served before a new request of the organisation, if shares stay as they
  // are.
  std::int64_t CostAhead(const std::string& organisation, std::int64_t weight) const;

private:
  struct Lane
  {
    std::deque<Waiting> waiting;
    std::int64_t weight = 1;
    std::int64_t deficit = 0;
    std::int64_t cost = 0; // of all that waits
  };

  Lane& Activate(const std::string& organisation, std::int64_t weight);

  std::map<std::string, Lane> m_lanes; // only those where something waits
  std::list<std::string> m_round;
  std::size_t m_size = 0;
};
} // namespace Holdpost::Routing
