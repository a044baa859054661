// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/Json.h"

using namespace Holdpost::Common;

static std::string Nested(std::size_t depth, const std::string& open, const std::string& close)
{
  std::string text;
  for (std::size_t i = 0; i < depth; ++i)
    text += open;
  text += "1";
  for (std::size_t i = 0; i < depth; ++i)
    text += close;
  return text;
}

TEST_CASE("JSON of another program is parsed up to a depth")
{
  static constexpr std::size_t STACK_EXCEEDING_DEPTH = 131000;

  SUBCASE("a text that is as deep as allowed is a value")
  {
    CHECK(ParseJson(Nested(MAX_JSON_DEPTH, "[", "]")).is_array());
    CHECK(ParseJson(Nested(MAX_JSON_DEPTH, R"({"a":)", "}")).is_object());
    CHECK(ParseJsonOrDiscard(Nested(MAX_JSON_DEPTH, "[", "]")).is_array());
  }
  SUBCASE("one that is deeper is refused, whatever it is made of")
  {
    for (const std::size_t depth : {MAX_JSON_DEPTH + 1, STACK_EXCEEDING_DEPTH})
    {
      for (const std::string& text :
           {Nested(depth, "[", "]"), Nested(depth, R"({"a":)", "}"),
            Nested(depth, R"([{"a":)", "}]"), std::string(depth, '['), std::string(depth, '{')})
      {
        CHECK_THROWS_AS(ParseJson(text), JsonTooDeep);
        CHECK(ParseJsonOrDiscard(text).is_discarded());
      }
    }
  }
  SUBCASE("lists and objects that stand beside one another are no depth")
  {
    std::string text = "[";
    for (int i = 0; i < 1000; ++i)
      text += R"([],{},)";
    text += "1]";
    CHECK(ParseJson(text).size() == 2001);
  }
  SUBCASE("brackets in a text are no depth")
  {
    const std::string brackets(1000, '[');
    CHECK(ParseJson("\"" + brackets + "\"") == brackets);
    CHECK(ParseJson(R"({"[{\"[\\":)" + ("\"" + brackets + "\"}")).is_object());
    CHECK(ParseJson(R"("\\\\")") == R"(\\)");
    // The text ends at its quote, so what follows it counts.
    CHECK_THROWS_AS(ParseJson(R"(["\\",)" + Nested(MAX_JSON_DEPTH, "[", "]") + "]"), JsonTooDeep);
  }
  SUBCASE("a text that is no JSON is refused as before")
  {
    CHECK_THROWS_AS(ParseJson("]]]"), nlohmann::json::parse_error);
    CHECK_THROWS_AS(ParseJson("[\"no end"), nlohmann::json::parse_error);
    CHECK(ParseJsonOrDiscard("{").is_discarded());
    CHECK(ParseJsonOrDiscard("").is_discarded());
  }
}
