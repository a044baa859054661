// SPDX-License-Identifier: Apache-2.0
#include "Common/Hash.h"

#include <cstring>
#include <memory>

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace Holdpost::Common
{
static int HexValue(char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

std::string Digest::ToHex() const
{
  static constexpr char DIGITS[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(DIGEST_BYTES * 2);
  for (const std::uint8_t byte : bytes)
  {
    hex.push_back(DIGITS[byte >> 4]);
    hex.push_back(DIGITS[byte & 15]);
  }
  return hex;
}

Digest Sha256(std::string_view data)
{
  Digest digest;
  EVP_Digest(data.data(), data.size(), digest.bytes.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

Digest Sha256(std::initializer_list<std::string_view> parts)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                        &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : parts)
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  Digest digest;
  EVP_DigestFinal_ex(context.get(), digest.bytes.data(), nullptr);
  return digest;
}

std::optional<Digest> DigestFromHex(std::string_view hex)
{
  if (hex.size() != DIGEST_BYTES * 2)
    return std::nullopt;
  Digest digest;
  for (std::size_t i = 0; i < DIGEST_BYTES; ++i)
  {
    const int high = HexValue(hex[2 * i]);
    const int low = HexValue(hex[2 * i + 1]);
    if (high < 0 || low < 0)
      return std::nullopt;
    digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

std::uint64_t MixHash(std::uint64_t a, std::uint64_t b)
{
  std::uint64_t z = a + 0x9e3779b97f4a7c15ULL * (b + 1);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

std::uint64_t StableHash(std::string_view data, std::uint64_t seed)
{
  // FNV-1a for the bytes, then a finalizer so that short names still differ in every bit.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : data)
  {
    hash ^= static_cast<std::uint8_t>(c);
    hash *= 0x100000001b3ULL;
  }
  return MixHash(hash, seed);
}

std::string RandomToken()
{
  std::array<std::uint8_t, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string token;
  for (const std::uint8_t byte : bytes)
    token += fmt::format("{:02x}", byte);
  return token;
}
} // namespace Holdpost::Common
