// Uses the admission control library without a node. The library starts no
// thread and reads no clock: the caller passes in the time.

#include "admission/concurrencylimit.h"
#include "admission/sharecontroller.h"

#include <cstdio>

int main() {
  using namespace figplank;
  framework::monotonic_time Now{};
  admission::limit_settings LimitSettings;
  LimitSettings.Slots = 10;
  admission::concurrency_limit Limit =
      admission::makeConcurrencyLimit(LimitSettings, Now);
  admission::share_controller Shares = admission::makeShareController({}, Now);

  // Two organisations send 300 and 100 requests per second of 0.1 s each to a
  // server with a capacity of 100 requests per second.
  for (int Window = 0; Window < 50; ++Window) {
    admission::recordArrival(Shares, 2, "large", 30, 0.1);
    admission::recordArrival(Shares, 2, "small", 10, 0.1);
    Now += framework::milliseconds(100);
    admission::advanceShares(Shares, {10.0, framework::microseconds(0)}, {},
                             Now);
  }
  double Large = 300 * admission::shareOf(Shares, 2, "large");
  double Small = 100 * admission::shareOf(Shares, 2, "small");
  std::printf("limit=%.1f large=%.0f/s small=%.0f/s\n", Limit.Limit, Large,
              Small);
  bool Equal = Large > 0.9 * Small && Large < 1.1 * Small;
  return Equal ? 0 : 1;
}
