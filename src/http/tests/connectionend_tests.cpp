#include "serversession.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace figplank;
using namespace figplank::http;
using namespace figplank::http::tests;

/// Whatever ends a connection is reported, with the requests that got no
/// response.
TEST_GROUP(ConnectionEnd) {
  std::unique_ptr<server_session> Session = std::make_unique<server_session>();
  fake_handler &Handler = Session->Handler;
  server &Server = Session->Server;
  std::vector<connection_record> &Ends = Session->Ends;

  void send(const std::string &Text) { Session->send(Text); }
  void wait(int Milliseconds) {
    Session->Io.provider->getTimer()
        .afterDelay(Milliseconds * kj::MILLISECONDS)
        .wait(Session->Io.waitScope);
  }
  std::string received() {
    std::string Text;
    for (int I = 0; I < 5; ++I) {
      Session->runEventLoop();
      Text += Session->received();
    }
    return Text;
  }
  void checkEnd(connection_end Reason, std::size_t Owed, const char *Names) {
    LONGS_EQUAL(1, Ends.size());
    CHECK(Ends[0].Reason == Reason);
    LONGS_EQUAL(Owed, Ends[0].Owed);
    STRCMP_EQUAL(Names, Ends[0].OwedNames.c_str());
  }
  /// Sends two requests and responds to the first one with \p Bytes bytes,
  /// which the client doesn't read.
  void leaveResponseUnread(std::size_t Bytes) {
    send(getRequestText("/one") + getRequestText("/two"));
    wait(2);
    Handler.respond("/one", std::string(Bytes, 'b'));
    wait(2);
  }
};

TEST(ConnectionEnd, IsFinishedWhenNothingIsOwed) {
  server_limits Limits;
  Limits.LingerTime = framework::milliseconds(1);
  Server.setLimits(Limits);
  send("GET /one HTTP/1.1\r\nConnection: close\r\n\r\n");
  wait(2);
  Handler.respond("/one", "whole");
  (void)received();
  checkEnd(connection_end::Finished, 0, "");
}

TEST(ConnectionEnd, NamesTheRequestsThatAClientLeft) {
  send(getRequestText("/one") + getRequestText("/two"));
  wait(2);
  Session->Pipe.ends[1] = nullptr;
  wait(2);
  checkEnd(connection_end::ClientClosed, 2, "/one,/two");
}

TEST(ConnectionEnd, OfAClientThatLeavesWhileItIsAnswered) {
  leaveResponseUnread(200'000);
  Session->Pipe.ends[1] = nullptr;
  wait(2);
  LONGS_EQUAL(1, Ends.size());
  CHECK(Ends[0].Reason == connection_end::WriteFailed ||
        Ends[0].Reason == connection_end::ClientClosed);
  LONGS_EQUAL(2, Ends[0].Owed);
}

TEST(ConnectionEnd, OfAServerThatEndsBeforeItHasAnswered) {
  send(getRequestText("/one"));
  wait(2);
  Session->Serving = nullptr;
  checkEnd(connection_end::ServerEnded, 1, "/one");
}

// Guards against a client that holds a response for as long as it likes.
TEST(ConnectionEnd, OfAReaderThatTakesNothing) {
  server_limits Limits;
  Limits.StallTimeout = framework::milliseconds(50);
  Server.setLimits(Limits);
  leaveResponseUnread(200'000);
  Server.closeHarmfulConnections();
  wait(2);
  LONGS_EQUAL(0, Ends.size());
  wait(60);
  Server.closeHarmfulConnections();
  wait(2);
  checkEnd(connection_end::ReaderStalled, 2, "/one,/two");
  LONGS_EQUAL(1, Handler.Cancelled.size());
  LONGS_EQUAL(0, usedBytes(Session->Account));
}

TEST(ConnectionEnd, AReaderThatTakesPartsIsNotStalled) {
  server_limits Limits;
  Limits.StallTimeout = framework::milliseconds(50);
  Server.setLimits(Limits);
  leaveResponseUnread(1'000'000);
  std::string Buffer(100'000, ' ');
  for (int I = 0; I < 4; ++I) {
    wait(30);
    Session->Pipe.ends[1]
        ->tryRead(Buffer.data(), Buffer.size(), Buffer.size())
        .wait(Session->Io.waitScope);
    Server.closeHarmfulConnections();
    wait(2);
    LONGS_EQUAL(0, Ends.size());
  }
}

// Guards against a reader that keeps the account full, so that nobody else gets
// a long answer.
TEST(ConnectionEnd, OfTheReaderThatHoldsMostWhenALongItemFoundNoRoom) {
  leaveResponseUnread(200'000);
  wait(1'100);
  Server.closeHarmfulConnections();
  wait(2);
  LONGS_EQUAL(0, Ends.size());
  framework::memory_charge Denied(&Session->Account,
                                  framework::memory_class::Answers);
  CHECK_FALSE(Denied.growTo(Session->Account.MaxLongBytes + 1));
  Server.closeHarmfulConnections();
  wait(2);
  checkEnd(connection_end::MemoryShort, 2, "/one,/two");
  CHECK(Ends[0].HeldBytes >= 200'000);
}

// Guards against a short request that is given up for a long item, which its
// bytes make no room for.
TEST(ConnectionEnd, AShortRequestIsNotClosedForALongItem) {
  send("GET /slow HTTP/1.1\r\nX: " + std::string(10'000, 'x'));
  wait(1'100);
  framework::memory_charge Denied(&Session->Account,
                                  framework::memory_class::Answers);
  CHECK_FALSE(Denied.growTo(Session->Account.MaxLongBytes + 1));
  Server.closeHarmfulConnections();
  wait(2);
  LONGS_EQUAL(0, Ends.size());
}

TEST(ConnectionEnd, OfAnIncompleteRequestWhileMemoryIsShort) {
  send("GET /slow HTTP/1.1\r\nX: " + std::string(10'000, 'x'));
  wait(1'100);
  framework::memory_charge Most(&Session->Account,
                                framework::memory_class::Heads);
  Most.force(Session->Account.MaxBytes);
  Server.closeHarmfulConnections();
  wait(2);
  checkEnd(connection_end::MemoryShort, 0, "");
}

namespace {

/// A server with several clients that are accepted from a port.
struct listening_session {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  fake_handler Handler;
  framework::memory_account Account;
  std::vector<connection_record> Ends;
  server Server{
      Io.provider->getTimer(),
      [this](const request &Request) { return Handler.handle(Request); },
      Account,
      {nullptr,
       [this](const connection_record &Record) { Ends.push_back(Record); }}};
  kj::Own<kj::NetworkAddress> Address =
      Io.provider->getNetwork().parseAddress("127.0.0.1:0").wait(Io.waitScope);
  kj::Own<kj::ConnectionReceiver> Port = Address->listen();
  kj::Promise<void> Listening = Server.listen(*Port).eagerlyEvaluate(nullptr);
  std::vector<kj::Own<kj::AsyncIoStream>> Clients;

  void wait(int Milliseconds) {
    Io.provider->getTimer()
        .afterDelay(Milliseconds * kj::MILLISECONDS)
        .wait(Io.waitScope);
  }
  void setPlaces(std::size_t Count) {
    server_limits Limits;
    Limits.MaxConnections = Count;
    Server.setLimits(Limits);
  }
  void connect() {
    std::string Text = "127.0.0.1:" + std::to_string(Port->getPort());
    Clients.push_back(Io.provider->getNetwork()
                          .parseAddress(Text.c_str())
                          .wait(Io.waitScope)
                          ->connect()
                          .wait(Io.waitScope));
    wait(20);
  }
  void send(std::size_t Client, const std::string &Text) {
    Clients[Client]->write(Text.data(), Text.size()).wait(Io.waitScope);
    wait(5);
  }
};

} // namespace

TEST_GROUP(ConnectionPlaces) {
  std::unique_ptr<listening_session> Session =
      std::make_unique<listening_session>();
  fake_handler &Handler = Session->Handler;

  void setPlaces(std::size_t Count) { Session->setPlaces(Count); }
  void connect() { Session->connect(); }
  void send(std::size_t Client, const std::string &Text) {
    Session->send(Client, Text);
  }
};

// Guards against idle connections that take all descriptors of the process.
TEST(ConnectionPlaces, IdleConnectionsMakePlaceForNewOnes) {
  setPlaces(3);
  connect();
  send(0, getRequestText("/busy"));
  connect();
  connect();
  connect();
  Session->wait(150);
  CHECK(Session->Server.openConnections() <= 3);
  LONGS_EQUAL(0, Handler.Cancelled.size());
  send(3, getRequestText("/new"));
  LONGS_EQUAL(2, Handler.Started.size());
  for (const connection_record &End : Session->Ends) {
    CHECK(End.Reason == connection_end::PlaceNeeded);
    LONGS_EQUAL(0, End.Owed);
  }
}

TEST(ConnectionPlaces, NewConnectionsWaitWhileAllPlacesAreInUse) {
  setPlaces(2);
  connect();
  send(0, getRequestText("/1"));
  connect();
  send(1, getRequestText("/2"));
  connect();
  send(2, getRequestText("/3"));
  connect();
  send(3, getRequestText("/4"));
  // One connection above the places is accepted before the next one waits.
  LONGS_EQUAL(3, Handler.Started.size());
  Session->Clients[0] = nullptr;
  Session->wait(50);
  LONGS_EQUAL(4, Handler.Started.size());
}
