/// \file
/// Dissemination of the configuration among nodes.
///
/// A few nodes per zone select themselves as readers and watch the platform. A
/// node that receives a new entry immediately pushes it to a few random peers
/// (epidemic push, Demers et al., 1987). A periodic exchange of digests with
/// one random peer repairs what pushes missed (anti-entropy). The nodes hold
/// the configuration in memory only.
#pragma once

#include "node/mailbox.h"
#include "node/peers.h"
#include "node/platformreader.h"
#include "node/readerduty.h"
#include "node/removalhold.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figplank::node {

struct dissemination_settings {
  /// Number of peers in this node's zone, and in any zone, that a change is
  /// pushed to.
  std::size_t ZoneFanout = 3;
  std::size_t GlobalFanout = 1;
  /// Maximum number of peers in this node's zone at which a change is pushed to
  /// all of them.
  std::size_t MaxPeersForFullFanout = 8;
  /// Maximum number of hops over which a change is pushed on.
  std::uint8_t MaxHops = 24;
  framework::milliseconds ExchangeInterval{500};
  /// Maximum number of concurrent exchanges. Several are allowed, so that
  /// peers that do not answer do not block the next exchange.
  std::size_t MaxConcurrentExchanges = 3;
  framework::milliseconds CallTimeout{1'000};
  /// Fraction of exchanges whose peer is chosen from all zones.
  double GlobalExchangeFraction = 0.25;
  /// Maximum size of the entries in one exchange reply.
  std::size_t MaxExchangeBytes = std::size_t{256} * 1024;
  /// Number of revisions before its newest one that a new reader reads again,
  /// to find entries that it missed.
  std::uint64_t ReaderRevisionOverlap = 1'000;
  /// Time after the start during which only peers are asked, not the platform.
  /// Each node extends it by a fraction of its own, up to double.
  framework::milliseconds StartupPeerOnlyTime{250};
  /// Time after the start during which the node waits for both the platform and
  /// a peer before it becomes ready.
  framework::milliseconds MaxStartupWait{1'500};
};

/// Digest of a peer's copy of the configuration.
struct peer_digest {
  std::uint64_t Highest = 0;
  std::uint64_t Summary = 0;
  bool HasBuckets = false;
  configuration::digest_buckets Buckets{};
};

struct exchange_reply {
  std::vector<configuration::published_entry> Entries;
  std::uint64_t Highest = 0;
  std::uint64_t Summary = 0;
  bool Ready = false;
  /// What the peer knows of the platform's answers; nothing if none.
  std::optional<membership::presence_report> Presence;
};

class disseminator {
public:
  /// A \p Source without functions means that this node never reads the
  /// platform itself.
  disseminator(node_runtime &Node, peer_pool &Peers, mailbox &Mailbox,
               platform_source Source);
  KJ_DISALLOW_COPY(disseminator);

  void receivePush(const std::vector<configuration::published_entry> &Entries,
                   std::uint8_t Hops);
  exchange_reply answerExchange(const peer_digest &PeerDigest);

  /// Updates the node's readiness and decides whether it reads the platform.
  /// Called at every tick.
  void tick(framework::time_now Now);

  /// Marks the configuration as stale until a peer or the platform answers.
  void resumeAfterPause(framework::time_now Now);

  /// Reads the platform no more. A read in progress goes on.
  void stopReading();

  bool isReading() const { return Reading; }
  /// Whether this node reads the platform and was answered the last time.
  bool readsSuccessfully() const { return Reading && LastReadSucceeded; }
  /// The nodes of this zone that are selected as readers at \p Now.
  std::vector<std::string> listReaders(framework::wall_time Now) const {
    return Duty.listReaders(Now);
  }
  /// Time since the last push, exchange reply or new entry from the platform.
  framework::microseconds updateAge(framework::monotonic_time Now) const {
    return Now - LastUpdate;
  }

private:
  task<void> exchangeLoop();
  /// Result of one request and reply of an exchange.
  struct exchange_step {
    bool Answered = false;
    /// The peer's configuration is complete and current.
    bool Ready = false;
    /// The peer holds further entries that this node lacks.
    bool MoreEntries = false;
    /// The summaries differ although the highest revisions are equal, so the
    /// next request carries the bucket digests.
    bool CompareBuckets = false;
  };

  /// Sends one exchange request on \p Connection and applies the reply. \p
  /// SendBuckets adds the bucket digests to the request.
  task<exchange_step> exchangeOnce(peer_connection &Connection,
                                   bool SendBuckets);
  task<void> exchangeWith(std::string Address);
  /// Repeats exchangeOnce until the copies agree. \p Step becomes the last
  /// answered step. Returns whether the first one was answered.
  task<bool> exchangeUntilEqual(kj::Own<peer_connection> Connection,
                                exchange_step &Step);
  /// Makes a call on a connection. Returns whether it was answered.
  using peer_call = std::function<task<bool>(kj::Own<peer_connection>)>;
  /// Makes \p Call on a connection to the node at \p Address. It is repeated on
  /// a new one if it gets no answer on a connection that was open before, which
  /// may have become silent while the peer has not.
  task<void> callPeer(std::string Address, peer_call Call);
  bool mayStartExchange() const;
  /// Sends one push on \p Connection. Returns whether it was answered.
  task<bool>
  pushOnce(kj::Own<peer_connection> Connection,
           const std::vector<configuration::published_entry> &Entries,
           std::uint8_t Hops);
  task<void> push(std::string Address,
                  std::vector<configuration::published_entry> Entries,
                  std::uint8_t Hops);
  /// Pushes \p Entries to randomly chosen peers.
  void pushToPeers(const std::vector<configuration::published_entry> &Entries,
                   std::uint8_t Hops);
  /// Applies \p Entries and returns those that were newer than the stored ones.
  std::vector<configuration::published_entry>
  apply(const std::vector<configuration::published_entry> &Entries);
  /// Deletions of the instances that a complete listing in \p Update lacks.
  std::vector<configuration::published_entry>
  findRemovedInstances(const platform_update &Update) const;
  void updateNodeLists();
  /// Reports the highest revision and, where it has changed, the era.
  void recordHighestRevision();
  /// Notes the era of the platform's data, if it is a new one.
  void recordEra(std::uint64_t Era);
  void applyPlatformUpdate(platform_update Update);
  /// Applies the removals held back, once the platform lacks nothing.
  void releaseRemovals(framework::monotonic_time Now);
  /// Notes that a peer answered an exchange. \p PeerReady says whether the
  /// peer's own configuration is complete and current.
  void recordPeerAnswer(bool PeerReady);
  /// Picks up to \p ZoneCount responsive peers of this node's zone and up to \p
  /// GlobalCount of any zone.
  std::vector<std::string> choosePeers(std::size_t ZoneCount,
                                       std::size_t GlobalCount);
  std::string chooseExchangePeer();
  void updateReadiness(framework::monotonic_time Now);

  node_runtime &Node;
  peer_pool &Peers;
  dissemination_settings Settings;
  std::unique_ptr<platform_reader> Reader;
  /// Whether one answer, of the platform or a ready peer, suffices at the
  /// start; see platform_source.
  bool Linearizable = false;
  bool Reading = false;
  /// Set when this node stops.
  bool MayRead = true;
  bool PlatformAnswered = false;
  /// Whether the platform answered the last read.
  bool LastReadSucceeded = false;
  bool ReadyPeerAnswered = false;
  /// Era of the highest revision, see configuration/revision.h.
  std::uint64_t KnownEra = 0;
  removal_hold Hold;
  std::size_t NextSeed = 0;
  membership::unresponsive_peers Unresponsive;
  std::size_t RunningExchanges = 0;
  /// Running exchanges whose peer has answered at least once.
  std::size_t AnsweredExchanges = 0;
  /// RPC addresses of the listed instances in this node's zone and in all
  /// zones. Both include this node.
  std::vector<std::string> ZoneNodes;
  std::vector<std::string> AllNodes;
  reader_duty Duty;
  framework::monotonic_time StartTime;
  framework::monotonic_time LastUpdate;
};

} // namespace figplank::node
