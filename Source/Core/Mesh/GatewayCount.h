// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cstddef>

#include "Common/Types.h"

// The number of gateways of all halls, as sidecars count them.
namespace Holdpost::Mesh
{
// A sidecar that is cut off from some gateways reports too low a count, so the maximum of the
// current and the previous window is used.
class GatewayCount
{
public:
  explicit GatewayCount(Common::Duration window) : m_window(window) {}

  // Returns the count that is in use after the report.
  std::size_t OnReported(std::size_t count, Common::TimePoint now)
  {
    if (now - m_window_began > m_window)
    {
      m_previous_largest = m_largest;
      m_largest = 0;
      m_window_began = now;
    }
    m_largest = std::max(m_largest, count);
    return std::max({m_largest, m_previous_largest, std::size_t(1)});
  }

private:
  Common::Duration m_window;
  std::size_t m_largest = 0;
  std::size_t m_previous_largest = 0;
  Common::TimePoint m_window_began{};
};
} // namespace Holdpost::Mesh
