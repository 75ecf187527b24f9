#include "configuration/store.h"

#include <CppUTest/TestHarness.h>

using namespace figplank;
using namespace figplank::configuration;

namespace {

published_entry instanceEntry(int Number, std::uint64_t Revision) {
  return {"instances/s/n" + std::to_string(Number), Revision,
          R"({"zone":"z","address":"10.0.0.1:)" + std::to_string(Number) +
              R"(","state":"live"})"};
}

constexpr const char *Template = R"({"service":"s","path":"/p",
  "rank":{"default":2,"least":1,"most":4},"deadline_ms":{"default":100,"least":50,"most":200},
  "idempotent":true})";

} // namespace

TEST_GROUP(Store) { store Store; };

TEST(Store, OnlyHigherRevisionsAreStored) {
  CHECK(applyEntry(Store, instanceEntry(1, 5)) == apply_result::Accepted);
  CHECK(applyEntry(Store, instanceEntry(1, 5)) == apply_result::NotNewer);
  CHECK(applyEntry(Store, instanceEntry(1, 4)) == apply_result::NotNewer);
  CHECK(applyEntry(Store, instanceEntry(1, 6)) == apply_result::Accepted);
  LONGS_EQUAL(6, highestRevision(Store));
}

TEST(Store, RefusedRevisionLeavesTheAcceptedOneInForce) {
  applyEntry(Store, {"templates/t", 1, Template});
  CHECK(applyEntry(Store, {"templates/t", 2, "{}"}) == apply_result::Refused);
  LONGS_EQUAL(2, Store.Catalog.Templates["t"].Rank.Default);
  LONGS_EQUAL(1, Store.AcceptedRevisions["templates/t"]);
  LONGS_EQUAL(2, Store.Refused["templates/t"].Revision);
  CHECK(applyEntry(Store, {"templates/t", 1, Template}) ==
        apply_result::NotNewer);
  CHECK(applyEntry(Store, {"templates/t", 3, Template}) ==
        apply_result::Accepted);
  CHECK(Store.Refused.empty());
}

TEST(Store, DeletionIsNotUndoneByAnOlderEntry) {
  applyEntry(Store, instanceEntry(1, 1));
  applyEntry(Store, {"instances/s/n1", 2, ""});
  CHECK(Store.Catalog.Instances.empty());
  CHECK(applyEntry(Store, instanceEntry(1, 1)) == apply_result::NotNewer);
}

TEST(Store, DigestsAreEqualForEqualCopiesInAnyOrder) {
  struct store Other;
  for (int I = 1; I <= 50; ++I) {
    applyEntry(Store, instanceEntry(I, static_cast<std::uint64_t>(I)));
    applyEntry(Other,
               instanceEntry(51 - I, static_cast<std::uint64_t>(51 - I)));
  }
  CHECK(summaryDigest(Store) == summaryDigest(Other));
  applyEntry(Other, instanceEntry(7, 100));
  CHECK(summaryDigest(Store) != summaryDigest(Other));
}

TEST(Store, BucketComparisonFindsMissedEntry) {
  struct store Other;
  for (int I = 1; I <= 50; ++I) {
    applyEntry(Store, instanceEntry(I, static_cast<std::uint64_t>(I)));
    if (I != 20) {
      applyEntry(Other, instanceEntry(I, static_cast<std::uint64_t>(I)));
    }
  }
  CHECK(entriesNewerThan(Store, highestRevision(Other), 1'000'000).empty());
  for (const published_entry &Entry :
       entriesInDifferingBuckets(Store, Other.Digests, 1'000'000)) {
    applyEntry(Other, Entry);
  }
  CHECK(summaryDigest(Store) == summaryDigest(Other));
}

TEST(Store, CopyInStepsIsComplete) {
  struct store Other;
  for (int I = 1; I <= 100; ++I) {
    applyEntry(Store, instanceEntry(I, static_cast<std::uint64_t>(I)));
  }
  int Steps = 0;
  while (highestRevision(Other) < highestRevision(Store)) {
    for (const published_entry &Entry :
         entriesNewerThan(Store, highestRevision(Other), 1'000)) {
      applyEntry(Other, Entry);
    }
    ++Steps;
  }
  CHECK(Steps > 5);
  CHECK(summaryDigest(Store) == summaryDigest(Other));
}

TEST(Store, InstancesAreFoundByTheirKeys) {
  const std::string Key = instanceKey("s", "i/1");
  STRCMP_EQUAL("instances/s/i/1", Key.c_str());
  applyEntry(Store, {"instances/s/i", 1,
                     R"({"zone":"z","address":"127.0.0.1:1","state":"live"})"});
  const instance *Found = findInstance(Store.Catalog, "instances/s/i");
  CHECK(Found != nullptr);
  STRCMP_EQUAL("z", Found->Zone.c_str());
  POINTERS_EQUAL(nullptr, findInstance(Store.Catalog, "instances/s/j"));
  POINTERS_EQUAL(nullptr, findInstance(Store.Catalog, "instances/s"));
  POINTERS_EQUAL(nullptr, findInstance(Store.Catalog, "services/s"));
}

TEST(Store, ParametersAreClampedToTheTemplate) {
  applyEntry(Store, {"templates/t", 1, Template});
  CHECK_FALSE(resolveTemplate(Store.Catalog, "o", "t").has_value());
  applyEntry(Store, {"parameters/o/t", 2, R"({"rank":0,"deadline_ms":900})"});
  auto Resolved = resolveTemplate(Store.Catalog, "o", "t");
  LONGS_EQUAL(1, Resolved->Rank);
  LONGS_EQUAL(200, Resolved->Deadline.count());
  CHECK_TRUE(Resolved->Idempotent);
  applyEntry(Store, {"parameters/o/t", 3, R"({"idempotent":false})"});
  CHECK_FALSE(resolveTemplate(Store.Catalog, "o", "t")->Idempotent);
}

TEST(Store, OrganisationCannotMakeNonIdempotentWorkIdempotent) {
  std::string NonIdempotent(Template);
  NonIdempotent.replace(NonIdempotent.find("\"idempotent\":true"), 17,
                        "\"idempotent\":false");
  applyEntry(Store, {"templates/t", 1, NonIdempotent});
  applyEntry(Store, {"parameters/o/t", 2, R"({"idempotent":true})"});
  CHECK_FALSE(resolveTemplate(Store.Catalog, "o", "t")->Idempotent);
}

TEST(Store, InstanceMissingFromAListingIsNotRestoredByAnOlderEntry) {
  // A node that restarted after the removal has no deletion entry. A peer that
  // was cut off meanwhile still sends the instance.
  applyEntry(Store, instanceEntry(2, 8));
  recordListing(Store, 10);
  CHECK(applyEntry(Store, instanceEntry(1, 5)) == apply_result::Accepted);
  POINTERS_EQUAL(nullptr, findInstance(Store.Catalog, "instances/s/n1"));
  // The deletion is stored, so that exchanges carry it to the peer.
  STRCMP_EQUAL("", Store.Newest["instances/s/n1"].Value.c_str());
  LONGS_EQUAL(10, Store.Newest["instances/s/n1"].Revision);
  CHECK(applyEntry(Store, instanceEntry(1, 11)) == apply_result::Accepted);
  CHECK(findInstance(Store.Catalog, "instances/s/n1") != nullptr);
  CHECK(findInstance(Store.Catalog, "instances/s/n2") != nullptr);
}

TEST(Store, DeletionAfterAListingIsPassedToAPeerWithAnOldView) {
  struct store Peer;
  applyEntry(Peer, instanceEntry(1, 5));
  recordListing(Store, 10);
  applyEntry(Store, instanceEntry(1, 5));
  for (const published_entry &Entry :
       entriesInDifferingBuckets(Store, Peer.Digests, 1'000'000)) {
    applyEntry(Peer, Entry);
  }
  POINTERS_EQUAL(nullptr, findInstance(Peer.Catalog, "instances/s/n1"));
  CHECK(summaryDigest(Store) == summaryDigest(Peer));
}

TEST(Store, OlderListingDoesNotLowerTheRevisionOfTheNewest) {
  recordListing(Store, 10);
  recordListing(Store, 7);
  applyEntry(Store, instanceEntry(1, 9));
  POINTERS_EQUAL(nullptr, findInstance(Store.Catalog, "instances/s/n1"));
}
