#include "standins/backendserver.h"

#include "framework/httpheaders.h"

#include "framework/peerstate.h"

#include <kj/debug.h>

namespace figplank::standins {
namespace {

using framework::headerText;

/// Calls a function at the end of a scope.
template <typename Function> class scope_guard {
public:
  explicit scope_guard(Function OnExit) : OnExit(std::move(OnExit)) {}
  ~scope_guard() { OnExit(); }
  KJ_DISALLOW_COPY(scope_guard);

private:
  Function OnExit;
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

backend_server::backend_server(loop_thread &Loop,
                               backend_settings InitialSettings,
                               execution_log &Log)
    : Loop(Loop), Settings(std::move(InitialSettings)), Log(Log),
      Slots(Settings.Slots) {
  kj::HttpHeaderTable::Builder Builder;
  ContextId = Builder.add("Figplank-Context");
  KeyId = Builder.add("Idempotency-Key");
  ExecutedId = Builder.add("Figplank-Executed");
  DrainingId = Builder.add("Figplank-Draining");
  HeaderTable = Builder.build();
  Loop.await([this]() -> kj::Promise<void> {
    kj::Network &Network = this->Loop.io().provider->getNetwork();
    return Network.parseAddress(Settings.NodeAddress.c_str())
        .then([this](kj::Own<kj::NetworkAddress> Address) {
          NodeAddress = kj::mv(Address);
          NodeClient = kj::newHttpClient(this->Loop.io().provider->getTimer(),
                                         *HeaderTable, *NodeAddress);
        });
  });
  restart();
}

backend_server::~backend_server() noexcept(false) {
  Loop.run([this]() {
    Restarting = nullptr;
    stopListening();
    NodeClient = nullptr;
    NodeAddress = nullptr;
  });
}

void backend_server::restart() {
  Loop.await([this]() -> kj::Promise<void> {
    kj::Network &Network = Loop.io().provider->getNetwork();
    return Network.parseAddress(Settings.Address.c_str())
        .then([this](kj::Own<kj::NetworkAddress> Address) {
          Listener = Address->listen();
          startListening();
        });
  });
}

void backend_server::startListening() {
  kj::HttpServerSettings HttpSettings;
  HttpSettings.pipelineTimeout = 30 * kj::SECONDS;
  Server = kj::heap<kj::HttpServer>(
      Loop.io().provider->getTimer(), *HeaderTable,
      [this](kj::AsyncIoStream &Stream) -> kj::Own<kj::HttpService> {
        return kj::heap<framework::cancel_on_close_service>(
            *this, Stream, Loop.io().provider->getTimer());
      },
      HttpSettings);
  Listening =
      Server->listenHttp(*Listener).eagerlyEvaluate([](kj::Exception &&) {});
}

void backend_server::stopListening() {
  Listening = nullptr;
  Server = nullptr;
  Listener = nullptr;
  Slots.rejectWaiters();
}

void backend_server::setFaults(const backend_faults &NewFaults) {
  Loop.run([this, &NewFaults]() { Faults = NewFaults; });
}

void backend_server::crash() {
  Loop.run([this]() {
    ++Crashes;
    stopListening();
  });
}

kj::Promise<void> backend_server::request(kj::HttpMethod, kj::StringPtr Url,
                                          const kj::HttpHeaders &RequestHeaders,
                                          kj::AsyncInputStream &Body,
                                          Response &Reply) {
  received_request Request;
  Request.Path = Url.cStr();
  Request.Context = headerText(RequestHeaders, ContextId);
  Request.Key = headerText(RequestHeaders, KeyId);
  return serve(std::move(Request), Body, Reply);
}

task<bool> backend_server::acquireSlot() {
  if (!Slots.hasFreeSlot() && Slots.waiterCount() >= Settings.MaxQueued) {
    co_return false;
  }
  co_await Slots.acquire();
  co_return true;
}

std::chrono::microseconds
backend_server::serviceTime(const path_behaviour &Behaviour) {
  double Factor = Faults.SlowFactor;
  if (ServedRequests++ < Settings.ColdRequests) {
    Factor *= Settings.ColdFactor;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(Behaviour.ServiceTime.count()) * Factor));
}

task<void> backend_server::serve(received_request Request,
                                 kj::AsyncInputStream &Body, Response &Reply) {
  kj::String BodyText = co_await Body.readAllText();
  std::string Content(BodyText.cStr(), BodyText.size());
  bool Admitted = false;
  if (!Faults.ShedAll) {
    Admitted = co_await acquireSlot();
  }
  if (!Admitted) {
    co_await sendResponse(Reply, 503, false, "shed");
    co_return;
  }
  scope_guard SlotGuard([this]() { Slots.release(); });
  std::size_t Index = Log.add({Settings.Name, Request.Path, Request.Key,
                               Content, std::chrono::steady_clock::now()});
  bool Completed = false;
  scope_guard RecordGuard([&]() {
    Log.finish(Index, Completed ? execution_state::Completed
                                : execution_state::Cancelled);
  });
  const path_behaviour &Behaviour = Settings.Paths[Request.Path];
  if (!Faults.CrashMarker.empty() &&
      Content.find(Faults.CrashMarker) != std::string::npos) {
    auto RestartAfter = Faults.RestartAfter;
    ++Crashes;
    // Closing the server destroys this coroutine, so the event loop does it
    // later.
    Restarting = kj::evalLater([this]() { stopListening(); })
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
                       Listener = Address->listen();
                       startListening();
                     })
                     .eagerlyEvaluate(nullptr);
    co_await kj::Promise<void>(kj::NEVER_DONE);
  }
  if (Faults.FailFast) {
    Completed = true;
    co_await sendResponse(Reply, 500, true, "failed");
    co_return;
  }
  auto Delay = serviceTime(Behaviour);
  // A KJ timer waits a millisecond even for a delay of zero.
  if (Delay.count() > 0) {
    co_await Loop.io().provider->getTimer().afterDelay(Delay.count() *
                                                       kj::MICROSECONDS);
  }
  bool ChildrenSucceeded = co_await callChildren(Behaviour, Request.Context);
  if (Faults.AnswersWithoutEnd) {
    const std::string Block(std::size_t{64} << 10U, 'b');
    auto Stream = Reply.send(200, "Answer", kj::HttpHeaders(*HeaderTable));
    while (true) {
      co_await Stream->write(Block.data(), Block.size());
    }
  }
  Completed = ChildrenSucceeded;
  if (!ChildrenSucceeded) {
    co_await sendResponse(Reply, 502, true, "a call below failed");
    co_return;
  }
  co_await sendResponse(Reply, Faults.Status, true, "answer:" + Content);
}

task<void> backend_server::sendResponse(Response &Reply, unsigned Status,
                                        bool Executed, std::string Body) {
  kj::HttpHeaders Headers(*HeaderTable);
  if (!Executed) {
    Headers.set(ExecutedId, "no"_kj);
  }
  if (Faults.Draining) {
    Headers.set(DrainingId, "1"_kj);
  }
  auto Stream =
      Reply.send(Status, "Answer", Headers, std::uint64_t{Body.size()});
  std::size_t Size =
      Faults.TruncateAnswers && Status == 200 ? Body.size() / 2 : Body.size();
  co_await Stream->write(Body.data(), Size);
}

task<bool> backend_server::callChildren(const path_behaviour &Behaviour,
                                        std::string Context) {
  bool AllSucceeded = true;
  for (const std::vector<std::string> &Group : Behaviour.Children) {
    auto Calls = kj::heapArrayBuilder<kj::Promise<bool>>(Group.size());
    for (const std::string &Template : Group) {
      Calls.add(callChild(Template, Context));
    }
    kj::Array<bool> Results = co_await kj::joinPromises(Calls.finish());
    for (bool Succeeded : Results) {
      AllSucceeded &= Succeeded;
    }
    if (!AllSucceeded) {
      co_return false;
    }
  }
  co_return true;
}

task<bool> backend_server::callChild(std::string Template,
                                     std::string Context) {
  bool Succeeded = false;
  try {
    kj::HttpHeaders Headers(*HeaderTable);
    Headers.set(kj::HttpHeaderId::HOST,
                kj::heapString(Settings.NodeAddress.c_str()));
    Headers.set(ContextId, kj::heapString(Context.c_str()));
    std::string Path = "/work/" + Template;
    const std::string Body = "child";
    auto Request = NodeClient->request(kj::HttpMethod::POST, Path.c_str(),
                                       Headers, std::uint64_t{Body.size()});
    co_await Request.body->write(Body.data(), Body.size());
    Request.body = nullptr;
    kj::HttpClient::Response Response = co_await kj::mv(Request.response);
    Succeeded = Response.statusCode == 200;
    co_await Response.body->readAllText().ignoreResult();
  } catch (const kj::Exception &) {
    Succeeded = false;
  }
  co_return Succeeded;
}

} // namespace figplank::standins
