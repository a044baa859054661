// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Common/Hash.h"

// The identity of a request that survives its repetition under another request id.
namespace Holdpost::Gateway
{
// A truncated SHA-256 of a request's organisation, host and content. Equal for all repetitions of a
// request by its organisation; the same content from another organisation is another request.
struct RequestFingerprint
{
  static constexpr std::size_t BYTES = 16;

  std::array<std::uint8_t, BYTES> bytes{};

  auto operator<=>(const RequestFingerprint&) const = default;
  // The first eight hex digits, for logs: enough to recognize a repetition, without telling what
  // was sent.
  std::string Short() const;
};

// `content` is the digest of the method, the path with its query, and the body.
RequestFingerprint FingerprintOf(std::string_view organisation, std::string_view host,
                                 const Common::Digest& content);
} // namespace Holdpost::Gateway
