#include "node/dissemination.h"

#include "framework/hashing.h"
#include "node/wire.h"

#include <algorithm>
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

/// Requests that may wait whatever the number of slots.
constexpr std::size_t LeastQueue = 16;
/// Part of the capacity that each rank keeps where routes, which name none, are
/// served.
constexpr double RouteMinimumShare = 0.05;
/// Part of a backend server's slots that is used: servers slow down when they
/// are nearly full, and a new connection may hold a slot for a moment.
constexpr double UsableSlots = 0.94;
/// How often a node considers whether it is a reader.
constexpr milliseconds ChoiceInterval{500};

/// What \p Entry says now, as far as operators ask for it.
std::string_view stateOf(const published_entry &Entry,
                         const configuration::store &Store) {
  if (Entry.Value.empty()) {
    return "gone";
  }
  const configuration::instance *Instance =
      configuration::findInstance(Store.Catalog, Entry.Key);
  if (Instance != nullptr) {
    return framework::nameOf(configuration::InstanceStateNames,
                             Instance->State);
  }
  return "in_force";
}

void logApplied(const published_entry &Entry, apply_result Result,
                const configuration::store &Store) {
  if (Result == apply_result::Accepted) {
    framework::logFrequentEvent(log_level::Info, "entry_accepted",
                                {{"key", Entry.Key},
                                 {"revision", Entry.Revision},
                                 {"entry", stateOf(Entry, Store)}},
                                readClocks().Monotonic);
    return;
  }
  const framework::findings &Findings =
      Store.Refused.find(Entry.Key)->second.Findings;
  logEvent(log_level::Warning, "entry_refused",
           {{"key", Entry.Key},
            {"revision", Entry.Revision},
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
    : Node(Node), Peers(Peers), Started(readClocks().Monotonic),
      LastNews(Started) {
  Linearizable = Source.Linearizable;
  if (Source.Read) {
    Reader = std::make_unique<platform_reader>(
        std::move(Source), [this, &Mailbox](platform_update News) {
          Mailbox.post(
              [this, News = std::move(News)]() { takePlatformNews(News); });
        });
  }
  Node.Tasks.add(exchangeLoop());
}

std::vector<published_entry>
disseminator::apply(const std::vector<published_entry> &Entries) {
  std::vector<published_entry> News;
  for (const published_entry &Entry : Entries) {
    apply_result Result = configuration::applyEntry(Node.Store, Entry);
    if (Result == apply_result::NotNewer) {
      Node.Metrics.Dissemination.EntriesNotNewer->Increment();
      continue;
    }
    bool Accepted = Result == apply_result::Accepted;
    (Accepted ? Node.Metrics.Dissemination.EntriesAccepted
              : Node.Metrics.Dissemination.EntriesRefused)
        ->Increment();
    logApplied(Entry, Result, Node.Store);
    News.push_back(Entry);
  }
  bool Instances =
      std::any_of(News.begin(), News.end(), [](const published_entry &Entry) {
        return Entry.Key.starts_with(configuration::InstancesPrefix);
      });
  if (Instances) {
    listNodes();
  }
  if (!News.empty()) {
    applySettings();
    Node.OnConfiguration();
    Node.Metrics.Revision->Set(
        static_cast<double>(configuration::highestRevision(Node.Store)));
  }
  return News;
}

void disseminator::listNodes() {
  ZoneNodes = membership::listNodes(Node.Store.Catalog, Node.Settings.Zone);
  AllNodes = membership::listNodes(Node.Store.Catalog, "");
}

/// Finds the newest incarnation of the own backend server.
void disseminator::applyOwnInstance() {
  auto Listed = Node.Store.Catalog.Instances.find(Node.Settings.Service);
  const configuration::instance *Own = nullptr;
  if (Listed != Node.Store.Catalog.Instances.end()) {
    for (const auto &[Name, Instance] : Listed->second) {
      bool Here = Instance.BackendAddress == Node.Settings.BackendAddress;
      if (Here && (Own == nullptr || Instance.StartedMs > Own->StartedMs)) {
        Own = &Instance;
      }
    }
  }
  bool Leaving = Own == nullptr
                     ? !Node.BackendInstance.empty()
                     : Own->State == configuration::instance_state::Leaving;
  if (!Leaving) {
    Node.BackendLeavingSince.reset();
  } else if (!Node.BackendLeavingSince) {
    Node.BackendLeavingSince = readClocks().Monotonic;
    logEvent(log_level::Info, "backend_leaving",
             {{"instance", Node.BackendInstance}});
  }
  if (Own == nullptr) {
    return;
  }
  if (Own->Name != Node.BackendInstance) {
    Node.BackendInstance = Own->Name;
    logEvent(log_level::Info, "backend_instance",
             {{"instance", Own->Name}, {"slots", Own->Slots}});
  }
  Node.MinimumShares.fill(RouteMinimumShare);
  if (Own->Slots > 0) {
    admission::setSlots(Node.Limit, UsableSlots * Own->Slots);
    Node.Queue.Settings.MaxQueued =
        std::max(LeastQueue, std::size_t{2} * Own->Slots);
  }
}

void disseminator::applySettings() {
  if (servesRoutes(Node.Settings)) {
    applyOwnInstance();
  }
  auto Service = Node.Store.Catalog.Services.find(Node.Settings.Service);
  if (Service == Node.Store.Catalog.Services.end()) {
    return;
  }
  Node.MinimumShares =
      configuration::minimumShares(Node.Store.Catalog, Node.Settings.Service);
  admission::setSlots(Node.Limit, Service->second.Slots);
  Node.Queue.Settings.MaxQueued =
      std::max(LeastQueue, std::size_t{2} * Service->second.Slots);
  bool Changed = Node.Home.Roster != Service->second.Roster ||
                 Node.Home.PreviousRosters != Service->second.PreviousRosters;
  if (Changed) {
    execution::updateRoster(Node.Home, Service->second, readClocks().Wall);
    logEvent(
        log_level::Info, "roster_in_force",
        {{"members", static_cast<std::uint64_t>(Service->second.Roster.size())},
         {"previous",
          static_cast<std::uint64_t>(Service->second.PreviousRosters.size())}});
  }
}

void disseminator::receivePush(const std::vector<published_entry> &Entries,
                               std::uint8_t Hops) {
  std::vector<published_entry> News = apply(Entries);
  LastNews = readClocks().Monotonic;
  if (!News.empty() && Hops > 0) {
    spread(News, static_cast<std::uint8_t>(Hops - 1));
  }
}

void disseminator::spread(const std::vector<published_entry> &Entries,
                          std::uint8_t Hops) {
  // NOTE The list holds this node too.
  std::size_t Near = ZoneNodes.size() <= Settings.SmallZone + 1
                         ? ZoneNodes.size()
                         : Settings.NearFanout;
  for (const std::string &Peer : choosePeers(Near, Settings.FarFanout)) {
    Node.Tasks.add(push(Peer, Entries, Hops));
  }
}

task<void> disseminator::push(std::string Address,
                              std::vector<published_entry> Entries,
                              std::uint8_t Hops) {
  connection_result Connected = co_await Peers.connect(Address);
  KJ_IF_MAYBE (Connection, Connected.Value) {
    auto Request = KJ_ASSERT_NONNULL((*Connection)->Client).pushRequest();
    writeEntries(Request.initEntries(static_cast<unsigned>(Entries.size())),
                 Entries);
    Request.setHops(Hops);
    Node.Metrics.Dissemination.Pushes->Increment();
    // A push that is lost is mended by the next exchange.
    (void)co_await Peers.call(kj::mv(*Connection), kj::mv(Request),
                              readClocks().Monotonic + Settings.CallTimeout);
  }
}

exchange_reply disseminator::answerExchange(const peer_digest &Theirs) {
  exchange_reply Reply;
  Reply.Highest = configuration::highestRevision(Node.Store);
  Reply.Summary = configuration::summaryDigest(Node.Store);
  Reply.Ready = Node.Condition.Ready && !Node.Condition.ViewStale;
  if (Theirs.HasBuckets) {
    Reply.Entries = configuration::entriesThatDiffer(Node.Store, Theirs.Buckets,
                                                     Settings.MaxExchangeBytes);
  } else if (Theirs.Highest < Reply.Highest) {
    Reply.Entries = configuration::entriesNewerThan(Node.Store, Theirs.Highest,
                                                    Settings.MaxExchangeBytes);
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
  auto Called =
      co_await Peers.call(kj::addRef(Connection), kj::mv(Request),
                          readClocks().Monotonic + Settings.CallTimeout);
  exchange_step Step;
  KJ_IF_MAYBE (Response, Called.Value) {
    std::vector<published_entry> News =
        apply(readEntries(Response->getEntries()));
    LastNews = readClocks().Monotonic;
    std::uint64_t Highest = configuration::highestRevision(Node.Store);
    Step.Answered = true;
    Step.Ready = Response->getReady();
    Step.More = Highest < Response->getHighest() && !News.empty();
    bool Differs =
        Highest == Response->getHighest() &&
        configuration::summaryDigest(Node.Store) != Response->getSummary();
    Step.CompareBuckets = Differs && !(SendBuckets && News.empty());
  }
  co_return Step;
}

task<disseminator::exchange_step>
disseminator::exchangeSteps(kj::Own<peer_connection> Connection) {
  exchange_step Step = co_await exchangeOnce(*Connection, false);
  if (!Step.Answered) {
    co_return Step;
  }
  ++AnsweredExchanges;
  KJ_DEFER(--AnsweredExchanges);
  // A new node takes the whole copy in several steps from one peer.
  constexpr unsigned MaxSteps = 1'000;
  for (unsigned I = 1; I < MaxSteps && (Step.More || Step.CompareBuckets);
       ++I) {
    exchange_step Next =
        co_await exchangeOnce(*Connection, Step.CompareBuckets);
    if (!Next.Answered) {
      break;
    }
    Step = Next;
  }
  co_return Step;
}

task<void> disseminator::exchangeWith(std::string Address) {
  ++Exchanges;
  KJ_DEFER(--Exchanges);
  // Until it answers, no other exchange goes to it.
  membership::recordExchange(Unresponsive, Address, false,
                             readClocks().Monotonic);
  connection_result Connected = co_await Peers.connect(Address);
  exchange_step Step;
  KJ_IF_MAYBE (Connection, Connected.Value) {
    Step = co_await exchangeSteps(kj::mv(*Connection));
  }
  membership::recordExchange(Unresponsive, Address, Step.Answered,
                             readClocks().Monotonic);
  if (Step.Answered) {
    heard(Step.Ready);
  }
}

bool disseminator::mayStartExchange() const {
  // While one peer sends its whole copy, the others would send the same.
  return AnsweredExchanges == 0 && Exchanges < Settings.MaxExchanges;
}

void disseminator::heard(bool FromReady) {
  bool HasEntries = !Node.Store.Newest.empty();
  PeerHeard |= FromReady;
  if (Node.Condition.ViewStale && FromReady && HasEntries) {
    Node.Condition.ViewStale = false;
    logEvent(log_level::Info, "view_refreshed", {{"from", "peer"}});
  }
}

std::vector<std::string> disseminator::choosePeers(std::size_t Near,
                                                   std::size_t Far) {
  auto Draws = [this](std::size_t Count) {
    std::vector<double> Numbers(Count);
    std::generate(Numbers.begin(), Numbers.end(),
                  [this]() { return Node.draw(); });
    return Numbers;
  };
  const std::string &Self = Node.Settings.RpcAddress;
  monotonic_time Now = readClocks().Monotonic;
  std::vector<std::string> Chosen =
      membership::pickPeers(ZoneNodes, Self, Unresponsive, Draws(Near), Now);
  for (const std::string &Peer :
       membership::pickPeers(AllNodes, Self, Unresponsive, Draws(Far), Now)) {
    if (std::find(Chosen.begin(), Chosen.end(), Peer) == Chosen.end()) {
      Chosen.push_back(Peer);
    }
  }
  return Chosen;
}

std::string disseminator::chooseExchangePeer() {
  bool Far = Node.draw() < Settings.FarFraction;
  std::vector<std::string> Chosen = Far ? choosePeers(0, 1) : choosePeers(1, 0);
  if (Chosen.empty() && !Far) {
    Chosen = choosePeers(0, 1);
  }
  bool UseSeed =
      Chosen.empty() || !Node.Condition.Ready || Node.Condition.ViewStale;
  if (UseSeed && !Node.Settings.Seeds.empty()) {
    return Node.Settings.Seeds[SeedTurn++ % Node.Settings.Seeds.size()];
  }
  return Chosen.empty() ? std::string() : Chosen.front();
}

task<void> disseminator::exchangeLoop() {
  while (true) {
    std::string Peer = chooseExchangePeer();
    bool Other = !Peer.empty() && Peer != Node.Settings.RpcAddress;
    if (Other && mayStartExchange()) {
      Node.Tasks.add(exchangeWith(Peer));
    }
    bool Hurry = !Node.Condition.Ready || Node.Condition.ViewStale;
    milliseconds Pause = Hurry ? milliseconds(100) : Settings.ExchangeInterval;
    double Jitter = 0.75 + 0.5 * Node.draw();
    auto Jittered =
        std::chrono::duration_cast<framework::microseconds>(Pause * Jitter);
    co_await Node.Timer.afterDelay(toDuration(Jittered));
  }
}

std::vector<published_entry>
disseminator::listRemoved(const platform_update &News) const {
  std::vector<published_entry> Removed;
  if (News.ListedAt == 0) {
    return Removed;
  }
  std::set<std::string_view> Listed;
  for (const published_entry &Entry : News.Entries) {
    Listed.insert(Entry.Key);
  }
  for (const auto &[Service, Instances] : Node.Store.Catalog.Instances) {
    for (const auto &[Name, Instance] : Instances) {
      std::string Key = configuration::instanceKey(Service, Name);
      auto Held = Node.Store.Newest.find(Key);
      bool Older = Held != Node.Store.Newest.end() &&
                   Held->second.Revision < News.ListedAt;
      if (Older && !Listed.contains(Key)) {
        Removed.push_back({Key, News.ListedAt, ""});
      }
    }
  }
  return Removed;
}

void disseminator::takePlatformNews(const platform_update &News) {
  Node.Metrics.Dissemination.PlatformCalls->Increment(News.Calls);
  if (!News.Reached) {
    Node.Metrics.Dissemination.PlatformFailures->Increment();
    return;
  }
  PlatformHeard = true;
  if (Node.Condition.ViewStale && AllNodes.size() <= 1) {
    Node.Condition.ViewStale = false;
    logEvent(log_level::Info, "view_refreshed", {{"from", "platform"}});
  }
  std::vector<published_entry> Fresh = apply(News.Entries);
  std::vector<published_entry> Removed = apply(listRemoved(News));
  Fresh.insert(Fresh.end(), Removed.begin(), Removed.end());
  if (!Fresh.empty()) {
    LastNews = readClocks().Monotonic;
    spread(Fresh, Settings.MaxHops);
  }
}

void disseminator::updateReadiness(monotonic_time Now) {
  if (Node.Condition.Ready || Node.Store.Newest.empty()) {
    return;
  }
  // NOTE Both the platform and a peer are heard, since either may be stale;
  // after the wait, whichever was heard must do.
  bool HasPlatform = Reader != nullptr;
  bool HasPeers = !Node.Settings.Seeds.empty() || AllNodes.size() > 1;
  bool Both = (PlatformHeard || !HasPlatform) && (PeerHeard || !HasPeers);
  bool Either = PlatformHeard || PeerHeard;
  if (Both || (Either && Linearizable) ||
      (Either && Now - Started > Settings.StartupWait)) {
    Node.Condition.Ready = true;
    logEvent(log_level::Info, "ready",
             {{"revision", configuration::highestRevision(Node.Store)},
              {"platform", PlatformHeard ? "heard" : "not_heard"},
              {"peer", PeerHeard ? "heard" : "not_heard"}});
  }
}

void disseminator::tick(framework::time_now Now) {
  updateReadiness(Now.Monotonic);
  if (Reader == nullptr) {
    return;
  }
  if (Now.Monotonic < NextChoice) {
    return;
  }
  NextChoice = Now.Monotonic + ChoiceInterval;
  bool Chosen = membership::isReader(
      Node.ReaderSettings, Node.Settings.RpcAddress, ZoneNodes, Now.Wall);
  // Without news from anyone a node reads for itself, each after a time of
  // its own so that a cut zone does not call all at once.
  double Spread =
      framework::hashFraction(framework::hashText(Node.Settings.RpcAddress));
  auto Patience = Node.ReaderSettings.MaxUpdateAge * (1.0 + Spread);
  bool Silent = Now.Monotonic - LastNews > Patience;
  // A node that starts asks its peers for the copy, and the platform only for
  // what is newer, lest a zone that returns calls all at once.
  auto PeersFirst = Settings.PeersFirst * (1.0 + Spread);
  bool Starting =
      !Node.Condition.Ready &&
      (Node.Settings.Seeds.empty() || Now.Monotonic - Started > PeersFirst);
  bool Wanted = Starting || (Node.Condition.Ready && Chosen) || Silent;
  if (Wanted != Reading) {
    Reading = Wanted;
    std::uint64_t Highest = configuration::highestRevision(Node.Store);
    std::uint64_t Back = Node.Condition.Ready ? Settings.ReadBack : 0;
    Reader->setActive(Reading, Highest > Back ? Highest - Back : 0);
    logEvent(log_level::Info, "reader", {{"active", Reading ? "yes" : "no"}});
  }
}

std::vector<std::string>
disseminator::listReaders(framework::wall_time Now) const {
  std::vector<std::string> Readers;
  for (const std::string &Member : ZoneNodes) {
    if (membership::isReader(Node.ReaderSettings, Member, ZoneNodes, Now)) {
      Readers.push_back(Member);
    }
  }
  return Readers;
}

void disseminator::resumeAfterPause(framework::time_now Now) {
  Node.Condition.ViewStale = true;
  execution::resetHome(Node.Home, Now.Wall);
  routing::clearViews(Node.Upstreams);
  Peers.dropAll();
  LastNews = Now.Monotonic;
}

} // namespace figplank::node
