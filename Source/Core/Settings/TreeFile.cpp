// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/TreeFile.h"

#include <fmt/format.h>

namespace Holdpost::Settings
{
using Common::Problems;
using Common::YamlReader;

namespace
{
// Where things stand in the file, so that problems of the whole tree still name a line.
struct Lines
{
  std::map<Path, int> nodes;
  std::map<std::pair<Path, std::string>, int> fields;
};

std::string ExpectedFields()
{
  std::string names;
  for (const FieldRule& rule : FieldRules())
    names += fmt::format("{}{}", names.empty() ? "" : ", ", rule.name);
  return names;
}

void ReadValues(const YAML::Node& settings, const Path& path, YamlReader& reader, Node* node,
                Lines* lines)
{
  if (!settings.IsDefined() || settings.IsNull())
    return;
  if (!settings.IsMap())
  {
    reader.Report(settings, "settings", "expected a map of fields");
    return;
  }
  for (const auto& entry : settings)
  {
    const std::string name = entry.first.Scalar();
    const std::string field = "settings." + name;
    const FieldRule* rule = FindRule(name);
    if (!rule)
    {
      reader.Report(entry.first, field,
                    fmt::format("found an unknown field, expected one of {}", ExpectedFields()));
      continue;
    }
    if (!entry.second.IsScalar())
    {
      reader.Report(entry.first, field, "found no single value, expected one");
      continue;
    }
    if (!node->values.emplace(rule->field, ParseValue(*rule, entry.second.Scalar())).second)
      reader.Report(entry.first, field, "found twice, expected once");
    lines->fields[{path, name}] = entry.first.Mark().line + 1;
  }
}

void ReadNode(const std::string& file, const YAML::Node& item, std::size_t index, Tree* tree,
              Lines* lines, Problems* problems)
{
  YamlReader reader(file, item, fmt::format("nodes[{}]", index), problems);
  const std::string text = reader.RequiredString("path");
  const YAML::Node settings = reader.Child("settings");
  reader.Finish();
  if (text.empty())
    return;
  if (const std::string problem = Path::Explain(text); !problem.empty())
  {
    reader.Report(item["path"], "path", problem);
    return;
  }
  const Path path = *Path::Parse(text);
  Node node;
  ReadValues(settings, path, reader, &node, lines);
  if (!tree->emplace(path, std::move(node)).second)
  {
    reader.Report(item, "path",
                  fmt::format("found {} twice, the first is on line {}", text, lines->nodes[path]));
    return;
  }
  lines->nodes[path] = item.Mark().line + 1;
}

int LineOf(const Lines& lines, const TreeProblem& problem)
{
  const auto field = lines.fields.find({problem.path, problem.field});
  if (field != lines.fields.end())
    return field->second;
  // A problem of a place is shown at the nearest node that the file has for it.
  int line = 1;
  for (const auto& [path, node_line] : lines.nodes)
  {
    if (path.Covers(problem.path) && path.Depth() != Level::Root)
      line = node_line;
  }
  const auto exact = lines.nodes.find(problem.path);
  return exact == lines.nodes.end() ? line : exact->second;
}
} // namespace

std::variant<Tree, Problems> ReadTreeFile(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  Lines lines;
  Tree tree;
  YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  const YAML::Node nodes = reader.Child("nodes");
  reader.Finish();
  if (!nodes.IsDefined() || !nodes.IsSequence())
    reader.Report(nodes, "nodes", "expected a list of nodes");
  else
  {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      ReadNode(file, nodes[i], i, &tree, &lines, &problems);
  }
  if (!problems.empty())
    return problems;
  for (const TreeProblem& problem : CheckTree(tree))
  {
    const std::string field = problem.field.empty() ? problem.path.ToString()
                                                    : problem.path.ToString() + " " + problem.field;
    problems.push_back({file, LineOf(lines, problem), field, problem.text});
  }
  if (!problems.empty())
    return problems;
  return tree;
}

std::string WriteTree(const Tree& tree)
{
  std::string text = "nodes:\n";
  for (const auto& [path, node] : tree)
  {
    text += fmt::format("  - path: {}\n",
                        path.HasWildcard() ? "\"" + path.ToString() + "\"" : path.ToString());
    if (node.values.empty())
      continue;
    text += "    settings:\n";
    for (const auto& [field, value] : node.values)
      text += fmt::format("      {}: {}\n", RuleFor(field).name, ValueText(value));
  }
  return text;
}
} // namespace Holdpost::Settings
