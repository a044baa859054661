// SPDX-License-Identifier: Apache-2.0
#include "Core/Membership/Lease.h"

#include <algorithm>

namespace Holdpost::Membership
{
// The part of the lease kept back for the time that an order is on its way.
static constexpr int MARGIN_PERCENT = 20;

void Lease::OnLogRead(const Settings::Fold& fold, Common::TimePoint sent,
                      Common::Duration lease_time)
{
  const auto holder = fold.HolderOf(m_target);
  if (!holder)
    return;
  if (holder->id != m_claim_id)
  {
    if (m_offset != 0 && holder->offset > m_offset)
      m_is_lost = true;
    return;
  }
  if (m_offset == 0)
  {
    m_offset = holder->offset;
    // The one before may order for a lease time after its last read, which came before our claim.
    // The first claim ever of a target displaces nobody.
    m_may_order_from = holder->has_displaced ? sent + lease_time : sent;
  }
  m_valid_until = std::max(m_valid_until, sent + lease_time * (100 - MARGIN_PERCENT) / 100);
}

bool Lease::MayOrder(Common::TimePoint now) const
{
  return !m_is_lost && m_may_order_from && now >= *m_may_order_from && now < m_valid_until;
}
} // namespace Holdpost::Membership
