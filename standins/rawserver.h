/// \file
/// Stand-in for HTTP servers whose answers are broken: a test writes the bytes
/// of each answer to the connection itself.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace figplank::standins {

/// Answers the request with the head \p Head, whose body is not read yet, on
/// the socket \p Connection. Returns whether the connection stays open.
using raw_answerer =
    std::function<bool(int Connection, const std::string &Head)>;

/// Serves each connection in a thread of its own.
class raw_server {
public:
  /// Listens at \p Address, an `IP:PORT`; the port 0 stands for a free one.
  /// Throws std::runtime_error if that fails.
  explicit raw_server(raw_answerer Answer,
                      const std::string &Address = "127.0.0.1:0");
  /// Ends all connections.
  ~raw_server();
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;

  /// `IP:PORT`.
  const std::string &address() const { return Address; }

private:
  void acceptLoop();
  void serve(int Connection);

  raw_answerer Answer;
  std::string Address;
  int ListenSocket = -1;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<int> OpenConnections;
  std::vector<std::thread> ConnectionThreads;
  std::thread AcceptThread;
};

/// Header lines with a name that no field may have (RFC 9110, 5.1).
const std::vector<std::string> &linesWithMalformedNames();

/// The path in the request line of \p Head.
std::string pathOf(std::string_view Head);

/// The value of the header \p Name; empty if \p Head has none.
std::string headerOf(std::string_view Head, std::string_view Name);

/// Sends all of \p Text, unless the connection ends.
void sendText(int Connection, std::string_view Text);

/// Reads and drops what comes for \p Time, or until the connection ends.
void readFor(int Connection, std::chrono::milliseconds Time);

/// Reads and drops \p Bytes bytes, or what comes until the connection ends.
void readBody(int Connection, std::size_t Bytes);

/// Waits until the client has closed the connection, without reading.
void awaitClose(int Connection);

/// Resets the connection when it is closed.
void resetWhenClosed(int Connection);

} // namespace figplank::standins
