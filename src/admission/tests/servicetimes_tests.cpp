#include "admission/servicetimes.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::admission;
using figplank::framework::milliseconds;

TEST_GROUP(ServiceTimes) { service_times Times; };

TEST(ServiceTimes, FirstMeasurementReplacesTheTypicalTime) {
  CHECK(serviceTimeOf(Times, "t") == milliseconds(5));
  recordServiceTime(Times, "t", milliseconds(100));
  CHECK(serviceTimeOf(Times, "t") == milliseconds(100));
  CHECK(serviceTimeOf(Times, "other") == milliseconds(5));
}

TEST(ServiceTimes, DecreaseTakesEffectSoonerThanIncrease) {
  recordServiceTime(Times, "up", milliseconds(100));
  recordServiceTime(Times, "up", milliseconds(200));
  recordServiceTime(Times, "down", milliseconds(200));
  recordServiceTime(Times, "down", milliseconds(100));
  auto Risen = serviceTimeOf(Times, "up") - milliseconds(100);
  auto Fallen = milliseconds(200) - serviceTimeOf(Times, "down");
  CHECK(Fallen > Risen);
}
