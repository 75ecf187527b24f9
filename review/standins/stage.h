/// \file
/// A small deployment on loopback for the cases under review/: the platform's
/// store, backend servers, machines that run figplank_sidecar with the deploy
/// file's command and template, and clients. Every machine has a loopback
/// address of its own, as all machines use the same ports.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Seconds since the program has started.
double secondsNow();

/// The file record.txt of a case. Each line begins with the time.
class record_file {
public:
  explicit record_file(const std::string &Path) : File(Path) {}
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  std::ofstream File;
};

struct message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// The value of the header \p Name, in lower case; empty if there is none.
  std::string header(std::string_view Name) const;
  /// The second word of the start line: a status or a target.
  std::string secondWord() const;
};

/// A TCP connection with blocking calls.
class connection {
public:
  explicit connection(int Descriptor) : Descriptor(Descriptor) {}
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /// Connects from \p Source, which may be empty. Null on failure.
  static std::unique_ptr<connection> open(const std::string &Ip, int Port,
                                          const std::string &Source = "");

  bool send(std::string_view Bytes);
  /// Reads one HTTP message with a length. Nothing if the connection ends or
  /// \p Timeout passes first; isEnded() tells which.
  std::optional<message> read(milliseconds Timeout);
  /// Reads at most \p Bytes bytes of whatever comes, and returns their number.
  std::size_t readSome(std::size_t Bytes, milliseconds Timeout);
  /// Waits until the peer closes or sends, at most \p Time. Returns whether the
  /// connection was closed.
  bool awaitClose(milliseconds Time);
  bool isEnded() const { return Ended; }
  void close();
  /// Ends the connection so that a blocked read returns.
  void shutDown();

private:
  /// Adds at most \p MaxBytes to Buffer. False if the connection has ended or
  /// nothing comes before \p End.
  bool fill(steady::time_point End, std::size_t MaxBytes = 65536);

  int Descriptor;
  std::string Buffer;
  bool Ended = false;
};

/// Accepts connections and serves each in a thread of its own.
class listener {
public:
  using handler = std::function<void(connection &)>;

  listener(const std::string &Ip, int Port, handler Handler);
  ~listener();
  listener(const listener &) = delete;
  listener &operator=(const listener &) = delete;

private:
  struct session {
    std::unique_ptr<connection> Connection;
    std::thread Thread;
  };

  void acceptLoop();

  int Descriptor;
  handler Handler;
  std::mutex Mutex;
  bool Stopping = false;
  std::vector<session> Sessions;
  std::thread Thread;
};

/// The platform's store.
class store {
public:
  store(const std::string &Ip, int Port);

  /// Writes an item. The return is the store's confirmation.
  void put(const std::string &Key, const std::string &Value);

private:
  struct item {
    std::string Key;
    std::string Encoded;
    std::uint64_t Revision = 0;
  };

  void serve(connection &Connection);
  std::string answer(const std::string &Target);
  static std::string itemText(const item &Item);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 10;
  std::map<std::string, item> Items;
  std::vector<item> Events;
  std::unique_ptr<listener> Listener;
};

/// A request that a server began to run.
struct run {
  std::string AttemptId;
  double Started = 0.0;
  double Ended = 0.0;
  /// The connection was closed before the run ended, which cancels it.
  bool Cancelled = false;
};

/// A backend server, for requests that work as long as their path says:
/// `/PREFIX/ms250/NAME` takes 250 ms. `/PREFIX/bytes1000/NAME` gets an answer
/// of 1,000 bytes more than others.
class server {
public:
  server(std::string Id, std::string Service, std::string Ip, int Port,
         std::string Zone, record_file &Record);

  void start();
  /// Ends like a process that crashes.
  void crash();
  /// The value of the server's entry in the store.
  std::string entry(unsigned Sequence) const;
  std::vector<run> runs() const;
  std::size_t finishedRuns(const std::string &AttemptId) const;

  const std::string Id;
  const std::string Service;
  const std::string Ip;
  const std::string Zone;
  bool isUp() const { return Up; }

private:
  void serve(connection &Connection);

  int Port;
  record_file &Record;
  std::int64_t Born = 0;
  std::atomic<bool> Up = false;
  mutable std::mutex Mutex;
  std::vector<run> Runs;
  std::unique_ptr<listener> Listener;
};

struct route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Service;
  bool Idempotent = true;
  unsigned TimeoutMs = 3000;
};

/// The value of `op/config`.
std::string configuration(unsigned Version, const std::vector<route> &Routes,
                          const std::vector<std::string> &Services);

/// The ports that all machines share.
struct port_plan {
  int Inbound = 0;
  int Server = 0;
  int Ready = 0;
  int Outbound = 0;
  int Control = 0;
  int Store = 0;
};

/// A machine: a backend server and the sidecar beside it.
class machine {
public:
  machine(const std::string &Name, const std::string &Ip,
          const std::string &Zone, std::string Service, const port_plan &Ports,
          std::string StoreAddress, record_file &Record);
  ~machine() { kill(); }
  machine(const machine &) = delete;
  machine &operator=(const machine &) = delete;

  /// Starts the sidecar with the command of the deploy file.
  void start(const std::string &Seeds, const std::string &Folder);
  void signal(int Signal) const;
  /// Ends the process at once, if it runs.
  void kill();
  /// Waits for the end of the process. Returns whether it has ended.
  bool awaitEnd(milliseconds Time);
  bool isRunning();
  /// Resident memory of the process in MiB; 0 if it doesn't run.
  double residentMb() const;
  bool awaitReady(milliseconds Time) const;
  /// Opens a connection of a local client.
  std::unique_ptr<connection> connect() const;

  const std::string Name;
  const std::string Ip;
  const std::string Zone;
  server Server;

private:
  std::string settings(const std::string &Seeds) const;

  port_plan Ports;
  std::string StoreAddress;
  record_file &Record;
  pid_t Pid = -1;
};

struct machine_plan {
  std::string Zone;
  std::string Service;
};

/// The whole deployment.
class deployment {
public:
  /// \p Folder holds the settings files and the sidecars' output.
  deployment(const std::vector<machine_plan> &Plan, const std::string &Folder,
             record_file &Record);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Publishes the configuration, starts all sidecars and waits until they are
  /// ready. Returns whether they are.
  bool start(const std::string &Configuration);
  /// Starts the sidecar of \p Machine again.
  void restart(machine &Machine) { Machine.start(Seeds, Folder); }

  std::vector<std::unique_ptr<machine>> Machines;
  std::unique_ptr<store> Store;

private:
  void heartbeatLoop();

  std::string Folder;
  std::string Seeds;
  std::mutex Mutex;
  std::condition_variable StopChanged;
  bool Stopping = false;
  std::thread Heartbeats;
};

struct request_text {
  std::string Method = "GET";
  std::string Path;
  std::string Host = "a.example";
  std::string AttemptId;
  unsigned DeadlineMs = 3000;
  std::string Body;
};

std::string format(const request_text &Request);

/// A new attempt id.
std::string newAttemptId();

/// Sends \p Request on a new connection to \p Machine and returns the status; 0
/// if there is no answer within \p Timeout.
int ask(const machine &Machine, const request_text &Request,
        milliseconds Timeout);

/// Whether the disruption is left out: the variable TROUBLE is 0.
bool isCalm();

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Runs \p Case with a temporary folder. \p Arguments hold the path of
/// record.txt. An exception means that the case couldn't run.
int runCase(int ArgumentCount, char **Arguments,
            const std::function<int(const std::string &Folder,
                                    record_file &Record)> &Case);

} // namespace review
