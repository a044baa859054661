// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>

#include "Core/Claims/KeyedRequests.h"
#include "Core/Node/Base.h"
#include "Core/Placement/Placement.h"
#include "Core/Routing/Router.h"
#include "Core/Runs/Runs.h"

// The decisions of the process on an entry instance.
namespace Holdpost::NodeCore
{
class Entry final : public Base
{
public:
  Entry(Identity identity, Common::Metrics& metrics);

  void Handle(Event event, Common::TimePoint now, Actions* actions) override;
  std::string NotReadyReason() const override;
  std::size_t OpenRequests() const { return m_open.size(); }

private:
  // A caller's request from its admission to the end of its answer.
  struct OpenRequest
  {
    Runs::RunRequest run;
    std::string target;
    Common::TimePoint arrived{};
    bool has_head = false;
    // The target is being asked whether the request ever started.
    bool is_asking = false;
    std::size_t answer_bytes = 0;
    std::size_t answer_bytes_most = 0;
    Routing::Request routed;
    bool is_keyed = false;
    std::size_t kept_bytes_most = 0;
  };

  void OnSettings(Common::TimePoint now, Actions* actions) override;
  void OnCaughtUp(Common::TimePoint sent, Common::TimePoint now, Actions* actions) override;
  void OnListRead(Common::TimePoint now, Actions* actions) override;
  void OnPeerReport(const Membership::Report& report, Common::TimePoint now,
                    Actions* actions) override;
  void OnPeerUnreachable(const std::string& instance, Common::TimePoint now,
                         Actions* actions) override;
  void OnRoleTick(Common::TimePoint now, Actions* actions) override;
  void FillReport(Membership::Report& /*report*/) const override {}
  void FillReportTo(const std::string& receiver, Membership::Report& report) const override;
  void OnLeave(Common::TimePoint /*now*/, Actions* /*actions*/) override {}
  bool MayQuit() const override { return m_open.empty(); }

  void HandleOwn(Event& event, Common::TimePoint now, Actions* actions);
  void OnCaller(CallerArrived& caller, Common::TimePoint now, Actions* actions);
  OpenRequest Prepare(CallerArrived& caller, const std::string& service,
                      const std::string& organisation, const Settings::Effective& settings,
                      Common::TimePoint now) const;
  void Submit(const OpenRequest& open, Common::TimePoint now, Actions* actions);
  // Whether keys can be claimed: the log is within reach and read up to its head.
  bool CanClaim() const;
  void CarryClaims(const Claims::Actions& made, Common::TimePoint now, Actions* actions);
  void Replay(const Claims::Replay& replay, Actions* actions);
  void OnKeyAsked(const KeyAsked& asked, Actions* actions) const;
  void AskHolder(const Claims::AskHolder& ask, Common::TimePoint now, Actions* actions);
  void RefuseOpen(std::uint64_t number, const Common::Error& error, Common::TimePoint now,
                  Actions* actions);
  std::optional<Common::Error> Admit(CallerArrived& caller, Common::TimePoint now,
                                     Actions* actions);
  void OnCallerGone(const CallerGone& gone, Common::TimePoint now, Actions* actions);
  void OnHead(const RunHead& head, Common::TimePoint now, Actions* actions);
  void OnChunk(RunChunk& chunk, Common::TimePoint now, Actions* actions);
  void OnRunEnded(const RunEnded& ended, Common::TimePoint now, Actions* actions);
  void OnBarAnswered(const BarAnswered& answered, Common::TimePoint now, Actions* actions);
  void OnRunFailed(std::uint64_t number, const Common::Error& error, Common::TimePoint now,
                   Actions* actions);
  void Cut(std::uint64_t number, const Common::Error& error, Common::TimePoint now,
           Actions* actions);
  void Finish(std::uint64_t number, Common::TimePoint now, Actions* actions);
  void Refuse(std::uint64_t number, const Common::Error& error, Actions* actions);
  // Works out who of the hall's agents may load the version that the tree wants there.
  void PlanLoads(Common::TimePoint now);
  void DropUnusableTargets(Common::TimePoint now, Actions* actions);
  void Carry(const Routing::Actions& made, Common::TimePoint now, Actions* actions);
  void Dispatch(const Routing::Dispatch& dispatch, Common::TimePoint now, Actions* actions);

  Routing::Router m_router;
  Claims::KeyedRequests m_keyed;
  bool m_has_caught_up = false;
  std::uint64_t m_next_number = 1;
  // The hall's services by the settings in force; looked at for every request and report.
  std::vector<Placement::ServicePlan> m_plans;
  std::map<std::uint64_t, OpenRequest> m_open;
  // Agents of the hall that may load their new version now, and since when.
  std::map<std::string, Common::TimePoint> m_may_load;
};
} // namespace Holdpost::NodeCore
