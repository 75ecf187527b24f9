/// \file
/// Admission shares of the services further down a call chain, by template and
/// organisation, as reported in their answers. Callers apply them to refuse a
/// request early, at best at the entry node before any service has worked on
/// it.
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
  /// Weight of a new answer in the exponentially smoothed share.
  double Smoothing = 0.2;
  /// Time without an answer after which the share grows back towards 1.
  framework::milliseconds StaleAfter{500};
  /// Factor by which a stale share grows per second.
  double GrowthPerSecond = 4.0;
  /// Pairs of template and organisation kept; further ones are not recorded.
  std::size_t MaxRows = 20'000;
};

struct chain_shares {
  chain_share_settings Settings;
  /// By template, then organisation.
  configuration::text_map<configuration::text_map<chain_share>> Rows;
  /// Pairs of template and organisation in all of Rows.
  std::size_t RowCount = 0;
};

/// Records the share that an answer reported.
void recordChainShare(chain_shares &Shares, std::string_view Template,
                      std::string_view Organisation, double Share,
                      framework::monotonic_time Now);

/// The share to apply at \p Now; 1 if none is recorded.
double chainShareOf(const chain_shares &Shares, std::string_view Template,
                    std::string_view Organisation,
                    framework::monotonic_time Now);

/// Factor on the share for nested calls. Without it, small differences between
/// the shares of nodes would refuse requests on which other services of the
/// chain have already worked.
inline constexpr double NestedCallMargin = 1.2;

/// Whether a request with the random draw \p Draw in [0, 1) is admitted. All
/// services of a call chain use the same draw. \p Depth is 0 for a root request
/// and greater for the nested calls made to serve it.
bool isAdmitted(double Draw, double Share, std::uint8_t Depth);

} // namespace figplank::admission
