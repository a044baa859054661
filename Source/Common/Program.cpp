// SPDX-License-Identifier: Apache-2.0
#include "Common/Program.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include "Common/Log.h"

template <>
struct fmt::formatter<boost::program_options::options_description> : fmt::ostream_formatter
{
};

namespace Holdpost::Common
{
namespace po = boost::program_options;

std::variant<DaemonOptions, int> ParseDaemonOptions(const std::string& program,
                                                    const std::string& summary,
                                                    const std::vector<std::string>& arguments)
{
  DaemonOptions options;
  std::string level_name = "info";
  po::options_description known("Options");
  known.add_options()("help,h", "print this text and exit");
  known.add_options()("version", "print the version and exit");
  known.add_options()("config,c", po::value(&options.config_file)->value_name("FILE"),
                      "settings of this process, in YAML");
  known.add_options()("check", "check the settings, print every problem and exit");
  known.add_options()("log-level", po::value(&level_name)->value_name("LEVEL"),
                      "error, warning, info or debug (default: info)");
  po::variables_map given;
  try
  {
    po::store(po::command_line_parser(arguments).options(known).run(), given);
    po::notify(given);
  }
  catch (const po::error& error)
  {
    fmt::print(stderr, "{}: {}; see --help\n", program, error.what());
    return EXIT_BAD_INPUT;
  }
  if (given.count("help"))
  {
    fmt::print("usage: {} --config FILE [options]\n\n{}\n\n{}", program, summary, known);
    fmt::print("\nExit codes: 0 done, 1 failed, 2 bad arguments or settings.\n");
    return EXIT_OK;
  }
  if (given.count("version"))
  {
    fmt::print("{} {}\n", program, HOLDPOST_VERSION);
    return EXIT_OK;
  }
  LogLevel level = LogLevel::Info;
  if (!ParseLogLevel(level_name, &level))
  {
    fmt::print(stderr, "{}: --log-level: found '{}', expected error, warning, info or debug\n",
               program, level_name);
    return EXIT_BAD_INPUT;
  }
  SetLogLevel(level);
  if (options.config_file.empty())
  {
    fmt::print(stderr, "{}: --config is needed; see --help\n", program);
    return EXIT_BAD_INPUT;
  }
  options.check_only = given.count("check") > 0;
  return options;
}
} // namespace Holdpost::Common
