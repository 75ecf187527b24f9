/// \file
/// The retry budget of one request's whole call tree, and the token bucket that
/// limits retries to a fraction of the first tries, so that they add little
/// load under overload.
#pragma once

#include "framework/enumnames.h"
#include "framework/timetypes.h"

#include <array>
#include <cstdint>

namespace figplank::retry {

/// Why a request was retried. The metric and the log both use RetryReasonNames.
enum class retry_reason : std::uint8_t {
  UpstreamUnreachable,
  ConnectionLost,
  BackendUnreachable,
  BackendShed,
  BackendFailed,
  UpstreamRefused,
  HomeMoved,
};

inline constexpr std::array<framework::enum_name<retry_reason>, 7>
    RetryReasonNames{{
        {retry_reason::UpstreamUnreachable, "upstream_unreachable"},
        {retry_reason::ConnectionLost, "connection_lost"},
        {retry_reason::BackendUnreachable, "backend_unreachable"},
        {retry_reason::BackendShed, "backend_shed"},
        {retry_reason::BackendFailed, "backend_failed"},
        {retry_reason::UpstreamRefused, "upstream_refused"},
        {retry_reason::HomeMoved, "home_moved"},
    }};

/// Extra tries left for the call tree below one node.
struct retry_budget {
  std::uint8_t ExtraTries = 0;
};

/// The budget at the entry node. Each repeated attempt by the caller has used
/// one extra try. \p CallerAttempt is the number of the caller's attempt,
/// counted from 1.
retry_budget initialBudget(std::uint8_t ExtraTries,
                           std::uint32_t CallerAttempt);

/// Splits off the budget of a child call: half of the remaining tries, rounded
/// up. Splitting keeps concurrent calls from using the same try twice.
retry_budget takeChildBudget(retry_budget &Budget);

/// Adds the tries that a child call left unused back to \p Budget.
void returnUnusedTries(retry_budget &Budget, retry_budget Unused);

/// Takes one extra try if any is left. Returns whether it did.
bool takeExtraTry(retry_budget &Budget);

/// Tokens added by each first try. Apart from the burst, it limits the total to
/// 1.1 tries per first try.
inline constexpr double RetryTokenRatio = 0.1;
/// Capacity of a bucket, which is also its initial number of tokens.
inline constexpr double RetryTokenBurst = 10.0;

/// A token bucket filled by first tries. It limits retries to a fraction of the
/// first tries, plus a small burst for services with little traffic.
struct retry_token_bucket {
  double Tokens = RetryTokenBurst;
  double Burst = RetryTokenBurst;
};

void countFirstTry(retry_token_bucket &Bucket);

/// Takes the token for one retry if there is one. Returns whether it did.
bool takeRetryToken(retry_token_bucket &Bucket);

/// Takes one extra try and the token for it. Takes neither unless there are
/// both, so that the try is left to the calls further up. Returns whether it
/// did.
bool takeRetry(retry_budget &Budget, retry_token_bucket &Bucket);

/// Bounds of the delay before a retry.
struct backoff_settings {
  framework::milliseconds BaseDelay{5};
  framework::milliseconds MaxDelay{200};
};

/// The delay before retry number \p Retry, counted from 1: exponential backoff
/// with full jitter. \p JitterFraction in [0, 1) is the fraction of the
/// exponential bound to use. The delay is never less than \p RetryAfter.
framework::milliseconds backoffDelay(const backoff_settings &Settings,
                                     unsigned Retry, double JitterFraction,
                                     framework::milliseconds RetryAfter);

} // namespace figplank::retry
