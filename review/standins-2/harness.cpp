#include "harness.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace figplank::review {
namespace {

using nlohmann::json;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t BlockBytes = std::size_t{256} << 10U;
constexpr const char *Program = "target/platform/figplank_sidecar";

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Lower;
}

sockaddr_in toSocketAddress(const std::string &Ip, unsigned Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = inet_addr(Ip.c_str());
  return Address;
}

int millisecondsUntil(steady::time_point Deadline) {
  auto Left =
      std::chrono::duration_cast<milliseconds>(Deadline - steady::now());
  return static_cast<int>(std::max<std::int64_t>(0, Left.count()));
}

std::string encodeBase64(const std::string &Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J) {
      std::uint32_t Byte =
          I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J]) : 0;
      Group = (Group << 8U) | Byte;
    }
    for (std::size_t J = 0; J < 4; ++J) {
      bool IsPadding = I + J > Bytes.size();
      Text += IsPadding ? '=' : Digits[(Group >> (18U - 6U * J)) & 63U];
    }
  }
  return Text;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  std::size_t Start = Target.find('?');
  while (Start != std::string::npos) {
    std::size_t End = Target.find('&', Start + 1);
    std::string Pair = Target.substr(
        Start + 1, End == std::string::npos ? End : End - Start - 1);
    if (Pair.starts_with(Name + "=")) {
      std::string Value;
      for (std::size_t I = Name.size() + 1; I < Pair.size(); ++I) {
        if (Pair[I] == '%' && I + 2 < Pair.size()) {
          Value +=
              static_cast<char>(std::stoi(Pair.substr(I + 1, 2), nullptr, 16));
          I += 2;
        } else {
          Value += Pair[I];
        }
      }
      return Value;
    }
    Start = End;
  }
  return "";
}

std::string formatAnswer(const std::string &Status, const std::string &Headers,
                         const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

record *&currentRecord() {
  static record *Current = nullptr;
  return Current;
}

} // namespace

void giveUp(const std::string &Why) {
  if (currentRecord() != nullptr) {
    currentRecord()->add("could not run: " + Why);
    currentRecord()->write();
  }
  std::cerr << "could not run: " << Why << std::endl;
  std::_Exit(CouldNotRun);
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string_view(Value) != "0";
}

// Records.

record::record(std::string Path) : Path(std::move(Path)) {
  currentRecord() = this;
}

record::~record() {
  currentRecord() = nullptr;
  write();
}

void record::write() {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::ofstream File(Path);
  for (const std::string &Line : Lines) {
    File << Line << "\n";
  }
}

milliseconds record::now() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - Start);
}

void record::add(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Lines.push_back(std::to_string(now().count()) + " ms " + Line);
}

// Messages and connections.

std::string message::header(std::string_view Name) const {
  for (const auto &[Given, Value] : Headers) {
    if (lowerCase(Given) == lowerCase(Name)) {
      return Value;
    }
  }
  return "";
}

std::string message::method() const {
  return StartLine.substr(0, StartLine.find(' '));
}

std::string message::target() const {
  std::size_t Start = StartLine.find(' ') + 1;
  return StartLine.substr(Start, StartLine.find(' ', Start) - Start);
}

int message::status() const {
  std::size_t Space = StartLine.find(' ');
  return Space == std::string::npos ? 0
                                    : std::atoi(StartLine.c_str() + Space + 1);
}

connection::~connection() {
  if (Descriptor >= 0) {
    close(Descriptor);
  }
}

bool connection::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0) {
      return false;
    }
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

std::size_t connection::receive(std::size_t Size, steady::time_point Deadline) {
  pollfd Poll{Descriptor, POLLIN, 0};
  if (poll(&Poll, 1, millisecondsUntil(Deadline)) <= 0) {
    return 0;
  }
  std::size_t Start = Buffer.size();
  Buffer.resize(Start + Size);
  ssize_t Received = recv(Descriptor, Buffer.data() + Start, Size, 0);
  std::size_t Count = Received > 0 ? static_cast<std::size_t>(Received) : 0;
  Buffer.resize(Start + Count);
  return Count;
}

std::optional<message> connection::readHead(steady::time_point Deadline) {
  std::size_t End = Buffer.find(HeadEnd);
  while (End == std::string::npos) {
    if (receive(BlockBytes, Deadline) == 0) {
      return std::nullopt;
    }
    End = Buffer.find(HeadEnd);
  }
  message Message;
  std::string_view Head = std::string_view(Buffer).substr(0, End);
  bool IsFirst = true;
  while (!Head.empty()) {
    std::size_t LineLength = std::min(Head.find(LineEnd), Head.size());
    std::string_view Line = Head.substr(0, LineLength);
    std::size_t Colon = Line.find(':');
    if (IsFirst) {
      Message.StartLine = Line;
    } else if (Colon != std::string_view::npos) {
      std::string_view Value = Line.substr(Colon + 1);
      Value.remove_prefix(std::min(Value.find_first_not_of(' '), Value.size()));
      Message.Headers.emplace_back(Line.substr(0, Colon), Value);
    }
    IsFirst = false;
    Head.remove_prefix(std::min(LineLength + LineEnd.size(), Head.size()));
  }
  Buffer.erase(0, End + HeadEnd.size());
  return Message;
}

std::optional<message> connection::readMessage(steady::time_point Deadline) {
  auto Message = readHead(Deadline);
  if (!Message) {
    return std::nullopt;
  }
  std::size_t Length =
      std::strtoul(Message->header("Content-Length").c_str(), nullptr, 10);
  while (Buffer.size() < Length) {
    if (receive(std::min(BlockBytes, Length - Buffer.size()), Deadline) == 0) {
      return std::nullopt;
    }
  }
  Message->Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return Message;
}

std::unique_ptr<connection> connectTo(const std::string &Address,
                                      int ReceiveBytes) {
  std::size_t Colon = Address.rfind(':');
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0) {
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof ReceiveBytes);
  }
  int Enable = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
  sockaddr_in Target = toSocketAddress(
      Address.substr(0, Colon),
      static_cast<unsigned>(std::stoul(Address.substr(Colon + 1))));
  if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Target),
              sizeof Target) != 0) {
    close(Descriptor);
    Descriptor = -1;
  }
  return std::make_unique<connection>(Descriptor);
}

// Servers.

server::server(const std::string &Ip, handler Handler)
    : Ip(Ip), Handler(std::move(Handler)) {
  ListenSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = toSocketAddress(Ip, 0);
  socklen_t Size = sizeof Address;
  bool Listens =
      bind(ListenSocket, reinterpret_cast<sockaddr *>(&Address), Size) == 0 &&
      listen(ListenSocket, SOMAXCONN) == 0 &&
      getsockname(ListenSocket, reinterpret_cast<sockaddr *>(&Address),
                  &Size) == 0;
  if (!Listens) {
    giveUp("cannot listen on " + Ip);
  }
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this]() { accept(); });
}

server::~server() {
  Stopping = true;
  shutdown(ListenSocket, SHUT_RDWR);
  Acceptor.join();
  close(ListenSocket);
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (int Descriptor : Open) {
      shutdown(Descriptor, SHUT_RDWR);
    }
  }
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
}

std::string server::address() const { return Ip + ":" + std::to_string(Port); }

void server::accept() {
  while (!Stopping) {
    int Descriptor = accept4(ListenSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0) {
      continue;
    }
    int Enable = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
    std::lock_guard<std::mutex> Lock(Mutex);
    Open.push_back(Descriptor);
    Threads.emplace_back([this, Descriptor]() { serve(Descriptor); });
  }
}

void server::serve(int Descriptor) {
  connection Connection(Descriptor);
  bool KeepsOpen = true;
  while (KeepsOpen && !Stopping) {
    auto Request =
        Connection.readMessage(steady::now() + std::chrono::hours(1));
    KeepsOpen = Request && Handler(Connection, *Request);
  }
  std::lock_guard<std::mutex> Lock(Mutex);
  std::erase(Open, Descriptor);
}

// The store.

store::store(record &Record) : Record(Record) {
  Server = std::make_unique<server>(
      "127.0.0.1", [this](connection &Connection, const message &Request) {
        return answer(Connection, Request);
      });
}

store::~store() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Server.reset();
}

void store::change(const std::string &Key, std::optional<std::string> Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Revision;
  History.push_back({Key, Revision, Value});
  if (Value) {
    Items[Key] = {*Value, Revision};
  } else {
    Items.erase(Key);
  }
  Record.add("store: " + Key + (Value ? " written" : " removed") +
             ", revision " + std::to_string(Revision) + ", era " +
             std::to_string(Era));
  Changed.notify_all();
}

void store::put(const std::string &Key, const std::string &Value) {
  change(Key, Value);
}

void store::remove(const std::string &Key) { change(Key, std::nullopt); }

bool store::contains(const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Items.count(Key) > 0;
}

void store::copyItems() {
  std::lock_guard<std::mutex> Lock(Mutex);
  CopiedItems = Items;
  CopiedRevision = Revision;
  Record.add("store: copy kept at revision " + std::to_string(Revision));
}

void store::returnFromCopy() {
  std::lock_guard<std::mutex> Lock(Mutex);
  Items = CopiedItems;
  Revision = CopiedRevision;
  HistoryStart = Revision;
  History.clear();
  ++Era;
  Record.add("store: back from its copy at revision " +
             std::to_string(Revision) + ", era " + std::to_string(Era));
  Changed.notify_all();
}

unsigned store::cutWaitingWatches() {
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Cuts;
  Record.add("store: cuts " + std::to_string(WaitingWatches) +
             " waiting watches");
  Changed.notify_all();
  return WaitingWatches;
}

std::string store::list(const std::string &Prefix, const std::string &After) {
  constexpr std::size_t PageSize = 50;
  json Rows = json::array();
  bool HasMore = false;
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Prefix) || Key <= After) {
      continue;
    }
    HasMore = Rows.size() >= PageSize;
    if (HasMore) {
      break;
    }
    Rows.push_back({{"key", Key},
                    {"value", encodeBase64(Item.Value)},
                    {"revision", Item.Revision},
                    {"created", Item.Revision},
                    {"lease", 0}});
  }
  return json{{"items", Rows}, {"hasMore", HasMore}, {"asOf", Revision}}.dump();
}

bool store::answer(connection &Connection, const message &Request) {
  std::string Target = Request.target();
  std::string Status = "200 OK";
  std::string Body;
  std::vector<std::string> DeliveredKeys;
  std::string EraHeader;
  {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Target.starts_with("/api/kv-range")) {
      Body =
          list(queryValue(Target, "pathPrefix"), queryValue(Target, "after"));
    } else if (Target.starts_with("/api/kv-watch")) {
      std::uint64_t After = std::stoull(queryValue(Target, "after"));
      milliseconds Wait(std::stoll(queryValue(Target, "waitMs")));
      std::uint64_t EraBefore = Era;
      std::uint64_t CutsBefore = Cuts;
      ++WaitingWatches;
      Changed.wait_for(Lock, Wait, [&]() {
        return Revision > After || Stopping || Era != EraBefore ||
               Cuts != CutsBefore;
      });
      --WaitingWatches;
      bool IsCut = Cuts != CutsBefore && Revision <= After;
      if (IsCut) {
        return false;
      }
      if (Era != EraBefore || After < HistoryStart || After > Revision) {
        Status = "410 Gone";
        Body = "{}";
      } else {
        json Events = json::array();
        for (const event &Event : History) {
          if (Event.Revision <= After) {
            continue;
          }
          json Row{{"key", Event.Key}, {"revision", Event.Revision}};
          if (Event.Value) {
            Row["value"] = encodeBase64(*Event.Value);
            Row["created"] = Event.Revision;
            Row["lease"] = 0;
          } else {
            Row["removed"] = true;
          }
          Events.push_back(Row);
          DeliveredKeys.push_back(Event.Key);
        }
        Body = json{{"events", Events}, {"asOf", Revision}}.dump();
      }
    } else {
      Status = "404 Not Found";
      Body = "{}";
    }
    EraHeader = "Store-Era: " + std::to_string(Era) + "\r\n";
  }
  bool Sent = Connection.send(formatAnswer(
      Status, "Content-Type: application/json\r\n" + EraHeader, Body));
  sockaddr_in Peer{};
  socklen_t Size = sizeof Peer;
  getpeername(Connection.descriptor(), reinterpret_cast<sockaddr *>(&Peer),
              &Size);
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Peer.sin_addr, Text.data(), Text.size());
  for (const std::string &Key : DeliveredKeys) {
    if (Sent && OnDelivered) {
      OnDelivered(Key, Text.data());
    }
  }
  return Sent;
}

// Backend servers.

backend::backend(const std::string &Ip, std::string Name, record &Record,
                 handler Handler)
    : Name(std::move(Name)), Record(Record), Handler(std::move(Handler)),
      BornMs(static_cast<std::uint64_t>(
          std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())) {
  Server = std::make_unique<server>(
      Ip, [this](connection &Connection, const message &Request) {
        return answer(Connection, Request);
      });
}

std::string backend::entry(const std::string &Service, const std::string &Zone,
                           const std::string &State) const {
  constexpr unsigned Slots = 64;
  return json{
      {"address", address()},
      {"born", BornMs},
      {"info",
       {{"service", Service},
        {"version", "v1"},
        {"zone", Zone},
        {"maxConcurrency", Slots}}},
      {"status", {{"state", State}, {"sequence", 1}, {"coldRemainingMs", 0}}}}
      .dump();
}

std::string backend::entryWithoutBorn(const std::string &Service,
                                      const std::string &Zone) const {
  json Entry = json::parse(entry(Service, Zone));
  Entry.erase("born");
  return Entry.dump();
}

std::vector<backend_request> backend::runs() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Runs;
}

unsigned backend::runsOf(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  return static_cast<unsigned>(
      std::count_if(Runs.begin(), Runs.end(),
                    [&Id](const auto &Run) { return Run.Id == Id; }));
}

bool backend::answer(connection &Connection, const message &Request) {
  std::string Id = Request.header("Attempt-Id");
  std::string Expected = Request.header("Expected-Instance");
  if (!Expected.empty() && Expected != Name) {
    Record.add(Name + ": " + Id + " is for " + Expected + ", 421");
    return Connection.send(formatAnswer("421 Misdirected Request",
                                        "Instance-Id: " + Name + "\r\n", ""));
  }
  backend_request Received{Request, Id, steady::now()};
  Received.Message.Body.clear();
  Record.add(Name + ": runs " + Id + ", body " +
             std::to_string(Request.Body.size()) + " bytes");
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Runs.push_back(Received);
  }
  backend_answer Answer = Handler(Received);
  std::this_thread::sleep_for(Answer.RunTime);
  bool Sent = Connection.send(formatAnswer("200 OK",
                                           "Attempt-Id: " + Id +
                                               "\r\nResponse-Seal: 3e1b." + Id +
                                               "\r\n" + Answer.ExtraHeaders,
                                           Answer.Body));
  Record.add(Name + ": answered " + Id + (Sent ? "" : ", connection lost"));
  return Sent;
}

// Processes.

namespace {

/// Whether \p Port is free at the loopback addresses of all machines.
bool isFreePort(unsigned Port) {
  constexpr unsigned MaxMachines = 14;
  bool IsFree = true;
  for (unsigned I = 1; I <= MaxMachines && IsFree; ++I) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = toSocketAddress("127.0.0." + std::to_string(I), Port);
    IsFree = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) == 0;
    close(Socket);
  }
  return IsFree;
}

} // namespace

ports freePorts() {
  // Below the ports that the kernel gives to outgoing connections, which could
  // take one before its process is started or started again.
  constexpr unsigned First = 12'000;
  constexpr unsigned Last = 31'000;
  std::mt19937 Random{std::random_device{}()};
  std::uniform_int_distribution<unsigned> Draw(First, Last);
  std::vector<unsigned> Free;
  while (Free.size() < 4) {
    unsigned Port = Draw(Random);
    bool IsNew = std::find(Free.begin(), Free.end(), Port) == Free.end();
    if (IsNew && isFreePort(Port)) {
      Free.push_back(Port);
    }
  }
  return {Free[0], Free[1], Free[2], Free[3]};
}

sidecar::sidecar(machine Description, ports Ports, const std::string &Backend,
                 const std::string &Store,
                 const std::vector<std::string> &Seeds,
                 const std::string &Folder)
    : Machine(std::move(Description)), Ports(Ports),
      SettingsFile(Folder + "/" + Machine.Name + ".settings"),
      LogFile(Folder + "/" + Machine.Name + ".log") {
  std::string SeedList;
  for (const std::string &Seed : Seeds) {
    SeedList += (SeedList.empty() ? "" : ",") + Seed + ":" +
                std::to_string(Ports.Control);
  }
  auto At = [&](unsigned Port) {
    return Machine.Ip + ":" + std::to_string(Port);
  };
  // The lines of deploy/sidecar.settings.
  std::ofstream File(SettingsFile);
  File << "name = " << Machine.Name << "\nservice = " << Machine.Service
       << "\nzone = " << Machine.Zone
       << "\nroute-address = " << At(Ports.Outbound)
       << "\nready-address = " << At(Ports.Ready)
       << "\nrpc-address = " << At(Ports.Control)
       << "\nadmin-address = " << At(Ports.Admin)
       << "\nbackend-address = " << Backend << "\nplatform-address = " << Store
       << "\nsource-ip = " << Machine.Ip << "\nseeds = " << SeedList << "\n";
  File.close();
  start();
}

sidecar::~sidecar() { kill(); }

void sidecar::start() {
  std::array<std::string, 5> Variables{
      "FIGPLANK_BOOT=" + SettingsFile,
      "SIDECAR_GRACE_SECONDS=" +
          std::to_string(
              std::chrono::duration_cast<std::chrono::seconds>(GraceTime)
                  .count()),
      "SIDECAR_MEMORY_MB=" + std::to_string(MemoryMb),
      "SIDECAR_MAX_DESCRIPTORS=" + std::to_string(MaxDescriptors),
      "PATH=/usr/bin:/bin"};
  std::array<char *, 6> Environment{};
  for (std::size_t I = 0; I < Variables.size(); ++I) {
    Environment[I] = Variables[I].data();
  }
  std::array<char *, 2> Arguments{const_cast<char *>(Program), nullptr};
  int Output = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                    S_IRUSR | S_IWUSR);
  std::lock_guard<std::mutex> Lock(Mutex);
  Pid = fork();
  if (Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    execve(Program, Arguments.data(), Environment.data());
    _exit(CouldNotRun);
  }
  close(Output);
  if (Pid < 0) {
    giveUp("cannot start a sidecar");
  }
}

void sidecar::signal(int Number) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Pid > 0) {
    ::kill(Pid, Number);
  }
}

void sidecar::kill() {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
}

bool sidecar::isRunning() {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid) {
    Pid = -1;
  }
  return Pid > 0;
}

bool sidecar::awaitExit(milliseconds Time) {
  return eventually([this]() { return !isRunning(); }, Time);
}

bool sidecar::isReady() const {
  auto Connection = connectTo(Machine.Ip + ":" + std::to_string(Ports.Ready));
  if (!Connection->isOpen() ||
      !Connection->send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
    return false;
  }
  auto Answer = Connection->readMessage(steady::now() + milliseconds(500));
  return Answer && Answer->status() == 200;
}

std::size_t sidecar::anonymousMemory() {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Pid <= 0) {
    return 0;
  }
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  const std::string Name = "RssAnon:";
  constexpr std::size_t BytesPerKilobyte = 1024;
  std::string Line;
  while (std::getline(File, Line)) {
    if (Line.starts_with(Name)) {
      return std::stoul(Line.substr(Name.size())) * BytesPerKilobyte;
    }
  }
  return 0;
}

std::string sidecar::outbound() const {
  return Machine.Ip + ":" + std::to_string(Ports.Outbound);
}

temporary_folder::temporary_folder() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "figplank-review-XXXXXX")
          .string();
  if (mkdtemp(Template.data()) == nullptr) {
    giveUp("cannot make a temporary folder");
  }
  Path = Template;
}

temporary_folder::~temporary_folder() {
  const char *Keep = std::getenv("KEEP_LOGS");
  if (Keep != nullptr) {
    std::cerr << "logs in " << Path << std::endl;
    return;
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Path, Ignored);
}

// Configurations and clients.

std::string configuration(unsigned Version, const std::vector<route> &Routes) {
  constexpr unsigned MaxHeaderBytes = 16'384;
  constexpr unsigned MaxBodyBytes = 67'108'864;
  constexpr unsigned HeaderTimeoutMs = 3'000;
  constexpr unsigned IdleTimeoutMs = 15'000;
  json List = json::array();
  for (const route &Route : Routes) {
    List.push_back({{"name", Route.Name},
                    {"host", "shop.example"},
                    {"pathPrefix", "/" + Route.Name + "/"},
                    {"kind", Route.Kind},
                    {"timeoutMs", Route.TimeoutMs},
                    {"targetLatencyMs", 1'500},
                    {"priority", 1},
                    {"service", Route.Service},
                    {"attempts", 2}});
  }
  return json{{"version", "r" + std::to_string(Version)},
              {"routes", List},
              {"services", json::array()},
              {"limits",
               {{"maxHeaderBytes", MaxHeaderBytes},
                {"maxBodyBytes", MaxBodyBytes},
                {"headerTimeoutMs", HeaderTimeoutMs},
                {"idleTimeoutMs", IdleTimeoutMs}}}}
      .dump();
}

std::string requestText(const std::string &Method, const std::string &Target,
                        const std::string &Id, milliseconds Budget,
                        std::size_t BodyBytes) {
  std::string Text =
      Method + " " + Target +
      " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
      "\r\nDeadline-Remaining: " + std::to_string(Budget.count()) + "\r\n";
  if (Method != "GET") {
    Text += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  }
  return Text + "\r\n";
}

call_result call(const std::string &Address, const std::string &Method,
                 const std::string &Target, const std::string &Id,
                 milliseconds Budget, const std::string &Body) {
  // Long enough for an answer that comes at the end of the budget.
  constexpr milliseconds AnswerSlack{1'000};
  auto Connection = connectTo(Address);
  if (!Connection->isOpen()) {
    return {};
  }
  Connection->send(requestText(Method, Target, Id, Budget, Body.size()));
  Connection->send(Body);
  return readSlowly(*Connection, {}, steady::now() + Budget + AnswerSlack);
}

call_result readSlowly(connection &Connection, const reading_pace &Pace,
                       steady::time_point Deadline) {
  constexpr std::size_t SmallBlockBytes = std::size_t{16} << 10U;
  call_result Result;
  auto Head = Connection.readHead(Deadline);
  if (!Head) {
    return Result;
  }
  Result.Status = Head->status();
  Result.HasSeal = !Head->header("Response-Seal").empty();
  Result.IsLeaving = Head->header("Server-Leaving") == "1";
  Result.RetryAfter = Head->header("Retry-After");
  std::size_t Length =
      std::strtoul(Head->header("Content-Length").c_str(), nullptr, 10);
  auto Start = steady::now();
  Result.BodyBytes = Connection.buffer().size();
  Connection.buffer().clear();
  while (Result.BodyBytes < Length) {
    auto Elapsed = steady::now() - Start;
    bool IsSlow = Pace.BytesPerSecond > 0 && Elapsed < Pace.SlowTime;
    if (IsSlow) {
      std::this_thread::sleep_for(
          milliseconds(1'000 * SmallBlockBytes / Pace.BytesPerSecond));
    }
    std::size_t Count =
        Connection.receive(std::min(Length - Result.BodyBytes,
                                    IsSlow ? SmallBlockBytes : BlockBytes),
                           Deadline);
    if (Count == 0) {
      return Result;
    }
    Result.BodyBytes += Count;
    Connection.buffer().clear();
  }
  Result.IsComplete = true;
  return Result;
}

bool eventually(const std::function<bool()> &Condition, milliseconds Time) {
  constexpr milliseconds PollInterval{20};
  auto End = steady::now() + Time;
  while (!Condition()) {
    if (steady::now() >= End) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace figplank::review
