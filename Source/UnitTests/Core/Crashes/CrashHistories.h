// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

// Random histories of a fleet whose engines end under crashing parts or from outside, for tests of
// the inference of causes.
namespace Holdpost::Crashes
{
// What happens in a history, and how often.
struct HistoryOptions
{
  int engines = 12;
  // The inference is that of one of them.
  int gateways = 7;
  double requests_per_second = 100;
  // How many first parts the prompts have among them.
  int first_parts = 10;
  double culprit_share = 0;
  int culprits = 1;
  // Engines that are killed from outside, each second, and how many at once.
  double kills_per_second = 0;
  int killed_at_once = 1;
  int seconds = 9;
  // All processes have just started when the trouble begins.
  bool begins_in_trouble = false;
};

// Sums over several histories.
struct HistoriesOutcome
{
  std::size_t sound_blocked = 0;
  std::size_t culprits_found = 0;
  int most_crashes = 0;
  double mean_crashes = 0;
};

// Plays histories with the seeds 1 to `histories`.
HistoriesOutcome PlayHistories(const HistoryOptions& options, int histories);
} // namespace Holdpost::Crashes
