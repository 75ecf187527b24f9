#include "standins/rawserver.h"

#include <algorithm>
#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace figplank::standins {
namespace {

using steady = std::chrono::steady_clock;

constexpr int PollTimeoutMs = 20;
constexpr std::size_t ReadBufferBytes = std::size_t{256} << 10U;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
/// Longest time to wait for a client to close its connection.
constexpr std::chrono::seconds MaxCloseTime{10};

} // namespace

raw_server::raw_server(raw_answerer Answer, const std::string &Wanted)
    : Answer(std::move(Answer)) {
  const std::size_t Colon = Wanted.rfind(':');
  const std::string Ip = Wanted.substr(0, Colon);
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_addr.s_addr = inet_addr(Ip.c_str());
  Bound.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(Wanted.substr(Colon + 1))));
  socklen_t Length = sizeof Bound;
  auto *Generic = reinterpret_cast<sockaddr *>(&Bound);
  ListenSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enable = 1;
  setsockopt(ListenSocket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof Enable);
  bool Listens = bind(ListenSocket, Generic, Length) == 0 &&
                 listen(ListenSocket, SOMAXCONN) == 0;
  if (!Listens) {
    close(ListenSocket);
    throw std::runtime_error("cannot listen at " + Wanted);
  }
  getsockname(ListenSocket, Generic, &Length);
  Address = Ip + ":" + std::to_string(ntohs(Bound.sin_port));
  AcceptThread = std::thread([this]() { acceptLoop(); });
}

raw_server::~raw_server() {
  Stopping = true;
  AcceptThread.join();
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (int Connection : OpenConnections) {
      shutdown(Connection, SHUT_RDWR);
    }
  }
  for (std::thread &Thread : ConnectionThreads) {
    Thread.join();
  }
  close(ListenSocket);
}

void raw_server::acceptLoop() {
  while (!Stopping) {
    pollfd Pollable{ListenSocket, POLLIN, 0};
    if (poll(&Pollable, 1, PollTimeoutMs) <= 0) {
      continue;
    }
    int Connection = accept4(ListenSocket, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard<std::mutex> Lock(Mutex);
    OpenConnections.push_back(Connection);
    ConnectionThreads.emplace_back([this, Connection]() { serve(Connection); });
  }
}

void raw_server::serve(int Connection) {
  std::string Text;
  bool KeepOpen = true;
  while (KeepOpen) {
    // Byte by byte, since the answerer reads the body.
    char Byte = 0;
    if (recv(Connection, &Byte, 1, 0) <= 0) {
      break;
    }
    Text += Byte;
    if (Text.ends_with(HeadEnd)) {
      KeepOpen = Answer(Connection, Text);
      Text.clear();
    }
  }
  std::lock_guard<std::mutex> Lock(Mutex);
  std::erase(OpenConnections, Connection);
  close(Connection);
}

const std::vector<std::string> &linesWithMalformedNames() {
  using namespace std::string_literals;
  static const std::vector<std::string> Lines{
      "Bad Name: 3",    "Content Length: 3",
      "Bad\tName: 3",   "Bad\0Name: 3"s,
      "Bad\x01Name: 3", "Bad\x0bName: 3",
      "Bad\x7f: 3",     "Bad\x80: 3",
      "Bad(: 3",        ": 3"};
  return Lines;
}

std::string pathOf(std::string_view Head) {
  std::size_t Start = Head.find(' ') + 1;
  return std::string(Head.substr(Start, Head.find(' ', Start) - Start));
}

std::string headerOf(std::string_view Head, std::string_view Name) {
  std::string Line(LineEnd);
  Line.append(Name).append(": ");
  std::size_t Found = Head.find(Line);
  if (Found == std::string_view::npos) {
    return "";
  }
  std::size_t Start = Found + Line.size();
  return std::string(Head.substr(Start, Head.find(LineEnd, Start) - Start));
}

void sendText(int Connection, std::string_view Text) {
  while (!Text.empty()) {
    ssize_t Sent = send(Connection, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0) {
      return;
    }
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
}

void readFor(int Connection, std::chrono::milliseconds Time) {
  std::vector<char> Buffer(ReadBufferBytes);
  const steady::time_point End = steady::now() + Time;
  while (steady::now() < End) {
    pollfd Pollable{Connection, POLLIN, 0};
    if (poll(&Pollable, 1, 1) > 0 &&
        recv(Connection, Buffer.data(), Buffer.size(), 0) <= 0) {
      return;
    }
  }
}

void readBody(int Connection, std::size_t Bytes) {
  std::vector<char> Buffer(ReadBufferBytes);
  while (Bytes > 0) {
    ssize_t Received =
        recv(Connection, Buffer.data(), std::min(Buffer.size(), Bytes), 0);
    if (Received <= 0) {
      return;
    }
    Bytes -= static_cast<std::size_t>(Received);
  }
}

void awaitClose(int Connection) {
  const steady::time_point End = steady::now() + MaxCloseTime;
  bool IsOpen = true;
  while (IsOpen && steady::now() < End) {
    pollfd Pollable{Connection, POLLRDHUP, 0};
    IsOpen = poll(&Pollable, 1, PollTimeoutMs) == 0;
  }
}

void resetWhenClosed(int Connection) {
  linger Linger{1, 0};
  setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
}

} // namespace figplank::standins
