// SPDX-License-Identifier: Apache-2.0
#include "Common/YamlReader.h"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace Holdpost::Common
{
std::string Problem::ToString() const
{
  if (line == 0)
    return fmt::format("{}: {}", file, text);
  if (field.empty())
    return fmt::format("{}:{}: {}", file, line, text);
  return fmt::format("{}:{}: {}: {}", file, line, field, text);
}

std::string JoinProblems(const Problems& problems)
{
  std::string text;
  for (const Problem& problem : problems)
    text += problem.ToString() + "\n";
  return text;
}

std::variant<YAML::Node, Problems> LoadYaml(const std::string& file)
{
  try
  {
    return YAML::LoadFile(file);
  }
  catch (const YAML::BadFile&)
  {
    return Problems{{file, 0, "", "the file cannot be read"}};
  }
  catch (const YAML::Exception& error)
  {
    return Problems{{file, error.mark.line + 1, "", "found no valid YAML: " + error.msg}};
  }
}

static std::string Describe(const YAML::Node& node)
{
  if (!node.IsDefined() || node.IsNull())
    return "nothing";
  if (node.IsMap())
    return "a map";
  if (node.IsSequence())
    return "a list";
  return "'" + node.Scalar() + "'";
}

YamlReader::YamlReader(std::string file, const YAML::Node& map, std::string prefix,
                       Problems* problems)
    : m_file(std::move(file)), m_map(map), m_prefix(std::move(prefix)), m_problems(problems)
{
  if (m_map.IsDefined() && !m_map.IsNull() && !m_map.IsMap())
  {
    Report(m_map, "", fmt::format("found {}, expected a map", Describe(m_map)));
    m_map = YAML::Node();
  }
}

std::string YamlReader::FieldPath(const std::string& field) const
{
  if (m_prefix.empty() || field.empty())
    return m_prefix + field;
  return m_prefix + "." + field;
}

void YamlReader::Report(const YAML::Node& at, const std::string& field, std::string text)
{
  int line = 1;
  if (at.IsDefined() && at.Mark().line >= 0)
    line = at.Mark().line + 1;
  else if (m_map.IsDefined() && m_map.Mark().line >= 0)
    line = m_map.Mark().line + 1;
  m_problems->push_back({m_file, line, FieldPath(field), std::move(text)});
}

YAML::Node YamlReader::Take(const std::string& field)
{
  m_known.insert(field);
  if (!m_map.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  const YAML::Node& map = m_map; // the const operator adds nothing
  return map[field];
}

bool YamlReader::Has(const std::string& field) const
{
  const YAML::Node& map = m_map;
  return map.IsMap() && map[field].IsDefined();
}

std::string YamlReader::String(const std::string& field, const std::string& fallback)
{
  const YAML::Node node = Take(field);
  if (!node.IsDefined())
    return fallback;
  if (!node.IsScalar() || node.Scalar().empty())
  {
    Report(node, field, fmt::format("found {}, expected a text", Describe(node)));
    return fallback;
  }
  return node.Scalar();
}

std::string YamlReader::RequiredString(const std::string& field)
{
  if (!Has(field))
  {
    m_known.insert(field);
    Report(m_map, field, "found nothing, expected a text");
    return "";
  }
  return String(field, "");
}

std::int64_t YamlReader::Integer(const std::string& field, std::int64_t fallback,
                                 std::int64_t least, std::int64_t most)
{
  const YAML::Node node = Take(field);
  if (!node.IsDefined())
    return fallback;
  std::int64_t value = 0;
  if (node.IsScalar())
  {
    const std::string& text = node.Scalar();
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && end == text.data() + text.size() && value >= least && value <= most)
      return value;
  }
  Report(
      node, field,
      fmt::format("found {}, expected a whole number from {} to {}", Describe(node), least, most));
  return fallback;
}

double YamlReader::Real(const std::string& field, double fallback, double least, double most)
{
  const YAML::Node node = Take(field);
  if (!node.IsDefined())
    return fallback;
  double value = 0;
  if (node.IsScalar() && YAML::convert<double>::decode(node, value) && value >= least &&
      value <= most)
    return value;
  Report(node, field,
         fmt::format("found {}, expected a number from {} to {}", Describe(node), least, most));
  return fallback;
}

bool YamlReader::Boolean(const std::string& field, bool fallback)
{
  const YAML::Node node = Take(field);
  if (!node.IsDefined())
    return fallback;
  if (node.IsScalar() && node.Scalar() == "true")
    return true;
  if (node.IsScalar() && node.Scalar() == "false")
    return false;
  Report(node, field, fmt::format("found {}, expected true or false", Describe(node)));
  return fallback;
}

std::optional<Address> ParseAddress(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  in_addr ignored{};
  if (error != std::errc() || end != port.data() + port.size() ||
      address.host.find('\0') != std::string::npos ||
      inet_pton(AF_INET, address.host.c_str(), &ignored) != 1)
    return std::nullopt;
  return address;
}

std::optional<Address> ParsePeerAddress(std::string_view text)
{
  static constexpr in_addr_t FIRST_MULTICAST = 0xe0000000;
  const std::optional<Address> address = ParseAddress(text);
  in_addr raw{};
  if (!address || address->port == 0 || inet_pton(AF_INET, address->host.c_str(), &raw) != 1)
    return std::nullopt;
  const in_addr_t number = ntohl(raw.s_addr);
  return number != INADDR_ANY && number < FIRST_MULTICAST ? address : std::nullopt;
}

Address YamlReader::ReadAddress(const std::string& field, bool required, bool allow_port_zero)
{
  const YAML::Node node = Take(field);
  if (!node.IsDefined())
  {
    if (required)
      Report(m_map, field, "found nothing, expected an IP number and port such as 10.0.0.1:80");
    return {};
  }
  if (node.IsScalar())
  {
    const auto address = ParseAddress(node.Scalar());
    if (address && (allow_port_zero || address->port != 0))
      return *address;
  }
  Report(
      node, field,
      fmt::format("found {}, expected an IP number and port such as 10.0.0.1:80", Describe(node)));
  return {};
}

std::vector<Address> YamlReader::AddressList(const std::string& field)
{
  const YAML::Node node = Take(field);
  std::vector<Address> addresses;
  if (!node.IsDefined())
    return addresses;
  if (!node.IsSequence())
  {
    Report(node, field, fmt::format("found {}, expected a list of addresses", Describe(node)));
    return addresses;
  }
  for (const YAML::Node& item : node)
  {
    const auto address = item.IsScalar() ? ParseAddress(item.Scalar()) : std::nullopt;
    if (address && address->port != 0)
      addresses.push_back(*address);
    else
      Report(item, field, fmt::format("found {}, expected an IP number and port", Describe(item)));
  }
  return addresses;
}

YAML::Node YamlReader::Child(const std::string& field)
{
  return Take(field);
}

YamlReader YamlReader::Section(const std::string& field)
{
  return {m_file, Take(field), FieldPath(field), m_problems};
}

void YamlReader::Finish()
{
  if (!m_map.IsMap())
    return;
  std::string expected;
  for (const std::string& name : m_known)
    expected += (expected.empty() ? "" : ", ") + name;
  std::set<std::string> seen;
  for (const auto& entry : m_map)
  {
    const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
    if (!m_known.contains(name))
      Report(entry.first, name,
             fmt::format("found an unknown field, expected one of {}", expected));
    else if (!seen.insert(name).second)
      Report(entry.first, name, "found twice, expected once");
  }
}
} // namespace Holdpost::Common
