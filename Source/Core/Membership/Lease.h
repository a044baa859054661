// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

#include "Common/Types.h"
#include "Core/Settings/Fold.h"

// An agent's lease on its target. The claim's offset in the log is the fencing token. Holding is
// shown by reading: as long as the agent has read the log and found no later claim, it holds the
// target, and that lasts for the lease time counted from before the read was sent. A new claimant
// waits out that time before its first order, so no renewal is ever appended.
namespace Holdpost::Membership
{
class Lease
{
public:
  explicit Lease(std::string target) : m_target(std::move(target)) {}

  // The id under which the agent's claim was or will be appended.
  void SetClaimId(std::string id) { m_claim_id = std::move(id); }
  // A read of the log that was sent at `sent` and came back has been folded.
  void OnLogRead(const Settings::Fold& fold, Common::TimePoint sent, Common::Duration lease_time);

  // True if an order may be given at `now`: checked before each one, so that a pause is noticed
  // first.
  bool MayOrder(Common::TimePoint now) const;
  // True once a later claim than the own one was seen; the agent must claim anew or stop.
  bool IsLost() const { return m_is_lost; }
  bool HasClaim() const { return m_offset != 0; }
  // The claim's offset in the log.
  Common::Offset FencingToken() const { return m_offset; }

private:
  std::string m_target;
  std::string m_claim_id;
  Common::Offset m_offset = 0;
  bool m_is_lost = false;
  std::optional<Common::TimePoint> m_may_order_from;
  Common::TimePoint m_valid_until{};
};
} // namespace Holdpost::Membership
