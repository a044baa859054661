// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>

#include "Common/Types.h"
#include "Core/Sidecar/EngineMessages.h"
#include "Core/Sidecar/StageManager.h"

// Orders the engine to load staged weights, and finds out whether the engine loaded correct pieces.
//
// The engine loads whatever is on its stage when it accepts an order. The time of that is only
// known to lie between the order and the first sign that it was accepted. If the verification of
// the stage was too old by then, the stage is read again before the target gets requests: pieces
// that are still correct were correct when the engine loaded them. Otherwise the layers are loaded
// again.
namespace Holdpost::Sidecar
{
enum class LoaderState
{
  // No load is in progress.
  Idle,
  // The switch is announced to the gateways, so that they send no new requests before the order
  // goes out.
  Announced,
  // The order has been sent and its outcome is not known yet.
  Ordered,
  // An order got no answer, and the engine had not accepted it when it last reported. The engine
  // may still accept it. The next order tells, since the engine accepts only one of them.
  Unsettled,
  // The engine has accepted the order.
  Loading,
  // The engine has the version, and the stage is read again to find out whether the pieces that it
  // loaded were correct.
  Confirming,
  // The engine loaded pieces that were not correct: the next order to repair that is due once the
  // stage is verified.
  Repairing,
};

// A version that is on the engine's stage.
struct StagedVersion
{
  std::string model;
  std::uint64_t version = 0;
  // Number of layers of the model; 0 if unknown.
  std::uint32_t layers = 0;
  Verification verified;
  // Number of pieces that had been written to the stage at the end of the verification.
  std::uint64_t stage_writes = 0;
  // An earlier write of another version may still be carried out.
  bool may_be_overwritten = false;
};

class WeightsLoader
{
public:
  // Starts loading the version. Does nothing while a version is being loaded or shortly after a
  // failed order.
  void Begin(const StagedVersion& staged, Common::TimePoint now);
  // Sends the next order of a load that is Unsettled or Repairing; the stage has been verified
  // again.
  void Continue(const StagedVersion& staged, Common::TimePoint now);
  // The order that is due at this time, if any.
  std::optional<LoadStagedWeights> OnTick(Common::TimePoint now);
  void OnAnswered(const LoadAnswered& answered, Common::TimePoint now);
  // `asked_at` is the time at which the report was requested.
  void OnReport(const EngineReport& report, Common::TimePoint asked_at, Common::TimePoint now);
  // All pieces on the stage have been read since the engine accepted the order. `are_correct` says
  // whether all of them were correct, `stage_writes` how many have been written since the start.
  // Returns whether the engine has loaded correct pieces.
  bool OnStageRead(bool are_correct, std::uint64_t stage_writes, Common::TimePoint now);
  // Loads the version again: the engine has loaded it from pieces that were not correct.
  void Repair(const StagedVersion& staged, Common::TimePoint now);
  // Whether a newer version may take the place of the one that is being loaded.
  bool MayBeReplaced(Common::TimePoint now) const;
  // A newer version takes the place of the loaded one, which has not been confirmed or repaired.
  void GiveWay(Common::TimePoint now);
  // The engine does not answer. It may still accept orders that have been sent.
  void OnEngineUnreachable();
  // The engine has restarted: orders and loads of the earlier start are gone.
  void OnEngineRestarted();

  LoaderState State() const { return m_state; }
  bool IsUnderWay() const { return m_state != LoaderState::Idle; }
  // Whether the order that was sent last takes layers from the stage.
  bool TakesPieces() const { return m_order.takes_pieces; }
  // Whether the next order needs a verified stage.
  bool AwaitsStage(Common::TimePoint now) const;
  // Whether the stage is to be read again to confirm the load.
  bool AwaitsConfirmation() const;
  // What may be done with the stage in this state.
  StageAccess AllowedAccess() const;
  // Whether the engine holds pieces that were not correct, and all orders to repair that failed.
  bool IsUnsound() const { return m_is_unsound; }
  // Whether the engine has accepted an order that this loader has not sent, or has loaded something
  // else than it ordered.
  bool HasUnexplainedLoad() const { return m_has_unexplained_load; }
  // The load that was not explained has been found to be of correct pieces.
  void OnUnexplainedLoadConfirmed() { m_has_unexplained_load = false; }
  std::uint64_t Version() const { return m_staged.version; }
  const Verification& Verified() const { return m_staged.verified; }
  // The time of the last change of the state.
  Common::TimePoint Since() const { return m_since; }

private:
  // The time from a failed order to the next one.
  static constexpr Common::Milliseconds ORDER_RETRY_DELAY = Common::Milliseconds(150);

  // The order that was sent last.
  struct Order
  {
    CallTicket ticket = 0;
    std::uint64_t expected_orders = 0;
    std::optional<LayerRange> layers;
    // The engine takes layers from its stage.
    bool takes_pieces = true;
  };

  // Which of the orders that were sent the engine has accepted.
  enum class Acceptance
  {
    OfLastOrder,
    OfUnknownOrder,
  };

  void SetState(LoaderState state, Common::TimePoint now);
  void OnOrderFailed(const Common::Error& error, Common::TimePoint now);
  void OnAccepted(Acceptance acceptance, Common::TimePoint now);
  void OnReportWhileLoading(const EngineReport& report, Common::TimePoint asked_at,
                            Common::TimePoint now);
  void NoteUnexplainedLoad(const EngineReport& report, Common::TimePoint now);
  void OnRestartReported(const EngineReport& report, Common::TimePoint now);
  // The engine refused an order, or has not loaded what it accepted.
  void OnLoadFailed(Common::TimePoint now);
  // Whether a report shows that the engine has accepted an order that was sent.
  bool ShowsAcceptance(const EngineReport& report) const;
  // Whether a report shows that the engine has loaded what it was last ordered to.
  bool ShowsCompletion(const EngineReport& report) const;
  void Finish(Common::TimePoint now);
  void BeginRepair(Common::TimePoint now);
  // Makes the load a repair if the engine holds only some of the layers, since an earlier repair
  // was interrupted then.
  void ResumeInterruptedRepair();
  void OnRepairOrderFailed(Common::TimePoint now);
  void GiveUpRepair(Common::TimePoint now);
  // Whether a load or a repair waits for its next order.
  bool IsNextOrderPending() const
  {
    return m_state == LoaderState::Unsettled || m_state == LoaderState::Repairing;
  }
  // Whether the next order is the first one of a repair of layers that the engine holds: it gives
  // up some of them and takes nothing from the stage.
  bool OnlyGivesUpLayers() const;
  // Whether an order that was not announced is due now. Returns true once for each order.
  bool TakeDueOrder(Common::TimePoint now);
  // Forgets all orders and what is to be done about them.
  void ForgetOrders();
  // The layers of the order that is due; empty for all.
  std::optional<LayerRange> DueLayers() const;

  StagedVersion m_staged;
  LoaderState m_state = LoaderState::Idle;
  Common::TimePoint m_since{};
  Common::TimePoint m_began{};
  std::uint64_t m_incarnation = 0;
  bool m_has_report = false;
  EngineReport m_report;
  bool m_is_reachable = false;
  std::uint64_t m_orders_seen = 0;
  Order m_order;
  CallTicket m_last_ticket = 0;
  bool m_is_order_due = false;
  // The engine answered that it holds what was ordered.
  bool m_is_already_held = false;
  // When the call of the last order ended without an answer; empty if it has an answer, or is still
  // under way.
  std::optional<Common::TimePoint> m_unanswered_at;
  // The engine may still accept an order whose call has ended.
  bool m_has_unanswered_orders = false;
  // The stage as it was for the oldest order that the engine may have accepted.
  std::optional<StagedVersion> m_oldest_order;
  // If the engine may have loaded bad pieces: the number of pieces that had been written to the
  // stage before.
  std::optional<std::uint64_t> m_stage_writes_at_load;
  // The layers to hold after each of the orders of a repair that are not completed.
  std::deque<LayerRange> m_repair_orders;
  std::uint32_t m_repair_failures = 0;
  bool m_is_unsound = false;
  bool m_has_unexplained_load = false;
  Common::TimePoint m_not_before{};
};
} // namespace Holdpost::Sidecar
