// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Common/HttpServer.h"
#include "Peers/Platform/PlatformClient.h"
#include "Support/OddValues.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using Common::Offset;
using Common::Result;
using nlohmann::json;

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

namespace
{
// A client before a platform that answers each call with the same text.
class OddPlatform
{
public:
  OddPlatform()
      : m_server(m_loop, Common::HttpServer::Limits{64 << 20, Common::Seconds(600)},
                 [this](const std::shared_ptr<Common::HttpExchange>& exchange)
                 { exchange->Reply(200, {}, m_answer); }),
        m_http(m_loop),
        m_client(m_http, {std::get<Common::Address>(m_server.Listen({"127.0.0.1", 0}))})
  {
  }
  NodeCore::ListRead List(const std::string& answer)
  {
    m_answer = answer;
    std::optional<NodeCore::ListRead> result;
    m_client.ListInstances([&](NodeCore::ListRead read) { result = std::move(read); });
    REQUIRE(Testing::RunUntil(m_loop, [&] { return result.has_value(); }));
    return *result;
  }
  Result<PlatformPeer::LogRead> Log(const std::string& answer)
  {
    m_answer = answer;
    std::optional<Result<PlatformPeer::LogRead>> result;
    m_client.ReadLog(0, Common::Milliseconds(0),
                     [&](Result<PlatformPeer::LogRead> read) { result = std::move(read); });
    REQUIRE(Testing::RunUntil(m_loop, [&] { return result.has_value(); }));
    return *result;
  }

private:
  Common::EventLoop m_loop;
  std::string m_answer;
  Common::HttpServer m_server;
  Common::HttpClient m_http;
  PlatformPeer::PlatformClient m_client;
};

constexpr std::size_t MAX_DEPTH = 1'000'000;
const json INSTANCE = {{"instance", "agent-1"}, {"hall", "oslo-a"},         {"pool", "runners"},
                       {"role", "agent"},       {"address", "10.0.0.1:80"}, {"state", "live"}};
const std::vector<std::string> INSTANCE_FIELDS = {"/instance", "/hall",    "/pool",
                                                  "/role",     "/address", "/state"};
} // namespace

// Guards against processes that stop following the list of instances as long as one entry of
// another writer stands on it.
TEST_CASE("An odd entry hides no other instance of the list")
{
  OddPlatform platform;
  json second = INSTANCE;
  second["instance"] = "agent-2";
  int left_out = 0;
  for (const Testing::OddText& odd : Testing::OddTexts(INSTANCE, INSTANCE_FIELDS, MAX_DEPTH))
  {
    // What is no JSON cannot stand in a list that is.
    const std::string text = R"({"instances":[)" + odd.text + "," + second.dump() + "]}";
    if (!json::accept(text))
      continue;
    INFO(odd.name);
    const auto read = platform.List(text);
    const auto* list = std::get_if<std::vector<Membership::ListedInstance>>(&read);
    REQUIRE(list);
    REQUIRE(!list->empty());
    CHECK(list->back().instance == "agent-2");
    CHECK(list->back().address == Common::Address{"10.0.0.1", 80});
    left_out += list->size() == 1 ? 1 : 0;
    for (const Membership::ListedInstance& listed : *list)
    {
      CHECK(listed.address.IsSet());
      CHECK(listed.address.port != 0);
      CHECK(listed.address.host != "0.0.0.0");
      CHECK(!listed.instance.empty());
    }
  }
  CHECK(left_out > 50);
  for (const Testing::OddText& odd : Testing::OddValues(MAX_DEPTH))
  {
    INFO(odd.name);
    CHECK_NOTHROW(platform.List(odd.text));
    CHECK_NOTHROW(platform.List(R"({"instances":)" + odd.text + "}"));
  }
}

// Guards against processes that stop following the settings, and against numbers that are cast out
// of range.
TEST_CASE("An odd answer to a read of the log is an error or has numbers within their range")
{
  OddPlatform platform;
  const json answer = {{"first", 1}, {"head", 2}, {"records", {{{"offset", 2}, {"text", "{}"}}}}};
  const auto sound = platform.Log(answer.dump());
  REQUIRE(Common::Succeeded(sound));
  for (const Testing::OddText& odd : Testing::OddTexts(
           answer, {"/first", "/head", "/records", "/records/0", "/records/0/offset"}, MAX_DEPTH))
  {
    INFO(odd.name);
    Result<PlatformPeer::LogRead> read = Common::Error{};
    REQUIRE_NOTHROW(read = platform.Log(odd.text));
    const auto* log = std::get_if<PlatformPeer::LogRead>(&read);
    if (!log)
      continue;
    // Each number stands in the answer.
    CHECK((log->first == 1 || odd.text.find(std::to_string(log->first)) != std::string::npos));
    CHECK((log->head == 2 || odd.text.find(std::to_string(log->head)) != std::string::npos));
    for (const Settings::LogRecord& record : log->records)
      CHECK(odd.text.find(std::to_string(record.offset)) != std::string::npos);
  }
}
