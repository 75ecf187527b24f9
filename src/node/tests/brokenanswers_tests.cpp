#include "framework/tests/joined.h"
#include "standins/rawserver.h"
#include "testfleet.h"

#include <CppUTest/TestHarness.h>

#include <httplib.h>

#include <sys/socket.h>
#include <thread>

using namespace figplank;
using namespace figplank::node::tests;
using figplank::framework::tests::joined;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t UploadBytes = std::size_t{256} << 10U;
const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string WithoutLength = Ok + "\r\nbody";

} // namespace

/// A node whose backend server's answers to requests of templates are written
/// by hand.
TEST_GROUP(BrokenAnswers) {
  std::unique_ptr<standins::fleet> Fleet =
      std::make_unique<standins::fleet>(ledgerFleet(1, milliseconds(1)));
  std::unique_ptr<standins::raw_server> Server;

  /// Takes the place of the node's backend server.
  void serveWith(standins::raw_answerer Answerer) {
    Fleet->Nodes[0].Backend->crash();
    Server.reset();
    Server = std::make_unique<standins::raw_server>(
        std::move(Answerer), Fleet->Nodes[0].BackendAddress);
  }
  /// Answers each request with \p Text and closes the connection.
  void serve(const std::string &Text) {
    serveWith([Text](int Connection, const std::string &) {
      standins::sendText(Connection, Text);
      shutdown(Connection, SHUT_WR);
      standins::awaitClose(Connection);
      return false;
    });
  }
  httplib::Result charge(const std::string &Body) {
    httplib::Client Client("http://" + Fleet->Nodes[0].Http);
    return Client.Post(
        "/work/charge",
        {{"Figplank-Organisation", "alpha"}, {"Idempotency-Key", newKey()}},
        Body, "text/plain");
  }
  void checkFailure(const httplib::Result &Result, const std::string &Text) {
    CHECK(Result != nullptr);
    LONGS_EQUAL_TEXT(502, Result->status, Text.c_str());
    STRCMP_EQUAL("unknown",
                 Result->get_header_value("Figplank-Outcome").c_str());
  }
  void checkWhole(const httplib::Result &Result, const std::string &Text) {
    CHECK(Result != nullptr);
    LONGS_EQUAL_TEXT(200, Result->status, Text.c_str());
    STRCMP_EQUAL_TEXT("body", Result->body.c_str(), Text.c_str());
  }
  void setup() override { CHECK(awaitServing(*Fleet)); }
};

TEST(BrokenAnswers, PartBeforeAResetIsAFailure) {
  for (bool HasUpload : {false, true}) {
    serveWith([](int Connection, const std::string &) {
      standins::sendText(Connection, WithoutLength);
      standins::readFor(Connection, milliseconds(10));
      standins::resetWhenClosed(Connection);
      return false;
    });
    checkFailure(charge(std::string(HasUpload ? UploadBytes : 1, 'u')),
                 "reset");
  }
}

TEST(BrokenAnswers, HeaderNamesThatHttpDoesNotHaveAreAFailure) {
  std::vector<std::string> Lines = standins::linesWithMalformedNames();
  // Only directly behind the status line; elsewhere it folds the line before.
  Lines.emplace_back(" Bad: 3");
  Lines.emplace_back(" Transfer-Encoding: chunked");
  for (const std::string &Line : Lines) {
    serve(Ok + Line + "\r\nContent-Length: 4\r\n\r\nbody");
    checkFailure(charge("x"), Line);
  }
  for (const std::string &Line : standins::linesWithMalformedNames()) {
    serve(joined({Ok, "Content-Length: 4\r\n", Line, "\r\n\r\nbody"}));
    checkFailure(charge("x"), Line);
    serve(joined({Ok, Chunked, "4\r\nbody\r\n0\r\n", Line, "\r\n\r\n"}));
    checkFailure(charge("x"), "trailer " + Line);
  }
}

TEST(BrokenAnswers, MalformedBodiesAreAFailure) {
  for (const std::string &Text :
       {Ok + "Content-Length: 9\r\n\r\nbody", Ok + Chunked + "9\r\nbody",
        Ok + Chunked + "4\r\nbody\r\n", Ok + Chunked + "4\r\nbodyXX0\r\n\r\n",
        Ok + "Transfer-Encoding: gzip\r\n\r\nbody",
        Ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        Ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody5",
        joined(
            {Ok, "Content-Length: 4\r\n", Chunked, "4\r\nbody\r\n0\r\n\r\n"}),
        std::string("HTTP/1.1 200 OK\r\nContent-"),
        std::string("HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody"),
        std::string("HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nbody")}) {
    serve(Text);
    checkFailure(charge("x"), Text);
  }
}

TEST(BrokenAnswers, SoundAnswersAreWhole) {
  for (const std::string &Text :
       {WithoutLength, std::string("HTTP/1.0 200 OK\r\n\r\nbody"),
        Ok + "Content-Length: 4\r\n\r\nbody",
        Ok + Chunked + "4\r\nbody\r\n0\r\nX-Later: 1\r\n\r\n"}) {
    serve(Text);
    checkWhole(charge("x"), Text);
  }
}

TEST(BrokenAnswers, BytesAfterAnAnswerAreNotTakenForTheNext) {
  serveWith([](int Connection, const std::string &) {
    standins::sendText(Connection, Ok + "Content-Length: 4\r\n\r\nbody" + Ok +
                                       "Content-Length: 5\r\n\r\nstray");
    return true;
  });
  for (int I = 0; I < 10; ++I) {
    auto Result = charge("x");
    CHECK(Result != nullptr);
    CHECK(Result->status != 200 || Result->body == "body");
  }
}
