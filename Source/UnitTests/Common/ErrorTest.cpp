// SPDX-License-Identifier: Apache-2.0
#include <set>

#include <doctest/doctest.h>

#include "Common/Error.h"
#include "Common/Hash.h"

using namespace Holdpost::Common;

TEST_CASE("The table of error kinds")
{
  std::set<std::string_view> names;
  for (const ErrorAnswer& answer : ErrorTable())
  {
    INFO(answer.name);
    CHECK(names.insert(answer.name).second);
    CHECK(&AnswerFor(answer.kind) == &answer);
    CHECK(ErrorKindFromName(answer.name) == answer.kind);

    SUBCASE("a refusal that asks to come back says when")
    {
      if (answer.http_status == 503 || answer.http_status == 429)
        CHECK(answer.retry_after.count() > 0);
    }
    SUBCASE("what may have run is never called not run")
    {
      if (answer.http_status == 502 && answer.kind != ErrorKind::PieceCorrupt)
        CHECK(answer.outcome != Outcome::NotRun);
    }
  }
}

TEST_CASE("Digests")
{
  const Digest digest = Sha256("abc");
  CHECK(digest.ToHex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(DigestFromHex(digest.ToHex()) == digest);
  CHECK_FALSE(DigestFromHex("ba78").has_value());
  CHECK_FALSE(DigestFromHex(std::string(64, 'g')).has_value());
}
