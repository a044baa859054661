// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Error.h"
#include "Common/Hash.h"

// The manifest of a version of weights. It contains the hash of each piece, and its own SHA-256
// identifies the version.
namespace Holdpost::Distribution
{
constexpr std::uint32_t MIN_PIECE_BYTES = 1024;
constexpr std::uint32_t MAX_PIECE_BYTES = 16 << 20;
// What is kept of each piece takes memory before the first one has come.
constexpr std::uint32_t MAX_PIECES = 1 << 20;

struct Manifest
{
  std::string name; // shown to operators
  std::uint64_t total_bytes = 0;
  std::uint32_t piece_bytes = 0; // size of every piece except the last
  std::vector<Common::Digest> pieces;

  std::uint32_t PieceCount() const { return static_cast<std::uint32_t>(pieces.size()); }
  // Returns the size of the piece, or 0 if the manifest has no such piece.
  std::uint32_t BytesOf(std::uint32_t piece) const;
};

std::string EncodeManifest(const Manifest& manifest);
// What is wrong with the sizes and the number of hashes; empty if nothing is.
std::string FindManifestError(const Manifest& manifest);
// Returns an error if the sizes and the number of hashes are inconsistent.
Common::Result<Manifest> DecodeManifest(const std::string& text);
// Builds the manifest of `weights`, divided into pieces of `piece_bytes` bytes.
Manifest MakeManifest(const std::string& name, std::string_view weights, std::uint32_t piece_bytes);
} // namespace Holdpost::Distribution
