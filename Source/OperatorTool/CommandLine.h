// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include "Common/Program.h"
#include "Common/YamlReader.h"
#include "OperatorTool/Commands.h"

// What the subcommands' command lines share.
template <>
struct fmt::formatter<boost::program_options::options_description> : fmt::ostream_formatter
{
};

namespace Holdpost::OperatorTool
{
namespace po = boost::program_options;

// Parses one subcommand's arguments; `positional` names the option that takes a bare argument.
class CommandLine
{
public:
  CommandLine(std::string name, std::string summary, const std::string& positional)
      : m_name(std::move(name)), m_summary(std::move(summary)), m_known("Options")
  {
    m_known.add_options()("help,h", "print this text and exit");
    if (!positional.empty())
      m_positional.add(positional.c_str(), 1);
  }

  po::options_description_easy_init Add() { return m_known.add_options(); }

  // Holds an exit code if the command is done already.
  std::optional<int> Parse(const Arguments& arguments)
  {
    try
    {
      po::store(po::command_line_parser(arguments).options(m_known).positional(m_positional).run(),
                m_given);
      if (m_given.count("help"))
      {
        fmt::print("usage: holdpost {} [options]\n\n{}\n\n{}", m_name, m_summary, m_known);
        return Common::EXIT_OK;
      }
      po::notify(m_given);
    }
    catch (const po::error& error)
    {
      fmt::print(stderr, "holdpost {}: {}; see --help\n", m_name, error.what());
      return Common::EXIT_BAD_INPUT;
    }
    return std::nullopt;
  }

  bool Has(const std::string& option) const { return m_given.count(option) > 0; }

private:
  std::string m_name;
  std::string m_summary;
  po::options_description m_known;
  po::positional_options_description m_positional;
  po::variables_map m_given;
};

// The addresses behind a repeated option; prints and returns nothing if one is malformed.
inline std::optional<std::vector<Common::Address>>
ParseAddresses(const std::vector<std::string>& texts, const std::string& option)
{
  std::vector<Common::Address> addresses;
  if (texts.empty())
  {
    fmt::print(stderr, "holdpost: --{} is needed, here or in the settings file\n", option);
    return std::nullopt;
  }
  for (const std::string& text : texts)
  {
    const auto address = Common::ParseAddress(text);
    if (!address || address->port == 0)
    {
      fmt::print(stderr, "holdpost: --{}: found '{}', expected an IP number and port\n", option,
                 text);
      return std::nullopt;
    }
    addresses.push_back(*address);
  }
  return addresses;
}

inline int Fail(const Common::Error& error)
{
  fmt::print(stderr, "holdpost: {}\n", error.message);
  return Common::EXIT_FAILED;
}
} // namespace Holdpost::OperatorTool
