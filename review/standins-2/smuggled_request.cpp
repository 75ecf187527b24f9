/// \file
/// A client hides a request in the body of another one, behind a header line
/// with a space before its colon. The upstreams are HTTP servers of the KJ
/// library, which take such a line for the header that it names.
#include "harness.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace figplank::review;

namespace {

struct http_run {
  std::string Upstream;
  std::string Id;
  std::string CallerService;
  std::string Target;
  std::size_t BodyBytes = 0;
};

struct run_list {
  std::mutex Mutex;
  std::vector<http_run> Runs;

  void add(http_run Run) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Runs.push_back(std::move(Run));
  }
  std::vector<http_run> all() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }
};

struct header_ids {
  kj::Own<kj::HttpHeaderTable> Table;
  kj::HttpHeaderId AttemptId;
  kj::HttpHeaderId ExpectedInstance;
  kj::HttpHeaderId CallerService;
  kj::HttpHeaderId Seal;
  kj::HttpHeaderId InstanceId;
};

header_ids makeHeaderIds() {
  kj::HttpHeaderTable::Builder Builder;
  header_ids Ids;
  Ids.AttemptId = Builder.add("Attempt-Id");
  Ids.ExpectedInstance = Builder.add("Expected-Instance");
  Ids.CallerService = Builder.add("Caller-Service");
  Ids.Seal = Builder.add("Response-Seal");
  Ids.InstanceId = Builder.add("Instance-Id");
  Ids.Table = Builder.build();
  return Ids;
}

/// Runs each request at once and answers it with its attempt id and a seal.
class upstream_service final : public kj::HttpService {
public:
  upstream_service(std::string Name, header_ids &Ids, run_list &List)
      : Name(std::move(Name)), Ids(Ids), List(List) {}

  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &Headers,
                            kj::AsyncInputStream &Body,
                            Response &Reply) override {
    auto Text = [&Headers](kj::HttpHeaderId Id) {
      KJ_IF_MAYBE (Value, Headers.get(Id)) {
        return std::string(Value->cStr());
      }
      return std::string();
    };
    std::string Expected = Text(Ids.ExpectedInstance);
    if (!Expected.empty() && Expected != Name) {
      kj::HttpHeaders Sent(*Ids.Table);
      Sent.set(Ids.InstanceId, kj::str(Name.c_str()));
      Reply.send(421, "Misdirected Request", Sent, std::uint64_t{0});
      return kj::READY_NOW;
    }
    http_run Run{Name, Text(Ids.AttemptId), Text(Ids.CallerService),
                 kj::str(Method, ' ', Url).cStr()};
    return Body.readAllBytes().then(
        [this, &Reply, Run](kj::Array<kj::byte> Bytes) mutable {
          Run.BodyBytes = Bytes.size();
          List.add(Run);
          kj::HttpHeaders Sent(*Ids.Table);
          Sent.set(Ids.AttemptId, kj::str(Run.Id.c_str()));
          Sent.set(Ids.Seal, kj::str("3e1b.", Run.Id.c_str()));
          auto Stream =
              Reply.send(200, "OK", Sent, std::uint64_t{AnswerBody.size()});
          return Stream->write(AnswerBody.data(), AnswerBody.size())
              .attach(kj::mv(Stream));
        });
  }

private:
  static constexpr std::string_view AnswerBody = "body";
  std::string Name;
  header_ids &Ids;
  run_list &List;
};

/// An upstream with an event loop on a thread of its own.
class upstream {
public:
  upstream(const std::string &Ip, const std::string &Name, run_list &List)
      : Name(Name) {
    int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = inet_addr(Ip.c_str());
    socklen_t Size = sizeof Address;
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    bool Listens = bind(Descriptor, Generic, Size) == 0 &&
                   listen(Descriptor, SOMAXCONN) == 0 &&
                   getsockname(Descriptor, Generic, &Size) == 0;
    if (!Listens) {
      giveUp("cannot listen on " + Ip);
    }
    Text = Ip + ":" + std::to_string(ntohs(Address.sin_port));
    Thread =
        std::thread([this, Descriptor, &List]() { serve(Descriptor, List); });
  }
  ~upstream() {
    Stopping = true;
    Thread.join();
  }
  upstream(const upstream &) = delete;
  upstream &operator=(const upstream &) = delete;

  const std::string &address() const { return Text; }
  const std::string &name() const { return Name; }

private:
  void serve(int Descriptor, run_list &List) {
    kj::AsyncIoContext Io = kj::setupAsyncIo();
    header_ids Ids = makeHeaderIds();
    upstream_service Service(Name, Ids, List);
    kj::HttpServer Server(Io.provider->getTimer(), *Ids.Table, Service);
    auto Port = Io.lowLevelProvider->wrapListenSocketFd(
        Descriptor, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
    kj::Promise<void> Listening = Server.listenHttp(*Port).eagerlyEvaluate(
        [](kj::Exception &&) { giveUp("an upstream has failed"); });
    while (!Stopping) {
      Io.provider->getTimer()
          .afterDelay(20 * kj::MILLISECONDS)
          .wait(Io.waitScope);
    }
  }

  std::string Name;
  std::string Text;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

std::string entryOf(const upstream &Upstream, const machine &Machine) {
  return "{\"address\":\"" + Upstream.address() +
         "\",\"born\":1,\"info\":{\"service\":\"" + Machine.Service +
         "\",\"version\":\"v1\",\"zone\":\"" + Machine.Zone +
         "\",\"maxConcurrency\":64},\"status\":{\"state\":\"ready\","
         "\"sequence\":1,\"coldRemainingMs\":0}}";
}

std::string chunkedBody(const std::string &Content) {
  std::array<char, 32> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Content.size());
  return Size.data() + Content + "\r\n0\r\n\r\n";
}

/// A complete request in chunks whose content, read as chunks once more, ends
/// at once and is followed by a request with the id \p HiddenId.
std::string requestWithHiddenOne(const std::string &Id,
                                 const std::string &HiddenId) {
  const std::string Hidden = "POST /spend/hidden HTTP/1.1\r\nHost: "
                             "shop.example\r\nAttempt-Id: " +
                             HiddenId + "\r\nContent-Length: 0\r\n\r\n";
  const std::string Encoding = hasTrouble() ? "Transfer-Encoding : chunked"
                                            : "Transfer-Encoding: chunked";
  return "POST /spend/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
         "\r\nDeadline-Remaining: 3000\r\n" + Encoding + "\r\n\r\n" +
         chunkedBody("0\r\n\r\n" + Hidden);
}

int play(const std::string &RecordPath) {
  constexpr unsigned RequestCount = 10;
  record Record(RecordPath);
  temporary_folder Folder;
  store Store(Record);
  Store.put("op/config",
            configuration(3, {{"spend", "non_idempotent", "ledger"}}));
  const std::vector<machine> Machines{
      {"127.0.0.1", "side-a-1", "door", "z-a"},
      {"127.0.0.2", "side-b-1", "ledger", "z-b"},
      {"127.0.0.3", "side-c-1", "ledger", "z-c"}};
  const ports Ports = freePorts();
  run_list List;
  std::vector<std::unique_ptr<upstream>> Upstreams;
  std::vector<std::unique_ptr<sidecar>> Sidecars;
  for (const machine &Machine : Machines) {
    Upstreams.push_back(
        std::make_unique<upstream>(Machine.Ip, "i-" + Machine.Name, List));
    Store.put("servers/" + Upstreams.back()->name(),
              entryOf(*Upstreams.back(), Machine));
  }
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    Sidecars.push_back(std::make_unique<sidecar>(
        Machines[I], Ports, Upstreams[I]->address(), Store.address(),
        std::vector<std::string>{"127.0.0.1"}, Folder.path()));
  }
  auto AllReady = [&]() {
    return std::all_of(Sidecars.begin(), Sidecars.end(),
                       [](const auto &Each) { return Each->isReady(); });
  };
  if (!eventually(AllReady, milliseconds(20'000))) {
    giveUp("the sidecars are not ready");
  }
  const std::string Address = Sidecars[0]->outbound();
  call_result Plain =
      call(Address, "POST", "/spend/x", "plain", milliseconds(3'000), "body");
  if (Plain.Status != 200) {
    giveUp("an ordinary request is not served");
  }
  for (unsigned I = 0; I < RequestCount; ++I) {
    std::string Id = "sent-" + std::to_string(I);
    auto Connection = connectTo(Address);
    Connection->send(requestWithHiddenOne(Id, "hidden-" + std::to_string(I)));
    auto Answer = Connection->readMessage(steady::now() + milliseconds(4'000));
    Record.add("client: " + Id + " got " +
               (Answer ? Answer->StartLine : "no answer"));
  }
  std::this_thread::sleep_for(milliseconds(500));
  unsigned HiddenCount = 0;
  for (const http_run &Run : List.all()) {
    Record.add(Run.Upstream + ": ran " + Run.Id + ", " + Run.Target +
               ", caller service '" + Run.CallerService + "', body " +
               std::to_string(Run.BodyBytes) + " bytes");
    HiddenCount += Run.Id.starts_with("hidden") ? 1 : 0;
  }
  Record.add(HiddenCount > 0
                 ? "result: UNASKED broken, " + std::to_string(HiddenCount) +
                       " hidden requests ran"
                 : std::string("result: UNASKED held"));
  return HiddenCount > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int ArgCount, char **Arguments) {
  return play(ArgCount > 1 ? Arguments[1] : "record.txt");
}
