// SPDX-License-Identifier: Apache-2.0
#include <csignal>
#include <cstdio>
#include <optional>

#include <fmt/format.h>

#include "Common/Program.h"
#include "Standin/BaselineFetchers.h"
#include "Standin/EngineStandin.h"
#include "Standin/PlatformStandin.h"
#include "Standin/ServiceStandin.h"

// Stand-ins for what surrounds the system, for tests and first runs only.
namespace
{
using namespace Holdpost;

std::vector<Common::Address> AsList(Common::Address address)
{
  return {std::move(address)};
}

std::vector<Common::Address> AsList(std::vector<Common::Address> addresses)
{
  return addresses;
}

// Holds an exit code if the settings are bad, or were only to be checked.
template <typename Config>
std::optional<int> FinishEarly(const std::variant<Config, Common::Problems>& config,
                               bool check_only)
{
  if (const auto* problems = std::get_if<Common::Problems>(&config))
  {
    fmt::print(stderr, "{}", Common::JoinProblems(*problems));
    return Common::EXIT_BAD_INPUT;
  }
  if (check_only)
    return Common::EXIT_OK;
  return std::nullopt;
}

// Listens, prints the addresses and serves until SIGTERM.
template <typename Standin, typename Config>
int Serve(const std::variant<Config, Common::Problems>& config, bool check_only)
{
  if (const auto done = FinishEarly(config, check_only))
    return *done;
  std::signal(SIGPIPE, SIG_IGN);
  Common::EventLoop loop;
  Standin standin(loop, std::get<Config>(config));
  auto listening = standin.Listen();
  if (const auto* error = std::get_if<Common::Error>(&listening))
  {
    fmt::print(stderr, "E standin: {}.\n", error->message);
    return Common::EXIT_FAILED;
  }
  fmt::print("listening");
  for (const Common::Address& address : AsList(std::move(std::get<0>(listening))))
    fmt::print(" address={}", address.ToString());
  fmt::print("\n");
  std::fflush(stdout);
  const auto stop = [&loop] { loop.Stop(); };
  const auto term = loop.WatchSignal(SIGTERM, stop);
  const auto interrupt = loop.WatchSignal(SIGINT, stop);
  loop.Run();
  return Common::EXIT_OK;
}

// Runs a baseline of BurstBench to its end; prints the seconds of each fetcher.
int RunBaseline(const std::variant<Standin::BaselineConfig, Common::Problems>& config,
                bool check_only)
{
  if (const auto done = FinishEarly(config, check_only))
    return *done;
  std::signal(SIGPIPE, SIG_IGN);
  Common::EventLoop loop;
  Standin::BaselineFetchers fetchers(loop, std::get<Standin::BaselineConfig>(config));
  const auto result = fetchers.Run();
  if (const auto* error = std::get_if<Common::Error>(&result))
  {
    fmt::print(stderr, "E standin: {}.\n", error->message);
    return Common::EXIT_FAILED;
  }
  for (const double seconds : std::get<std::vector<double>>(result))
    fmt::print("{:.3f}\n", seconds);
  return Common::EXIT_OK;
}

constexpr const char* USAGE = "usage: holdpost-standin platform|engine|service|baseline --config "
                              "FILE\n\n"
                              "Takes the place of the platform, a model engine or a plain service "
                              "in tests and first runs.\n";
} // namespace

int main(int argc, char** argv)
{
  const std::string command = argc > 1 ? argv[1] : "";
  const bool is_known =
      command == "platform" || command == "engine" || command == "service" || command == "baseline";
  if (!is_known && command != "--version")
  {
    const bool is_help = command == "--help" || command == "-h";
    fmt::print(is_help ? stdout : stderr, "{}", USAGE);
    return is_help ? Common::EXIT_OK : Common::EXIT_BAD_INPUT;
  }
  const int skipped = is_known ? 2 : 1;
  const auto parsed = Common::ParseDaemonOptions(
      "holdpost-standin", "A stand-in for tests and first runs.", {argv + skipped, argv + argc});
  if (const int* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  const auto& options = std::get<Common::DaemonOptions>(parsed);
  if (command == "platform")
  {
    return Serve<Standin::PlatformStandin>(Standin::ReadPlatformConfig(options.config_file),
                                           options.check_only);
  }
  if (command == "baseline")
    return RunBaseline(Standin::ReadBaselineConfig(options.config_file), options.check_only);
  if (command == "engine")
  {
    return Serve<Standin::EngineStandin>(Standin::ReadEngineConfig(options.config_file),
                                         options.check_only);
  }
  return Serve<Standin::ServiceStandin>(Standin::ReadServiceConfig(options.config_file),
                                        options.check_only);
}
