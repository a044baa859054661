// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/EngineMessages.h"

#include <algorithm>

namespace Holdpost::Sidecar
{
bool HoldsExactly(const EngineReport& report, const LayerRange& range, std::uint64_t version)
{
  return report.layers.size() == 1 && report.layers.front().range == range &&
         report.layers.front().version == version;
}

bool HoldsPart(const EngineReport& report, std::uint32_t layers)
{
  std::uint32_t held = 0;
  for (const LoadedLayers& loaded : report.layers)
    held += loaded.range.end - std::min(loaded.range.first, loaded.range.end);
  return held > 0 && held < layers;
}
} // namespace Holdpost::Sidecar
