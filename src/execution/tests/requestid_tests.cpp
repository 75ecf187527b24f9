#include "execution/requestid.h"

#include <CppUTest/TestHarness.h>

using namespace figplank;
using execution::request_id;

TEST_GROUP(RequestId){};

TEST(RequestId, TextFormParsesBack) {
  request_id Id = execution::makeRequestId(
      framework::wall_time(framework::milliseconds(1234567)), 0xABCDEF,
      0x1234567890ABCDEF);
  auto Read = execution::parseRequestId(execution::formatRequestId(Id));
  CHECK(Read.has_value());
  CHECK(*Read == Id);
}

TEST(RequestId, ContainsItsTimeOfIssue) {
  framework::wall_time Now(framework::milliseconds(1'764'832'000'123));
  CHECK(execution::issueTime(execution::makeRequestId(Now, 1, 2)) == Now);
}

TEST(RequestId, OtherVersionsAndFormatsAreRejected) {
  CHECK_FALSE(execution::parseRequestId("").has_value());
  CHECK_FALSE(execution::parseRequestId("0193a9e0-0000-4000-8000-000000000000")
                  .has_value());
  CHECK_FALSE(execution::parseRequestId("0193a9e0-0000-7000-c000-000000000000")
                  .has_value());
  CHECK_FALSE(execution::parseRequestId("0193a9e0x0000-7000-8000-000000000000")
                  .has_value());
  CHECK_FALSE(execution::parseRequestId("0193a9e0-0000-7000-8000-00000000000g")
                  .has_value());
  CHECK_TRUE(execution::parseRequestId("0193a9e0-0000-7000-8000-000000000000")
                 .has_value());
}

TEST(RequestId, ChildIdsDependOnParentAndNameOnly) {
  framework::wall_time Now(framework::milliseconds(5'000));
  request_id Parent = execution::makeRequestId(Now, 1, 2);
  request_id Other = execution::makeRequestId(Now, 1, 3);
  CHECK(execution::deriveChildId(Parent, "a") ==
        execution::deriveChildId(Parent, "a"));
  CHECK(execution::deriveChildId(Parent, "a") !=
        execution::deriveChildId(Parent, "b"));
  CHECK(execution::deriveChildId(Parent, "a") !=
        execution::deriveChildId(Other, "a"));
  CHECK(execution::issueTime(execution::deriveChildId(Parent, "a")) == Now);
}
