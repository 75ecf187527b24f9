#include "routing/routes.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace figplank;
using namespace figplank::routing;
using configuration::route;

namespace {

route makeRoute(const char *Name, const char *Prefix) {
  route Route;
  Route.Name = Name;
  Route.Host = "shop.example";
  Route.Prefix = Prefix;
  Route.Backends = {{Name, 1}};
  return Route;
}

} // namespace

TEST_GROUP(Routes) {
  configuration::route_table Table{
      1, {makeRoute("all", "/a/"), makeRoute("deep", "/a/b/")}, {}};

  std::string find(const char *Host, const char *Path) {
    const route *Found = findRoute(Table, Host, Path);
    return Found == nullptr ? "none" : Found->Name;
  }
};

TEST(Routes, LongestPrefixWins) {
  STRCMP_EQUAL("deep", find("shop.example", "/a/b/c").c_str());
  STRCMP_EQUAL("all", find("shop.example", "/a/bc").c_str());
}

TEST(Routes, PathWithoutThePrefixsFinalSlashDoesNotMatch) {
  STRCMP_EQUAL("none", find("shop.example", "/a").c_str());
  STRCMP_EQUAL("all", find("shop.example", "/a/b").c_str());
}

TEST(Routes, HostComparisonIgnoresCaseAndPort) {
  STRCMP_EQUAL("all", find("Shop.Example:8080", "/a/").c_str());
  STRCMP_EQUAL("none", find("other.example", "/a/").c_str());
}

TEST(Routes, CountsStayWithinOneRequestOfTheWeights) {
  route Route = makeRoute("split", "/");
  Route.Backends = {{"x", 90}, {"y", 10}};
  for (double Draw : {0.0, 0.5, 0.95}) {
    weighted_round_robin RoundRobin;
    std::map<std::string, double> Counts;
    for (int Requests = 1; Requests <= 200; ++Requests) {
      ++Counts[nextService(RoundRobin, Route, Draw)];
      CHECK(Counts["y"] <= 0.1 * Requests + 1.0);
      CHECK(Counts["y"] >= 0.1 * Requests - 1.0);
    }
  }
}

TEST(Routes, ChangedWeightsResetTheRoundRobin) {
  route Route = makeRoute("split", "/");
  Route.Backends = {{"x", 1}, {"y", 1}};
  weighted_round_robin RoundRobin;
  (void)nextService(RoundRobin, Route, 0.0);
  Route.Backends = {{"x", 0}, {"y", 1}};
  for (int I = 0; I < 5; ++I) {
    STRCMP_EQUAL("y", nextService(RoundRobin, Route, 0.0).c_str());
  }
}
