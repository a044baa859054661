// SPDX-License-Identifier: Apache-2.0
#include "Common/Metrics.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
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

std::uint64_t Metrics::Counter(std::string_view name, std::string_view label) const
{
  const auto found = m_counters.find(Key(name, label));
  return found == m_counters.end() ? 0 : found->second;
}

static std::string QuantileLines(const std::string& key, const Quantiles& quantiles)
{
  std::string name = key;
  std::string label;
  if (const auto brace = key.find('{'); brace != std::string::npos)
  {
    name = key.substr(0, brace);
    label = key.substr(brace + 1, key.size() - brace - 2) + ",";
  }
  std::string text;
  for (std::size_t i = 0; i < PROBABILITIES.size(); ++i)
  {
    text += fmt::format("{}{{{}quantile=\"{}\"}} {:.6f}\n", name, label, PROBABILITIES[i],
                        quantiles.At(i));
  }
  const std::string rest = label.empty() ? "" : "{" + label.substr(0, label.size() - 1) + "}";
  text += fmt::format("{}_sum{} {:.6f}\n", name, rest, quantiles.Sum());
  text += fmt::format("{}_count{} {}\n", name, rest, quantiles.Count());
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
  return text;
}

std::string Reason(std::string_view name)
{
  return fmt::format("reason=\"{}\"", name);
}
} // namespace Holdpost::Common
