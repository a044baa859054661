// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

#include "Core/Gateway/TargetTable.h"
#include "Support/Engines.h"

// A target table with two targets of a model service, and functions that make targets and load
// reports.
namespace Holdpost::Gateway::TableTesting
{
using Common::Milliseconds;

inline const Common::TimePoint START{std::chrono::hours(1)};

inline ListedTarget MakeTarget(const std::string& id, const std::string& hall = "here")
{
  ListedTarget target;
  target.id = id;
  target.service = "llm";
  target.hall = hall;
  target.address = {"10.0.0." + id, 80};
  target.slots = 16;
  target.needs_weights = true;
  target.weights_version = 1;
  return target;
}

inline TargetLoad MakeLoad(const ListedTarget& target, std::uint32_t running)
{
  TargetLoad load;
  load.address = target.address;
  load.running = running;
  load.weights_version = target.weights_version;
  return load;
}

struct TargetTableFixture
{
  TargetTableFixture()
  {
    table.SetEngine("llm", Testing::MakeEngine(16));
    table.SetList({one, two}, START);
  }
  std::optional<TargetChoice> Choose(const TargetQuery& query = {"llm", 1000, 100, {}, {}})
  {
    return table.Choose(query, now);
  }

  ListedTarget one = MakeTarget("1");
  ListedTarget two = MakeTarget("2");
  TargetTable table{"here"};
  Common::TimePoint now = START;
};
} // namespace Holdpost::Gateway::TableTesting
