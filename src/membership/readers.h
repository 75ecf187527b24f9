/// \file
/// Selects the readers, which are the nodes that read from the platform, and
/// the peers that a node exchanges configuration with.
///
/// Readers are not elected. In each period the few members of an availability
/// zone with the highest rendezvous weights are its readers, and every node
/// computes this for itself. The members after them in that order ask them a
/// few times per second whether they read, and take over from those that don't
/// confirm it. If nodes disagree, the zone only has one reader more or fewer
/// for a while.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::membership {

struct reader_settings {
  /// Number of readers in all availability zones together, by which calls to
  /// the platform grow.
  std::size_t Readers = 9;
  /// Bounds of the number of readers of a zone. More than one, so that a reader
  /// that is dead, paused or partitioned costs only its share of the pushes.
  std::size_t MinReadersPerZone = 2;
  std::size_t MaxReadersPerZone = 3;
  /// Number of members of a zone that read or may take over from a reader.
  std::size_t MaxCandidates = 12;
  /// Time after which a zone's readers are selected anew.
  framework::milliseconds RotationPeriod{60'000};
  /// Time without any update from the platform or a peer after which a node
  /// reads from the platform itself. Each node adds up to the same time again,
  /// so that the nodes of a partitioned zone do not all read at once.
  framework::milliseconds MaxUpdateAge{10'000};
};

/// Number of readers of each of \p ZoneCount zones.
std::size_t readersPerZone(const reader_settings &Settings,
                           std::size_t ZoneCount);

/// The first members of a zone in the order in which they are selected as
/// readers at \p Now: at most MaxCandidates. \p Members are the addresses of
/// the zone's nodes. \p Self counts as a member even if it is not listed, so
/// that nodes without a list read.
std::vector<std::string>
orderCandidates(const reader_settings &Settings,
                const std::vector<std::string> &Members, std::string_view Self,
                framework::wall_time Now);

/// What a candidate knows of those before it in the order: when each last
/// confirmed that it reads the platform.
struct reader_health {
  /// Time without a confirmation after which a candidate counts as not reading.
  /// Longer than a connection that has become silent is kept in use.
  framework::milliseconds MaxSilence{900};
  std::map<std::string, framework::monotonic_time> LastConfirmed;
};

/// Whether \p Candidate has confirmed in time that it reads the platform. A
/// candidate that is not yet in \p Health is taken to read.
bool isReading(const reader_health &Health, const std::string &Candidate,
               framework::monotonic_time Now);

/// Whether \p Self reads: it is one of the first \p ReaderCount of \p
/// Candidates, without those before it that don't read.
bool isReader(const std::vector<std::string> &Candidates,
              std::size_t ReaderCount, std::string_view Self,
              const reader_health &Health, framework::monotonic_time Now);

/// The candidates before \p Self whose health decides whether \p Self reads;
/// none if it reads anyway or is no candidate. Candidates that are not listed
/// any more are removed from \p Health, and new ones get MaxSilence to confirm.
std::vector<std::string> listWatched(const std::vector<std::string> &Candidates,
                                     std::size_t ReaderCount,
                                     std::string_view Self,
                                     reader_health &Health,
                                     framework::monotonic_time Now);

/// Number of availability zones on the list of instances.
std::size_t countZones(const configuration::catalog &Catalog);

/// Addresses of the nodes on the list of instances: those in \p Zone, or all if
/// \p Zone is empty.
std::vector<std::string> listNodes(const configuration::catalog &Catalog,
                                   std::string_view Zone);

/// Peers that did not answer a recent exchange. They are skipped, so that a
/// node still receives changes in time if many of its peers are dead or
/// partitioned.
struct unresponsive_peers {
  /// Time after which an unresponsive peer is tried again.
  framework::milliseconds RetryInterval{3'000};
  /// Time up to which each unresponsive peer is skipped, by address.
  std::map<std::string, framework::monotonic_time> SkipUntil;
};

/// Records whether \p Peer answered an exchange.
void recordExchange(unresponsive_peers &Unresponsive, const std::string &Peer,
                    bool Answered, framework::monotonic_time Now);

bool isUnresponsive(const unresponsive_peers &Unresponsive,
                    const std::string &Peer, framework::monotonic_time Now);

/// Picks one of \p Members for each of \p Draws, which are random numbers in
/// [0, 1). The peers are distinct, responsive and not \p Self; fewer are
/// returned if there are not enough of them.
std::vector<std::string> pickPeers(const std::vector<std::string> &Members,
                                   std::string_view Self,
                                   const unresponsive_peers &Unresponsive,
                                   const std::vector<double> &Draws,
                                   framework::monotonic_time Now);

} // namespace figplank::membership
