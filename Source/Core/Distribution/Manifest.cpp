// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Manifest.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/JsonFields.h"

namespace Holdpost::Distribution
{
using Common::Error;
using Common::ErrorKind;
using Common::Result;
using nlohmann::json;

std::uint32_t Manifest::BytesOf(std::uint32_t piece) const
{
  if (piece >= PieceCount())
    return 0;
  const std::uint64_t start = std::uint64_t(piece) * piece_bytes;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(piece_bytes, total_bytes - start));
}

std::string EncodeManifest(const Manifest& manifest)
{
  json pieces = json::array();
  for (const Common::Digest& digest : manifest.pieces)
    pieces.push_back(digest.ToHex());
  return json{{"name", manifest.name},
              {"total_bytes", manifest.total_bytes},
              {"piece_bytes", manifest.piece_bytes},
              {"pieces", pieces}}
      .dump();
}

std::string FindManifestError(const Manifest& manifest)
{
  if (manifest.piece_bytes < MIN_PIECE_BYTES || manifest.piece_bytes > MAX_PIECE_BYTES)
  {
    return fmt::format("piece_bytes: found {}, expected from {} to {}", manifest.piece_bytes,
                       MIN_PIECE_BYTES, MAX_PIECE_BYTES);
  }
  if (manifest.total_bytes == 0)
    return "total_bytes: found 0, expected at least 1";
  const std::uint64_t count = (manifest.total_bytes - 1) / manifest.piece_bytes + 1;
  if (count != manifest.pieces.size())
    return fmt::format("pieces: found {}, expected {}", manifest.pieces.size(), count);
  return "";
}

static Manifest ParseManifest(const json& object)
{
  Manifest manifest;
  manifest.name = object.at("name");
  manifest.total_bytes = Common::RequiredInteger<std::uint64_t>(object, "total_bytes");
  manifest.piece_bytes = Common::RequiredInteger<std::uint32_t>(object, "piece_bytes");
  for (const json& hex : object.at("pieces"))
  {
    const auto digest = Common::DigestFromHex(hex.get<std::string>());
    if (!digest)
      throw std::invalid_argument("pieces: found a hash that is not 64 hex digits");
    manifest.pieces.push_back(*digest);
  }
  return manifest;
}

Result<Manifest> DecodeManifest(const std::string& text)
{
  try
  {
    Manifest manifest = ParseManifest(Common::ParseJson(text));
    if (const std::string fault = FindManifestError(manifest); !fault.empty())
      return Error{ErrorKind::BadSettings, fault};
    return manifest;
  }
  catch (const std::exception& error)
  {
    return Error{ErrorKind::BadSettings, error.what()};
  }
}

Manifest MakeManifest(const std::string& name, std::string_view weights, std::uint32_t piece_bytes)
{
  Manifest manifest{name, weights.size(), piece_bytes, {}};
  for (std::size_t start = 0; start < weights.size(); start += piece_bytes)
    manifest.pieces.push_back(Common::Sha256(weights.substr(start, piece_bytes)));
  return manifest;
}
} // namespace Holdpost::Distribution
