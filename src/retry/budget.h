/// \file
/// The retry budget of one request's whole tree of calls, and the allowance
/// that lets retries die out under overload.
#pragma once

#include "framework/enumnames.h"
#include "framework/timetypes.h"

#include <array>
#include <cstdint>

namespace figplank::retry {

/// Why a try was repeated. The same name goes to the counter and the log.
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

/// Extra tries that remain for the tree of calls below one node.
struct retry_budget {
  std::uint8_t ExtraTries = 0;
};

/// The entry's budget: each resend by the caller has used one try.
/// \p CallerAttempt counts from 1.
retry_budget initialBudget(std::uint8_t ExtraTries,
                           std::uint32_t CallerAttempt);

/// Takes the share of a child call, half of what is left rounded up, so that
/// calls side by side cannot spend the same try twice.
retry_budget takeChildBudget(retry_budget &Budget);

/// Gives back what a child call did not use.
void returnUnused(retry_budget &Budget, retry_budget Unused);

/// Takes one extra try, if any is left.
bool takeTry(retry_budget &Budget);

/// Tokens that one first try adds; 1.1 tries for each first try at most.
inline constexpr double RetryTokenRatio = 0.1;
/// Most tokens that a bucket holds, and those it starts with.
inline constexpr double RetryTokenBurst = 10.0;

/// A token bucket filled by first tries: retries are at most a share of them
/// plus a small burst for services with little traffic.
struct retry_token_bucket {
  double Tokens = RetryTokenBurst;
  double Burst = RetryTokenBurst;
};

void countFirstTry(retry_token_bucket &Allowance);

/// Takes the token of one retry, if there is one.
bool takeRetryToken(retry_token_bucket &Allowance);

/// Bounds of the wait before a retry.
struct backoff_settings {
  framework::milliseconds Base{5};
  framework::milliseconds Most{200};
};

/// Full jitter: \p Fraction in [0, 1) of the exponential bound for the retry
/// number \p Retry, which counts from 1; never less than \p RetryAfter.
framework::milliseconds backoffDelay(const backoff_settings &Settings,
                                     unsigned Retry, double Fraction,
                                     framework::milliseconds RetryAfter);

} // namespace figplank::retry
