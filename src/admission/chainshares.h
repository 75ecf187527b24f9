/// \file
/// Shares that answers carried back: what the services further down a chain
/// admit of each template and organisation. The entry applies them before
/// anything is spent on a request.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <cstdint>
#include <string_view>

namespace figplank::admission {

struct chain_share {
  double Share = 1.0;
  framework::monotonic_time Updated;
};

struct chain_share_settings {
  /// Weight of a new answer.
  double Smoothing = 0.2;
  /// Time without answers after which the share grows again.
  framework::milliseconds StaleAfter{500};
  /// Growth per second of a stale share.
  double GrowthPerSecond = 4.0;
  std::size_t MaxRows = 20'000;
};

struct chain_shares {
  chain_share_settings Settings;
  /// By template, then organisation.
  configuration::text_map<configuration::text_map<chain_share>> Rows;
  std::size_t Size = 0;
};

/// Takes the share that an answer carried.
void recordShare(chain_shares &Shares, std::string_view Template,
                 std::string_view Organisation, double Share,
                 framework::monotonic_time Now);

/// The share to apply now; 1 where nothing is known.
double chainShareOf(const chain_shares &Shares, std::string_view Template,
                    std::string_view Organisation,
                    framework::monotonic_time Now);

/// Margin by which a call inside a chain may exceed the share, so that small
/// differences between nodes do not waste what the chain has spent.
inline constexpr double InvestedMargin = 1.2;

/// Whether the request with the draw \p Draw in [0, 1) is admitted. All
/// services of a chain see the same draw.
bool isAdmitted(double Draw, double Share, std::uint8_t Depth);

} // namespace figplank::admission
