// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Exchange.h"

#include <algorithm>

namespace Holdpost::Distribution
{
using Common::Bytes;
using Common::Digest;
using Common::Error;
using Common::ErrorKind;
using Common::Result;
using Common::TimePoint;

// A queued upload waits at most the stall time divided by this number. The receiver would treat an
// upload that waits longer as stalled.
static constexpr int UPLOAD_WAIT_DIVISOR = 3;
// Period of the checks for stalls and for expired patience while a version is incomplete.
static constexpr Common::Duration TICK_PERIOD = Common::Milliseconds(50);

Exchange::Exchange(std::string self, std::string hall, std::uint64_t seed)
    : m_self(std::move(self)), m_hall(std::move(hall)), m_seed(seed)
{
}

void Exchange::SetOptions(const ExchangeOptions& options)
{
  m_options = options;
  m_uploads.SetLimits(options.link_bytes_per_second, options.link_pacing, options.upload_queue_most,
                      options.swarm.stall / UPLOAD_WAIT_DIVISOR);
  m_uploads.SetMaxUnconfirmed(options.max_unconfirmed_uploads, options.swarm.piece_time);
  m_download.SetRate(options.link_pacing == LinkPacing::Budget ? options.link_bytes_per_second : 0);
  m_shared.downloads.SetPieceTime(options.swarm.piece_time);
  for (const auto& [version, swarm] : m_swarms)
    swarm->SetOptions(options.swarm);
}

void Exchange::SetPeersOf(Swarm& swarm, TimePoint now, Actions* actions)
{
  std::vector<NeighbourCandidate> same_version;
  std::vector<Fetcher> fetchers;
  for (const NeighbourCandidate& candidate : m_candidates)
  {
    if (candidate.version != swarm.Version())
      continue;
    fetchers.push_back({candidate.instance, candidate.hall});
    // When a hall divides its cross-hall transfers among its instances, only instances of the same
    // hall are neighbours for all pieces.
    if (!m_options.swarm.shares_cross_hall_fetches || candidate.hall == m_hall)
      same_version.push_back(candidate);
  }
  swarm.SetPeers(
      ChooseNeighbours(swarm.Version(), m_self, m_hall, same_version, m_options.neighbours),
      fetchers, now, actions);
}

void Exchange::SetCandidates(std::vector<NeighbourCandidate> candidates, TimePoint now,
                             Actions* actions)
{
  m_candidates = std::move(candidates);
  for (const auto& [version, swarm] : m_swarms)
    SetPeersOf(*swarm, now, actions);
}

void Exchange::OnViewConfirmed(TimePoint now, Actions* actions)
{
  for (const auto& [version, swarm] : m_swarms)
    swarm->OnViewConfirmed(now, actions);
}

void Exchange::Want(const Digest& version, TimePoint now, Actions* actions)
{
  auto& swarm = m_swarms[version];
  if (swarm)
    return;
  swarm = std::make_unique<Swarm>(version, Fetcher{m_self, m_hall}, m_options.swarm,
                                  Common::StableHash(m_self, m_seed), &m_shared);
  SetPeersOf(*swarm, now, actions);
}

void Exchange::KeepOnly(const std::vector<Digest>& versions, Actions* actions)
{
  for (auto entry = m_swarms.begin(); entry != m_swarms.end();)
  {
    const auto next = std::next(entry);
    if (std::ranges::find(versions, entry->first) == versions.end())
    {
      entry->second->Stop(actions);
      m_swarms.erase(entry);
    }
    entry = next;
  }
}

void Exchange::OnAnnouncement(const std::string& peer, const Announcement& announcement,
                              TimePoint now, Actions* actions)
{
  const auto found = m_swarms.find(announcement.version);
  if (found != m_swarms.end())
    found->second->OnAnnouncement(peer, announcement, now, actions);
  else if (announcement.wants_reply)
  {
    // The peer waits for a reply before it fetches from the origin. The reply states that this
    // instance holds no piece of the version.
    actions->push_back(SendAnnouncement{peer, {announcement.version, 0, true, false, "", {}, {}}});
  }
}

void Exchange::OnPeerLost(const std::string& peer, TimePoint now, Actions* actions)
{
  for (const auto& [version, swarm] : m_swarms)
    swarm->OnPeerLost(peer, now, actions);
}

void Exchange::DeliverToSwarm(FetchId id, const Result<Bytes>& result, TimePoint now,
                              Actions* actions)
{
  for (const auto& [version, swarm] : m_swarms)
  {
    if (swarm->HasFetch(id))
    {
      swarm->OnFetched(id, result, now, actions);
      return;
    }
  }
}

void Exchange::OnFetched(FetchId id, const Result<Bytes>& result, TimePoint now, Actions* actions)
{
  const auto* data = std::get_if<Bytes>(&result);
  const TimePoint due = data ? m_download.BookReceive((*data)->size(), now) : now;
  if (due <= now)
  {
    DeliverToSwarm(id, result, now, actions);
    return;
  }
  for (const auto& [version, swarm] : m_swarms)
    swarm->OnBytesReceived(id, now);
  m_delayed_pieces.push_back({id, result, due});
}

void Exchange::OnPieceRequest(RequestTag tag, const Digest& version, std::uint32_t piece,
                              bool is_urgent, TimePoint now, Actions* actions)
{
  const Swarm* swarm = Find(version);
  const Bytes data = swarm ? swarm->Piece(piece) : nullptr;
  if (!data)
  {
    actions->push_back(AnswerPiece{tag, Error{ErrorKind::PieceNotHeld, "the piece is not held"}});
    return;
  }
  m_uploads.Add(tag, data, is_urgent, now, actions);
}

void Exchange::OnRequestAbandoned(RequestTag tag, TimePoint now, Actions* actions)
{
  m_uploads.Remove(tag, now);
  m_uploads.Advance(now, actions);
}

void Exchange::RestorePiece(const Digest& version, std::uint32_t piece, const Bytes& data,
                            TimePoint now, Actions* actions)
{
  if (const auto found = m_swarms.find(version); found != m_swarms.end())
    found->second->RestorePiece(piece, data, now, actions);
}

void Exchange::OnTick(TimePoint now, Actions* actions)
{
  m_uploads.Advance(now, actions);
  while (!m_delayed_pieces.empty() && m_delayed_pieces.front().due <= now)
  {
    const DelayedPiece delayed = std::move(m_delayed_pieces.front());
    m_delayed_pieces.pop_front();
    DeliverToSwarm(delayed.id, delayed.result, now, actions);
  }
  for (const auto& [version, swarm] : m_swarms)
  {
    if (!swarm->IsHeld())
      swarm->OnTick(now, actions);
  }
}

std::optional<TimePoint> Exchange::NextWakeup(TimePoint now) const
{
  std::optional<TimePoint> next = m_uploads.NextWakeup();
  const auto wake_by = [&next](TimePoint at) { next = next ? std::min(*next, at) : at; };
  if (!m_delayed_pieces.empty())
    wake_by(m_delayed_pieces.front().due);
  for (const auto& [version, swarm] : m_swarms)
  {
    if (!swarm->IsHeld())
      wake_by(std::min(now + TICK_PERIOD, std::max(now, swarm->NextWaitingFetchAt())));
  }
  return next;
}

Common::Duration Exchange::InboundDelay(TimePoint now) const
{
  std::size_t open = 0;
  for (const auto& [version, swarm] : m_swarms)
    open += swarm->OpenPlatformFetches() + swarm->OpenPeerFetches();
  return static_cast<Common::Duration::rep>(open + 1) * NarrowLinkPieceTime(now);
}

const Swarm* Exchange::Find(const Digest& version) const
{
  const auto found = m_swarms.find(version);
  return found == m_swarms.end() ? nullptr : found->second.get();
}
} // namespace Holdpost::Distribution
