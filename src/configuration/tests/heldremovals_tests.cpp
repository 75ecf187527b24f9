#include "configuration/heldremovals.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::configuration;

namespace {

constexpr const char *First = "instances/grid/i-1";
constexpr const char *Second = "instances/grid/i-2";

} // namespace

TEST_GROUP(HeldRemovals) {
  held_removals Held;

  /// Passes entries through; returns those that are not held.
  std::vector<published_entry> pass(std::vector<published_entry> Entries,
                                    std::uint64_t ListedAt = 0) {
    holdRemovals(Held, Entries, ListedAt);
    return Entries;
  }
};

TEST(HeldRemovals, OnlyRemovalsOfInstancesAreHeld) {
  auto Passed =
      pass({{First, 5, ""}, {Second, 6, "{}"}, {"routing/current", 7, ""}});
  LONGS_EQUAL(2, Passed.size());
  STRCMP_EQUAL(Second, Passed[0].Key.c_str());
  LONGS_EQUAL(1, Held.Removals.size());
}

TEST(HeldRemovals, InstanceThatIsBackIsNotRemoved) {
  pass({{First, 5, ""}});
  pass({{First, 8, "{}"}});
  CHECK(isEmpty(Held));
}

// Guards against an update that is read again, as by a new reader, and makes a
// removal forgotten.
TEST(HeldRemovals, OlderEntryDoesNotDropARemoval) {
  pass({{First, 5, ""}});
  pass({{First, 4, "{}"}});
  LONGS_EQUAL(1, Held.Removals.size());
}

TEST(HeldRemovals, NewestRemovalCounts) {
  pass({{First, 5, ""}, {First, 9, ""}, {First, 7, ""}}, 9);
  held_removals Taken = takeHeld(Held);
  LONGS_EQUAL(9, Taken.Removals[First].Revision);
  LONGS_EQUAL(9, Taken.ListedAt);
  CHECK(isEmpty(Held));
}

TEST(HeldRemovals, ListingWithoutRemovalsIsHeldToo) {
  pass({{First, 5, "{}"}}, 6);
  CHECK_FALSE(isEmpty(Held));
}
