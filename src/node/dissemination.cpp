#include "node/dissemination.h"

#include "framework/hashing.h"
#include "node/servicesettings.h"
#include "node/wire.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace figplank::node {
namespace {

using configuration::apply_result;
using configuration::published_entry;
using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::monotonic_time;
using framework::readClocks;

/// Attempts of a call to a peer; see callPeer.
constexpr unsigned MaxCallAttempts = 2;

/// The state that the log shows for an accepted \p Entry.
std::string_view entryState(const published_entry &Entry,
                            const configuration::store &Store) {
  if (Entry.Value.empty()) {
    return "deleted";
  }
  const configuration::instance *Instance =
      configuration::findInstance(Store.Catalog, Entry.Key);
  if (Instance != nullptr) {
    return framework::nameOf(configuration::InstanceStateNames,
                             Instance->State);
  }
  return "applied";
}

void logApplied(const published_entry &Entry, apply_result Result,
                const configuration::store &Store) {
  if (Result == apply_result::Accepted) {
    framework::logFrequentEvent(
        log_level::Info, "entry_accepted",
        {{"key", Entry.Key},
         {"revision", configuration::formatRevision(Entry.Revision)},
         {"entry", entryState(Entry, Store)}},
        readClocks().Monotonic);
    return;
  }
  const framework::findings &Findings =
      Store.Refused.find(Entry.Key)->second.Findings;
  logEvent(log_level::Warning, "entry_refused",
           {{"key", Entry.Key},
            {"revision", configuration::formatRevision(Entry.Revision)},
            {"findings", framework::formatFindings(Findings)}});
}

void setBuckets(rpc::Node::ExchangeParams::Builder To,
                const configuration::store &Store) {
  auto Buckets = To.initBuckets(static_cast<unsigned>(Store.Digests.size()));
  for (unsigned I = 0; I < Store.Digests.size(); ++I) {
    Buckets.set(I, Store.Digests[I]);
  }
}

} // namespace

disseminator::disseminator(node_runtime &Node, peer_pool &Peers,
                           mailbox &Mailbox, platform_source Source)
    : Node(Node), Peers(Peers), Hold(Node, Source.Expiry), Duty(Node, Peers),
      StartTime(readClocks().Monotonic), LastUpdate(StartTime) {
  Linearizable = Source.Linearizable;
  if (Source.Read) {
    Reader = std::make_unique<platform_reader>(
        std::move(Source), [this, &Mailbox](platform_update Update) {
          Mailbox.post([this, Update = std::move(Update)]() mutable {
            applyPlatformUpdate(std::move(Update));
          });
        });
  }
  Node.Tasks.add(exchangeLoop());
}

std::vector<published_entry>
disseminator::apply(const std::vector<published_entry> &Entries) {
  std::vector<published_entry> NewEntries;
  for (const published_entry &Entry : Entries) {
    apply_result Result = configuration::applyEntry(Node.Store, Entry);
    if (Result == apply_result::NotNewer) {
      Node.Metrics.Dissemination.EntriesNotNewer->Increment();
      continue;
    }
    if (Result == apply_result::Outdated) {
      Node.Metrics.Dissemination.EntriesOutdated->Increment();
      framework::logFrequentEvent(
          log_level::Info, "entry_outdated",
          {{"key", Entry.Key},
           {"revision", configuration::formatRevision(Entry.Revision)}},
          readClocks().Monotonic);
      continue;
    }
    bool Accepted = Result == apply_result::Accepted;
    (Accepted ? Node.Metrics.Dissemination.EntriesAccepted
              : Node.Metrics.Dissemination.EntriesRefused)
        ->Increment();
    // Not always the entry as received: see configuration::recordListing.
    const published_entry &Stored = Node.Store.Newest.find(Entry.Key)->second;
    logApplied(Stored, Result, Node.Store);
    NewEntries.push_back(Stored);
  }
  bool InstancesChanged = std::any_of(
      NewEntries.begin(), NewEntries.end(), [](const published_entry &Entry) {
        return Entry.Key.starts_with(configuration::InstancesPrefix);
      });
  if (InstancesChanged) {
    updateNodeLists();
  }
  if (!NewEntries.empty()) {
    applyServiceSettings(Node);
    Node.OnConfigurationChange();
    recordHighestRevision();
  }
  return NewEntries;
}

void disseminator::recordHighestRevision() {
  std::uint64_t Highest = configuration::highestRevision(Node.Store);
  Node.Metrics.Revision->Set(
      static_cast<double>(configuration::numberOf(Highest)));
  recordEra(configuration::eraOf(Highest));
}

void disseminator::recordEra(std::uint64_t Era) {
  if (Era <= KnownEra) {
    return;
  }
  logEvent(log_level::Info, "platform_era_changed",
           {{"era", Era}, {"before", KnownEra}});
  KnownEra = Era;
  Hold.recordCopy(readClocks().Monotonic);
  dissemination_counters &Metrics = Node.Metrics.Dissemination;
  Metrics.EraChanges->Increment();
  Metrics.Era->Set(static_cast<double>(Era));
}

void disseminator::updateNodeLists() {
  ZoneNodes = membership::listNodes(Node.Store.Catalog, Node.Settings.Zone);
  AllNodes = membership::listNodes(Node.Store.Catalog, "");
  Duty.updateMembers();
}

void disseminator::receivePush(const std::vector<published_entry> &Entries,
                               std::uint8_t Hops) {
  std::vector<published_entry> NewEntries = apply(Entries);
  LastUpdate = readClocks().Monotonic;
  if (!NewEntries.empty() && Hops > 0) {
    pushToPeers(NewEntries, static_cast<std::uint8_t>(Hops - 1));
  }
}

void disseminator::pushToPeers(const std::vector<published_entry> &Entries,
                               std::uint8_t Hops) {
  // NOTE ZoneNodes includes this node.
  std::size_t ZoneCount = ZoneNodes.size() <= Settings.MaxPeersForFullFanout + 1
                              ? ZoneNodes.size()
                              : Settings.ZoneFanout;
  for (const std::string &Peer :
       choosePeers(ZoneCount, Settings.GlobalFanout)) {
    Node.Tasks.add(push(Peer, Entries, Hops));
  }
}

task<bool> disseminator::pushOnce(kj::Own<peer_connection> Connection,
                                  const std::vector<published_entry> &Entries,
                                  std::uint8_t Hops) {
  auto Request = KJ_ASSERT_NONNULL(Connection->Client).pushRequest();
  writeEntries(Request.initEntries(static_cast<unsigned>(Entries.size())),
               Entries);
  Request.setHops(Hops);
  Node.Metrics.Dissemination.Pushes->Increment();
  auto Called =
      co_await Peers.call(kj::mv(Connection), kj::mv(Request),
                          readClocks().Monotonic + Settings.CallTimeout);
  co_return Called.Value != nullptr;
}

task<void> disseminator::push(std::string Address,
                              std::vector<published_entry> Entries,
                              std::uint8_t Hops) {
  // The next exchange repairs a lost push.
  co_await callPeer(Address, [&](kj::Own<peer_connection> Connection) {
    return pushOnce(kj::mv(Connection), Entries, Hops);
  });
}

task<void> disseminator::callPeer(std::string Address, peer_call Call) {
  bool Settled = false;
  for (unsigned I = 0; I < MaxCallAttempts && !Settled; ++I) {
    connection_result Connected = co_await Peers.connect(Address);
    Settled = true;
    KJ_IF_MAYBE (Connection, Connected.Value) {
      bool MayBeSilent = (*Connection)->EverAnswered;
      bool Answered = co_await Call(kj::mv(*Connection));
      Settled = Answered || !MayBeSilent;
    }
  }
}

exchange_reply disseminator::answerExchange(const peer_digest &PeerDigest) {
  exchange_reply Reply;
  Reply.Highest = configuration::highestRevision(Node.Store);
  Reply.Summary = configuration::summaryDigest(Node.Store);
  Reply.Ready = Node.Condition.Ready && !Node.Condition.ViewStale;
  Reply.Presence = Hold.report(readClocks().Monotonic);
  if (PeerDigest.HasBuckets) {
    Reply.Entries = configuration::entriesInDifferingBuckets(
        Node.Store, PeerDigest.Buckets, Settings.MaxExchangeBytes);
  } else if (PeerDigest.Highest < Reply.Highest) {
    Reply.Entries = configuration::entriesNewerThan(
        Node.Store, PeerDigest.Highest, Settings.MaxExchangeBytes);
  }
  return Reply;
}

task<disseminator::exchange_step>
disseminator::exchangeOnce(peer_connection &Connection, bool SendBuckets) {
  auto Request = KJ_ASSERT_NONNULL(Connection.Client).exchangeRequest();
  Request.setHighest(configuration::highestRevision(Node.Store));
  Request.setSummary(configuration::summaryDigest(Node.Store));
  if (SendBuckets) {
    setBuckets(Request, Node.Store);
  }
  Node.Metrics.Dissemination.Exchanges->Increment();
  const monotonic_time AskedAt = readClocks().Monotonic;
  auto Called = co_await Peers.call(kj::addRef(Connection), kj::mv(Request),
                                    AskedAt + Settings.CallTimeout);
  exchange_step Step;
  KJ_IF_MAYBE (Response, Called.Value) {
    auto Report = readPresence(*Response);
    if (Report) {
      Hold.adopt(*Report, AskedAt, readClocks().Monotonic);
    }
    std::vector<published_entry> NewEntries =
        apply(readEntries(Response->getEntries()));
    LastUpdate = readClocks().Monotonic;
    std::uint64_t Highest = configuration::highestRevision(Node.Store);
    Step.Answered = true;
    Step.Ready = Response->getReady();
    Step.MoreEntries = Highest < Response->getHighest() && !NewEntries.empty();
    // After a return of the platform from an older copy, the peer may hold what
    // the copy lacks, at a lower revision.
    bool MayLackOlder =
        configuration::eraOf(Highest) != 0 && Highest > Response->getHighest();
    bool Differs =
        (Highest == Response->getHighest() || MayLackOlder) &&
        configuration::summaryDigest(Node.Store) != Response->getSummary();
    Step.CompareBuckets = Differs && !(SendBuckets && NewEntries.empty());
  }
  co_return Step;
}

task<bool> disseminator::exchangeUntilEqual(kj::Own<peer_connection> Connection,
                                            exchange_step &Step) {
  Step = co_await exchangeOnce(*Connection, false);
  if (!Step.Answered) {
    co_return false;
  }
  ++AnsweredExchanges;
  KJ_DEFER(--AnsweredExchanges);
  // A new node needs several steps to fetch the whole configuration from one
  // peer.
  constexpr unsigned MaxSteps = 1'000;
  for (unsigned I = 1;
       I < MaxSteps && (Step.MoreEntries || Step.CompareBuckets); ++I) {
    exchange_step Next =
        co_await exchangeOnce(*Connection, Step.CompareBuckets);
    if (!Next.Answered) {
      break;
    }
    Step = Next;
  }
  co_return true;
}

task<void> disseminator::exchangeWith(std::string Address) {
  ++RunningExchanges;
  KJ_DEFER(--RunningExchanges);
  // Marks the peer as unresponsive until it answers, so that no second exchange
  // with it is started.
  membership::recordExchange(Unresponsive, Address, false,
                             readClocks().Monotonic);
  exchange_step Step;
  co_await callPeer(Address, [&](kj::Own<peer_connection> Connection) {
    return exchangeUntilEqual(kj::mv(Connection), Step);
  });
  membership::recordExchange(Unresponsive, Address, Step.Answered,
                             readClocks().Monotonic);
  if (Step.Answered) {
    recordPeerAnswer(Step.Ready);
  }
}

bool disseminator::mayStartExchange() const {
  // While one peer sends its whole configuration, other peers would send the
  // same entries again.
  return AnsweredExchanges == 0 &&
         RunningExchanges < Settings.MaxConcurrentExchanges;
}

void disseminator::recordPeerAnswer(bool PeerReady) {
  bool HasEntries = !Node.Store.Newest.empty();
  ReadyPeerAnswered |= PeerReady;
  if (Node.Condition.ViewStale && PeerReady && HasEntries) {
    Node.Condition.ViewStale = false;
    logEvent(log_level::Info, "view_refreshed", {{"from", "peer"}});
  }
}

std::vector<std::string> disseminator::choosePeers(std::size_t ZoneCount,
                                                   std::size_t GlobalCount) {
  auto Draws = [this](std::size_t Count) {
    std::vector<double> Numbers(Count);
    std::generate(Numbers.begin(), Numbers.end(),
                  [this]() { return Node.draw(); });
    return Numbers;
  };
  const std::string &Self = Node.Settings.RpcAddress;
  monotonic_time Now = readClocks().Monotonic;
  std::vector<std::string> Chosen = membership::pickPeers(
      ZoneNodes, Self, Unresponsive, Draws(ZoneCount), Now);
  for (const std::string &Peer : membership::pickPeers(
           AllNodes, Self, Unresponsive, Draws(GlobalCount), Now)) {
    if (std::find(Chosen.begin(), Chosen.end(), Peer) == Chosen.end()) {
      Chosen.push_back(Peer);
    }
  }
  return Chosen;
}

std::string disseminator::chooseExchangePeer() {
  bool AnyZone = Node.draw() < Settings.GlobalExchangeFraction;
  std::vector<std::string> Chosen =
      AnyZone ? choosePeers(0, 1) : choosePeers(1, 0);
  if (Chosen.empty() && !AnyZone) {
    Chosen = choosePeers(0, 1);
  }
  bool UseSeed =
      Chosen.empty() || !Node.Condition.Ready || Node.Condition.ViewStale;
  if (UseSeed && !Node.Settings.Seeds.empty()) {
    return Node.Settings.Seeds[NextSeed++ % Node.Settings.Seeds.size()];
  }
  return Chosen.empty() ? std::string() : Chosen.front();
}

task<void> disseminator::exchangeLoop() {
  while (true) {
    std::string Peer = chooseExchangePeer();
    bool IsOtherNode = !Peer.empty() && Peer != Node.Settings.RpcAddress;
    if (IsOtherNode && mayStartExchange()) {
      Node.Tasks.add(exchangeWith(Peer));
    }
    bool CatchingUp = !Node.Condition.Ready || Node.Condition.ViewStale;
    milliseconds Interval =
        CatchingUp ? milliseconds(100) : Settings.ExchangeInterval;
    double JitterFactor = 0.75 + 0.5 * Node.draw();
    auto Delay = std::chrono::duration_cast<framework::microseconds>(
        Interval * JitterFactor);
    co_await Node.Timer.afterDelay(toDuration(Delay));
  }
}

std::vector<published_entry>
disseminator::findRemovedInstances(const platform_update &Update) const {
  std::vector<published_entry> Removed;
  if (Update.ListedAt == 0) {
    return Removed;
  }
  std::set<std::string_view> Listed;
  for (const published_entry &Entry : Update.Entries) {
    Listed.insert(Entry.Key);
  }
  for (const auto &[Service, Instances] : Node.Store.Catalog.Instances) {
    for (const auto &[Name, Instance] : Instances) {
      std::string Key = configuration::instanceKey(Service, Name);
      auto Stored = Node.Store.Newest.find(Key);
      bool Older = Stored != Node.Store.Newest.end() &&
                   Stored->second.Revision < Update.ListedAt;
      if (Older && !Listed.contains(Key)) {
        Removed.push_back({Key, Update.ListedAt, ""});
      }
    }
  }
  return Removed;
}

void disseminator::releaseRemovals(monotonic_time Now) {
  configuration::held_removals Due = Hold.takeDue(Now);
  if (configuration::isEmpty(Due)) {
    return;
  }
  std::vector<published_entry> Removals;
  for (auto &[Key, Removal] : Due.Removals) {
    Removals.push_back(std::move(Removal));
  }
  std::vector<published_entry> NewEntries = apply(Removals);
  configuration::recordListing(Node.Store, Due.ListedAt);
  if (!NewEntries.empty()) {
    pushToPeers(NewEntries, Settings.MaxHops);
  }
}

void disseminator::applyPlatformUpdate(platform_update Update) {
  Node.Metrics.Dissemination.PlatformCalls->Increment(Update.Calls);
  LastReadSucceeded = Update.Reached;
  Hold.recordRead(Update);
  if (!Update.Reached) {
    auto Reason = static_cast<std::size_t>(Update.Failure);
    Node.Metrics.Dissemination.PlatformFailures[Reason]->Increment();
    return;
  }
  PlatformAnswered = true;
  if (Node.Condition.ViewStale && AllNodes.size() <= 1) {
    Node.Condition.ViewStale = false;
    logEvent(log_level::Info, "view_refreshed", {{"from", "platform"}});
  }
  recordEra(configuration::eraOf(Update.Revision));
  std::vector<published_entry> Entries = findRemovedInstances(Update);
  Entries.insert(Entries.begin(),
                 std::make_move_iterator(Update.Entries.begin()),
                 std::make_move_iterator(Update.Entries.end()));
  bool Holds = Hold.hold(Entries, Update.ListedAt, readClocks().Monotonic);
  std::vector<published_entry> NewEntries = apply(Entries);
  if (!Holds) {
    configuration::recordListing(Node.Store, Update.ListedAt);
  }
  if (!NewEntries.empty()) {
    LastUpdate = readClocks().Monotonic;
    pushToPeers(NewEntries, Settings.MaxHops);
  }
}

void disseminator::updateReadiness(monotonic_time Now) {
  if (Node.Condition.Ready || Node.Store.Newest.empty()) {
    return;
  }
  // NOTE The node waits for both the platform and a peer because either may be
  // stale. After MaxStartupWait one of them suffices.
  bool HasPlatform = Reader != nullptr;
  bool HasPeers = !Node.Settings.Seeds.empty() || AllNodes.size() > 1;
  bool AllAnswered =
      (PlatformAnswered || !HasPlatform) && (ReadyPeerAnswered || !HasPeers);
  bool AnyAnswered = PlatformAnswered || ReadyPeerAnswered;
  // After a return from an older copy, peers may know more than the platform.
  bool OneSuffices = Linearizable && KnownEra == 0;
  if (AllAnswered || (AnyAnswered && OneSuffices) ||
      (AnyAnswered && Now - StartTime > Settings.MaxStartupWait)) {
    Node.Condition.Ready = true;
    logEvent(log_level::Info, "ready",
             {{"revision", configuration::formatRevision(
                               configuration::highestRevision(Node.Store))},
              {"platform", PlatformAnswered ? "answered" : "no_answer"},
              {"peer", ReadyPeerAnswered ? "answered" : "no_answer"}});
  }
}

void disseminator::tick(framework::time_now Now) {
  updateReadiness(Now.Monotonic);
  releaseRemovals(Now.Monotonic);
  if (Reader == nullptr) {
    return;
  }
  bool Chosen = Duty.isReader(Now);
  // A node that receives no updates reads the platform itself. The delay before
  // that differs between nodes, so that the nodes of a partitioned zone do not
  // all call the platform at once.
  double JitterFraction =
      framework::hashFraction(framework::hashText(Node.Settings.RpcAddress));
  auto MaxUpdateAge = Node.ReaderSettings.MaxUpdateAge * (1.0 + JitterFraction);
  bool UpdateOverdue = Now.Monotonic - LastUpdate > MaxUpdateAge;
  // A starting node fetches the configuration from its peers first and asks the
  // platform only for newer entries, so that the nodes of a restarting zone do
  // not all read the whole configuration from the platform at once.
  auto PeerOnlyTime = Settings.StartupPeerOnlyTime * (1.0 + JitterFraction);
  bool Starting =
      !Node.Condition.Ready &&
      (Node.Settings.Seeds.empty() || Now.Monotonic - StartTime > PeerOnlyTime);
  bool ShouldRead = MayRead && (Starting || (Node.Condition.Ready && Chosen) ||
                                UpdateOverdue);
  if (ShouldRead != Reading) {
    Reading = ShouldRead;
    std::uint64_t Highest = configuration::highestRevision(Node.Store);
    std::uint64_t Overlap =
        Node.Condition.Ready ? Settings.ReaderRevisionOverlap : 0;
    std::uint64_t Number = configuration::numberOf(Highest);
    Reader->setActive(Reading, configuration::makeRevision(
                                   configuration::eraOf(Highest),
                                   Number > Overlap ? Number - Overlap : 0));
    logEvent(log_level::Info, "reader", {{"active", Reading ? "yes" : "no"}});
  }
}

void disseminator::stopReading() {
  MayRead = false;
  Reading = false;
  if (Reader != nullptr) {
    Reader->setActive(false, 0);
  }
}

void disseminator::resumeAfterPause(framework::time_now Now) {
  Node.Condition.ViewStale = true;
  Hold.forgetAnswers();
  execution::refuseIdsIssuedUntil(Node.Home, Now.Wall);
  routing::clearViews(Node.Upstreams);
  LastUpdate = Now.Monotonic;
}

} // namespace figplank::node
