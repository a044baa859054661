// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Settings/Document.h"

// Looks up what a settings document says of a request: its route and its organisation.
namespace Holdpost::Gateway
{
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(const Settings::Document& document);

  // Of the host's routes, the one with the longest prefix that begins the path; null if none does.
  // Names of hosts compare without regard to case; a port behind the name is ignored.
  const Settings::Route* Find(std::string_view host, std::string_view path) const;
  // Null if the credential belongs to nobody.
  const Settings::OrganisationSettings* FindOrganisation(const std::string& credential) const;
  bool HasOrganisations() const { return !m_organisations.empty(); }
  // The service that a request of the route goes to; `draw` decides between several by weight.
  static const std::string& ServiceFor(const Settings::Route& route, std::uint64_t draw);

private:
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<Settings::Route>> m_hosts;
  std::vector<Settings::OrganisationSettings> m_organisations;
  std::unordered_map<std::string, std::size_t> m_by_credential;
};
} // namespace Holdpost::Gateway
