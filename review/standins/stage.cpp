#include "stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const steady::time_point ProgramStart = steady::now();

std::mt19937_64 &randomNumbers() {
  static thread_local std::mt19937_64 Numbers{std::random_device{}()};
  return Numbers;
}

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  });
  return Lower;
}

std::string trim(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(" \t");
  std::size_t Last = Text.find_last_not_of(" \t");
  return First == std::string_view::npos
             ? std::string()
             : std::string(Text.substr(First, Last - First + 1));
}

std::uint64_t toNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Whether the port can be listened on.
bool isFree(const std::string &Ip, int Port) {
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = socketAddress(Ip, Port);
  bool Free = bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                   sizeof Address) == 0;
  ::close(Descriptor);
  return Free;
}

std::string encodeBase64(std::string_view Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t J = 0; J < 3; ++J) {
      Group = (Group << 8U) |
              (J < Count ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    }
    for (std::size_t J = 0; J < 4; ++J) {
      Text += J <= Count ? Digits[(Group >> (18U - 6U * J)) & 63U] : '=';
    }
  }
  return Text;
}

std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::stoi(std::string(Text.substr(I + 1, 2)), nullptr, 16));
      I += 2;
    } else {
      Decoded += Text[I];
    }
  }
  return Decoded;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  std::size_t Question = Target.find('?');
  std::stringstream Query(
      Question == std::string::npos ? "" : Target.substr(Question + 1));
  std::string Pair;
  while (std::getline(Query, Pair, '&')) {
    if (Pair.starts_with(Name + "=")) {
      return decodePercent(Pair.substr(Name.size() + 1));
    }
  }
  return "";
}

std::string jsonAnswer(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string addressText(const std::string &Ip, int Port) {
  return Ip + ":" + std::to_string(Port);
}

/// The number that follows \p Mark in \p Path, or 0.
std::uint64_t numberAfter(const std::string &Path, std::string_view Mark) {
  std::size_t Found = Path.find(Mark);
  return Found == std::string::npos
             ? 0
             : toNumber(std::string_view(Path).substr(Found + Mark.size()));
}

} // namespace

double secondsNow() {
  return std::chrono::duration<double>(steady::now() - ProgramStart).count();
}

void record_file::line(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::array<char, 32> Time{};
  std::snprintf(Time.data(), Time.size(), "%8.3f ", secondsNow());
  File << Time.data() << Text << std::endl;
}

// Messages and connections.

std::string message::header(std::string_view Name) const {
  for (const auto &[HeaderName, Value] : Headers) {
    if (HeaderName == Name) {
      return Value;
    }
  }
  return "";
}

std::string message::secondWord() const {
  std::size_t Start = StartLine.find(' ') + 1;
  return StartLine.substr(Start, StartLine.find(' ', Start) - Start);
}

std::unique_ptr<connection> connection::open(const std::string &Ip, int Port,
                                             const std::string &Source) {
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Opened = std::make_unique<connection>(Descriptor);
  int One = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  if (!Source.empty()) {
    sockaddr_in From = socketAddress(Source, 0);
    if (bind(Descriptor, reinterpret_cast<sockaddr *>(&From), sizeof From) !=
        0) {
      return nullptr;
    }
  }
  sockaddr_in To = socketAddress(Ip, Port);
  bool Connected =
      connect(Descriptor, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0;
  return Connected ? std::move(Opened) : nullptr;
}

bool connection::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0) {
      return false;
    }
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool connection::fill(steady::time_point End, std::size_t MaxBytes) {
  auto Left = std::chrono::ceil<milliseconds>(End - steady::now());
  pollfd Poll{Descriptor, POLLIN, 0};
  int Timeout = static_cast<int>(std::max<std::int64_t>(0, Left.count()));
  if (Ended || poll(&Poll, 1, Timeout) <= 0) {
    return false;
  }
  std::array<char, 65536> Bytes{};
  ssize_t Count =
      recv(Descriptor, Bytes.data(), std::min(MaxBytes, Bytes.size()), 0);
  if (Count <= 0) {
    Ended = true;
    return false;
  }
  Buffer.append(Bytes.data(), static_cast<std::size_t>(Count));
  return true;
}

std::optional<message> connection::read(milliseconds Timeout) {
  const steady::time_point End = steady::now() + Timeout;
  std::size_t HeadEnd = Buffer.find("\r\n\r\n");
  while (HeadEnd == std::string::npos) {
    if (!fill(End)) {
      return std::nullopt;
    }
    HeadEnd = Buffer.find("\r\n\r\n");
  }
  message Message;
  std::stringstream Head(Buffer.substr(0, HeadEnd));
  std::string Line;
  std::getline(Head, Line);
  Message.StartLine = trim(Line.substr(0, Line.find('\r')));
  while (std::getline(Head, Line)) {
    std::size_t Colon = Line.find(':');
    std::string Value = Line.substr(Colon + 1, Line.find('\r') - Colon - 1);
    Message.Headers.emplace_back(lowerCase(Line.substr(0, Colon)), trim(Value));
  }
  std::size_t Length = toNumber(Message.header("content-length"));
  std::size_t Total = HeadEnd + 4 + Length;
  Buffer.reserve(Total);
  while (Buffer.size() < Total) {
    if (!fill(End)) {
      return std::nullopt;
    }
  }
  Message.Body = Buffer.substr(HeadEnd + 4, Length);
  Buffer.erase(0, Total);
  return Message;
}

std::size_t connection::readSome(std::size_t Bytes, milliseconds Timeout) {
  if (Buffer.empty()) {
    fill(steady::now() + Timeout, Bytes);
  }
  std::size_t Count = Buffer.size();
  Buffer.clear();
  return Count;
}

bool connection::awaitClose(milliseconds Time) {
  const steady::time_point End = steady::now() + Time;
  while (Buffer.empty() && !Ended && steady::now() < End) {
    fill(End);
  }
  return Ended;
}

void connection::close() {
  if (Descriptor >= 0) {
    ::close(Descriptor);
    Descriptor = -1;
  }
}

void connection::shutDown() { shutdown(Descriptor, SHUT_RDWR); }

listener::listener(const std::string &Ip, int Port, handler Handler)
    : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      Handler(std::move(Handler)) {
  int One = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Address = socketAddress(Ip, Port);
  constexpr int Backlog = 512;
  bool Listening = bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                        sizeof Address) == 0 &&
                   listen(Descriptor, Backlog) == 0;
  if (!Listening) {
    ::close(Descriptor);
    throw std::runtime_error("cannot listen on " + addressText(Ip, Port));
  }
  Thread = std::thread([this]() { acceptLoop(); });
}

listener::~listener() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    for (session &Session : Sessions) {
      Session.Connection->shutDown();
    }
  }
  shutdown(Descriptor, SHUT_RDWR);
  Thread.join();
  ::close(Descriptor);
  for (session &Session : Sessions) {
    Session.Connection->shutDown();
    Session.Thread.join();
  }
}

void listener::acceptLoop() {
  while (true) {
    int Accepted = accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0) {
      return;
    }
    int One = 1;
    setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping) {
      ::close(Accepted);
      return;
    }
    session &Session = Sessions.emplace_back();
    Session.Connection = std::make_unique<connection>(Accepted);
    connection *Connection = Session.Connection.get();
    Session.Thread = std::thread([this, Connection]() {
      Handler(*Connection);
      // The descriptor stays open until the listener ends, so that no other
      // thread shuts down a reused one.
      Connection->shutDown();
    });
  }
}

// The store.

store::store(const std::string &Ip, int Port)
    : Listener(std::make_unique<listener>(
          Ip, Port, [this](connection &Connection) { serve(Connection); })) {}

void store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  item Item{Key, encodeBase64(Value), ++Revision};
  Items[Key] = Item;
  Events.push_back(std::move(Item));
  Changed.notify_all();
}

std::string store::itemText(const item &Item) {
  std::string Number = std::to_string(Item.Revision);
  return R"({"key":")" + Item.Key + R"(","value":")" + Item.Encoded +
         R"(","revision":)" + Number + R"(,"created":)" + Number +
         R"(,"lease":0})";
}

std::string store::answer(const std::string &Target) {
  const std::string Prefix = queryValue(Target, "pathPrefix");
  std::string List;
  std::unique_lock<std::mutex> Lock(Mutex);
  auto Append = [&List](const item &Item) {
    List += (List.empty() ? "" : ",") + itemText(Item);
  };
  if (Target.starts_with("/api/kv-range")) {
    const std::string After = queryValue(Target, "after");
    for (const auto &[Key, Item] : Items) {
      if (Key.starts_with(Prefix) && Key > After) {
        Append(Item);
      }
    }
    return jsonAnswer(R"({"items":[)" + List + R"(],"hasMore":false,"asOf":)" +
                      std::to_string(Revision) + "}");
  }
  const std::uint64_t After = toNumber(queryValue(Target, "after"));
  milliseconds Wait(toNumber(queryValue(Target, "waitMs")));
  Changed.wait_for(Lock, Wait, [&]() { return Revision > After; });
  for (const item &Item : Events) {
    if (Item.Revision > After && Item.Key.starts_with(Prefix)) {
      Append(Item);
    }
  }
  return jsonAnswer(R"({"events":[)" + List + R"(],"asOf":)" +
                    std::to_string(Revision) + "}");
}

void store::serve(connection &Connection) {
  constexpr milliseconds IdleTimeout{60'000};
  while (auto Request = Connection.read(IdleTimeout)) {
    if (!Connection.send(answer(Request->secondWord()))) {
      return;
    }
  }
}

// Backend servers.

server::server(std::string Id, std::string Service, std::string Ip, int Port,
               std::string Zone, record_file &Record)
    : Id(std::move(Id)), Service(std::move(Service)), Ip(std::move(Ip)),
      Zone(std::move(Zone)), Port(Port), Record(Record) {}

void server::start() {
  Born = unixMilliseconds();
  Listener = std::make_unique<listener>(
      Ip, Port, [this](connection &Connection) { serve(Connection); });
  Up = true;
}

void server::crash() {
  Record.line("server " + Id + " crashes");
  Up = false;
  Listener = nullptr;
}

std::string server::entry(unsigned Sequence) const {
  constexpr int Slots = 64;
  return R"({"address":")" + addressText(Ip, Port) +
         R"(","info":{"service":")" + Service + R"(","version":"v1","zone":")" +
         Zone + R"(","maxConcurrency":)" + std::to_string(Slots) +
         R"(},"status":{"state":"ready","sequence":)" +
         std::to_string(Sequence) + R"(,"coldRemainingMs":0},"born":)" +
         std::to_string(Born) + "}";
}

std::vector<run> server::runs() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Runs;
}

std::size_t server::finishedRuns(const std::string &AttemptId) const {
  std::size_t Count = 0;
  for (const run &Run : runs()) {
    bool Finished = Run.Ended > 0.0 && !Run.Cancelled;
    Count += Run.AttemptId == AttemptId && Finished ? 1 : 0;
  }
  return Count;
}

void server::serve(connection &Connection) {
  constexpr milliseconds IdleTimeout{10'000};
  while (auto Request = Connection.read(IdleTimeout)) {
    const std::string AttemptId = Request->header("attempt-id");
    const std::string Expected = Request->header("expected-instance");
    if (!Expected.empty() && Expected != Id) {
      Connection.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + Id +
                      "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    std::size_t Index = 0;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Index = Runs.size();
      Runs.push_back({AttemptId, secondsNow(), 0.0, false});
    }
    Record.line("run " + AttemptId + " starts at " + Id);
    milliseconds Work(numberAfter(Request->secondWord(), "/ms"));
    bool Cancelled = Work.count() > 0 && Connection.awaitClose(Work);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Runs[Index].Ended = secondsNow();
      Runs[Index].Cancelled = Cancelled;
    }
    Record.line("run " + AttemptId +
                (Cancelled ? " cancelled at " : " ends at ") + Id);
    std::string Body = "answer of " + AttemptId + "\n";
    Body.append(numberAfter(Request->secondWord(), "/bytes"), 'a');
    std::string Answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptId;
    Answer += "\r\nResponse-Seal: s." + AttemptId;
    Answer += "\r\nContent-Length: " + std::to_string(Body.size());
    Answer += "\r\n\r\n";
    Answer += Body;
    bool Sent = !Cancelled && Connection.send(Answer);
    if (!Sent) {
      return;
    }
  }
}

std::string configuration(unsigned Version, const std::vector<route> &Routes,
                          const std::vector<std::string> &Services) {
  std::string Text =
      R"({"version":"r)" + std::to_string(Version) + R"(","routes":[)";
  for (const route &Route : Routes) {
    Text += &Route == &Routes.front() ? "" : ",";
    Text += R"({"name":")" + Route.Name + R"(","host":")" + Route.Host +
            R"(","pathPrefix":")" + Route.Prefix + R"(","kind":")" +
            (Route.Idempotent ? "idempotent" : "non_idempotent") +
            R"(","timeoutMs":)" + std::to_string(Route.TimeoutMs) +
            R"(,"targetLatencyMs":1500,"priority":1,"service":")" +
            Route.Service + R"(","attempts":2})";
  }
  Text += R"(],"services":[)";
  for (const std::string &Service : Services) {
    Text += &Service == &Services.front() ? "" : ",";
    Text += R"({"name":")" + Service +
            R"(","healthPath":"/health","maxConnections":484,)"
            R"("protocol":"h1","tls":false})";
  }
  return Text + R"(],"limits":{"maxHeaderBytes":16384,)"
                R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
                R"("idleTimeoutMs":15000}})";
}

// Machines.

machine::machine(const std::string &Name, const std::string &Ip,
                 const std::string &Zone, std::string Service,
                 const port_plan &Ports, std::string StoreAddress,
                 record_file &Record)
    : Name(Name), Ip(Ip), Zone(Zone),
      Server("i-" + Name, std::move(Service), Ip, Ports.Server, Zone, Record),
      Ports(Ports), StoreAddress(std::move(StoreAddress)), Record(Record) {}

std::string machine::settings(const std::string &Seeds) const {
  std::ifstream File("deploy/sidecar.settings");
  std::stringstream Template;
  Template << File.rdbuf();
  std::string Text = Template.str();
  const std::map<std::string, std::string> Fields{
      {"nodeName", Name},
      {"service", Server.Service},
      {"zone", Zone},
      {"listen.outbound", addressText(Ip, Ports.Outbound)},
      {"listen.readyAddr", addressText(Ip, Ports.Ready)},
      {"listen.control", addressText(Ip, Ports.Control)},
      {"ip", Ip},
      {"appAddr", addressText(Ip, Ports.Server)},
      {"provider.address", StoreAddress},
      {"seeds", Seeds}};
  for (const auto &[Field, Value] : Fields) {
    const std::string Placeholder = "{{" + Field + "}}";
    std::size_t Found = Text.find(Placeholder);
    while (Found != std::string::npos) {
      Text.replace(Found, Placeholder.size(), Value);
      Found = Text.find(Placeholder);
    }
  }
  return Text;
}

void machine::start(const std::string &Seeds, const std::string &Folder) {
  const std::string SettingsPath = Folder + "/" + Name + ".settings";
  std::ofstream(SettingsPath) << settings(Seeds);
  std::string SettingsVariable = "FIGPLANK_BOOT=" + SettingsPath;
  std::string GraceVariable = "SIDECAR_GRACE_SECONDS=6";
  std::string PathVariable = "PATH=/usr/bin:/bin";
  // The words of `run` in deploy/system.toml.
  std::string Program = "target/platform/figplank_sidecar";
  std::array<char *, 2> Arguments{Program.data(), nullptr};
  std::array<char *, 4> Environment{SettingsVariable.data(),
                                    GraceVariable.data(), PathVariable.data(),
                                    nullptr};
  const std::string Log = Folder + "/" + Name + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Error = posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                          Arguments.data(), Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    Pid = -1;
    throw std::runtime_error("cannot start " + Program);
  }
  Record.line("sidecar of " + Name + " starts");
}

void machine::signal(int Signal) const {
  if (Pid > 0) {
    ::kill(Pid, Signal);
  }
}

void machine::kill() {
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
}

bool machine::isRunning() {
  if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid) {
    Pid = -1;
  }
  return Pid > 0;
}

bool machine::awaitEnd(milliseconds Time) {
  const steady::time_point End = steady::now() + Time;
  while (isRunning() && steady::now() < End) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  return !isRunning();
}

double machine::residentMb() const {
  constexpr std::string_view Field = "VmRSS:";
  constexpr double KilobytesPerMegabyte = 1024.0;
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(File, Line)) {
    if (Line.starts_with(Field)) {
      return std::strtod(Line.c_str() + Field.size(), nullptr) /
             KilobytesPerMegabyte;
    }
  }
  return 0.0;
}

bool machine::awaitReady(milliseconds Time) const {
  const steady::time_point End = steady::now() + Time;
  while (steady::now() < End) {
    auto Probe = connection::open(Ip, Ports.Ready);
    if (Probe != nullptr &&
        Probe->send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      auto Answer = Probe->read(milliseconds(1000));
      if (Answer && Answer->secondWord() == "200") {
        return true;
      }
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::unique_ptr<connection> machine::connect() const {
  return connection::open(Ip, Ports.Outbound, Ip);
}

// The deployment.

deployment::deployment(const std::vector<machine_plan> &Plan,
                       const std::string &Folder, record_file &Record)
    : Folder(Folder) {
  // Below the range from which the kernel takes source ports.
  std::uniform_int_distribution<int> PortChoice(20'000, 31'000);
  std::uniform_int_distribution<int> ByteChoice(1, 250);
  const std::string Network = "127." +
                              std::to_string(ByteChoice(randomNumbers())) +
                              "." + std::to_string(ByteChoice(randomNumbers()));
  auto IpOf = [&Network](std::size_t Index) {
    return Network + "." + std::to_string(10 + Index);
  };
  port_plan Ports;
  bool Free = false;
  for (int Try = 0; Try < 50 && !Free; ++Try) {
    int First = PortChoice(randomNumbers());
    Ports = {First, First + 1, First + 2, First + 3, First + 4, First + 5};
    Free = true;
    for (int Port = First; Port <= First + 5; ++Port) {
      for (std::size_t I = 0; I <= Plan.size(); ++I) {
        Free = Free && isFree(IpOf(I), Port);
      }
    }
  }
  if (!Free) {
    throw std::runtime_error("no free ports");
  }
  const std::string StoreIp = IpOf(Plan.size());
  Store = std::make_unique<store>(StoreIp, Ports.Store);
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    Machines.push_back(std::make_unique<machine>(
        "m" + std::to_string(I), IpOf(I), Plan[I].Zone, Plan[I].Service, Ports,
        addressText(StoreIp, Ports.Store), Record));
    if (I < 3) {
      Seeds += (I == 0 ? "" : ",") + addressText(IpOf(I), Ports.Control);
    }
  }
}

deployment::~deployment() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  StopChanged.notify_all();
  if (Heartbeats.joinable()) {
    Heartbeats.join();
  }
  for (auto &Machine : Machines) {
    Machine->kill();
  }
}

bool deployment::start(const std::string &Configuration) {
  Store->put("op/config", Configuration);
  for (auto &Machine : Machines) {
    Machine->Server.start();
    Store->put("servers/" + Machine->Server.Id, Machine->Server.entry(1));
  }
  Heartbeats = std::thread([this]() { heartbeatLoop(); });
  for (auto &Machine : Machines) {
    Machine->start(Seeds, Folder);
  }
  constexpr milliseconds ReadyTimeout{10'000};
  bool Ready = true;
  for (auto &Machine : Machines) {
    Ready = Ready && Machine->awaitReady(ReadyTimeout);
  }
  // Time in which all machines learn of each other.
  std::this_thread::sleep_for(milliseconds(1500));
  return Ready;
}

void deployment::heartbeatLoop() {
  constexpr milliseconds HeartbeatInterval{1500};
  unsigned Sequence = 1;
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!StopChanged.wait_for(Lock, HeartbeatInterval,
                               [this]() { return Stopping; })) {
    ++Sequence;
    for (auto &Machine : Machines) {
      if (Machine->Server.isUp()) {
        Store->put("servers/" + Machine->Server.Id,
                   Machine->Server.entry(Sequence));
      }
    }
  }
}

// Clients.

std::string format(const request_text &Request) {
  std::string Text =
      Request.Method + " " + Request.Path +
      " HTTP/1.1\r\nHost: " + Request.Host +
      "\r\nAttempt-Id: " + Request.AttemptId +
      "\r\nDeadline-Remaining: " + std::to_string(Request.DeadlineMs) + "\r\n";
  if (Request.Method == "POST") {
    Text += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  }
  return Text + "\r\n" + Request.Body;
}

std::string newAttemptId() {
  std::array<char, 20> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(randomNumbers()()));
  return Text.data();
}

int ask(const machine &Machine, const request_text &Request,
        milliseconds Timeout) {
  auto Connection = Machine.connect();
  if (Connection == nullptr || !Connection->send(format(Request))) {
    return 0;
  }
  auto Answer = Connection->read(Timeout);
  return Answer ? static_cast<int>(toNumber(Answer->secondWord())) : 0;
}

bool isCalm() {
  const char *Trouble = std::getenv("TROUBLE");
  return Trouble != nullptr && std::string_view(Trouble) == "0";
}

int runCase(int ArgumentCount, char **Arguments,
            const std::function<int(const std::string &Folder,
                                    record_file &Record)> &Case) {
  if (ArgumentCount != 2) {
    std::cerr << "usage: " << Arguments[0] << " RECORD\n";
    return CouldNotRun;
  }
  std::string Folder =
      std::filesystem::temp_directory_path() / "figplank-review-XXXXXX";
  if (mkdtemp(Folder.data()) == nullptr) {
    return CouldNotRun;
  }
  int Result = CouldNotRun;
  try {
    record_file Record(Arguments[1]);
    Result = Case(Folder, Record);
    Record.line("exit " + std::to_string(Result));
  } catch (const std::exception &Exception) {
    std::cerr << "could not run: " << Exception.what() << "\n";
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(Folder);
  } else {
    std::cerr << "logs are in " << Folder << "\n";
  }
  return Result;
}

} // namespace review
