// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/Entry.h"

#include <utility>

#include "Common/Mailbox.h"

// An entry's requests under a key.
namespace Holdpost::NodeCore
{
using Common::Error;
using Common::ErrorKind;
using Common::TimePoint;

bool Entry::CanClaim() const
{
  return m_has_caught_up && m_follower.IsLogReachable();
}

void Entry::OnCaughtUp(TimePoint /*sent*/, TimePoint now, Actions* actions)
{
  m_has_caught_up = true;
  Claims::Actions made;
  m_keyed.OnLedger(now, &made);
  CarryClaims(made, now, actions);
}

void Entry::CarryClaims(const Claims::Actions& made, TimePoint now, Actions* actions)
{
  for (const Claims::Action& action : made)
  {
    std::visit(
        Common::Overloaded{
            [&](const Claims::AppendClaims& append) {
              actions->push_back(AppendRecord{AppendPurpose::ClaimKeys, append.text});
            },
            [&](const Claims::Run& run)
            {
              const auto open = m_open.find(run.number);
              if (open != m_open.end())
                Submit(open->second, now, actions);
              else
                m_keyed.OnOver(run.number, Claims::KeyState::NeverRan, now);
            },
            [&](const Claims::Replay& replay) { Replay(replay, actions); },
            [&](const Claims::RefuseKeyed& refuse)
            { RefuseOpen(refuse.number, refuse.error, now, actions); },
            [&](const Claims::AskHolder& ask) { AskHolder(ask, now, actions); }},
        action);
  }
}

void Entry::Replay(const Claims::Replay& replay, Actions* actions)
{
  if (m_open.erase(replay.number) == 0)
    return;
  m_metrics.Add("holdpost_answers_replayed_total");
  const Claims::KeptAnswer& answer = replay.answer;
  actions->push_back(
      StartAnswer{replay.number, answer.status, answer.content_type, answer.version, "kept"});
  actions->push_back(PassPart{replay.number, answer.body});
  actions->push_back(EndAnswer{replay.number});
}

void Entry::OnKeyAsked(const KeyAsked& asked, Actions* actions) const
{
  Claims::KeptAnswer answer;
  const Claims::KeptAnswer* kept = m_keyed.Kept().Find(asked.key);
  // Another incarnation has forgotten what the one before did.
  if (asked.incarnation != m_self.incarnation)
    answer.state = Claims::KeyState::Lost;
  else if (kept)
    answer = *kept;
  else
    answer.state = Claims::KeyState::NeverRan;
  actions->push_back(AnswerKey{asked.tag, std::move(answer)});
}

void Entry::AskHolder(const Claims::AskHolder& ask, TimePoint now, Actions* actions)
{
  const Membership::Member* holder = m_membership.Find(ask.entry);
  if (holder)
  {
    actions->push_back(
        AskKey{ask.number, ask.entry, holder->report.address, ask.incarnation, ask.key});
    return;
  }
  Claims::Actions made;
  m_keyed.OnHolderSaid(ask.number, Error{ErrorKind::Unreachable, "the holder is gone"}, &made);
  CarryClaims(made, now, actions);
}
} // namespace Holdpost::NodeCore
