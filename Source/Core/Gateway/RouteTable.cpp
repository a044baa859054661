// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace Holdpost::Gateway
{
using Settings::Route;

static std::string HostKey(std::string_view host)
{
  std::string key(host.substr(0, host.find(':')));
  std::ranges::transform(key, key.begin(), [](unsigned char c) { return std::tolower(c); });
  return key;
}

RouteTable::RouteTable(const Settings::Document& document) : m_organisations(document.organisations)
{
  for (const Route& route : document.routes)
    m_hosts[HostKey(route.host)].push_back(route);
  for (auto& [host, routes] : m_hosts)
  {
    std::ranges::stable_sort(routes, [](const Route& a, const Route& b)
                             { return a.path_prefix.size() > b.path_prefix.size(); });
  }
  for (std::size_t i = 0; i < m_organisations.size(); ++i)
  {
    for (const std::string& credential : m_organisations[i].credentials)
      m_by_credential.emplace(credential, i);
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const
{
  const auto found = m_hosts.find(HostKey(host));
  if (found == m_hosts.end())
    return nullptr;
  const auto route = std::ranges::find_if(found->second, [&](const Route& candidate)
                                          { return path.starts_with(candidate.path_prefix); });
  return route == found->second.end() ? nullptr : &*route;
}

const Settings::OrganisationSettings*
RouteTable::FindOrganisation(const std::string& credential) const
{
  const auto found = m_by_credential.find(credential);
  return found == m_by_credential.end() ? nullptr : &m_organisations[found->second];
}

const std::string& RouteTable::ServiceFor(const Route& route, std::uint64_t request_hash)
{
  static const std::string NONE;
  if (route.services.empty())
    return NONE;
  std::uint64_t total = 0;
  for (const Settings::WeightedService& service : route.services)
    total += service.weight;
  if (total == 0)
    return route.services.front().service;
  std::uint64_t rest = request_hash % total;
  for (const Settings::WeightedService& service : route.services)
  {
    if (rest < service.weight)
      return service.service;
    rest -= service.weight;
  }
  return route.services.back().service;
}
} // namespace Holdpost::Gateway
