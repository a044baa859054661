// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "Common/Error.h"

// Checked reading of YAML. Every problem names file, line and field, says what was found and what
// was expected; all problems of a file are reported, not just the first.
namespace Holdpost::Common
{
struct Problem
{
  std::string file;
  int line = 0; // from 1; 0 if it concerns the whole file
  std::string field;
  std::string text;

  std::string ToString() const;
};

using Problems = std::vector<Problem>;

std::string JoinProblems(const Problems& problems);

// Loads one document. The problem list has one entry on failure.
std::variant<YAML::Node, Problems> LoadYaml(const std::string& file);

// Reads the known fields of one map. Finish reports every field that nobody asked for.
class YamlReader
{
public:
  YamlReader(std::string file, const YAML::Node& map, std::string prefix, Problems* problems);

  bool Has(const std::string& field) const;
  std::string String(const std::string& field, const std::string& fallback);
  std::string RequiredString(const std::string& field);
  std::int64_t Integer(const std::string& field, std::int64_t fallback, std::int64_t least,
                       std::int64_t most);
  double Real(const std::string& field, double fallback, double least, double most);
  bool Boolean(const std::string& field, bool fallback);
  // "IP:port"; port 0 is allowed where the kernel may choose.
  Address ReadAddress(const std::string& field, bool required, bool allow_port_zero);
  std::vector<Address> AddressList(const std::string& field);
  YAML::Node Child(const std::string& field);
  YamlReader Section(const std::string& field);
  void Finish();

  void Report(const YAML::Node& at, const std::string& field, std::string text);
  std::string FieldPath(const std::string& field) const;

private:
  YAML::Node Take(const std::string& field);

  std::string m_file;
  YAML::Node m_map;
  std::string m_prefix;
  Problems* m_problems;
  std::set<std::string> m_known;
};

std::optional<Address> ParseAddress(std::string_view text);
// An address that a connection can be made to: it has a port, and an IP number of one host.
std::optional<Address> ParsePeerAddress(std::string_view text);
} // namespace Holdpost::Common
