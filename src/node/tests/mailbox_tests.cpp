#include "node/mailbox.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

using namespace figplank::node;

TEST_GROUP(Mailbox){};

TEST(Mailbox, ExceptionOfOneFunctionLeavesTheOthers) {
  mailbox Mailbox;
  int Ran = 0;
  Mailbox.post([&Ran]() { ++Ran; });
  Mailbox.post([]() { throw std::runtime_error("unexpected"); });
  Mailbox.post([&Ran]() { ++Ran; });
  Mailbox.drain();
  LONGS_EQUAL(2, Ran);
}
