/// \file
/// Waiting for what happens in another thread or process.
#pragma once

#include <chrono>
#include <functional>

namespace figplank::standins {

/// Polls until \p Condition holds; returns whether it did in time.
bool eventually(
    const std::function<bool()> &Condition,
    std::chrono::milliseconds Timeout = std::chrono::milliseconds(10'000));

} // namespace figplank::standins
