// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/HttpClient.h"
#include "Support/BrokenHeads.h"
#include "Support/CutAnswers.h"

using namespace Holdpost;
using Common::HttpReply;
using Common::Result;
using Testing::BrokenAnswer;
using Testing::CutBy;
using Testing::CuttingServer;
using Testing::RunUntil;

namespace
{
// What a client tells of the answer to one call.
struct Heard
{
  std::optional<Result<HttpReply>> result;
  int heads = 0;
  std::string body;
};

Heard CallOnce(const std::string& text, CutBy by, std::size_t packets, bool takes_chunks)
{
  Common::EventLoop loop;
  CuttingServer server(loop, {{text, by, packets}});
  Common::HttpClient client(loop);
  Heard heard;
  Common::HttpCall call;
  call.to = server.Address();
  call.path = "/0";
  call.may_reuse_connection = true;
  Common::HttpCallbacks callbacks;
  callbacks.on_done = [&heard](Result<HttpReply> got) { heard.result = std::move(got); };
  callbacks.on_headers = [&heard](int, const Common::HttpHeaders&) { ++heard.heads; };
  if (takes_chunks)
    callbacks.on_chunk = [&heard](std::string_view data) { heard.body.append(data); };
  client.Start(std::move(call), std::move(callbacks));
  CHECK(RunUntil(loop, [&heard] { return heard.result.has_value(); }));
  return heard;
}

void CheckRefused(const std::vector<BrokenAnswer>& answers, bool has_sound_head = false)
{
  for (const BrokenAnswer& answer : answers)
  {
    CAPTURE(answer.name);
    for (const std::size_t packets : {1, 3})
    {
      for (const bool takes_chunks : {false, true})
      {
        const Heard heard = CallOnce(answer.text, CutBy::Nothing, packets, takes_chunks);
        REQUIRE(heard.result);
        CHECK(std::holds_alternative<Common::Error>(*heard.result));
        if (has_sound_head)
          continue;
        CHECK(heard.heads == 0);
        CHECK(heard.body.empty());
      }
    }
  }
}
} // namespace

// Regression: codes with a sign, with letters, of four digits or below 100 were taken for a status.
TEST_CASE("A client refuses an answer with a status that HTTP does not have at once")
{
  CheckRefused(Testing::AnswersWithBrokenStatus("X-Id: r1", "hello"));
}

// Regression: names with blanks and control bytes, and folded lines, were taken for fields.
TEST_CASE("A client refuses an answer with a line that is no field of HTTP at once")
{
  CheckRefused(Testing::AnswersWithBrokenLine("X-Id: r1", "hello"));
}

TEST_CASE("A client takes no answer for whole whose trailer has a line that is no field")
{
  CheckRefused(Testing::AnswersWithBrokenTrailer("X-Id: r1", "hello"), true);
}
