#include "configuration/jsonreader.h"
#include "configuration/validation.h"

#include <CppUTest/TestHarness.h>

using namespace figplank;
using namespace figplank::configuration;

namespace {

constexpr const char *ValidTemplate = R"({
  "service": "hints", "path": "/reveal",
  "rank": {"default": 1, "least": 0, "most": 3},
  "deadline_ms": {"default": 1000, "least": 100, "most": 5000},
  "idempotent": false, "extra_tries": 2, "minimum_share": 0.05})";

std::size_t countFindings(const char *Key, const std::string &Value) {
  return validateValue(Key, Value).Findings.size();
}

} // namespace

TEST_GROUP(Validation){};

TEST(Validation, ValidValuesAreParsed) {
  validation_result Result = validateValue("templates/reveal", ValidTemplate);
  STRCMP_EQUAL("", framework::formatFindings(Result.Findings).c_str());
  const auto &Template = std::get<work_template>(Result.Value);
  STRCMP_EQUAL("hints", Template.Service.c_str());
  LONGS_EQUAL(1, Template.Rank.Default);
  CHECK_FALSE(Template.Idempotent);
  LONGS_EQUAL(0, countFindings("parameters/alpha/reveal", R"({"rank": 2})"));
  LONGS_EQUAL(
      0,
      countFindings("instances/hints/hints-1",
                    R"({"zone":"z1","address":"10.0.0.1:70","state":"live"})"));
  LONGS_EQUAL(
      0,
      countFindings(
          "services/hints",
          R"({"slots":5,"roster":[{"name":"a","zone":"z","address":"10.0.0.1:70"}]})"));
}

TEST(Validation, AllFindingsAreReportedWithTheirLocations) {
  validation_result Result = validateValue(
      "templates/reveal",
      R"({"service": 5, "path": "x", "rank": {"default": 9}, "colour": 1})");
  STRCMP_EQUAL(
      "templates/reveal: /colour: is not a known member (value \"1\")\n"
      "templates/reveal: /service: must be a text of 1 to 100 characters "
      "(value \"5\")\n"
      "templates/reveal: /path: must begin with / (value \"\"x\"\")\n"
      "templates/reveal: /rank/default: must be a whole number from 0 to 7 "
      "(value \"9\")\n"
      "templates/reveal: /deadline_ms: is missing\n"
      "templates/reveal: /idempotent: is missing\n",
      framework::formatFindings(Result.Findings).c_str());
}

TEST(Validation, InvalidKeysAndJsonAreRefused) {
  LONGS_EQUAL(1, countFindings("templates/re veal", ValidTemplate));
  LONGS_EQUAL(1, countFindings("others/reveal", "{}"));
  LONGS_EQUAL(1, countFindings("templates", "{}"));
  LONGS_EQUAL(1, countFindings("templates/reveal", "{"));
  LONGS_EQUAL(1, countFindings("templates/reveal", "[]"));
  LONGS_EQUAL(1, countFindings("templates/reveal",
                               std::string(MaxValueBytes + 1, ' ')));
}

TEST(Validation, RostersWithDuplicatesOrHostNamesOrNoUpstreamAreRefused) {
  LONGS_EQUAL(1, countFindings("services/s",
                               R"({"slots":5,"roster":[
                              {"name":"a","zone":"z","address":"10.0.0.1:70"},
                              {"name":"a","zone":"z","address":"10.0.0.2:70"}]})"));
  LONGS_EQUAL(1, countFindings("services/s",
                               R"({"slots":5,"roster":[
                              {"name":"a","zone":"z","address":"host.example:70"}]})"));
  LONGS_EQUAL(1, countFindings("services/s", R"({"slots":5,"roster":[]})"));
}

TEST(Validation, RoutesAreParsed) {
  validation_result Result = validateValue("routing/current", R"({
    "version": 7, "limits": {"idle_timeout_ms": 9000},
    "routes": [{"name": "r", "host": "Shop.Example:80", "prefix": "/a/",
      "idempotent": true, "attempts": 2, "timeout_ms": 800,
      "objective_ms": 1500, "rank": 1,
      "backends": [{"service": "x", "weight": 9},
                   {"service": "y", "weight": 1}]}]})");
  STRCMP_EQUAL("", framework::formatFindings(Result.Findings).c_str());
  const auto &Table = std::get<route_table>(Result.Value);
  LONGS_EQUAL(7, Table.Version);
  LONGS_EQUAL(9000, Table.Limits.IdleTimeout.count());
  STRCMP_EQUAL("shop.example", Table.Routes[0].Host.c_str());
  LONGS_EQUAL(800, Table.Routes[0].Timeout.count());
  LONGS_EQUAL(9, Table.Routes[0].Backends[0].Weight);
}

TEST(Validation, AllFindingsOfRoutesAreReported) {
  // Findings: a prefix without a final slash, 0 attempts, no weight above 0,
  // and a duplicate route.
  LONGS_EQUAL(4, countFindings("routing/current", R"({
    "version": 7, "routes": [
      {"name": "r", "host": "h", "prefix": "/a", "idempotent": true,
       "attempts": 0, "timeout_ms": 1, "objective_ms": 1, "rank": 1,
       "backends": [{"service": "x", "weight": 0}]},
      {"name": "s", "host": "h", "prefix": "/a/", "idempotent": true,
       "attempts": 1, "timeout_ms": 1, "objective_ms": 1, "rank": 1,
       "backends": [{"service": "x", "weight": 1}]},
      {"name": "t", "host": "H", "prefix": "/a/", "idempotent": true,
       "attempts": 1, "timeout_ms": 1, "objective_ms": 1, "rank": 1,
       "backends": [{"service": "x", "weight": 1}]}]})"));
}

TEST(Validation, InstanceWithBackendServerIsParsed) {
  validation_result Result = validateValue("instances/s/i-1", R"({
    "zone": "z", "address": "10.0.0.1:7620", "state": "leaving",
    "backend_address": "10.0.0.1:8301", "slots": 16,
    "born_ms": 1790000000000, "cold_ms": 2500})");
  STRCMP_EQUAL("", framework::formatFindings(Result.Findings).c_str());
  const auto &Instance = std::get<instance>(Result.Value);
  LONGS_EQUAL(16, Instance.Slots);
  CHECK(Instance.StartedMs == 1790000000000ULL);
  CHECK(Instance.State == instance_state::Leaving);
}

TEST(Validation, NestingIsCountedWithoutBracketsInStrings) {
  auto Nested = [](int Depth) {
    auto Levels = static_cast<std::size_t>(Depth);
    return std::string(Levels, '[') + "1" + std::string(Levels, ']');
  };
  CHECK_FALSE(parseJson(Nested(MaxJsonDepth)).is_discarded());
  CHECK(parseJson(Nested(MaxJsonDepth + 1)).is_discarded());
  CHECK(parseJson(std::string(1'000'000, '[')).is_discarded());
  std::string Brackets = R"(["\\\")" + std::string(100, '[') + R"(", [2]])";
  CHECK_FALSE(parseJson(Brackets).is_discarded());
  CHECK(parseJson("{\"a\":").is_discarded());
}
