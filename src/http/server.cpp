#include "http/server.h"

#include "framework/logging.h"

#include <algorithm>
#include <array>

namespace figplank::http {
namespace {

using framework::milliseconds;

constexpr std::size_t ReadBytes = std::size_t{16} << 10U;
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

kj::Duration toDuration(milliseconds Time) {
  return Time.count() * kj::MILLISECONDS;
}

response plainResponse(std::uint16_t Status) {
  response Response;
  Response.Status = Status;
  Response.KeepAlive = false;
  return Response;
}

std::uint16_t statusOf(parse_state State) {
  constexpr std::uint16_t BadRequest = 400;
  constexpr std::uint16_t ContentTooLarge = 413;
  constexpr std::uint16_t HeadersTooLarge = 431;
  switch (State) {
  case parse_state::BodyTooLarge:
    return ContentTooLarge;
  case parse_state::HeadersTooLarge:
    return HeadersTooLarge;
  default:
    return BadRequest;
  }
}

} // namespace

/// One connection: a loop that reads requests and one that writes answers.
class server::connection {
public:
  connection(server &Server, kj::AsyncIoStream &Stream)
      : Server(Server), Stream(Stream),
        Parser(message_parser::kind::Requests, Server.Limits.Parser) {
    Server.Open.push_back(this);
  }
  ~connection() { std::erase(Server.Open, this); }
  KJ_DISALLOW_COPY(connection);

  kj::Promise<void> run() {
    kj::Promise<void> Reading = readLoop();
    kj::Promise<void> Answering = answerLoop();
    return Reading.exclusiveJoin(kj::mv(Answering));
  }

  /// Requests that were read and not yet answered.
  std::size_t unanswered() const { return Waiting.size() + (Writing ? 1 : 0); }

  /// Ends the connection if it has been served and nothing waits for an answer.
  /// A new connection still has its first request on the way.
  void close() {
    if (Served && Waiting.empty() && !Writing && !Parser.isInsideMessage()) {
      Ended = true;
      signal();
    }
  }

private:
  struct waiting_answer {
    kj::Promise<response> Answer;
    bool IsHead = false;
    bool KeepAlive = true;
  };

  /// Ends when the client has gone; otherwise the answers end the connection.
  task<void> readLoop() {
    std::array<char, ReadBytes> Buffer;
    while (!InputEnded) {
      while (Waiting.size() >= Server.Limits.MaxPipelined) {
        co_await Server.Timer.afterDelay(1 * kj::MILLISECONDS);
      }
      bool TimedOut = false;
      std::size_t Got = 0;
      kj::Promise<std::size_t> Reading =
          Stream.tryRead(Buffer.data(), 1, Buffer.size());
      try {
        Got = co_await withTimeout(kj::mv(Reading));
      } catch (const kj::Exception &Exception) {
        TimedOut = Exception.getType() == kj::Exception::Type::OVERLOADED;
      }
      if (TimedOut) {
        handleTimeout();
      } else if (Got == 0) {
        co_return;
      } else {
        take({Buffer.data(), Got});
      }
    }
    co_await awaitEnd();
  }

  /// Waits for the client to close, reading and dropping what it sends.
  task<void> awaitEnd() {
    std::array<char, ReadBytes> Buffer;
    std::size_t Got = 1;
    while (Got > 0) {
      try {
        kj::Promise<std::size_t> Reading =
            Stream.tryRead(Buffer.data(), 1, Buffer.size());
        Got = co_await kj::mv(Reading);
      } catch (const kj::Exception &) {
        Got = 0;
      }
    }
  }

  kj::Promise<std::size_t> withTimeout(kj::Promise<std::size_t> Reading) {
    milliseconds Limit = Parser.isInsideMessage() ? Server.Limits.HeaderTimeout
                                                  : Server.Limits.IdleTimeout;
    return Server.Timer.timeoutAfter(toDuration(Limit), kj::mv(Reading));
  }

  void handleTimeout() {
    constexpr std::uint16_t RequestTimeout = 408;
    if (Parser.isInsideMessage()) {
      InputEnded = true;
      push({plainResponse(RequestTimeout), false, false});
    } else {
      Served = true;
      close();
      InputEnded = Ended;
    }
  }

  void take(std::string_view Bytes) {
    while (!Bytes.empty() && !InputEnded) {
      std::size_t Consumed = 0;
      parse_state State = Parser.feed(Bytes, Consumed);
      Bytes.remove_prefix(std::min(Consumed, Bytes.size()));
      if (State == parse_state::Incomplete) {
        sendContinue();
        return;
      }
      if (State != parse_state::Complete) {
        InputEnded = true;
        push({plainResponse(statusOf(State)), false, false});
        return;
      }
      ContinueSent = false;
      start(Parser.takeRequest());
    }
  }

  void sendContinue() {
    bool Wanted = Parser.expectsContinue() && !ContinueSent;
    if (Wanted && Waiting.empty() && !Writing) {
      ContinueSent = true;
      Continuing = Stream.write(ContinueLine.data(), ContinueLine.size())
                       .eagerlyEvaluate([](kj::Exception &&) {});
    }
  }

  void start(request Request) {
    Served = true;
    bool IsHead = Request.Method == "HEAD";
    bool KeepAlive = Request.KeepAlive;
    InputEnded = !KeepAlive;
    push({Server.Handler(kj::mv(Request)), IsHead, KeepAlive});
  }

  void push(waiting_answer Answer) {
    Waiting.push_back(kj::mv(Answer));
    signal();
  }

  void signal() {
    if (Wakeup.get() != nullptr) {
      Wakeup->fulfill();
    }
  }

  task<void> answerLoop() {
    while (!Ended) {
      if (Waiting.empty()) {
        auto Pair = kj::newPromiseAndFulfiller<void>();
        Wakeup = kj::mv(Pair.fulfiller);
        co_await kj::mv(Pair.promise);
        continue;
      }
      waiting_answer Next = kj::mv(Waiting.front());
      Waiting.pop_front();
      Writing = true;
      bool Close = co_await answer(kj::mv(Next));
      Writing = false;
      Ended = Close;
    }
    co_await linger();
  }

  /// Writes one answer; returns whether it was the connection's last.
  task<bool> answer(waiting_answer Next) {
    constexpr std::uint16_t BadGateway = 502;
    response Response;
    try {
      Response = co_await kj::mv(Next.Answer);
    } catch (const kj::Exception &Exception) {
      framework::logEvent(framework::log_level::Error, "handler_failed",
                          {{"error", Exception.getDescription().cStr()}});
      Response = plainResponse(BadGateway);
    }
    bool Close = !Next.KeepAlive || !Response.KeepAlive || Server.Closing;
    std::string Text = formatResponse(Response, Close, Next.IsHead);
    co_await Stream.write(Text.data(), Text.size());
    co_return Close;
  }

  task<void> linger() {
    InputEnded = true;
    Stream.shutdownWrite();
    co_await Server.Timer.afterDelay(toDuration(Server.Limits.Linger));
  }

  server &Server;
  kj::AsyncIoStream &Stream;
  message_parser Parser;
  std::deque<waiting_answer> Waiting;
  kj::Own<kj::PromiseFulfiller<void>> Wakeup;
  kj::Promise<void> Continuing = kj::READY_NOW;
  bool ContinueSent = false;
  bool Served = false;
  bool Writing = false;
  bool InputEnded = false;
  bool Ended = false;
};

server::server(kj::Timer &Timer, request_handler Handler)
    : Timer(Timer), Handler(std::move(Handler)), Tasks(*this) {}

kj::Promise<void> server::listen(kj::ConnectionReceiver &Port) {
  return acceptLoop(Port);
}

kj::Promise<void> server::serveStream(kj::Own<kj::AsyncIoStream> Stream) {
  return serve(kj::mv(Stream));
}

task<void> server::acceptLoop(kj::ConnectionReceiver &Port) {
  // Descriptors may run out for a moment.
  constexpr kj::Duration AcceptPause = 50 * kj::MILLISECONDS;
  while (true) {
    bool Failed = false;
    try {
      kj::Own<kj::AsyncIoStream> Stream = co_await Port.accept();
      Tasks.add(serve(kj::mv(Stream)));
    } catch (const kj::Exception &Exception) {
      framework::logEvent(framework::log_level::Warning, "accept_failed",
                          {{"error", Exception.getDescription().cStr()}});
      Failed = true;
    }
    if (Failed) {
      co_await Timer.afterDelay(AcceptPause);
    }
  }
}

task<void> server::serve(kj::Own<kj::AsyncIoStream> Stream) {
  connection Connection(*this, *Stream);
  try {
    co_await Connection.run();
  } catch (const kj::Exception &) {
    // NOTE The client has reset the connection; there is nobody to tell.
  }
}

void server::closeConnections() {
  Closing = true;
  for (connection *Connection : std::vector<connection *>(Open)) {
    Connection->close();
  }
}

std::size_t server::unanswered() const {
  std::size_t Count = 0;
  for (const connection *Connection : Open) {
    Count += Connection->unanswered();
  }
  return Count;
}

void server::taskFailed(kj::Exception &&Exception) {
  framework::logEvent(framework::log_level::Error, "connection_failed",
                      {{"error", Exception.getDescription().cStr()}});
}

} // namespace figplank::http
