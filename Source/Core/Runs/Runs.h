// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Membership/Report.h"

// An agent's account of the requests that entries send it: which ran, which run, which never will.
namespace Holdpost::Runs
{
// A request is known by its entry's incarnation and number at every hop, never by order of arrival.
struct RunKey
{
  std::string entry;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  auto operator<=>(const RunKey&) const = default;
};

enum class Standing
{
  Barred, // never started here and never will
  Running,
  Ended,
};

struct RunRequest
{
  RunKey key;
  // All of the entry's requests below this number have been settled with their callers.
  std::uint64_t settled_below = 0;
  std::string service;
  std::string organisation;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::uint32_t priority = 0;
};

struct RunStart
{
};

using Admission = std::variant<RunStart, Common::Error>;

class Runs
{
public:
  // Starts the request or refuses it; a refused one is barred, so "not run" stays true.
  Admission OnRequest(const RunRequest& request, const Membership::ServiceState& serving);
  void OnEnded(const RunKey& key);
  // Bars the request if it has not started, for an entry that lost touch and wants to know.
  Standing Bar(const RunKey& key);

  void SetSlots(std::uint32_t slots) { m_slots = slots; }
  // From now on nothing new starts.
  void Leave() { m_is_leaving = true; }
  std::uint32_t Running() const { return m_running; }
  // How many requests an entry may have here at once, given what waits at each entry.
  std::uint32_t CreditsFor(const std::string& entry) const;
  // `demand`: requests that wait or run at the entry for targets like this one.
  void OnDemand(const std::string& entry, std::uint32_t demand, Common::TimePoint now);
  void ForgetSilentEntries(Common::TimePoint now, Common::Duration silence);

private:
  struct Ledger
  {
    std::map<std::uint64_t, Standing> standings;
    std::uint64_t settled_below = 0;
  };

  struct Demand
  {
    std::uint32_t requests = 0;
    Common::TimePoint last_seen{};
  };

  void Prune(Ledger& ledger, std::uint64_t settled_below);

  std::uint32_t m_slots = 1;
  std::uint32_t m_running = 0;
  bool m_is_leaving = false;
  std::map<std::pair<std::string, std::uint64_t>, Ledger> m_ledgers;
  std::map<std::string, Demand> m_demands;
};
} // namespace Holdpost::Runs
