// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/RouteTable.h"

using namespace Holdpost;
using Gateway::RouteTable;

namespace
{
Settings::Route MakeRoute(const std::string& name, const std::string& host,
                          const std::string& prefix)
{
  Settings::Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"svc", 1}};
  return route;
}
} // namespace

TEST_CASE("The route with the longest matching prefix of the host is found")
{
  Settings::Document document;
  document.routes = {MakeRoute("short", "a.example", "/x/"),
                     MakeRoute("long", "a.example", "/x/y/"), MakeRoute("other", "b.example", "/")};
  const RouteTable table(document);
  CHECK(table.Find("a.example", "/x/y/z")->name == "long");
  CHECK(table.Find("a.example", "/x/z")->name == "short");
  CHECK(table.Find("A.Example:8080", "/x/z")->name == "short");
  CHECK(table.Find("b.example", "/anything")->name == "other");
  CHECK(table.Find("a.example", "/") == nullptr);
  CHECK(table.Find("a.example", "/xy") == nullptr);
  CHECK(table.Find("c.example", "/x/") == nullptr);
}

TEST_CASE("Each credential belongs to one organisation")
{
  Settings::Document document;
  document.organisations = {{"firm", {"k1", "k2"}, 1}, {"shop", {"k3"}, std::nullopt}};
  const RouteTable table(document);
  CHECK(table.FindOrganisation("k2")->name == "firm");
  CHECK(table.FindOrganisation("k3")->name == "shop");
  CHECK(table.FindOrganisation("") == nullptr);
  CHECK(table.FindOrganisation("k4") == nullptr);
}

TEST_CASE("Requests are split between services by weight")
{
  Settings::Route route = MakeRoute("r", "a", "/");
  route.services = {{"blue", 90}, {"green", 10}, {"none", 0}};
  int green = 0;
  for (std::uint64_t request_hash = 0; request_hash < 1000; ++request_hash)
  {
    const std::string& service = RouteTable::ServiceFor(route, request_hash);
    CHECK(service != "none");
    green += service == "green" ? 1 : 0;
  }
  CHECK(green == 100);
}
