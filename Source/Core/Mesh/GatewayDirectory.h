// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Mesh/MeshMessages.h"

// The directory that a seed keeps of the gateways of each hall that have recently asked it for
// other gateways. With it, processes that have just started find each other before any target list
// is known.
namespace Holdpost::Mesh
{
class GatewayDirectory
{
public:
  // Records a gateway that sent a request.
  void OnGatewayRequest(const Sender& gateway, Common::TimePoint now);
  // Returns gateways of the hall that have sent a request recently, without the one at `except`.
  std::vector<Common::Address> GatewaysOf(const std::string& hall, const Common::Address& except,
                                          Common::TimePoint now);

private:
  std::map<std::string, std::map<Common::Address, Common::TimePoint>> m_requested_at;
};
} // namespace Holdpost::Mesh
