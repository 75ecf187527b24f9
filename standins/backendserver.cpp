#include "standins/backendserver.h"

#include "framework/httpheaders.h"

#include "framework/peerstate.h"

#include <kj/debug.h>

namespace figplank::standins {
namespace {

using framework::headerText;

/// Gives a slot back at the end of a scope.
template <typename Function> class deferred {
public:
  explicit deferred(Function Work) : Work(std::move(Work)) {}
  ~deferred() { Work(); }
  KJ_DISALLOW_COPY(deferred);

private:
  Function Work;
};

} // namespace

std::size_t execution_log::add(execution_record Record) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Records.push_back(std::move(Record));
  return Records.size() - 1;
}

void execution_log::finish(std::size_t Index, execution_state State) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Index < Records.size()) {
    Records[Index].State = State;
  }
}

std::vector<execution_record> execution_log::records() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Records;
}

void execution_log::clear() {
  std::lock_guard<std::mutex> Lock(Mutex);
  Records.clear();
}

backend_server::backend_server(loop_thread &Loop, backend_settings Given,
                               execution_log &Log)
    : Loop(Loop), Settings(std::move(Given)), Log(Log), Slots(Settings.Slots) {
  kj::HttpHeaderTable::Builder Builder;
  ContextId = Builder.add("Figplank-Context");
  KeyId = Builder.add("Idempotency-Key");
  ExecutedId = Builder.add("Figplank-Executed");
  DrainingId = Builder.add("Figplank-Draining");
  Table = Builder.build();
  Loop.await([this]() -> kj::Promise<void> {
    kj::Network &Network = this->Loop.io().provider->getNetwork();
    return Network.parseAddress(Settings.NodeAddress.c_str())
        .then([this](kj::Own<kj::NetworkAddress> Address) {
          NodeAddress = kj::mv(Address);
          NodeClient = kj::newHttpClient(this->Loop.io().provider->getTimer(),
                                         *Table, *NodeAddress);
        });
  });
  restart();
}

backend_server::~backend_server() noexcept(false) {
  Loop.run([this]() {
    Restarting = nullptr;
    close();
    NodeClient = nullptr;
    NodeAddress = nullptr;
  });
}

void backend_server::restart() {
  Loop.await([this]() -> kj::Promise<void> {
    kj::Network &Network = Loop.io().provider->getNetwork();
    return Network.parseAddress(Settings.Address.c_str())
        .then([this](kj::Own<kj::NetworkAddress> Address) {
          Port = Address->listen();
          open();
        });
  });
}

void backend_server::open() {
  kj::HttpServerSettings HttpSettings;
  HttpSettings.pipelineTimeout = 30 * kj::SECONDS;
  Server = kj::heap<kj::HttpServer>(
      Loop.io().provider->getTimer(), *Table,
      [this](kj::AsyncIoStream &Stream) -> kj::Own<kj::HttpService> {
        return kj::heap<framework::connection_service>(
            *this, Stream, Loop.io().provider->getTimer());
      },
      HttpSettings);
  Listening =
      Server->listenHttp(*Port).eagerlyEvaluate([](kj::Exception &&) {});
}

void backend_server::close() {
  Listening = nullptr;
  Server = nullptr;
  Port = nullptr;
  Slots.dropWaiting();
}

void backend_server::setFaults(const backend_faults &Wanted) {
  Loop.run([this, &Wanted]() { Faults = Wanted; });
}

void backend_server::crash() {
  Loop.run([this]() {
    ++Crashes;
    close();
  });
}

kj::Promise<void> backend_server::request(kj::HttpMethod, kj::StringPtr Url,
                                          const kj::HttpHeaders &Received,
                                          kj::AsyncInputStream &Body,
                                          Response &Reply) {
  received_call Call;
  Call.Path = Url.cStr();
  Call.Context = headerText(Received, ContextId);
  Call.Key = headerText(Received, KeyId);
  return serve(std::move(Call), Body, Reply);
}

task<bool> backend_server::acquireSlot() {
  if (!Slots.hasFreeSlot() && Slots.waiting() >= Settings.MaxWaiting) {
    co_return false;
  }
  co_await Slots.acquire();
  co_return true;
}

std::chrono::microseconds
backend_server::serviceTime(const path_behaviour &Behaviour) {
  double Factor = Faults.SlowFactor;
  if (Served++ < Settings.ColdRequests) {
    Factor *= Settings.ColdFactor;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(Behaviour.ServiceTime.count()) * Factor));
}

task<void> backend_server::serve(received_call Call, kj::AsyncInputStream &Body,
                                 Response &Reply) {
  kj::String Text = co_await Body.readAllText();
  std::string Content(Text.cStr(), Text.size());
  bool Admitted = false;
  if (!Faults.ShedAll) {
    Admitted = co_await acquireSlot();
  }
  if (!Admitted) {
    co_await answer(Reply, 503, false, "shed");
    co_return;
  }
  deferred Slot([this]() { Slots.release(); });
  std::size_t Index = Log.add({Settings.Name, Call.Path, Call.Key, Content,
                               std::chrono::steady_clock::now()});
  bool Finished = false;
  deferred Record([&]() {
    Log.finish(Index, Finished ? execution_state::Completed
                               : execution_state::Cancelled);
  });
  const path_behaviour &Behaviour = Settings.Paths[Call.Path];
  if (!Faults.CrashMarker.empty() &&
      Content.find(Faults.CrashMarker) != std::string::npos) {
    auto RestartAfter = Faults.RestartAfter;
    ++Crashes;
    // The server is taken down from outside this request.
    Restarting = kj::evalLater([this]() { close(); })
                     .then([this, RestartAfter]() -> kj::Promise<void> {
                       if (RestartAfter.count() == 0) {
                         return kj::NEVER_DONE;
                       }
                       return Loop.io().provider->getTimer().afterDelay(
                           RestartAfter.count() * kj::MILLISECONDS);
                     })
                     .then([this]() {
                       return Loop.io().provider->getNetwork().parseAddress(
                           Settings.Address.c_str());
                     })
                     .then([this](kj::Own<kj::NetworkAddress> Address) {
                       Port = Address->listen();
                       open();
                     })
                     .eagerlyEvaluate(nullptr);
    co_await kj::Promise<void>(kj::NEVER_DONE);
  }
  if (Faults.FailFast) {
    Finished = true;
    co_await answer(Reply, 500, true, "failed");
    co_return;
  }
  auto Time = serviceTime(Behaviour);
  // A timer takes a millisecond even for nothing.
  if (Time.count() > 0) {
    co_await Loop.io().provider->getTimer().afterDelay(Time.count() *
                                                       kj::MICROSECONDS);
  }
  bool ChildrenDone = co_await callChildren(Behaviour, Call.Context);
  Finished = ChildrenDone;
  if (!ChildrenDone) {
    co_await answer(Reply, 502, true, "a call below failed");
    co_return;
  }
  co_await answer(Reply, 200, true, "answer:" + Content);
}

task<void> backend_server::answer(Response &Reply, unsigned Status,
                                  bool Executed, std::string Body) {
  kj::HttpHeaders Sent(*Table);
  if (!Executed) {
    Sent.set(ExecutedId, "no"_kj);
  }
  if (Faults.Draining) {
    Sent.set(DrainingId, "1"_kj);
  }
  auto Stream = Reply.send(Status, "Answer", Sent, std::uint64_t{Body.size()});
  std::size_t Size =
      Faults.TruncateAnswers && Status == 200 ? Body.size() / 2 : Body.size();
  co_await Stream->write(Body.data(), Size);
}

task<bool> backend_server::callChildren(const path_behaviour &Behaviour,
                                        std::string Context) {
  bool AllDone = true;
  for (const std::vector<std::string> &Group : Behaviour.Children) {
    auto Calls = kj::heapArrayBuilder<kj::Promise<bool>>(Group.size());
    for (const std::string &Template : Group) {
      Calls.add(callChild(Template, Context));
    }
    kj::Array<bool> Results = co_await kj::joinPromises(Calls.finish());
    for (bool Done : Results) {
      AllDone &= Done;
    }
    if (!AllDone) {
      co_return false;
    }
  }
  co_return true;
}

task<bool> backend_server::callChild(std::string Template,
                                     std::string Context) {
  bool Done = false;
  try {
    kj::HttpHeaders Sent(*Table);
    Sent.set(kj::HttpHeaderId::HOST,
             kj::heapString(Settings.NodeAddress.c_str()));
    Sent.set(ContextId, kj::heapString(Context.c_str()));
    std::string Path = "/work/" + Template;
    const std::string Body = "child";
    auto Request = NodeClient->request(kj::HttpMethod::POST, Path.c_str(), Sent,
                                       std::uint64_t{Body.size()});
    co_await Request.body->write(Body.data(), Body.size());
    Request.body = nullptr;
    kj::HttpClient::Response Response = co_await kj::mv(Request.response);
    Done = Response.statusCode == 200;
    co_await Response.body->readAllText().ignoreResult();
  } catch (const kj::Exception &) {
    Done = false;
  }
  co_return Done;
}

} // namespace figplank::standins
