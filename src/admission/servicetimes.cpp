#include "admission/servicetimes.h"

namespace figplank::admission {
namespace {

constexpr double InitialSeconds = 0.005;
/// Weights of a longer and of a shorter measurement. Few requests complete
/// while service times are long, so a decrease is smoothed less, to take effect
/// after a few requests.
constexpr double IncreaseSmoothing = 0.1;
constexpr double DecreaseSmoothing = 0.3;

} // namespace

framework::microseconds serviceTimeOf(const service_times &Times,
                                      std::string_view Template) {
  auto Found = Times.Seconds.find(Template);
  double Seconds =
      Found == Times.Seconds.end() ? InitialSeconds : Found->second;
  return std::chrono::duration_cast<framework::microseconds>(
      std::chrono::duration<double>(Seconds));
}

void recordServiceTime(service_times &Times, std::string_view Template,
                       framework::microseconds Time) {
  double Seconds = std::chrono::duration<double>(Time).count();
  auto Found = Times.Seconds.find(Template);
  if (Found == Times.Seconds.end()) {
    Times.Seconds.try_emplace(std::string(Template), Seconds);
    return;
  }
  double Weight =
      Seconds < Found->second ? DecreaseSmoothing : IncreaseSmoothing;
  Found->second += Weight * (Seconds - Found->second);
}

} // namespace figplank::admission
