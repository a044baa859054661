// SPDX-License-Identifier: Apache-2.0
#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include "Node/Reload.h"

using namespace Holdpost;
using namespace Holdpost::Node;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};

std::string TestFile()
{
  return (std::filesystem::temp_directory_path() / fmt::format("holdpost-reload-{}.yaml", getpid()))
      .string();
}

void Write(const std::string& text)
{
  // As a platform does it: the new file takes the place of the old one.
  const std::string next = TestFile() + ".next";
  std::ofstream(next) << text;
  std::filesystem::rename(next, TestFile());
}
} // namespace

TEST_CASE("A settings file that was replaced is noticed once")
{
  Write("instance: a\n");
  FileWatch watch(TestFile());
  CHECK_FALSE(watch.HasChanged(START));
  Write("instance: b\n");
  SUBCASE("not more often than once a second")
  {
    CHECK_FALSE(watch.HasChanged(START + Common::Milliseconds(500)));
    CHECK(watch.HasChanged(START + Common::Milliseconds(1000)));
    watch.MarkSeen();
    CHECK_FALSE(watch.HasChanged(START + Common::Milliseconds(2000)));
  }
  SUBCASE("while it is missing nothing has changed")
  {
    std::filesystem::remove(TestFile());
    CHECK_FALSE(watch.HasChanged(START + Common::Milliseconds(1000)));
  }
  std::filesystem::remove(TestFile());
}

TEST_CASE("A reload tells what is taken over at once and what needs a start")
{
  GatewayConfig before;
  before.mesh.instance = "front-1";
  GatewayConfig after = before;
  CHECK(PlanReload(before, after).IsEmpty());
  after.mesh.seeds = {{"10.0.0.1", 80}};
  after.retries.extra = 50;
  after.mesh.instance = "front-2";
  const ReloadPlan plan = PlanReload(before, after);
  CHECK(plan.applied == std::vector<std::string>{"seeds", "retry_extra"});
  CHECK(plan.at_next_start == std::vector<std::string>{"instance"});

  SidecarConfig beside;
  SidecarConfig moved = beside;
  moved.target = {"10.0.0.2", 81};
  moved.mesh.switch_within = Common::Milliseconds(9000);
  moved.mesh.start_grace = Common::Milliseconds(4000);
  CHECK(PlanReload(beside, moved).applied == std::vector<std::string>{"switch_within_ms"});
  CHECK(PlanReload(beside, moved).at_next_start ==
        std::vector<std::string>{"start_grace_ms", "target"});
}

TEST_CASE("The memory of a gateway is a setting")
{
  const std::string others = "instance: a\nregion: r\nhall: h\nmesh_listen: 127.0.0.1:1\n"
                             "admin_listen: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"
                             "caller_listen: 127.0.0.1:4\nready_listen: 127.0.0.1:5\n";
  const auto read = [&](const std::string& text)
  {
    Write(others + text);
    return ReadGatewayConfig(TestFile());
  };
  const auto unset = std::get<GatewayConfig>(read(""));
  CHECK(unset.memory_bytes == 256 << 20);
  const auto set = std::get<GatewayConfig>(read("memory_mebibytes: 512\n"));
  CHECK(set.memory_bytes == 512 << 20);
  const ReloadPlan plan = PlanReload(unset, set);
  CHECK(plan.applied == std::vector<std::string>{"memory_mebibytes"});
  for (const char* bad : {"0", "31", "much", "-1", "2000000"})
  {
    CAPTURE(std::string(bad));
    const auto refused = read(fmt::format("memory_mebibytes: {}\n", bad));
    REQUIRE(std::holds_alternative<Common::Problems>(refused));
    CHECK(std::get<Common::Problems>(refused).front().field == "memory_mebibytes");
  }
  std::filesystem::remove(TestFile());
}
