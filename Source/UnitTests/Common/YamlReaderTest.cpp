// SPDX-License-Identifier: Apache-2.0
#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include "Common/YamlReader.h"

using namespace Holdpost::Common;

TEST_CASE("Checked reading of YAML")
{
  Problems problems;

  SUBCASE("good input is read")
  {
    YamlReader reader("f.yaml", YAML::Load("name: a\nport: 5\nat: 10.0.0.1:80\non: true"), "",
                      &problems);
    CHECK(reader.RequiredString("name") == "a");
    CHECK(reader.Integer("port", 0, 1, 9) == 5);
    CHECK(reader.ReadAddress("at", true, false) == Address{"10.0.0.1", 80});
    CHECK(reader.Boolean("on", false));
    reader.Finish();
    CHECK(problems.empty());
  }
  SUBCASE("every problem names file, line and field")
  {
    YamlReader reader("f.yaml", YAML::Load("name: a\nport: 50\nother: 1"), "node", &problems);
    reader.RequiredString("name");
    reader.Integer("port", 0, 1, 9);
    reader.RequiredString("hall");
    reader.Finish();
    REQUIRE(problems.size() == 3);
    CHECK(problems[0].ToString() ==
          "f.yaml:2: node.port: found '50', expected a whole number from 1 to 9");
    CHECK(problems[1].ToString() == "f.yaml:1: node.hall: found nothing, expected a text");
    CHECK(problems[2].ToString() ==
          "f.yaml:3: node.other: found an unknown field, expected one of hall, name, port");
  }
  SUBCASE("a field that stands twice is a problem")
  {
    YamlReader reader("f.yaml", YAML::Load("name: a\nname: b"), "", &problems);
    reader.RequiredString("name");
    reader.Finish();
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].ToString() == "f.yaml:2: name: found twice, expected once");
  }
  SUBCASE("a file that is not there is a problem, not a crash")
  {
    const auto loaded = LoadYaml("/nowhere/f.yaml");
    REQUIRE(std::holds_alternative<Problems>(loaded));
  }
}

TEST_CASE("Addresses are IP numbers and ports")
{
  CHECK(ParseAddress("127.0.0.1:80") == Address{"127.0.0.1", 80});
  CHECK_FALSE(ParseAddress("localhost:80").has_value());
  CHECK_FALSE(ParseAddress("127.0.0.1").has_value());
  CHECK_FALSE(ParseAddress("127.0.0.1:99999").has_value());
}

TEST_CASE("No depth of an operator's file ends the process that reads it")
{
  static constexpr std::size_t DEPTH = 131000;
  std::string dashes;
  for (std::size_t i = 0; i < DEPTH; ++i)
    dashes += "- ";
  for (const std::string& text : {std::string(DEPTH, '['), std::string(DEPTH, '{'), dashes})
  {
    const std::filesystem::path file =
        std::filesystem::temp_directory_path() / fmt::format("holdpost-yaml-{}", getpid());
    std::ofstream(file) << text;
    const auto loaded = LoadYaml(file);
    std::filesystem::remove(file);
    REQUIRE(std::holds_alternative<Problems>(loaded));
    CHECK(!std::get<Problems>(loaded).front().text.empty());
  }
}
