// SPDX-License-Identifier: Apache-2.0
#include "Common/Metrics.h"

#include <array>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace Holdpost::Common
{
namespace acc = boost::accumulators;

static constexpr std::array<double, 3> PROBABILITIES = {0.5, 0.95, 0.99};

// The P-square estimate keeps a few markers, however many samples it has seen.
class Quantiles
{
public:
  Quantiles() : m_set(acc::extended_p_square_probabilities = PROBABILITIES) {}

  void Add(double value) { m_set(value); }
  double At(std::size_t i) const
  {
    return acc::extended_p_square(m_set)[static_cast<std::ptrdiff_t>(i)];
  }
  double Sum() const { return acc::sum(m_set); }
  std::size_t Count() const { return acc::count(m_set); }

private:
  acc::accumulator_set<double,
                       acc::stats<acc::tag::extended_p_square, acc::tag::sum, acc::tag::count>>
      m_set;
};

static const std::vector<double> BUCKET_BOUNDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                  0.5,   1,    2.5,   5,    10};

class Histogram
{
public:
  void Add(double value)
  {
    m_counts(value);
    m_sum += value;
  }
  double Sum() const { return m_sum; }
  // Samples up to the i-th bound, or all of them behind the last.
  std::uint64_t CountUpTo(std::size_t i) const
  {
    double count = 0;
    for (int bin = -1; bin < static_cast<int>(i); ++bin)
      count += m_counts.at(bin);
    return static_cast<std::uint64_t>(count);
  }
  std::uint64_t Count() const { return CountUpTo(BUCKET_BOUNDS.size()); }

private:
  using Axis = boost::histogram::axis::variable<>;

  decltype(boost::histogram::make_histogram(Axis())) m_counts =
      boost::histogram::make_histogram(Axis(BUCKET_BOUNDS));
  double m_sum = 0;
};

static std::string Key(std::string_view name, std::string_view label)
{
  if (label.empty())
    return std::string(name);
  return fmt::format("{}{{{}}}", name, label);
}

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(std::string_view name, std::string_view label, std::uint64_t amount)
{
  m_counters[Key(name, label)] += amount;
}

void Metrics::Set(std::string_view name, double value, std::string_view label)
{
  m_gauges[Key(name, label)] = value;
}

void Metrics::Observe(std::string_view name, Duration value, std::string_view label)
{
  auto& quantiles = m_quantiles[Key(name, label)];
  if (!quantiles)
    quantiles = std::make_unique<Quantiles>();
  quantiles->Add(std::chrono::duration<double>(value).count());
}

void Metrics::Record(std::string_view name, Duration value, std::string_view label)
{
  auto& histogram = m_histograms[Key(name, label)];
  if (!histogram)
    histogram = std::make_unique<Histogram>();
  histogram->Add(std::chrono::duration<double>(value).count());
}

std::uint64_t Metrics::Counter(std::string_view name, std::string_view label) const
{
  const auto found = m_counters.find(Key(name, label));
  return found == m_counters.end() ? 0 : found->second;
}

// A key's name, and its labels with a comma behind.
struct KeyParts
{
  explicit KeyParts(const std::string& key) : name(key)
  {
    const auto brace = key.find('{');
    if (brace == std::string::npos)
      return;
    name = key.substr(0, brace);
    labels = key.substr(brace + 1, key.size() - brace - 2) + ",";
  }
  // The labels in braces, or nothing.
  std::string Braced() const
  {
    return labels.empty() ? "" : "{" + labels.substr(0, labels.size() - 1) + "}";
  }

  std::string name;
  std::string labels;
};

static std::string HistogramLines(const std::string& key, const Histogram& histogram)
{
  const KeyParts parts(key);
  std::string text;
  for (std::size_t i = 0; i < BUCKET_BOUNDS.size(); ++i)
  {
    text += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", parts.name, parts.labels, BUCKET_BOUNDS[i],
                        histogram.CountUpTo(i));
  }
  text +=
      fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", parts.name, parts.labels, histogram.Count());
  text += fmt::format("{}_sum{} {:.6f}\n", parts.name, parts.Braced(), histogram.Sum());
  text += fmt::format("{}_count{} {}\n", parts.name, parts.Braced(), histogram.Count());
  return text;
}

static std::string QuantileLines(const std::string& key, const Quantiles& quantiles)
{
  const KeyParts parts(key);
  std::string text;
  for (std::size_t i = 0; i < PROBABILITIES.size(); ++i)
  {
    text += fmt::format("{}{{{}quantile=\"{}\"}} {:.6f}\n", parts.name, parts.labels,
                        PROBABILITIES[i], quantiles.At(i));
  }
  text += fmt::format("{}_sum{} {:.6f}\n", parts.name, parts.Braced(), quantiles.Sum());
  text += fmt::format("{}_count{} {}\n", parts.name, parts.Braced(), quantiles.Count());
  return text;
}

std::string Metrics::Render() const
{
  std::string text;
  for (const auto& [key, value] : m_counters)
    text += fmt::format("{} {}\n", key, value);
  for (const auto& [key, value] : m_gauges)
    text += fmt::format("{} {}\n", key, value);
  for (const auto& [key, quantiles] : m_quantiles)
    text += QuantileLines(key, *quantiles);
  for (const auto& [key, histogram] : m_histograms)
    text += HistogramLines(key, *histogram);
  return text;
}

std::string Reason(std::string_view name)
{
  return fmt::format("reason=\"{}\"", name);
}

std::string ServiceOutcome(std::string_view service, std::string_view outcome)
{
  return fmt::format("service=\"{}\",outcome=\"{}\"", service, outcome);
}
} // namespace Holdpost::Common
