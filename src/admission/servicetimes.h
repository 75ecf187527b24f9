/// \file
/// Smoothed service times at one backend server, by template.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <string_view>

namespace figplank::admission {

struct service_times {
  /// In seconds.
  configuration::text_map<double> Seconds;
};

/// The smoothed service time, or a typical one before the first measurement.
framework::microseconds serviceTimeOf(const service_times &Times,
                                      std::string_view Template);

void recordServiceTime(service_times &Times, std::string_view Template,
                       framework::microseconds Time);

} // namespace figplank::admission
