// SPDX-License-Identifier: Apache-2.0
#include "Core/Claims/KeyedRequests.h"

#include <fmt/format.h>

namespace Holdpost::Claims
{
using Common::Error;
using Common::ErrorKind;
using Common::Result;
using Common::TimePoint;

// What a caller is told about a key whose request was dispatched before.
static std::variant<KeptAnswer, Error> Tell(const KeptAnswer& kept)
{
  switch (kept.state)
  {
  case KeyState::Whole:
    return kept;
  case KeyState::Running:
    return Error{ErrorKind::KeyBusy, "the request of this key still runs"};
  case KeyState::NotKept:
    return Error{ErrorKind::KeyAnswerGone, "the request of this key ran; its answer is not kept"};
  case KeyState::NeverRan:
    return Error{ErrorKind::KeyElsewhere, "the key is held by another entry and did not run"};
  case KeyState::Lost:
    break;
  }
  return Error{ErrorKind::KeyOutcomeUnknown, "it is not known whether the request of this key ran"};
}

void KeyedRequests::Refuse(std::uint64_t number, ErrorKind kind, std::string message,
                           Actions* actions)
{
  actions->push_back(RefuseKeyed{number, Error{kind, std::move(message)}});
}

void KeyedRequests::Begin(const KeyedRequest& request, bool can_claim, TimePoint now,
                          Actions* actions)
{
  if (!can_claim)
  {
    return Refuse(request.number, ErrorKind::LogUnavailable,
                  "keys can't be claimed while the log is out of reach", actions);
  }
  Waiting& waiting = m_waiting[request.number];
  waiting.request = request;
  if (!Resolve(waiting, now, actions))
    AppendWaiting(actions);
}

bool KeyedRequests::Resolve(Waiting& waiting, TimePoint now, Actions* actions)
{
  if (waiting.is_asking)
    return true;
  const KeyHolder* holder = m_ledger.Find(waiting.request.key);
  if (!holder)
    return false;
  const KeyedRequest request = waiting.request;
  if (holder->request != request.request)
  {
    m_waiting.erase(request.number);
    Refuse(request.number, ErrorKind::KeyReused, "the key was used for another request", actions);
    return true;
  }
  if (holder->entry == m_entry && holder->incarnation == m_incarnation)
  {
    m_waiting.erase(request.number);
    ResolveOwn(request, now, actions);
    return true;
  }
  waiting.is_asking = true;
  actions->push_back(AskHolder{request.number, holder->entry, holder->incarnation, request.key});
  return true;
}

void KeyedRequests::ResolveOwn(const KeyedRequest& request, TimePoint now, Actions* actions)
{
  const KeptAnswer* kept = m_kept.Find(request.key);
  if (!kept || kept->state == KeyState::NeverRan)
  {
    // Ours, and certainly not dispatched: nobody else may run it.
    m_kept.Set(request.key, KeyState::Running, now);
    m_running[request.number] = request;
    actions->push_back(Run{request.number});
    return;
  }
  const auto told = Tell(*kept);
  if (const auto* answer = std::get_if<KeptAnswer>(&told))
    actions->push_back(Replay{request.number, *answer});
  else
    actions->push_back(RefuseKeyed{request.number, std::get<Error>(told)});
}

void KeyedRequests::AppendWaiting(Actions* actions)
{
  // One record at a time: what comes meanwhile goes into the next, so the log's rate is not the
  // limit.
  if (m_is_appending)
    return;
  Settings::KeyClaims record;
  record.id = fmt::format("{}.{}.{}", m_entry, m_incarnation, m_next_record);
  record.entry = m_entry;
  record.incarnation = m_incarnation;
  for (auto& [number, waiting] : m_waiting)
  {
    if (waiting.is_claimed || waiting.is_asking)
      continue;
    waiting.is_claimed = true;
    record.claims.push_back(
        {waiting.request.key.first, waiting.request.key.second, waiting.request.request});
  }
  if (record.claims.empty())
    return;
  ++m_next_record;
  m_is_appending = true;
  actions->push_back(AppendClaims{Settings::EncodeRecord(record)});
}

void KeyedRequests::OnLogFirst(Common::Offset first)
{
  for (const KeyName& key : m_ledger.DropBelow(first))
    m_kept.Forget(key);
}

void KeyedRequests::OnLedger(TimePoint now, Actions* actions)
{
  for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
  {
    // Resolve may erase this entry, but no other.
    const auto next = std::next(entry);
    Resolve(entry->second, now, actions);
    entry = next;
  }
}

void KeyedRequests::OnHolderSaid(std::uint64_t number, const Result<KeptAnswer>& said,
                                 Actions* actions)
{
  if (m_waiting.erase(number) == 0)
    return;
  if (!Common::Succeeded(said))
  {
    return Refuse(number, ErrorKind::KeyOutcomeUnknown,
                  "the entry that holds the key does not answer", actions);
  }
  const auto told = Tell(std::get<KeptAnswer>(said));
  if (const auto* answer = std::get_if<KeptAnswer>(&told))
    actions->push_back(Replay{number, *answer});
  else
    actions->push_back(RefuseKeyed{number, std::get<Error>(told)});
}

void KeyedRequests::OnTick(bool can_claim, TimePoint now, Actions* actions)
{
  for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
  {
    const auto next = std::next(entry);
    const KeyedRequest request = entry->second.request;
    if (now >= request.deadline && !entry->second.is_asking)
    {
      // Its claim may still come to the log; it was not dispatched and stays ours.
      m_waiting.erase(entry);
      Refuse(request.number, ErrorKind::LogUnavailable, "the key could not be claimed in time",
             actions);
    }
    entry = next;
  }
  if (can_claim)
    AppendWaiting(actions);
}

void KeyedRequests::OnHead(std::uint64_t number, int status, const std::string& content_type,
                           const Common::Digest& version)
{
  if (const auto found = m_running.find(number); found != m_running.end())
    m_kept.OnHead(found->second.key, status, content_type, version);
}

void KeyedRequests::OnPart(std::uint64_t number, const std::string& data, std::size_t bytes_most)
{
  if (const auto found = m_running.find(number); found != m_running.end())
    m_kept.OnPart(found->second.key, found->second.organisation, data, bytes_most);
}

void KeyedRequests::OnOver(std::uint64_t number, KeyState state, TimePoint now)
{
  if (const auto over = m_running.extract(number))
    m_kept.Set(over.mapped().key, state, now);
}
} // namespace Holdpost::Claims
