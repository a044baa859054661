// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Mesh/MeshMessages.h"

// Which gateways of each hall have asked a seed for the others of late, so that processes that have
// just started find each other before any list of targets is known.
namespace Holdpost::Mesh
{
class GatewayDirectory
{
public:
  // Remembers a gateway that asked.
  void OnGatewayAsked(const Sender& gateway, Common::TimePoint now);
  // Gateways of the hall that have asked of late, the one at `except` left out.
  std::vector<Common::Address> Of(const std::string& hall, const Common::Address& except,
                                  Common::TimePoint now);

private:
  std::map<std::string, std::map<Common::Address, Common::TimePoint>> m_asked_at;
};
} // namespace Holdpost::Mesh
