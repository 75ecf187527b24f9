/// \file
/// Detects that the peer of a TCP connection has closed it. KJ reports this
/// only once both directions are closed, or through a read, and a server does
/// not read while it handles a request.
#pragma once

#include "framework/coroutine.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace figplank::framework {

/// Returns whether a FIN or RST has arrived. False for streams other than TCP.
inline bool hasPeerClosed(kj::AsyncIoStream &Stream) {
  tcp_info Info{};
  kj::uint Length = sizeof Info;
  try {
    Stream.getsockopt(IPPROTO_TCP, TCP_INFO, &Info, &Length);
  } catch (const kj::Exception &) {
    return false;
  }
  return Info.tcpi_state == TCP_CLOSE_WAIT || Info.tcpi_state == TCP_CLOSE;
}

/// Polls the connection. Resolves after the peer has closed it.
inline task<void> awaitPeerClosed(kj::AsyncIoStream &Stream, kj::Timer &Timer) {
  constexpr int PollIntervalMs = 50;
  while (!hasPeerClosed(Stream)) {
    co_await Timer.afterDelay(PollIntervalMs * kj::MILLISECONDS);
  }
}

/// Serves one connection with \p Service, and cancels the requests in progress
/// once the caller has closed the connection.
class cancel_on_close_service final : public kj::HttpService {
public:
  cancel_on_close_service(kj::HttpService &Service, kj::AsyncIoStream &Stream,
                          kj::Timer &Timer)
      : Service(Service), Stream(Stream), Timer(Timer) {}

  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &Received,
                            kj::AsyncInputStream &Body,
                            Response &Reply) override {
    kj::Promise<void> PeerClosed = awaitPeerClosed(Stream, Timer);
    return Service.request(Method, Url, Received, Body, Reply)
        .exclusiveJoin(PeerClosed.then([]() -> kj::Promise<void> {
          return KJ_EXCEPTION(DISCONNECTED, "the caller closed the connection");
        }));
  }

private:
  kj::HttpService &Service;
  kj::AsyncIoStream &Stream;
  kj::Timer &Timer;
};

} // namespace figplank::framework
