// SPDX-License-Identifier: Apache-2.0
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "UnitTests/Process/Hall.h"

using namespace Holdpost::Process;

// Command lines and process settings of the programs.

namespace
{
std::string ReadFile(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}
} // namespace

TEST_CASE("Every program tells its usage and version")
{
  for (const std::string program :
       {"holdpost", "holdpost-agent", "holdpost-entry", "holdpost-standin"})
  {
    INFO(program);
    const auto [help_code, help] = RunProgram(program, {"--help"});
    CHECK(help_code == 0);
    CHECK(help.starts_with("usage: " + program));
    const auto [version_code, version] = RunProgram(program, {"--version"});
    CHECK(version_code == 0);
    CHECK(version.starts_with(program + " "));
    CHECK(RunProgram(program, {"--wrong"}).first == 2);
  }
}

TEST_CASE("Bad settings of a process are refused with file, line and field")
{
  Hall hall(0, 0);
  const std::string file = hall.Path("bad.yaml");
  const std::string errors = hall.Path("errors");
  std::ofstream(file) << "instance: a\nhall: Oslo\nlisten: nowhere\nadmin_listen: 127.0.0.1:0\n"
                         "platform: [127.0.0.1:1]\ncolour: red\npool: p\ntarget: 127.0.0.1:2\n"
                         "target_name: t\n";
  CHECK(RunProgram("holdpost-agent", {"--config", file, "--check"}, errors).first == 2);
  const std::string text = ReadFile(errors);
  CHECK(text.find(file + ":2: hall: found 'Oslo'") != std::string::npos);
  CHECK(text.find(file + ":3: listen: found 'nowhere'") != std::string::npos);
  CHECK(text.find(file + ":6: colour: found an unknown field") != std::string::npos);
}

TEST_CASE("The operators' command takes what is repeated from a settings file")
{
  Hall hall(1, 0);
  const std::string file = hall.Path("operator.yaml");
  std::ofstream(file) << "platform: [" << hall.Get("platform").At("address").ToString()
                      << "]\nnodes: [" << hall.Get("agent-1").At("admin").ToString()
                      << "]\nauthor: kari\n";
  CHECK(RunProgram("holdpost", {"--config", file, "--check"}).first == 0);
  const auto [code, output] = RunProgram("holdpost", {"--config", file, "status"});
  CHECK(code == 0);
  CHECK(output.find("agent-1") != std::string::npos);
  std::ofstream(file) << "platforms: []\n";
  const std::string errors = hall.Path("errors");
  CHECK(RunProgram("holdpost", {"--config", file, "--check"}, errors).first == 2);
  CHECK(ReadFile(errors).starts_with(file + ":1: platforms: found an unknown field"));
}

TEST_CASE("Operators who race learn who won")
{
  Hall hall(1, 0);
  hall.WaitUntil("the agent has claimed", [&] { return hall.Status("agent-1")["fence"] > 0; });
  const std::string first = hall.MakeWeights("v1", 1 << 20, 64 << 10);
  const std::string second = hall.MakeWeights("v2", 1 << 20, 64 << 10);
  REQUIRE(hall.Publish(first) == 0);
  const std::string platform = hall.Get("platform").At("address").ToString();
  hall.WaitServing({"agent-1"}, first);

  SUBCASE("a change against a base that was overtaken is refused")
  {
    REQUIRE(hall.Publish(second) == 0);
    const auto tree = hall.Path("tree.yaml");
    std::string text = ReadFile(tree);
    text.replace(text.find(second), second.size(), first);
    std::ofstream(tree) << text;
    const auto base = hall.Status("agent-1")["accepted"].get<int>();
    CHECK(RunProgram("holdpost",
                     {"publish", tree, "--platform", platform, "--base", std::to_string(base - 1)})
              .first == 3);
  }
  SUBCASE("publishing the same tree again changes nothing")
  {
    const auto [code, output] =
        RunProgram("holdpost", {"publish", hall.Path("tree.yaml"), "--platform", platform});
    CHECK(code == 0);
    CHECK(output.starts_with("nothing to change"));
  }
  SUBCASE("show says from which level each value comes")
  {
    const auto [code, output] =
        RunProgram("holdpost", {"show", "/ost/oslo-a/assist", "--platform", platform});
    CHECK(code == 0);
    CHECK(output.find("/ost/oslo-a/assist") != std::string::npos);
    CHECK(output.find("default") != std::string::npos);
  }
}
