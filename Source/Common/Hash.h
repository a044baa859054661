// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

// SHA-256 digests, and the 64-bit hash behind ranking and seeded ties.
namespace Holdpost::Common
{
constexpr std::size_t DIGEST_BYTES = 32;

struct Digest
{
  std::array<std::uint8_t, DIGEST_BYTES> bytes{};

  auto operator<=>(const Digest&) const = default;
  std::string ToHex() const;
  // The first eight hex digits, for logs.
  std::string Short() const { return ToHex().substr(0, 8); }
  bool IsZero() const { return *this == Digest{}; }
};

Digest Sha256(std::string_view data);
// Of the parts, one behind the other.
Digest Sha256(std::initializer_list<std::string_view> parts);
// Empty unless the text is exactly 64 hex digits.
std::optional<Digest> DigestFromHex(std::string_view hex);
// The same on every instance: rankings must agree across processes.
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);
// Mixes two hashes; the finalizer of SplitMix64.
std::uint64_t MixHash(std::uint64_t a, std::uint64_t b);
// An unguessable token of 32 hex digits from the system's random source; never used in decisions.
std::string RandomToken();
} // namespace Holdpost::Common
