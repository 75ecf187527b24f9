/// \file
/// Waits until another thread or process has brought about a condition.
#pragma once

#include <chrono>
#include <functional>

namespace figplank::standins {

/// Polls until \p Condition holds or \p Timeout has passed; returns whether the
/// condition held.
bool eventually(
    const std::function<bool()> &Condition,
    std::chrono::milliseconds Timeout = std::chrono::milliseconds(10'000));

} // namespace figplank::standins
