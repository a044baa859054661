// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/Compression.h"

using Holdpost::Common::Compress;
using Holdpost::Common::Decompress;

namespace
{
constexpr std::size_t BYTES_MOST = 1 << 22;

std::string ManyRoutes(int changed)
{
  std::string text = "{\"Routes\":[";
  for (int i = 0; i < 2000; ++i)
  {
    text += "{\"Name\":\"route-" + std::to_string(i * 7919 % 100003) +
            "\",\"Timeout\":" + std::to_string(i == changed ? 1 : 2000) + "},";
  }
  return text + "]}";
}
} // namespace

TEST_CASE("A text comes out as it went in")
{
  for (const std::string& text : {std::string(), std::string("short"), ManyRoutes(-1)})
  {
    CHECK(Decompress(Compress(text), "", BYTES_MOST) == text);
    CHECK(Decompress(Compress(text, "a base"), "a base", BYTES_MOST) == text);
  }
}

TEST_CASE("Next to its base a changed text packs into the change")
{
  const std::string base = ManyRoutes(-1);
  const std::string changed = ManyRoutes(1200);
  const std::string packed = Compress(changed, base);
  CHECK(packed.size() < 400);
  CHECK(Decompress(packed, base, BYTES_MOST) == changed);
  CHECK_FALSE(Decompress(packed, ManyRoutes(3), BYTES_MOST).has_value());
  CHECK_FALSE(Decompress(packed, "", BYTES_MOST).has_value());
}

TEST_CASE("Damaged or too large ones are refused")
{
  std::string packed = Compress(ManyRoutes(-1));
  CHECK_FALSE(Decompress(packed, "", 100).has_value());
  CHECK_FALSE(Decompress(packed.substr(0, packed.size() / 2), "", BYTES_MOST).has_value());
  CHECK_FALSE(Decompress("not packed at all", "", BYTES_MOST).has_value());
  packed[packed.size() / 2] = static_cast<char>(packed[packed.size() / 2] + 1);
  CHECK_FALSE(Decompress(packed, "", BYTES_MOST).has_value());
}
