// SPDX-License-Identifier: Apache-2.0
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "Bench/Routing/RoutingWorld.h"

// Compares ways of routing on a virtual clock. Prints a line for each seed and policy, and with
// --windows what became of the requests of each two seconds.
namespace
{
using namespace Holdpost;
using namespace Holdpost::Bench;
namespace po = boost::program_options;

Settings::EngineProfile MakeEngine(std::uint32_t slots)
{
  Settings::EngineProfile engine;
  engine.slots = slots;
  engine.step_ms = 9;
  engine.step_per_sequence_ms = 0.02;
  engine.step_per_context_ms = 0.03;
  engine.prompt_tokens_per_ms = 20;
  engine.prompt_pairs_ms = 1.2;
  engine.tokens_per_event = 5;
  engine.usual_prompt_tokens = 950;
  engine.usual_answer_tokens = 94;
  return engine;
}

RoutingOptions MakeOptions(const po::variables_map& values)
{
  RoutingOptions options;
  const auto halls = values["halls"].as<std::size_t>();
  for (std::size_t i = 0; i < halls; ++i)
  {
    HallShape hall;
    hall.name = fmt::format("hall-{}", i + 1);
    hall.gateways = values["gateways"].as<std::size_t>() / halls;
    hall.targets = values["targets"].as<std::size_t>() / halls;
    hall.added_targets = values["added"].as<std::size_t>() / halls;
    // One hall is busier than the others.
    hall.arrivals = i == 1 ? 1.5 : 1;
    options.halls.push_back(hall);
  }
  options.kinds = {
      {"long", 0.41, Common::Milliseconds(500), 2.4, 0.25, 1330, 1, 3900, 104, 0.89, 260},
      {"middle", 0.3, Common::Milliseconds(400), 2, 0.25, 830, 1, 3300, 104, 0.69, 260},
      {"short", 0.29, Common::Milliseconds(400), 1.5, 0.25, 650, 0.96, 2600, 70, 0.9, 260}};
  options.engine = MakeEngine(values["slots"].as<std::uint32_t>());
  options.arrivals_per_second = values["arrivals"].as<double>();
  options.ramp = {{0, 0.55}, {6, 0.7}, {7.5, 0.85}, {9, 1}};
  options.length = Common::Milliseconds(1000 * values["seconds"].as<std::int64_t>());
  if (values.count("push-at") > 0)
    options.push_at = Common::Milliseconds(1000 * values["push-at"].as<std::int64_t>());
  options.copy_time = Common::Milliseconds(1000 * values["copy"].as<std::int64_t>());
  options.deaf_engines = values["deaf"].as<double>();
  options.switch_within = Common::Milliseconds(10000);
  return options;
}

int Run(int argc, char** argv)
{
  po::options_description description("holdpost-routing-bench");
  auto add = description.add_options();
  add("help", "print this");
  add("halls", po::value<std::size_t>()->default_value(3), "data halls");
  add("gateways", po::value<std::size_t>()->default_value(39), "gateways in all halls");
  add("targets", po::value<std::size_t>()->default_value(45), "targets at the start");
  add("added", po::value<std::size_t>()->default_value(30), "targets added from second 5 to 10");
  add("slots", po::value<std::uint32_t>()->default_value(12), "requests that an engine runs");
  add("arrivals", po::value<double>()->default_value(500), "requests a second at the peak");
  add("seconds", po::value<std::int64_t>()->default_value(30), "length of the run");
  add("push-at", po::value<std::int64_t>(), "second at which new weights are named");
  add("copy", po::value<std::int64_t>()->default_value(4),
      "seconds until a target has the new weights");
  add("deaf", po::value<double>()->default_value(0),
      "part of the engines that go on with requests whose connection was closed");
  add("seeds", po::value<std::uint64_t>()->default_value(3), "runs of each policy");
  add("windows", po::bool_switch(), "print each two seconds");
  add("baselines", po::bool_switch(), "run the simple ways, too");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.count("help") > 0)
  {
    std::cout << description << "\n";
    return 0;
  }
  std::vector<std::pair<Policy, std::string>> policies = {{Policy::Gateway, "gateway"}};
  if (values["baselines"].as<bool>())
  {
    policies.emplace_back(Policy::GatewayWithoutAdmission, "gateway without admission");
    policies.emplace_back(Policy::FewestInFlight, "fewest in flight");
    policies.emplace_back(Policy::RoundRobin, "round robin");
  }
  RoutingOptions options = MakeOptions(values);
  for (const auto& [policy, name] : policies)
  {
    for (std::uint64_t seed = 1; seed <= values["seeds"].as<std::uint64_t>(); ++seed)
    {
      options.policy = policy;
      options.seed = seed;
      const RoutingReport report = RoutingWorld(options).Run();
      fmt::print("{} seed {}: {}\n", name, seed, report.Summary());
      if (values["windows"].as<bool>())
        fmt::print("{}", report.Windows());
      std::fflush(stdout);
    }
  }
  return 0;
}
} // namespace

int main(int argc, char** argv)
{
  try
  {
    return Run(argc, argv);
  }
  catch (const std::exception& error)
  {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
