#include "node/boundsocket.h"

#include <kj/debug.h>
#include <kj/io.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figplank::node {
namespace {

sockaddr_in makeAddress(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  KJ_REQUIRE(inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr) == 1,
             "not an IPv4 address", Ip);
  return Address;
}

} // namespace

kj::Promise<kj::Own<kj::AsyncIoStream>>
connectFrom(kj::LowLevelAsyncIoProvider &Provider, const std::string &SourceIp,
            const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  KJ_REQUIRE(Colon != std::string::npos, "address has no port", Address);
  sockaddr_in Source = makeAddress(SourceIp, 0);
  sockaddr_in Target = makeAddress(Address.substr(0, Colon),
                                   std::stoi(Address.substr(Colon + 1)));
  int Socket = 0;
  KJ_SYSCALL(
      Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  kj::AutoCloseFd Owned(Socket);
  int One = 1;
  KJ_SYSCALL(setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One));
  KJ_SYSCALL(
      bind(Socket, reinterpret_cast<sockaddr *>(&Source), sizeof Source));
  return Provider.wrapConnectingSocketFd(
      kj::mv(Owned), reinterpret_cast<sockaddr *>(&Target), sizeof Target,
      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
          kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
}

} // namespace figplank::node
