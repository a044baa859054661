// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Error.h"
#include "Common/Hash.h"

// A version of weights is named by the SHA-256 of its manifest, which holds the hash of each piece.
namespace Holdpost::Distribution
{
constexpr std::uint32_t PIECE_BYTES_LEAST = 1024;
constexpr std::uint32_t PIECE_BYTES_MOST = 16 << 20;

struct Manifest
{
  std::string name; // for people
  std::uint64_t total_bytes = 0;
  std::uint32_t piece_bytes = 0; // of every piece but the last
  std::vector<Common::Digest> pieces;

  std::uint32_t PieceCount() const { return static_cast<std::uint32_t>(pieces.size()); }
  // 0 if there is no such piece.
  std::uint32_t BytesOf(std::uint32_t piece) const;
};

std::string EncodeManifest(const Manifest& manifest);
// Refuses a manifest whose sizes and hashes do not fit together.
Common::Result<Manifest> DecodeManifest(const std::string& text);
// Cuts `weights` into pieces.
Manifest MakeManifest(const std::string& name, std::string_view weights, std::uint32_t piece_bytes);
} // namespace Holdpost::Distribution
