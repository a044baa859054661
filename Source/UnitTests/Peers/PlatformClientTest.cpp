// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/HttpServer.h"
#include "Peers/Platform/PlatformClient.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using Common::Offset;
using Common::Result;

// Guards against a process that ends by an exception when the log answers an append with something
// else than an offset.
TEST_CASE("An answer of the log that names no offset is an error")
{
  Common::EventLoop loop;
  std::string answer;
  Common::HttpServer server(loop, Common::HttpServer::Limits{},
                            [&](const std::shared_ptr<Common::HttpExchange>& exchange)
                            { exchange->Reply(200, {}, answer); });
  const auto address = std::get<Common::Address>(server.Listen({"127.0.0.1", 0}));
  Common::HttpClient http(loop);
  PlatformPeer::PlatformClient client(http, {address});
  const auto append = [&](const std::string& text)
  {
    answer = text;
    std::optional<Result<Offset>> result;
    client.Append("{}", [&](Result<Offset> got) { result = std::move(got); });
    REQUIRE(Testing::RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  };
  CHECK(std::get<Offset>(append(R"({"offset": 7})")) == 7);
  for (const char* text : {R"({"offset": "7"})", R"({"offset": -1})", R"({"offset": [7]})",
                           R"({"offset": 1.5})", "{}", "[]", "7", "", "no JSON"})
  {
    CAPTURE(std::string(text));
    CHECK(!Common::Succeeded(append(text)));
  }
}
