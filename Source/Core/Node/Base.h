// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Common/Metrics.h"
#include "Core/Membership/Membership.h"
#include "Core/Node/Events.h"
#include "Core/Node/Follower.h"
#include "Core/Settings/Effective.h"

// What the decisions of entries and agents share: the settings, the view of the other instances,
// the reports to them, and leaving.
namespace Holdpost::NodeCore
{
struct Identity
{
  std::string instance;
  std::string hall;
  // Grows with each start under the same name.
  std::uint64_t incarnation = 0;
  // RPC addresses in the hall, for a start while the platform is out of reach.
  std::vector<Common::Address> neighbours;
};

class Base
{
public:
  virtual ~Base() = default;
  Base(const Base&) = delete;
  Base& operator=(const Base&) = delete;

  // `address` is where other instances reach this one.
  void Start(const Common::Address& address, Common::TimePoint now, Actions* actions);
  virtual void Handle(Event event, Common::TimePoint now, Actions* actions) = 0;
  // To be called at least every TICK, and when NextWakeup says so.
  void OnTick(Common::TimePoint now, Actions* actions);
  virtual std::optional<Common::TimePoint> NextWakeup(Common::TimePoint /*now*/) const
  {
    return std::nullopt;
  }

  // Empty if the instance is ready, else why it is not.
  virtual std::string NotReadyReason() const = 0;
  bool IsLeaving() const { return m_is_leaving; }
  // When the settings in force came into force here.
  Common::TimePoint InForceSince() const { return m_in_force_since; }
  const Follower& Settings() const { return m_follower; }
  const Membership::Membership& Members() const { return m_membership; }
  const Identity& Self() const { return m_self; }

protected:
  Base(Identity self, Membership::Role role, Common::Metrics& metrics);

  // Handles what both roles treat alike; returns false if the event is the role's own.
  bool HandleShared(Event& event, Common::TimePoint now, Actions* actions);
  const Settings::Tree& Tree() const { return m_follower.Fold().AcceptedTree(); }
  // The settings in force for the hall.
  const Settings::Effective& HallSettings() const { return m_hall_settings; }
  // The settings in force at a service of the hall, or at an organisation of it.
  Settings::Effective SettingsAt(const std::string& service,
                                 const std::string& organisation = "") const;
  // Sends reports now instead of at the next period, as when credits are withdrawn.
  void ReportSoon() { m_report_due = {}; }
  void RefreshList(Actions* actions);

  virtual void OnSettings(Common::TimePoint now, Actions* actions) = 0;
  // The log has been read up to its head; the read was sent at `sent`.
  virtual void OnCaughtUp(Common::TimePoint sent, Common::TimePoint now, Actions* actions);
  virtual void OnListRead(Common::TimePoint now, Actions* actions);
  virtual void OnPeerReport(const Membership::Report& report, Common::TimePoint now,
                            Actions* actions) = 0;
  virtual void OnPeerUnreachable(const std::string& instance, Common::TimePoint now,
                                 Actions* actions) = 0;
  virtual void OnRoleTick(Common::TimePoint now, Actions* actions) = 0;
  virtual void OnStart(const Common::Address& /*address*/) {}
  // Adds what the role says of itself to every report.
  virtual void FillReport(Membership::Report& report) const = 0;
  // Adds what the report says to one receiver.
  virtual void FillReportTo(const std::string& receiver, Membership::Report& report) const = 0;
  virtual void OnLeave(Common::TimePoint now, Actions* actions) = 0;
  // True once nothing runs that leaving would cut.
  virtual bool MayQuit() const = 0;

  Identity m_self;
  Common::Metrics& m_metrics;
  Follower m_follower;
  Membership::Membership m_membership;

private:
  Membership::Report MakeReport() const;
  void SendReports(Common::TimePoint now, Actions* actions);
  std::vector<const Membership::Member*> ReportReceivers(Common::TimePoint now) const;
  void TakeReport(const Membership::Report& report, Common::TimePoint now, Actions* actions);
  void TakeList(const ListReadDone& done, Common::TimePoint now, Actions* actions);
  void TakeLogRead(const LogReadDone& done, Common::TimePoint now, Actions* actions);
  void ApplySettings(Common::TimePoint now, Actions* actions);
  void BeginLeaving(Common::TimePoint now, Actions* actions);

  Membership::Role m_role;
  Common::Address m_address;
  Settings::Effective m_hall_settings;
  Common::Offset m_in_force = 0;
  Common::TimePoint m_in_force_since{};
  Common::TimePoint m_report_due{};
  std::optional<Common::TimePoint> m_list_due;
  unsigned m_list_reads = 0;                      // under way
  std::vector<Membership::ListedInstance> m_list; // as read last
  bool m_is_leaving = false;
  Common::TimePoint m_leave_deadline{};
  // The peer that records are being fetched from.
  std::string m_records_from;
};
} // namespace Holdpost::NodeCore
