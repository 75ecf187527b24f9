#include "node/platformreader.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

using namespace figplank::node;

namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// A source that connects before it waits for an answer. Only the wait can be
/// interrupted.
struct slow_source {
  static constexpr milliseconds ConnectTime{60};
  static constexpr milliseconds AnswerTime{5'000};
  std::atomic<unsigned> Reads = 0;
  std::atomic<unsigned> Interruptions = 0;

  platform_update read() {
    ++Reads;
    std::this_thread::sleep_for(ConnectTime);
    unsigned Before = Interruptions;
    auto End = steady::now() + AnswerTime;
    while (Interruptions == Before && steady::now() < End) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return {};
  }
};

bool eventually(const std::function<bool()> &Condition) {
  auto End = steady::now() + milliseconds(3'000);
  while (!Condition() && steady::now() < End) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return Condition();
}

} // namespace

TEST_GROUP(PlatformReader){};

TEST(PlatformReader, StopsWhileAReadIsConnecting) {
  slow_source Source;
  auto Reader = std::make_unique<platform_reader>(
      platform_source{[&Source](const read_request &) { return Source.read(); },
                      [&Source]() { ++Source.Interruptions; },
                      true,
                      {}},
      [](const platform_update &) {});
  Reader->setActive(true, 0);
  CHECK(eventually([&Source]() { return Source.Reads > 0; }));
  auto Start = steady::now();
  Reader.reset();
  CHECK(steady::now() - Start < milliseconds(1'000));
}

TEST(PlatformReader, ExceptionOfAReadCountsAsUnreached) {
  std::atomic<unsigned> Unreached = 0;
  platform_reader Reader({[](const read_request &) -> platform_update {
                            throw std::length_error("malformed");
                          },
                          []() {},
                          true,
                          {}},
                         [&Unreached](const platform_update &Update) {
                           Unreached += Update.Reached ? 0 : 1;
                         });
  Reader.setActive(true, 0);
  CHECK(eventually([&Unreached]() { return Unreached > 0; }));
}
