#include "http/server.h"

#include "framework/logging.h"

#include <algorithm>
#include <array>

namespace figplank::http {
namespace {

using framework::milliseconds;

/// Read buffer of a connection outside bodies, which holds most heads whole,
/// and within bodies.
constexpr std::size_t HeadBufferBytes = std::size_t{2} << 10U;
constexpr std::size_t BodyBufferBytes = std::size_t{16} << 10U;
/// What an open connection takes without its requests.
constexpr std::size_t ConnectionBytes = std::size_t{6} << 10U;
/// Longest part of a response that is written at once, and of a body that
/// counts as progress.
constexpr std::size_t PartBytes = std::size_t{64} << 10U;
/// While memory is short, a connection is closed that has held some for this
/// time, and whose client takes longer than SlowPartTime for a part.
constexpr kj::Duration MinHoldTime = 1 * kj::SECONDS;
constexpr kj::Duration SlowPartTime = 400 * kj::MILLISECONDS;
/// Time before a connection counts as idle: its next request may be on its way.
constexpr kj::Duration MinIdleTime = 100 * kj::MILLISECONDS;
/// Memory that is kept free for requests to come.
constexpr std::size_t KeptFreeBytes = std::size_t{4} << 20U;
/// Bytes that a connection reads before others have their turn.
constexpr std::size_t ReadBytesPerTurn = std::size_t{256} << 10U;
/// Number of names in a record of an end.
constexpr std::size_t MaxOwedNames = 8;
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

kj::ArrayPtr<const kj::byte> toBytes(std::string_view Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

kj::Duration toDuration(milliseconds Time) {
  return Time.count() * kj::MILLISECONDS;
}

response plainResponse(std::uint16_t Status) {
  response Response;
  Response.Status = Status;
  return Response;
}

std::uint16_t statusOf(parse_state State) {
  constexpr std::uint16_t BadRequest = 400;
  constexpr std::uint16_t ContentTooLarge = 413;
  constexpr std::uint16_t HeadersTooLarge = 431;
  constexpr std::uint16_t ServiceUnavailable = 503;
  switch (State) {
  case parse_state::BodyTooLarge:
    return ContentTooLarge;
  case parse_state::HeadersTooLarge:
    return HeadersTooLarge;
  case parse_state::NoRoom:
    return ServiceUnavailable;
  default:
    return BadRequest;
  }
}

} // namespace

/// One connection, with a loop that reads requests and another one that writes
/// the responses.
class server::connection {
public:
  connection(server &Server, kj::AsyncIoStream &Stream)
      : Server(Server), Stream(Stream),
        Parser(message_parser::kind::Requests, Server.Limits.Parser),
        Charge(&Server.Account, framework::memory_class::Connections) {
    Charge.force(ConnectionBytes);
    Server.OpenConnections.push_back(this);
  }
  ~connection() {
    std::erase(Server.OpenConnections, this);
    if (Server.Observer.OnEnd) {
      Server.Observer.OnEnd(record());
    }
  }
  KJ_DISALLOW_COPY(connection);

  kj::Promise<void> run() {
    auto Closing = kj::newPromiseAndFulfiller<void>();
    Close = kj::mv(Closing.fulfiller);
    kj::Promise<void> Reading = readLoop();
    kj::Promise<void> Responding = writeLoop();
    return Reading.exclusiveJoin(kj::mv(Responding))
        .exclusiveJoin(kj::mv(Closing.promise));
  }

  /// Closes the connection in a later turn of the event loop.
  void end(connection_end Reason) {
    setEnd(Reason);
    IsEnding = true;
    Close->fulfill();
  }
  bool isEnding() const { return IsEnding; }

  /// Since when no request is in progress or has begun; nothing if one is.
  kj::Maybe<kj::TimePoint> idleSince() const {
    if (pendingRequests() > 0 || Parser.isInsideMessage()) {
      return nullptr;
    }
    return LastResponse;
  }
  /// When the request began that is still being read, if nothing else is in
  /// progress.
  kj::Maybe<kj::TimePoint> readingSince() const {
    if (pendingRequests() > 0 || !Parser.isInsideMessage()) {
      return nullptr;
    }
    return MessageBegin;
  }

  bool hasStalled(kj::TimePoint Now) const {
    return WritingBytes > 0 &&
           Now - LastProgress > toDuration(Server.Limits.StallTimeout);
  }

  /// Whether the client sends its request, or takes its response, slowly.
  bool isSlow(kj::TimePoint Now) const {
    kj::TimePoint Last = WritingBytes > 0 ? LastProgress : LastPartRead;
    return Now - holdingSince() >= MinHoldTime && Now - Last > SlowPartTime;
  }

  /// Bytes charged for a request that is being read and a response that is
  /// being written.
  std::size_t heldBytes() const { return Parser.chargedBytes() + WritingBytes; }
  /// Since when it holds them.
  kj::TimePoint holdingSince() const {
    return WritingBytes > 0 ? WriteBegin : MessageBegin;
  }

  /// Returns the number of requests that were read and have no response yet.
  std::size_t pendingRequests() const {
    return Pending.size() + (Writing ? 1 : 0);
  }

  /// Reads no further requests, except for one that has begun, or for the first
  /// one of a new connection, which may still be in transit. The connection is
  /// closed with the last response that it owes, or now if it owes none.
  void drain() {
    stopReadingBetweenRequests();
    wakeWriteLoop();
  }

  /// Closes a connection on which no request has begun yet.
  void closeIfUnused() {
    MayBeIdle = true;
    drain();
  }

private:
  struct pending_response {
    kj::Promise<response> Response;
    bool IsHead = false;
    std::string Name = {};
  };

  /// Keeps the first reason that is set.
  void setEnd(connection_end Reason) {
    if (End == connection_end::ServerEnded) {
      End = Reason;
    }
  }

  connection_record record() const {
    connection_record Record{End, pendingRequests(), "", heldBytes()};
    auto AddName = [&Record](const std::string &Name) {
      Record.OwedNames += (Record.OwedNames.empty() ? "" : ",") + Name;
    };
    if (Writing) {
      AddName(WritingName);
    }
    for (std::size_t I = 0; I < std::min(Pending.size(), MaxOwedNames); ++I) {
      AddName(Pending[I].Name);
    }
    return Record;
  }

  /// Makes the read buffer as large as the next read needs it.
  void fitReadBuffer() {
    bool IsInBody = Parser.isInsideMessage() && !Parser.isInsideHeaders();
    std::size_t Size = IsInBody ? BodyBufferBytes : HeadBufferBytes;
    if (ReadBuffer.size() != Size) {
      ReadBuffer = std::vector<char>(Size);
    }
  }

  /// Reads and starts requests. Resolves if the client closes the connection,
  /// which cancels the pending requests; otherwise writeLoop closes it.
  task<void> readLoop() {
    while (!InputFinished) {
      while (pendingRequests() >= Server.Limits.MaxPipelined) {
        co_await Server.Timer.afterDelay(1 * kj::MILLISECONDS);
      }
      if (!Unparsed.empty()) {
        parseInput();
        continue;
      }
      bool TimedOut = false;
      std::size_t BytesRead = 0;
      fitReadBuffer();
      kj::Promise<std::size_t> Reading =
          Stream.tryRead(ReadBuffer.data(), 1, ReadBuffer.size());
      try {
        BytesRead = co_await withTimeout(kj::mv(Reading));
      } catch (const kj::Exception &Exception) {
        TimedOut = Exception.getType() == kj::Exception::Type::OVERLOADED;
      }
      if (TimedOut) {
        handleTimeout();
      } else if (BytesRead == 0) {
        setEnd(connection_end::ClientClosed);
        co_return;
      } else {
        IsLastRequest = Server.Draining;
        Unparsed = {ReadBuffer.data(), BytesRead};
        parseInput();
        noteReadProgress();
        if (hasUsedTurn(BytesRead)) {
          co_await letOthersRun();
        }
      }
    }
    co_await discardInput();
    setEnd(connection_end::ClientClosed);
  }

  void noteReadProgress() {
    std::size_t Bytes = Parser.chargedBytes();
    if (Bytes >= BytesAtPart + PartBytes) {
      BytesAtPart = Bytes;
      LastPartRead = Server.Timer.now();
    }
  }

  /// Counts \p Bytes that were read. Returns true after ReadBytesPerTurn: the
  /// reader then waits for letOthersRun().
  bool hasUsedTurn(std::size_t Bytes) {
    BytesInTurn += Bytes;
    bool IsUsed = BytesInTurn >= ReadBytesPerTurn;
    BytesInTurn = IsUsed ? 0 : BytesInTurn;
    return IsUsed;
  }
  /// The event loop looks for other input and timers only when no event is
  /// ready, and the next bytes of a fast sender always are.
  kj::Promise<void> letOthersRun() {
    return Server.Timer.afterDelay(0 * kj::SECONDS);
  }

  /// Reads and discards input until the client closes the connection.
  task<void> discardInput() {
    std::array<char, HeadBufferBytes> Buffer;
    std::size_t BytesRead = 1;
    while (BytesRead > 0) {
      try {
        kj::Promise<std::size_t> Reading =
            Stream.tryRead(Buffer.data(), 1, Buffer.size());
        BytesRead = co_await kj::mv(Reading);
      } catch (const kj::Exception &) {
        BytesRead = 0;
      }
      if (hasUsedTurn(BytesRead)) {
        co_await letOthersRun();
      }
    }
  }

  kj::Promise<std::size_t> withTimeout(kj::Promise<std::size_t> Reading) {
    if (Parser.isInsideHeaders()) {
      return Server.Timer.timeoutAt(HeaderDeadline, kj::mv(Reading));
    }
    if (Parser.isInsideMessage()) {
      return Server.Timer.timeoutAfter(toDuration(Server.Limits.HeaderTimeout),
                                       kj::mv(Reading));
    }
    return Server.Timer.timeoutAt(idleDeadline(), kj::mv(Reading));
  }

  /// When the connection is closed unless another request begins.
  kj::TimePoint idleDeadline() const {
    kj::TimePoint Start =
        pendingRequests() > 0 ? Server.Timer.now() : LastResponse;
    return Start + toDuration(Server.Limits.IdleTimeout);
  }

  void handleTimeout() {
    constexpr std::uint16_t RequestTimeout = 408;
    if (Parser.isInsideMessage()) {
      InputFinished = true;
      enqueue({plainResponse(RequestTimeout)});
    } else {
      MayBeIdle = true;
      if (Server.Timer.now() >= idleDeadline()) {
        InputFinished = true;
        wakeWriteLoop();
      }
    }
  }

  void stopReadingBetweenRequests() {
    bool IsBetweenRequests =
        MayBeIdle && Unparsed.empty() && !Parser.isInsideMessage();
    InputFinished |= IsBetweenRequests;
  }

  /// Whether all responses were written and no further request will be read.
  bool owesNothing() const { return InputFinished && pendingRequests() == 0; }

  /// Parses Unparsed and starts its requests, up to MaxPipelined.
  void parseInput() {
    while (!Unparsed.empty() && !InputFinished &&
           pendingRequests() < Server.Limits.MaxPipelined) {
      std::size_t Consumed = 0;
      std::uint64_t Begun = Parser.messagesBegun();
      parse_state State = Parser.feed(Unparsed, Consumed);
      Unparsed.remove_prefix(Consumed);
      if (Parser.messagesBegun() != Begun) {
        MessageBegin = LastPartRead = Server.Timer.now();
        BytesAtPart = 0;
        HeaderDeadline = MessageBegin + toDuration(Server.Limits.HeaderTimeout);
      }
      if (State == parse_state::Incomplete) {
        sendContinue();
        break;
      }
      if (State != parse_state::Complete) {
        InputFinished = true;
        enqueue({plainResponse(statusOf(State))});
        return;
      }
      ContinueSent = false;
      startRequest(Parser.takeRequest());
    }
    if (Server.Draining) {
      stopReadingBetweenRequests();
    }
  }

  void sendContinue() {
    bool IsExpected = Parser.expectsContinue() && !ContinueSent;
    if (IsExpected && Pending.empty() && !Writing) {
      ContinueSent = true;
      WritingContinue =
          Stream.write(ContinueResponse.data(), ContinueResponse.size())
              .eagerlyEvaluate([](kj::Exception &&) {});
    }
  }

  void startRequest(request Request) {
    MayBeIdle = true;
    bool IsHead = Request.Method == "HEAD";
    InputFinished |= !Request.KeepAlive || IsLastRequest;
    std::string Name =
        Server.Observer.NameOf ? Server.Observer.NameOf(Request) : "";
    enqueue({Server.Handler(kj::mv(Request)), IsHead, kj::mv(Name)});
  }

  void enqueue(pending_response Response) {
    Pending.push_back(kj::mv(Response));
    wakeWriteLoop();
  }

  void wakeWriteLoop() {
    if (WriterWakeup.get() != nullptr) {
      WriterWakeup->fulfill();
    }
  }

  task<void> writeLoop() {
    while (!owesNothing()) {
      if (Pending.empty()) {
        auto Pair = kj::newPromiseAndFulfiller<void>();
        WriterWakeup = kj::mv(Pair.fulfiller);
        co_await kj::mv(Pair.promise);
        continue;
      }
      pending_response Next = kj::mv(Pending.front());
      Pending.pop_front();
      Writing = true;
      WritingName = Next.Name;
      co_await writeResponse(kj::mv(Next));
      Writing = false;
      WritingBytes = 0;
      LastResponse = Server.Timer.now();
    }
    setEnd(connection_end::Finished);
    co_await linger();
  }

  task<void> writeResponse(pending_response Next) {
    constexpr std::uint16_t BadGateway = 502;
    response Response;
    try {
      Response = co_await kj::mv(Next.Response);
    } catch (const kj::Exception &Exception) {
      framework::logEvent(framework::log_level::Error, "handler_failed",
                          {{"error", Exception.getDescription().cStr()}});
      Response.Status = BadGateway;
    }
    bool IsLast = InputFinished && Pending.empty();
    const std::string Head = formatResponseHead(Response, IsLast);
    bool HasBody = !Next.IsHead && mayHaveBody(Response.Status);
    const std::string_view Body =
        HasBody ? std::string_view(Response.Body.text()) : std::string_view();
    WriteBegin = LastProgress = Server.Timer.now();
    WritingBytes = Head.size() + Body.size();
    try {
      co_await write(Head, Body);
    } catch (const kj::Exception &) {
      setEnd(connection_end::WriteFailed);
      throw;
    }
  }

  /// Writes the head with the first part of the body, and then the rest in
  /// parts, so that progress shows.
  task<void> write(std::string_view Head, std::string_view Body) {
    std::string_view First = Body.substr(0, PartBytes);
    std::array<kj::ArrayPtr<const kj::byte>, 2> Pieces{toBytes(Head),
                                                       toBytes(First)};
    co_await Stream.write(
        kj::arrayPtr(Pieces.data(), First.empty() ? 1 : Pieces.size()));
    for (Body.remove_prefix(First.size()); !Body.empty();
         Body.remove_prefix(First.size())) {
      LastProgress = Server.Timer.now();
      First = Body.substr(0, PartBytes);
      co_await Stream.write(First.data(), First.size());
    }
  }

  task<void> linger() {
    Stream.shutdownWrite();
    co_await Server.Timer.afterDelay(toDuration(Server.Limits.LingerTime));
  }

  server &Server;
  kj::AsyncIoStream &Stream;
  message_parser Parser;
  framework::memory_charge Charge;
  std::vector<char> ReadBuffer;
  /// Bytes read since the event loop last had a turn.
  std::size_t BytesInTurn = 0;
  /// Input in ReadBuffer that was not parsed yet.
  std::string_view Unparsed;
  /// When the request that was begun last began.
  kj::TimePoint MessageBegin = Server.Timer.now();
  /// When the last part of its body was complete, and its length then.
  kj::TimePoint LastPartRead = Server.Timer.now();
  std::size_t BytesAtPart = 0;
  /// When the headers of the current request must be complete.
  kj::TimePoint HeaderDeadline = kj::origin<kj::TimePoint>();
  /// When the last response was written, or the connection was accepted.
  kj::TimePoint LastResponse = Server.Timer.now();
  std::deque<pending_response> Pending;
  kj::Own<kj::PromiseFulfiller<void>> WriterWakeup;
  kj::Promise<void> WritingContinue = kj::READY_NOW;
  bool ContinueSent = false;
  /// Set by the first request, or by the idle timeout before one.
  bool MayBeIdle = false;
  bool Writing = false;
  std::string WritingName;
  /// Length of the response that is being written; 0 while it isn't complete.
  std::size_t WritingBytes = 0;
  kj::TimePoint WriteBegin = kj::origin<kj::TimePoint>();
  /// When the client last took a part of it.
  kj::TimePoint LastProgress = kj::origin<kj::TimePoint>();
  kj::Own<kj::PromiseFulfiller<void>> Close;
  bool IsEnding = false;
  connection_end End = connection_end::ServerEnded;
  /// The connection is draining, and the next request is its last one.
  bool IsLastRequest = false;
  /// No further request of this connection is started.
  bool InputFinished = false;
};

server::server(kj::Timer &Timer, request_handler Handler,
               framework::memory_account &Account, server_observer Observer)
    : Timer(Timer), Handler(std::move(Handler)), Account(Account),
      Observer(std::move(Observer)), Tasks(*this) {
  Limits.Parser.Account = &Account;
}

kj::Promise<void> server::listen(kj::ConnectionReceiver &Port) {
  return acceptLoop(Port);
}

kj::Promise<void> server::serveStream(kj::Own<kj::AsyncIoStream> Stream) {
  return serve(kj::mv(Stream));
}

task<void> server::acceptLoop(kj::ConnectionReceiver &Port) {
  constexpr kj::Duration PlacePollInterval = 5 * kj::MILLISECONDS;
  while (true) {
    kj::Own<kj::AsyncIoStream> Stream = co_await Port.accept();
    Tasks.add(serve(kj::mv(Stream)));
    // Where all connections are in use, further ones wait in the kernel.
    while (activeConnections() > Limits.MaxConnections && !closeForPlace()) {
      co_await Timer.afterDelay(PlacePollInterval);
    }
  }
}

std::size_t server::activeConnections() const {
  return static_cast<std::size_t>(
      std::count_if(OpenConnections.begin(), OpenConnections.end(),
                    [](const connection *Each) { return !Each->isEnding(); }));
}

bool server::closeForPlace() {
  auto Oldest = [this](kj::Maybe<kj::TimePoint> (connection::*SinceOf)()
                           const) {
    connection *Found = nullptr;
    kj::TimePoint Earliest = Timer.now() - MinIdleTime;
    for (connection *Each : OpenConnections) {
      KJ_IF_MAYBE (Since, (Each->*SinceOf)()) {
        if (!Each->isEnding() && *Since < Earliest) {
          Found = Each;
          Earliest = *Since;
        }
      }
    }
    return Found;
  };
  connection *Victim = Oldest(&connection::idleSince);
  if (Victim == nullptr) {
    Victim = Oldest(&connection::readingSince);
  }
  if (Victim == nullptr) {
    return false;
  }
  Victim->end(connection_end::PlaceNeeded);
  return true;
}

void server::closeHarmfulConnections() {
  kj::TimePoint Now = Timer.now();
  for (connection *Each : OpenConnections) {
    if (!Each->isEnding() && Each->hasStalled(Now)) {
      Each->end(connection_end::ReaderStalled);
    }
  }
  closeForMemory();
}

void server::closeForMemory() {
  bool LongItemWasDenied = Account.LongDenials != SeenLongDenials;
  SeenLongDenials = Account.LongDenials;
  std::size_t Free = framework::freeBytes(Account);
  if (!LongItemWasDenied && Free >= KeptFreeBytes) {
    return;
  }
  struct holder {
    connection *Connection;
    double ByteSeconds;
  };
  kj::TimePoint Now = Timer.now();
  // Short holders make no room for long items.
  std::size_t MinHeldBytes =
      Free < KeptFreeBytes ? 1 : framework::MaxShortBytes + 1;
  std::vector<holder> Holders;
  for (connection *Each : OpenConnections) {
    bool HoldsEnough = Each->heldBytes() >= MinHeldBytes;
    if (!Each->isEnding() && HoldsEnough && Each->isSlow(Now)) {
      auto Milliseconds =
          static_cast<double>((Now - Each->holdingSince()) / kj::MILLISECONDS);
      Holders.push_back(
          {Each, Milliseconds * static_cast<double>(Each->heldBytes())});
    }
  }
  std::sort(Holders.begin(), Holders.end(),
            [](const holder &Left, const holder &Right) {
              return Left.ByteSeconds > Right.ByteSeconds;
            });
  // A long item that found no room needs that of one other at least.
  bool FreesNoneYet = true;
  for (const holder &Holder : Holders) {
    bool IsEnough =
        Free >= KeptFreeBytes && !(LongItemWasDenied && FreesNoneYet);
    if (IsEnough) {
      break;
    }
    FreesNoneYet = false;
    Free += Holder.Connection->heldBytes();
    Holder.Connection->end(connection_end::MemoryShort);
  }
}

task<void> server::serve(kj::Own<kj::AsyncIoStream> Stream) {
  connection Connection(*this, *Stream);
  try {
    co_await Connection.run();
  } catch (const kj::Exception &) {
    // NOTE Writing fails if the client has reset the connection; no response
    // can be sent then.
  }
}

void server::drainConnections() {
  Draining = true;
  for (connection *Connection : OpenConnections) {
    Connection->drain();
  }
}

void server::closeUnusedConnections() {
  for (connection *Connection : OpenConnections) {
    Connection->closeIfUnused();
  }
}

std::size_t server::pendingRequests() const {
  std::size_t Count = 0;
  for (const connection *Connection : OpenConnections) {
    Count += Connection->pendingRequests();
  }
  return Count;
}

void server::taskFailed(kj::Exception &&Exception) {
  framework::logEvent(framework::log_level::Error, "connection_failed",
                      {{"error", Exception.getDescription().cStr()}});
}

} // namespace figplank::http
