/// \file
/// Spread of the configuration among nodes.
///
/// A few self-chosen readers per zone watch the platform. A change that is
/// news to a node is pushed to a few random peers at once (epidemic push,
/// Demers et al., 1987); what pushes miss is mended by a periodic exchange of
/// digests with one random peer (anti-entropy). Nothing is written anywhere
/// but into the nodes' own memory.
#pragma once

#include "node/mailbox.h"
#include "node/peers.h"
#include "node/platformreader.h"

#include <memory>
#include <string>
#include <vector>

namespace figplank::node {

struct dissemination_settings {
  /// Peers in the own zone, and anywhere, that a change is pushed to.
  std::size_t NearFanout = 3;
  std::size_t FarFanout = 1;
  /// Most peers of a zone so small that a change is pushed to all of them.
  std::size_t SmallZone = 8;
  /// Bound of the hops of one push.
  std::uint8_t MaxHops = 24;
  framework::milliseconds ExchangeInterval{500};
  /// Most exchanges at a time, so that silent peers do not hold up the next.
  std::size_t MaxExchanges = 3;
  framework::milliseconds CallTimeout{1'000};
  /// Part of the exchanges that go to any zone.
  double FarFraction = 0.25;
  /// Most bytes of entries in one exchange.
  std::size_t MaxExchangeBytes = std::size_t{256} * 1024;
  /// Revisions that a new reader asks for again, to find missed ones.
  std::uint64_t ReadBack = 1'000;
  /// Time after the start in which peers are asked before the platform, spread
  /// over as much again.
  framework::milliseconds PeersFirst{250};
  /// Time after the start in which both platform and peers are waited for.
  framework::milliseconds StartupWait{1'500};
};

/// What a peer says of its copy.
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
};

class disseminator {
public:
  /// A source without functions stands for a node that never reads the
  /// platform itself.
  disseminator(node_runtime &Node, peer_pool &Peers, mailbox &Mailbox,
               platform_source Source);
  KJ_DISALLOW_COPY(disseminator);

  void receivePush(const std::vector<configuration::published_entry> &Entries,
                   std::uint8_t Hops);
  exchange_reply answerExchange(const peer_digest &Theirs);

  /// Chooses whether to read the platform. Called at every tick.
  void tick(framework::time_now Now);

  /// Treats the view as stale until a peer or the platform is heard.
  void resumeAfterPause(framework::time_now Now);

  bool isReading() const { return Reading; }
  /// The nodes of the own zone that choose themselves as readers now.
  std::vector<std::string> listReaders(framework::wall_time Now) const;
  /// Time since the platform or a peer was last heard.
  framework::microseconds newsAge(framework::monotonic_time Now) const {
    return Now - LastNews;
  }

private:
  task<void> exchangeLoop();
  /// What one round trip of an exchange showed.
  struct exchange_step {
    bool Answered = false;
    bool Ready = false;
    /// The peer has more entries to send.
    bool More = false;
    /// The copies differ in older entries.
    bool CompareBuckets = false;
  };

  task<exchange_step> exchangeOnce(peer_connection &Connection,
                                   bool SendBuckets);
  task<void> exchangeWith(std::string Address);
  /// Exchanges step by step until the copies agree; returns the last step.
  task<exchange_step> exchangeSteps(kj::Own<peer_connection> Connection);
  bool mayStartExchange() const;
  task<void> push(std::string Address,
                  std::vector<configuration::published_entry> Entries,
                  std::uint8_t Hops);
  void spread(const std::vector<configuration::published_entry> &Entries,
              std::uint8_t Hops);
  std::vector<configuration::published_entry>
  apply(const std::vector<configuration::published_entry> &Entries);
  void applySettings();
  void applyOwnInstance();
  /// Removals of the instances that a whole listing no longer had.
  std::vector<configuration::published_entry>
  listRemoved(const platform_update &News) const;
  void listNodes();
  void takePlatformNews(const platform_update &News);
  void heard(bool FromReady);
  std::vector<std::string> choosePeers(std::size_t Near, std::size_t Far);
  std::string chooseExchangePeer();
  void updateReadiness(framework::monotonic_time Now);

  node_runtime &Node;
  peer_pool &Peers;
  dissemination_settings Settings;
  std::unique_ptr<platform_reader> Reader;
  /// One source suffices at the start, see platform_source.
  bool Linearizable = false;
  bool Reading = false;
  bool PlatformHeard = false;
  bool PeerHeard = false;
  std::size_t SeedTurn = 0;
  membership::unresponsive_peers Unresponsive;
  std::size_t Exchanges = 0;
  /// Those of them that a peer answered and that go on.
  std::size_t AnsweredExchanges = 0;
  /// Addresses on the list of instances, in the own zone and everywhere.
  std::vector<std::string> ZoneNodes;
  std::vector<std::string> AllNodes;
  framework::monotonic_time NextChoice;
  framework::monotonic_time Started;
  framework::monotonic_time LastNews;
};

} // namespace figplank::node
