// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Common/Types.h"

// Counters, gauges, quantiles and histograms of one process, in the Prometheus text form.
// A registry belongs to one task and is not shared between threads.
namespace Holdpost::Common
{
class Quantiles;
class Histogram;

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // `label` is empty or one pair such as reason="queue_full".
  void Add(std::string_view name, std::string_view label = {}, std::uint64_t amount = 1);
  void Set(std::string_view name, double value, std::string_view label = {});
  // Durations are reported in seconds, as 0.5, 0.95 and 0.99 quantiles.
  void Observe(std::string_view name, Duration value, std::string_view label = {});
  // Durations are counted in buckets from 5 ms to 10 s.
  void Record(std::string_view name, Duration value, std::string_view label = {});

  std::uint64_t Counter(std::string_view name, std::string_view label = {}) const;
  std::string Render() const;

private:
  std::map<std::string, std::uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
  std::map<std::string, std::unique_ptr<Quantiles>> m_quantiles;
  std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

// The label of a counter by reason: reason="NAME".
std::string Reason(std::string_view name);
// The labels of a request's times: service="NAME",outcome="NAME".
std::string ServiceOutcome(std::string_view service, std::string_view outcome);
} // namespace Holdpost::Common
