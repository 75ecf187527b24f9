/// \file
/// Stand-ins of the cases of the second review: the platform's store, backend
/// servers, clients, and the sidecar processes of a small deployment. All of
/// them use loopback addresses and the real clock.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace figplank::review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

/// Bounds of a small deployment, as its sheet gives them.
inline constexpr milliseconds StableWindow{3'000};
inline constexpr milliseconds DrainTime{2'000};
inline constexpr milliseconds GraceTime{6'000};
inline constexpr milliseconds HeartbeatTime{1'500};
inline constexpr std::size_t MemoryMb = 260;
inline constexpr unsigned MaxDescriptors = 4'100;

/// Ends the process with CouldNotRun. The record is written before.
[[noreturn]] void giveUp(const std::string &Why);

/// Whether the case is to cause its trouble; false with TROUBLE=0.
bool hasTrouble();

/// Lines with the time since the start, written to a file when it ends.
class record {
public:
  explicit record(std::string Path);
  ~record();
  record(const record &) = delete;
  record &operator=(const record &) = delete;
  void add(const std::string &Line);
  milliseconds now() const;
  void write();

private:
  std::string Path;
  steady::time_point Start = steady::now();
  std::mutex Mutex;
  std::vector<std::string> Lines;
};

/// An HTTP message whose body has a length.
struct message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// The first value of a header, in any case of its name; empty if there is
  /// none.
  std::string header(std::string_view Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A TCP connection with a read buffer.
class connection {
public:
  explicit connection(int Descriptor) : Descriptor(Descriptor) {}
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  int descriptor() const { return Descriptor; }
  bool isOpen() const { return Descriptor >= 0; }
  /// Returns whether all bytes were handed to the kernel.
  bool send(std::string_view Bytes) const;
  /// Reads up to \p Size bytes into the buffer. Returns their number; 0 at the
  /// end or by \p Deadline.
  std::size_t receive(std::size_t Size, steady::time_point Deadline);
  /// Reads a head. Nothing if the connection ends first.
  std::optional<message> readHead(steady::time_point Deadline);
  /// Reads a message with its body.
  std::optional<message> readMessage(steady::time_point Deadline);
  std::string &buffer() { return Buffer; }

private:
  int Descriptor;
  std::string Buffer;
};

/// Connects to `IP:PORT`. \p ReceiveBytes sets the size of the socket's receive
/// buffer, if not 0.
std::unique_ptr<connection> connectTo(const std::string &Address,
                                      int ReceiveBytes = 0);

/// Serves each connection on a thread of its own.
class server {
public:
  /// Returns whether the connection stays open.
  using handler = std::function<bool(connection &, const message &)>;
  server(const std::string &Ip, handler Handler);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;
  std::string address() const;

private:
  void accept();
  void serve(int Descriptor);

  std::string Ip;
  handler Handler;
  unsigned Port = 0;
  int ListenSocket = -1;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// The platform's store: listings, watches, and returns from an older copy.
class store {
public:
  explicit store(record &Record);
  ~store();
  std::string address() const { return Server->address(); }

  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  bool contains(const std::string &Key);
  /// Keeps a copy of the items and the revision.
  void copyItems();
  /// Returns from the copy: items and revision are the copy's, the history is
  /// gone, and the era rises by one.
  void returnFromCopy();
  /// Closes the connections of all watches that are waiting, without an answer.
  /// Returns their number.
  unsigned cutWaitingWatches();
  /// Called after a watch was answered with an event of \p Key.
  std::function<void(const std::string &Key, const std::string &Client)>
      OnDelivered;

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0;
  };
  struct event {
    std::string Key;
    std::uint64_t Revision = 0;
    std::optional<std::string> Value;
  };
  bool answer(connection &Connection, const message &Request);
  std::string list(const std::string &Prefix, const std::string &After);
  void change(const std::string &Key, std::optional<std::string> Value);

  record &Record;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, item> Items;
  std::map<std::string, item> CopiedItems;
  std::vector<event> History;
  std::uint64_t Revision = 100;
  std::uint64_t CopiedRevision = 0;
  std::uint64_t HistoryStart = 100;
  std::uint64_t Era = 0;
  /// Number of calls of cutWaitingWatches().
  std::uint64_t Cuts = 0;
  unsigned WaitingWatches = 0;
  bool Stopping = false;
  std::unique_ptr<server> Server;
};

/// A backend server. It answers with its attempt id and a seal.
struct backend_request {
  message Message;
  std::string Id;
  steady::time_point Arrived;
};
struct backend_answer {
  milliseconds RunTime{0};
  std::string Body = "body";
  std::string ExtraHeaders;
};

class backend {
public:
  using handler = std::function<backend_answer(const backend_request &)>;
  /// \p Name is the id under which the server is registered.
  backend(const std::string &Ip, std::string Name, record &Record,
          handler Handler);
  std::string address() const { return Server->address(); }
  const std::string &name() const { return Name; }
  /// The value of its entry in the store.
  std::string entry(const std::string &Service, const std::string &Zone,
                    const std::string &State = "ready") const;
  /// The same from another writer, without the field `born`.
  std::string entryWithoutBorn(const std::string &Service,
                               const std::string &Zone) const;
  /// Requests that it ran, in the order of their arrival.
  std::vector<backend_request> runs();
  unsigned runsOf(const std::string &Id);

private:
  bool answer(connection &Connection, const message &Request);

  std::string Name;
  record &Record;
  handler Handler;
  std::uint64_t BornMs;
  std::mutex Mutex;
  std::vector<backend_request> Runs;
  std::unique_ptr<server> Server;
};

/// Ports that are the same on all machines of a deployment.
struct ports {
  unsigned Outbound = 0;
  unsigned Ready = 0;
  unsigned Control = 0;
  unsigned Admin = 0;
};
ports freePorts();

struct machine {
  std::string Ip;
  std::string Name;
  std::string Service;
  std::string Zone;
};

/// A sidecar process, started as the deploy file says.
class sidecar {
public:
  sidecar(machine Machine, ports Ports, const std::string &Backend,
          const std::string &Store, const std::vector<std::string> &Seeds,
          const std::string &Folder);
  ~sidecar();
  sidecar(const sidecar &) = delete;
  sidecar &operator=(const sidecar &) = delete;

  void start();
  void signal(int Number);
  /// Kills the process and waits for its end.
  void kill();
  /// Whether the process runs; collects its exit status if it does not.
  bool isRunning();
  /// Waits for the end by itself.
  bool awaitExit(milliseconds Time);
  bool isReady() const;
  /// Anonymous memory in use, in bytes; 0 if the process does not run.
  std::size_t anonymousMemory();
  std::string outbound() const;
  const machine &description() const { return Machine; }

private:
  machine Machine;
  ports Ports;
  std::string SettingsFile;
  std::string LogFile;
  std::mutex Mutex;
  pid_t Pid = -1;
};

/// A folder for temporary files that is removed at the end.
class temporary_folder {
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

struct route {
  std::string Name;
  std::string Kind;
  std::string Service;
  unsigned TimeoutMs = 5'000;
};
/// A configuration with a route for each of \p Routes, whose prefix is its
/// name, and the limits of the pages.
std::string configuration(unsigned Version, const std::vector<route> &Routes);

/// The text of a client's request.
std::string requestText(const std::string &Method, const std::string &Target,
                        const std::string &Id, milliseconds Budget,
                        std::size_t BodyBytes = 0);

struct call_result {
  /// 0 if no head came.
  int Status = 0;
  bool IsComplete = false;
  bool HasSeal = false;
  /// The upstream says that it is leaving.
  bool IsLeaving = false;
  std::size_t BodyBytes = 0;
  std::string RetryAfter;
};
/// Sends a request on a new connection and reads its answer until \p Budget is
/// over.
call_result call(const std::string &Address, const std::string &Method,
                 const std::string &Target, const std::string &Id,
                 milliseconds Budget, const std::string &Body = "");

/// How fast a client reads an answer.
struct reading_pace {
  /// Bytes a second, until SlowTime is over; then as fast as they come.
  std::size_t BytesPerSecond = 0;
  milliseconds SlowTime{0};
};
/// Reads an answer to a request that was sent on \p Connection at \p Pace.
call_result readSlowly(connection &Connection, const reading_pace &Pace,
                       steady::time_point Deadline);

bool eventually(const std::function<bool()> &Condition, milliseconds Time);

} // namespace figplank::review
