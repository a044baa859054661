// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Core/Claims/KeptAnswers.h"
#include "Core/Claims/KeyLedger.h"

// An entry's decisions on requests with a key: each key is claimed in the log before its request is
// dispatched, so it runs at most once through whatever entry it comes, and a retry gets the answer
// of the first.
namespace Holdpost::Claims
{
struct KeyedRequest
{
  std::uint64_t number = 0;
  KeyName key;
  std::string organisation;
  std::string request; // hash of what is asked
  Common::TimePoint deadline{};
};

// The claims of several requests in one record.
struct AppendClaims
{
  std::string text;
};

// The key is ours: dispatch the request.
struct Run
{
  std::uint64_t number = 0;
};

// The key's request ran before: this was its answer.
struct Replay
{
  std::uint64_t number = 0;
  KeptAnswer answer;
};

struct RefuseKeyed
{
  std::uint64_t number = 0;
  Common::Error error;
};

// Another entry holds the key: ask it what became of the request.
struct AskHolder
{
  std::uint64_t number = 0;
  std::string entry;
  std::uint64_t incarnation = 0;
  KeyName key;
};

using Action = std::variant<AppendClaims, Run, Replay, RefuseKeyed, AskHolder>;
using Actions = std::vector<Action>;

class KeyedRequests
{
public:
  KeyedRequests(std::string entry, std::uint64_t incarnation)
      : m_entry(std::move(entry)), m_incarnation(incarnation)
  {
  }

  // `can_claim`: the log is within reach and all that it keeps has been read.
  void Begin(const KeyedRequest& request, bool can_claim, Common::TimePoint now, Actions* actions);
  void OnCallerGone(std::uint64_t number) { m_waiting.erase(number); }
  // New records have been read into the ledger.
  void OnLedger(Common::TimePoint now, Actions* actions);
  void OnAppendDone() { m_is_appending = false; }
  // What the holder said; an error if it can't be reached or is another incarnation.
  void OnHolderSaid(std::uint64_t number, const Common::Result<KeptAnswer>& said, Actions* actions);
  void OnTick(bool can_claim, Common::TimePoint now, Actions* actions);

  // The run of a request that Run was said for.
  void OnHead(std::uint64_t number, int status, const std::string& content_type,
              const Common::Digest& version);
  void OnPart(std::uint64_t number, const std::string& data, std::size_t bytes_most);
  void OnOver(std::uint64_t number, KeyState state, Common::TimePoint now);

  // What was read from the log, in order; `first` is the oldest offset that it keeps.
  void OnRecord(const Settings::LogRecord& record) { m_ledger.OnRecord(record); }
  void OnLogFirst(Common::Offset first);
  const KeyLedger& Ledger() const { return m_ledger; }
  KeptAnswers& Kept() { return m_kept; }
  const KeptAnswers& Kept() const { return m_kept; }

private:
  struct Waiting
  {
    KeyedRequest request;
    bool is_claimed = false; // its claim has been sent to the log
    bool is_asking = false;  // the holder is being asked
  };

  // Decides by the ledger; returns false if the key is nobody's yet.
  bool Resolve(Waiting& waiting, Common::TimePoint now, Actions* actions);
  void ResolveOwn(const KeyedRequest& request, Common::TimePoint now, Actions* actions);
  void Refuse(std::uint64_t number, Common::ErrorKind kind, std::string message, Actions* actions);
  void AppendWaiting(Actions* actions);

  std::string m_entry;
  std::uint64_t m_incarnation;
  KeyLedger m_ledger;
  KeptAnswers m_kept;
  std::map<std::uint64_t, Waiting> m_waiting;
  std::map<std::uint64_t, KeyedRequest> m_running;
  bool m_is_appending = false;
  std::uint64_t m_next_record = 1;
};
} // namespace Holdpost::Claims
