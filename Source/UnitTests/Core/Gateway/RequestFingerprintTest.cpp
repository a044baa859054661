// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"
#include "Peers/Target/TargetMessage.h"
#include "UnitTests/Support/LogCapture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;

namespace
{
RequestFingerprint Fingerprint(const std::string& organisation, const std::string& target,
                               const std::string& body)
{
  Common::HttpHead head;
  head.method = "POST";
  head.target = target;
  head.fields.Add("Host", "api.example");
  const CallerRequest request =
      TargetPeer::ReadCallerRequest(head, body, TargetPeer::HeaderNames{});
  return FingerprintOf(organisation, request.host, request.content);
}
} // namespace

TEST_CASE("A repeated request has the fingerprint of the first")
{
  const RequestFingerprint first = Fingerprint("firm", "/chat/x?q=1", "the body");
  CHECK(Fingerprint("firm", "/chat/x?q=1", "the body") == first);

  SUBCASE("and any other request has another one")
  {
    CHECK(Fingerprint("shop", "/chat/x?q=1", "the body") != first);
    CHECK(Fingerprint("firm", "/chat/x?q=2", "the body") != first);
    CHECK(Fingerprint("firm", "/chat/y?q=1", "the body") != first);
    CHECK(Fingerprint("firm", "/chat/x?q=1", "the body.") != first);
  }
}

TEST_CASE("The log shows the fingerprint of a request, and nothing of its content")
{
  Testing::LogCapture log;
  GatewayFixture f;
  const RequestNumber number = f.Arrive("/chat/");
  f.Feed(AttemptFailed{number, AttemptFailure::Lost, {}, AttemptEnd::Reset});
  f.Feed(AttemptFailed{number, AttemptFailure::Lost, {}, AttemptEnd::Reset});
  const auto retried = log.Lines("request.retry");
  const auto refused = log.Lines("request.refused");
  REQUIRE(retried.size() == 1);
  REQUIRE(refused.size() == 1);
  CHECK(retried[0]["fingerprint"].get<std::string>().size() == 8);
  CHECK(refused[0]["fingerprint"] == retried[0]["fingerprint"]);
}
