/// \file
/// Returns of the platform from an older copy: its revisions go back and are
/// used again for other content, and what was in force must not go back.

#include "configuration/store.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace figplank;
using namespace figplank::configuration;

namespace {

constexpr const char *InstanceKey = "instances/s/n1";

std::string routes(std::uint64_t Version) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[]})";
}

published_entry routing(std::uint64_t Revision, std::uint64_t Version) {
  return {"routing/current", Revision, routes(Version)};
}

std::string instanceValue(const std::string &State, std::uint64_t StartedMs) {
  return R"({"zone":"z","address":"10.0.0.1:1","state":")" + State +
         R"(","born_ms":)" + std::to_string(StartedMs) + "}";
}

published_entry instanceOf(std::uint64_t Revision, const std::string &State,
                           std::uint64_t StartedMs) {
  return {InstanceKey, Revision, instanceValue(State, StartedMs)};
}

bool isLive(const store &Store) {
  const instance *Instance = findInstance(Store.Catalog, InstanceKey);
  return Instance != nullptr && Instance->State == instance_state::Live;
}

} // namespace

TEST_GROUP(Returns) { store Store; };

// Guards against changes that are ignored after a return, since their revisions
// are lower than those before it.
TEST(Returns, ChangeOfANewEraIsInForceThoughItsNumberIsLower) {
  applyEntry(Store, routing(makeRevision(1, 100), 7));
  CHECK(applyEntry(Store, routing(makeRevision(2, 50), 8)) ==
        apply_result::Accepted);
  LONGS_EQUAL(8, Store.Catalog.Routing.Version);
  CHECK(applyEntry(Store, routing(makeRevision(1, 101), 7)) ==
        apply_result::NotNewer);
  LONGS_EQUAL(8, Store.Catalog.Routing.Version);
}

// Guards against a configuration in force that goes back to the one of the copy
// (CONFIG, regress).
TEST(Returns, OlderRoutesOfTheCopyAreNotInForce) {
  applyEntry(Store, routing(makeRevision(1, 100), 8));
  CHECK(applyEntry(Store, routing(makeRevision(2, 90), 7)) ==
        apply_result::Outdated);
  LONGS_EQUAL(8, Store.Catalog.Routing.Version);
  CHECK(applyEntry(Store, routing(makeRevision(2, 91), 8)) ==
        apply_result::Accepted);
  CHECK(applyEntry(Store, routing(makeRevision(2, 92), 9)) ==
        apply_result::Accepted);
  LONGS_EQUAL(9, Store.Catalog.Routing.Version);
}

TEST(Returns, NodeThatReadTheCopyFirstTakesNewerRoutesFromAPeer) {
  applyEntry(Store, routing(makeRevision(2, 90), 7));
  CHECK(applyEntry(Store, routing(makeRevision(1, 100), 8)) ==
        apply_result::Accepted);
  LONGS_EQUAL(8, Store.Catalog.Routing.Version);
}

// Guards against a server whose leaving was known and that gets requests again
// (DRAIN).
TEST(Returns, InstanceThatWasLeavingStaysOutUntilItIsStartedAgain) {
  applyEntry(Store, instanceOf(makeRevision(1, 90), "live", 5));
  applyEntry(Store, instanceOf(makeRevision(1, 100), "leaving", 5));
  CHECK(applyEntry(Store, instanceOf(makeRevision(2, 90), "live", 5)) ==
        apply_result::Outdated);
  CHECK_FALSE(isLive(Store));
  applyEntry(Store, {InstanceKey, makeRevision(2, 95), ""});
  CHECK(applyEntry(Store, instanceOf(makeRevision(3, 90), "live", 5)) ==
        apply_result::Outdated);
  CHECK_FALSE(isLive(Store));
  CHECK(applyEntry(Store, instanceOf(makeRevision(3, 91), "live", 6)) ==
        apply_result::Accepted);
  CHECK(isLive(Store));
}

// Guards against a server whose removal was known and that gets requests again,
// since the copy still lists it (DRAIN).
TEST(Returns, InstanceThatWasRemovedStaysOutWhileOnlyTheCopyListsIt) {
  applyEntry(Store, instanceOf(makeRevision(1, 90), "live", 5));
  applyEntry(Store, {InstanceKey, makeRevision(1, 100), ""});
  for (int I = 0; I < 3; ++I) {
    CHECK(applyEntry(Store, instanceOf(makeRevision(2, 90), "live", 5)) ==
          apply_result::Outdated);
    CHECK_FALSE(isLive(Store));
  }
}

// Guards against a server that runs, whose entry had expired before the return,
// and that is never used again.
TEST(Returns, InstanceThatWasRemovedIsUsedAgainOnceItRenewsItsEntry) {
  applyEntry(Store, instanceOf(makeRevision(1, 90), "live", 5));
  applyEntry(Store, {InstanceKey, makeRevision(1, 100), ""});
  applyEntry(Store, instanceOf(makeRevision(2, 90), "live", 5));
  CHECK(applyEntry(Store, instanceOf(makeRevision(2, 93), "live", 5)) ==
        apply_result::Accepted);
  CHECK(isLive(Store));
  CHECK(applyEntry(Store, instanceOf(makeRevision(3, 91), "live", 5)) ==
        apply_result::Accepted);
  CHECK(isLive(Store));
}

TEST(Returns, InstanceThatExpiredAndIsBackInTheSameEraIsUsed) {
  applyEntry(Store, instanceOf(makeRevision(1, 90), "live", 5));
  applyEntry(Store, {InstanceKey, makeRevision(1, 100), ""});
  CHECK(applyEntry(Store, instanceOf(makeRevision(1, 101), "live", 5)) ==
        apply_result::Accepted);
  CHECK(isLive(Store));
}

TEST(Returns, LaterIncarnationOfARemovedInstanceIsUsedAtOnce) {
  applyEntry(Store, instanceOf(makeRevision(1, 90), "live", 5));
  applyEntry(Store, {InstanceKey, makeRevision(1, 100), ""});
  CHECK(applyEntry(Store, instanceOf(makeRevision(2, 91), "live", 6)) ==
        apply_result::Accepted);
  CHECK(isLive(Store));
}

// Guards against an entry of another writer without a start time, by which a
// server that has said that it leaves counts as another one (DRAIN).
TEST(Returns, EntryWithoutAStartKeepsTheIncarnation) {
  applyEntry(Store, instanceOf(90, "live", 5));
  applyEntry(Store, {InstanceKey, 91,
                     R"({"zone":"z","address":"10.0.0.1:1","state":"live"})"});
  LONGS_EQUAL(5, findInstance(Store.Catalog, InstanceKey)->StartedMs);
  CHECK(isLive(Store));
  applyEntry(Store, instanceOf(92, "live", 6));
  LONGS_EQUAL(6, findInstance(Store.Catalog, InstanceKey)->StartedMs);
}

TEST(Returns, NodeThatReadTheCopyFirstLearnsOfTheLeavingFromAPeer) {
  applyEntry(Store, instanceOf(makeRevision(2, 90), "live", 5));
  CHECK(applyEntry(Store, instanceOf(makeRevision(1, 100), "leaving", 5)) ==
        apply_result::Accepted);
  CHECK_FALSE(isLive(Store));
}

TEST(Returns, ListingOfANewEraRemovesInstancesOfOlderOnes) {
  recordListing(Store, makeRevision(2, 10));
  applyEntry(Store, instanceOf(makeRevision(1, 100), "live", 5));
  CHECK_FALSE(isLive(Store));
}

namespace {

/// The platform, with a copy that is taken now and then.
struct model_platform {
  std::uint64_t Era = 0;
  std::uint64_t Number = 1;
  text_map<published_entry> Items;
  std::uint64_t CopiedNumber = 1;
  text_map<published_entry> CopiedItems;

  void write(const std::string &Key, const std::string &Value) {
    Items[Key] = {Key, makeRevision(Era, ++Number), Value};
  }
  void copy() {
    CopiedNumber = Number;
    CopiedItems = Items;
  }
  void returnFromCopy() {
    ++Era;
    Number = CopiedNumber;
    Items = CopiedItems;
    for (auto &[Key, Item] : Items) {
      Item.Revision = makeRevision(Era, numberOf(Item.Revision));
    }
  }
};

constexpr std::size_t Nodes = 5;

/// One random history: writes, copies, returns, reads of the platform by some
/// nodes, late and lost messages between them, and restarts.
class history {
public:
  explicit history(unsigned Seed) : Random(Seed) {}

  /// Returns the first broken promise; empty if none is.
  std::string run() {
    constexpr int Steps = 200;
    Platform.write("routing/current", routes(++Version));
    Platform.copy();
    for (int I = 0; I < Steps && Broken.empty(); ++I) {
      step();
      check();
    }
    settle();
    return Broken;
  }

private:
  int draw(int Max) {
    return std::uniform_int_distribution<int>(0, Max)(Random);
  }

  void step() {
    std::size_t Node = static_cast<std::size_t>(draw(Nodes - 1));
    std::size_t Other = static_cast<std::size_t>(draw(Nodes - 1));
    switch (draw(11)) {
    case 0:
      Platform.write("routing/current", routes(++Version));
      break;
    case 1:
      writeInstance();
      break;
    case 2:
      Platform.copy();
      break;
    case 3:
      if (draw(2) == 0) {
        Platform.returnFromCopy();
      }
      break;
    case 4:
    case 5:
      read(Node);
      break;
    case 6:
      if (draw(3) == 0) {
        Stores[Node] = store();
        HighestVersion[Node] = 0;
        LeftSeen[Node].clear();
      }
      break;
    case 7:
      deliverLate(Node);
      break;
    default:
      exchange(Node, Other);
      break;
    }
  }

  void writeInstance() {
    bool Leaves = Live && draw(1) == 0;
    StartedMs += Live ? 0 : 1;
    Live = !Leaves;
    Platform.write(InstanceKey,
                   instanceValue(Live ? "live" : "leaving", StartedMs));
  }

  void read(std::size_t Node) {
    for (const auto &[Key, Item] : Platform.Items) {
      take(Node, Item);
    }
  }

  void take(std::size_t Node, const published_entry &Entry) {
    applyEntry(Stores[Node], Entry);
    Messages.push_back(Entry);
  }

  /// Delivers an entry that was sent at any time before.
  void deliverLate(std::size_t Node) {
    if (!Messages.empty()) {
      applyEntry(Stores[Node], Messages[static_cast<std::size_t>(draw(
                                   static_cast<int>(Messages.size()) - 1))]);
    }
  }

  void exchange(std::size_t From, std::size_t To) {
    for (const published_entry &Entry : entriesInDifferingBuckets(
             Stores[From], Stores[To].Digests, 1'000'000)) {
      applyEntry(Stores[To], Entry);
    }
  }

  void check() {
    for (std::size_t I = 0; I < Nodes; ++I) {
      const catalog &Catalog = Stores[I].Catalog;
      if (Catalog.Routing.Version < HighestVersion[I]) {
        Broken = "the routes in force went back";
      }
      HighestVersion[I] = std::max(HighestVersion[I], Catalog.Routing.Version);
      const instance *Instance = findInstance(Catalog, InstanceKey);
      if (Instance == nullptr) {
        continue;
      }
      if (Instance->State == instance_state::Leaving) {
        LeftSeen[I].insert(Instance->StartedMs);
      } else if (LeftSeen[I].contains(Instance->StartedMs)) {
        Broken = "an instance that was leaving came back";
      }
    }
  }

  /// The operator and the servers write again what was lost, all nodes read and
  /// exchange, and must agree.
  void settle() {
    if (!Broken.empty()) {
      return;
    }
    Platform.write("routing/current", routes(Version));
    Platform.write(InstanceKey,
                   instanceValue(Live ? "live" : "leaving", StartedMs));
    for (std::size_t I = 0; I < Nodes; ++I) {
      read(I);
    }
    check();
    for (const store &Store : Stores) {
      bool Agrees = summaryDigest(Store) == summaryDigest(Stores[0]) &&
                    Store.Catalog.Routing.Version == Version;
      if (!Agrees) {
        Broken = "the nodes differ after the last write";
      }
    }
  }

  std::mt19937 Random;
  model_platform Platform;
  std::array<store, Nodes> Stores;
  std::array<std::uint64_t, Nodes> HighestVersion{};
  std::array<std::set<std::uint64_t>, Nodes> LeftSeen;
  std::vector<published_entry> Messages;
  std::uint64_t Version = 0;
  std::uint64_t StartedMs = 1;
  bool Live = false;
  std::string Broken;
};

} // namespace

TEST(Returns, RandomHistoriesNeitherGoBackNorDiverge) {
  constexpr unsigned Histories = 2'000;
  for (unsigned Seed = 1; Seed <= Histories; ++Seed) {
    std::string Broken = history(Seed).run();
    CHECK_TEXT(Broken.empty(),
               (Broken + ", seed " + std::to_string(Seed)).c_str());
  }
}
