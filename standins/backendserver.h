/// \file
/// Stand-in for backend servers: concurrency slots, service times, calls to
/// other services through the server's node, and faults that tests inject.
/// Every execution is recorded so that a test can detect duplicates.
#pragma once

#include "framework/asyncsemaphore.h"
#include "framework/coroutine.h"
#include "standins/loopthread.h"

#include <kj/compat/http.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace figplank::standins {

using framework::task;

/// Simulated processing of the requests for one path.
struct path_behaviour {
  std::chrono::microseconds ServiceTime{1'000};
  /// Templates to call: the groups in sequence, the templates of a group
  /// concurrently.
  std::vector<std::vector<std::string>> Children;
};

struct backend_settings {
  std::string Name;
  /// `IP:PORT` to listen on.
  std::string Address;
  /// HTTP address of the server's node, through which it calls other services.
  std::string NodeAddress;
  unsigned Slots = 10;
  /// Maximum number of requests that wait for a slot; further ones are shed.
  unsigned MaxQueued = 10;
  std::map<std::string, path_behaviour> Paths;
  /// Factor on the service times of the first `ColdRequests` requests.
  double ColdFactor = 1.0;
  unsigned ColdRequests = 0;
};

enum class execution_state : std::uint8_t { Started, Completed, Cancelled };

/// One execution of a request.
struct execution_record {
  std::string Server;
  std::string Path;
  std::string Key;
  std::string Body;
  std::chrono::steady_clock::time_point Start;
  execution_state State = execution_state::Started;
};

/// Executions on all backend servers of one test.
class execution_log {
public:
  std::size_t add(execution_record Record);
  void finish(std::size_t Index, execution_state State);
  std::vector<execution_record> records() const;
  void clear();

private:
  mutable std::mutex Mutex;
  std::vector<execution_record> Records;
};

/// Faults that a backend server simulates.
struct backend_faults {
  /// Factor on service times.
  double SlowFactor = 1.0;
  bool ShedAll = false;
  /// Responds 500 without a service time.
  bool FailFast = false;
  bool Draining = false;
  /// Sends answers whose body has no end.
  bool AnswersWithoutEnd = false;
  /// Status of the answers of completed requests.
  unsigned Status = 200;
  /// Closes the connection after half of the response body.
  bool TruncateAnswers = false;
  /// The server crashes when it executes a request whose body contains this
  /// text.
  std::string CrashMarker;
  /// Time from such a crash until the server listens again; zero for never.
  std::chrono::milliseconds RestartAfter{0};
};

/// One backend server. Several servers may share an event loop thread.
class backend_server final : public kj::HttpService {
public:
  backend_server(loop_thread &Loop, backend_settings Settings,
                 execution_log &Log);
  ~backend_server() noexcept(false);

  void setFaults(const backend_faults &Faults);
  /// Simulates a crash: closes the listening port and all connections.
  void crash();
  /// Listens again after a crash.
  void restart();
  unsigned crashes() const { return Crashes; }

  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &RequestHeaders,
                            kj::AsyncInputStream &Body,
                            Response &Reply) override;

private:
  struct received_request {
    std::string Path;
    std::string Context;
    std::string Key;
  };

  task<void> serve(received_request Request, kj::AsyncInputStream &Body,
                   Response &Reply);
  task<bool> acquireSlot();
  task<bool> callChildren(const path_behaviour &Behaviour, std::string Context);
  task<bool> callChild(std::string Template, std::string Context);
  task<void> sendResponse(Response &Reply, unsigned Status, bool Executed,
                          std::string Body);
  std::chrono::microseconds serviceTime(const path_behaviour &Behaviour);
  void startListening();
  void stopListening();

  loop_thread &Loop;
  backend_settings Settings;
  execution_log &Log;
  backend_faults Faults;
  framework::async_semaphore Slots;
  unsigned ServedRequests = 0;
  std::atomic<unsigned> Crashes{0};
  kj::HttpHeaderId ContextId;
  kj::HttpHeaderId KeyId;
  kj::HttpHeaderId ExecutedId;
  kj::HttpHeaderId DrainingId;
  kj::Own<kj::HttpHeaderTable> HeaderTable;
  kj::Own<kj::NetworkAddress> NodeAddress;
  kj::Own<kj::HttpClient> NodeClient;
  kj::Own<kj::ConnectionReceiver> Listener;
  kj::Own<kj::HttpServer> Server;
  kj::Maybe<kj::Promise<void>> Listening;
  kj::Maybe<kj::Promise<void>> Restarting;
};

} // namespace figplank::standins
