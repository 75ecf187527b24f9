#include "http/blockingcall.h"

#include "http/parser.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figplank::http {
namespace {

using framework::milliseconds;
using framework::monotonic_time;
using framework::readClocks;

constexpr std::size_t ReadBufferBytes = std::size_t{16} << 10U;

/// Owns a socket.
class owned_socket {
public:
  explicit owned_socket(int Descriptor) : Descriptor(Descriptor) {}
  ~owned_socket() {
    if (Descriptor >= 0) {
      close(Descriptor);
    }
  }
  owned_socket(owned_socket &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  owned_socket &operator=(owned_socket &&) = delete;

  int get() const { return Descriptor; }

private:
  int Descriptor;
};

/// Waits until one of \p Events or a failure can be told of \p Socket. Returns
/// what can; 0 once it is \p End.
short awaitEvents(const owned_socket &Socket, short Events,
                  monotonic_time End) {
  constexpr milliseconds MaxWait{60'000};
  while (true) {
    monotonic_time Now = readClocks().Monotonic;
    if (Now >= End) {
      return 0;
    }
    auto Wait = std::min(std::chrono::ceil<milliseconds>(End - Now), MaxWait);
    pollfd Polled{Socket.get(), Events, 0};
    if (poll(&Polled, 1, static_cast<int>(Wait.count())) > 0) {
      return Polled.revents;
    }
  }
}

owned_socket connectTo(const addrinfo &Address, monotonic_time End) {
  constexpr int Enabled = 1;
  owned_socket Socket(
      socket(Address.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (Socket.get() < 0) {
    return Socket;
  }
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
  if (connect(Socket.get(), Address.ai_addr, Address.ai_addrlen) == 0) {
    return Socket;
  }
  int Failure = errno;
  if (Failure == EINPROGRESS && awaitEvents(Socket, POLLOUT, End) != 0) {
    socklen_t Size = sizeof Failure;
    getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Failure, &Size);
  }
  return Failure == 0 ? std::move(Socket) : owned_socket(-1);
}

/// Opens a connection to \p Address; the socket is negative if that fails.
owned_socket openConnection(const std::string &Address, monotonic_time End) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos) {
    return owned_socket(-1);
  }
  std::string Host = Address.substr(0, Colon);
  if (Host.starts_with('[') && Host.ends_with(']')) {
    Host = Host.substr(1, Host.size() - 2);
  }
  addrinfo Hints{};
  Hints.ai_socktype = SOCK_STREAM;
  addrinfo *Found = nullptr;
  if (getaddrinfo(Host.c_str(), Address.c_str() + Colon + 1, &Hints, &Found) !=
      0) {
    return owned_socket(-1);
  }
  std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> Owner(Found, freeaddrinfo);
  for (; Found != nullptr; Found = Found->ai_next) {
    owned_socket Socket = connectTo(*Found, End);
    if (Socket.get() >= 0) {
      return Socket;
    }
  }
  return owned_socket(-1);
}

/// What is left to send of a request.
struct pending_request {
  std::string_view Head;
  std::string_view Body;
  bool HasFailed = false;

  bool isPending() const {
    return !HasFailed && (!Head.empty() || !Body.empty());
  }
};

bool isTransient(int Failure) {
  return Failure == EAGAIN || Failure == EWOULDBLOCK || Failure == EINTR;
}

void sendMore(const owned_socket &Socket, pending_request &Sent) {
  std::string_view &Piece = Sent.Head.empty() ? Sent.Body : Sent.Head;
  ssize_t Size = send(Socket.get(), Piece.data(), Piece.size(), MSG_NOSIGNAL);
  if (Size >= 0) {
    Piece.remove_prefix(static_cast<std::size_t>(Size));
  } else {
    Sent.HasFailed = !isTransient(errno);
  }
}

/// What has come of an answer.
struct pending_answer {
  message_parser Parser{message_parser::kind::Responses, {}};
  unsigned Interim = 0;
  /// Empty until it is complete.
  std::optional<response> Final;
};

/// Takes the response if \p State says that it is complete. Returns Incomplete
/// for an interim one, after which the answer follows.
parse_state takeAnswer(pending_answer &Answer, parse_state State) {
  if (State != parse_state::Complete) {
    return State;
  }
  response Response = Answer.Parser.takeResponse();
  if (Response.Status >= FirstFinalStatus) {
    Answer.Final = std::move(Response);
    return State;
  }
  return ++Answer.Interim > MaxInterimResponses ? parse_state::Malformed
                                                : parse_state::Incomplete;
}

/// Reads what has come.
parse_state receiveMore(const owned_socket &Socket, const pending_request &Sent,
                        pending_answer &Answer) {
  std::array<char, ReadBufferBytes> Buffer{};
  ssize_t Size = recv(Socket.get(), Buffer.data(), Buffer.size(), 0);
  if (Size < 0) {
    return isTransient(errno) ? parse_state::Incomplete
                              : parse_state::Malformed;
  }
  if (Size == 0) {
    // The write that met a reset took its error from the socket.
    return Sent.HasFailed ? parse_state::Malformed
                          : takeAnswer(Answer, Answer.Parser.finish());
  }
  std::string_view Bytes(Buffer.data(), static_cast<std::size_t>(Size));
  parse_state State = parse_state::Incomplete;
  while (!Bytes.empty() && State == parse_state::Incomplete) {
    std::size_t Consumed = 0;
    State = takeAnswer(Answer, Answer.Parser.feed(Bytes, Consumed));
    Bytes.remove_prefix(std::min(Consumed, Bytes.size()));
  }
  return State;
}

} // namespace

call_result callServer(const std::string &Address, const request &Request,
                       monotonic_time End) {
  call_result Result;
  owned_socket Socket = openConnection(Address, End);
  if (Socket.get() < 0) {
    return Result;
  }
  const std::string Head = formatRequestHead(Request);
  pending_request Sent{Head, Request.Body.text()};
  pending_answer Answer;
  Answer.Parser.expectHeadResponse(Request.Method == "HEAD");
  parse_state State = parse_state::Incomplete;
  while (State == parse_state::Incomplete) {
    short Events =
        awaitEvents(Socket, Sent.isPending() ? POLLIN | POLLOUT : POLLIN, End);
    if (Events == 0) {
      Result.Failure = call_failure::NoAnswer;
      return Result;
    }
    // The write goes first: it is the one that may take a reset's error.
    if (Sent.isPending() && (Events & ~POLLIN) != 0) {
      sendMore(Socket, Sent);
    }
    if ((Events & ~POLLOUT) != 0) {
      State = receiveMore(Socket, Sent, Answer);
    }
  }
  if (State == parse_state::Complete) {
    Result.Answer = std::move(Answer.Final);
  } else {
    Result.Failure = call_failure::BrokenAnswer;
  }
  return Result;
}

} // namespace figplank::http
