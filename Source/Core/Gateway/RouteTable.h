// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Settings/Document.h"

// Looks up the route and the organisation of a request in a settings document.
namespace Holdpost::Gateway
{
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(const Settings::Document& document);

  // Returns the host's route with the longest prefix that matches the path; null if no prefix
  // matches. Host names are compared case-insensitively, and a port after the name is ignored.
  const Settings::Route* Find(std::string_view host, std::string_view path) const;
  // Returns null if the credential belongs to no organisation.
  const Settings::OrganisationSettings* FindOrganisation(const std::string& credential) const;
  bool HasOrganisations() const { return !m_organisations.empty(); }
  // Returns the service for a request of the route. If the route has several services,
  // `request_hash` selects one of them in proportion to their weights.
  static const std::string& ServiceFor(const Settings::Route& route, std::uint64_t request_hash);

private:
  // The routes of each host; the longest prefix is first.
  std::unordered_map<std::string, std::vector<Settings::Route>> m_hosts;
  std::vector<Settings::OrganisationSettings> m_organisations;
  std::unordered_map<std::string, std::size_t> m_by_credential;
};
} // namespace Holdpost::Gateway
