// SPDX-License-Identifier: Apache-2.0
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Core/Distribution/Neighbours.h"
#include "Core/Distribution/Ranking.h"
#include "Core/Placement/Placement.h"
#include "Core/Settings/Effective.h"
#include "Core/Settings/Fold.h"

// What the settings cost at size: folding records, a snapshot, and a plan for one hall.
namespace
{
using namespace Holdpost;
using namespace Holdpost::Settings;

constexpr int REGIONS = 5;
constexpr int HALLS = 14;
constexpr int SERVICES = 20;
constexpr int ORGANISATIONS = 200;

double MillisecondsSince(std::chrono::steady_clock::time_point start)
{
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

double ResidentMib()
{
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * 4096 / (1 << 20);
}

Tree MakeTree()
{
  Tree tree;
  tree[Path()];
  for (int region = 0; region < REGIONS; ++region)
    tree[*Path::Parse(fmt::format("/region-{}", region))];
  for (int hall = 0; hall < HALLS; ++hall)
    tree[*Path::Parse(fmt::format("/region-{}/hall-{}", hall % REGIONS, hall))];
  for (int service = 0; service < SERVICES; ++service)
  {
    tree[*Path::Parse(fmt::format("/*/*/service-{}", service))].values = {
        {Field::Pool, "pool"},
        {Field::Model, fmt::format("model-{}", service)},
        {Field::Version, Common::Sha256("v").ToHex()}};
  }
  for (int organisation = 0; organisation < ORGANISATIONS; ++organisation)
  {
    tree[*Path::Parse(fmt::format("/*/*/*/organisation-{}", organisation))].values = {
        {Field::CredentialSha256, Common::Sha256(fmt::format("{}", organisation)).ToHex()}};
  }
  return tree;
}

// Changes of the usual kinds: a version, a quota, a hall's number.
Change MakeChange(const Fold& fold, int number)
{
  Path path;
  Values values;
  switch (number % 3)
  {
  case 0:
    path = *Path::Parse(fmt::format("/*/*/service-{}", number % SERVICES));
    values = fold.AcceptedTree().at(path).values;
    values[Field::Version] = Common::Sha256(fmt::format("version {}", number)).ToHex();
    break;
  case 1:
    path = *Path::Parse(fmt::format("/*/*/*/organisation-{}", number % ORGANISATIONS));
    values = fold.AcceptedTree().at(path).values;
    values[Field::TokensPerSecond] = std::int64_t(number);
    break;
  default:
    path =
        *Path::Parse(fmt::format("/region-{}/hall-{}", number % HALLS % REGIONS, number % HALLS));
    values = {{Field::Neighbours, std::int64_t(1 + number % 200)}};
    break;
  }
  return {fmt::format("id-{}", number), "bench", {{path, fold.NodeOffset(path), values}}};
}
// What an agent works out when the view of the others changes, at three sizes.
void PrintPlacementCost(const Tree& tree)
{
  for (const int count : {300, 1100, 4900})
  {
    std::vector<Placement::PlacedAgent> agents;
    std::vector<Distribution::NeighbourCandidate> candidates;
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i)
    {
      names.push_back(fmt::format("agent-{}", i));
      agents.push_back({names.back(), fmt::format("hall-{}", i % HALLS), "pool"});
      candidates.push_back({names.back(), fmt::format("hall-{}", i % HALLS), {}});
    }
    auto start = std::chrono::steady_clock::now();
    const auto wanted = Placement::WantedVersions(tree, agents);
    const double wanted_ms = MillisecondsSince(start);
    start = std::chrono::steady_clock::now();
    const auto neighbours =
        Distribution::ChooseNeighbours(Common::Sha256("v"), "agent-0", "hall-0", candidates, 16);
    const double neighbours_ms = MillisecondsSince(start);
    start = std::chrono::steady_clock::now();
    const auto ranks = Distribution::RankPieces(Common::Sha256("v"), 4096, "agent-0", names);
    const double ranks_ms = MillisecondsSince(start);
    fmt::print(
        "{} agents: versions wanted by {} in {:.2f} ms, {} neighbours in {:.2f} ms, ranks of "
        "{} pieces in {:.1f} ms\n",
        count, wanted.size(), wanted_ms, neighbours.size(), neighbours_ms, ranks.size(), ranks_ms);
  }
}
} // namespace

int main(int argc, char** argv)
{
  const int records = argc > 1 ? std::stoi(argv[1]) : 12000;
  Fold writer;
  Change first = ChangeBetween(writer, MakeTree());
  first.id = "first";
  std::vector<LogRecord> log = {{1, EncodeRecord(first)}};
  writer.Apply(log.back());
  for (int number = 1; number < records; ++number)
  {
    log.push_back({log.size() + 1, EncodeRecord(MakeChange(writer, number))});
    writer.Apply(log.back());
  }
  const double before = ResidentMib();
  auto start = std::chrono::steady_clock::now();
  Fold reader;
  reader.ApplyAll(log);
  const double fold_ms = MillisecondsSince(start);
  const double grown = ResidentMib() - before;
  start = std::chrono::steady_clock::now();
  const std::string state = reader.Serialize();
  const double write_ms = MillisecondsSince(start);
  Fold late;
  start = std::chrono::steady_clock::now();
  late.Adopt(reader.Position(), state);
  const double adopt_ms = MillisecondsSince(start);
  start = std::chrono::steady_clock::now();
  const auto plans = Placement::PlansFor(reader.AcceptedTree(), "hall-3");
  const double plan_ms = MillisecondsSince(start);
  start = std::chrono::steady_clock::now();
  const Effective effective(reader.AcceptedTree(),
                            MakePlace("region-3", "hall-3", "service-1", "organisation-7"));
  const double effective_ms = MillisecondsSince(start);
  fmt::print("{} records, {} nodes, all accepted: {}\n", records, reader.AcceptedTree().size(),
             reader.AcceptedOffset() == reader.Position());
  fmt::print("fold {:.1f} ms, {:.1f} us a record, {:.1f} MiB more\n", fold_ms,
             1000 * fold_ms / records, grown);
  fmt::print("snapshot of {} bytes: write {:.2f} ms, adopt {:.2f} ms\n", state.size(), write_ms,
             adopt_ms);
  fmt::print("plans of one hall, {} services: {:.3f} ms; settings of one request: {:.3f} ms\n",
             plans.size(), plan_ms, effective_ms);
  PrintPlacementCost(reader.AcceptedTree());
  return 0;
}
