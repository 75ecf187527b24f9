#include "node/daemon.h"

#include "framework/heaptrimmer.h"
#include "framework/kjlog.h"
#include "framework/listener.h"
#include "node/admin.h"
#include "node/callerhttp.h"
#include "node/gateway.h"
#include "node/peerstream.h"
#include "node/rpcservice.h"

#include <kj/async-unix.h>

#include <algorithm>
#include <csignal>

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::readClocks;

constexpr milliseconds TickInterval{20};
/// Time to write out the last responses before the process exits.
constexpr milliseconds ResponseFlushTime{100};
constexpr int FailureExitCode = 1;
/// Connections to the port that the platform probes.
constexpr std::size_t MaxReadyConnections = 32;
/// Quarters of the descriptors that callers' connections may take. The rest is
/// for the store, the peers, the backend server and the other ports.
constexpr std::size_t CallerDescriptorQuarters = 3;
/// How often connections are searched for those that hold too much.
constexpr milliseconds HarmCheckInterval{200};

/// The components of a running node, in order of construction.
struct node_parts {
  node_parts(const node_settings &Settings, const deployment &Deployment,
             kj::AsyncIoContext &Io)
      : Node(Settings, Io), Peers(Node),
        Upstream(Node, Peers, Deployment.Dialect),
        Dissemination(Node, Peers, Mailbox, Deployment.makeSource(Settings)),
        Dispatcher(Node, Peers, Upstream), Rounds(Node, Dispatcher),
        Callers(Node, Dispatcher, Rounds, Upstream.Contexts),
        Rpc(kj::heap<rpc_service>(Node, Upstream, Dissemination)),
        Admin(Node, Mailbox,
              [this]() { return formatStatus(Node, Upstream, Dissemination); }),
        Http(
            Node.Timer, Callers.headerTable(),
            [this](kj::AsyncIoStream &Stream) {
              return Callers.serveConnection(Stream);
            },
            httpSettings(Callers)),
        Ready(
            Node.Timer,
            [this, &Deployment](const http::request &Request) {
              return answerReady(Deployment, Request);
            },
            Node.Memory) {
    http::server_limits ReadyLimits;
    ReadyLimits.MaxConnections = MaxReadyConnections;
    Ready.setLimits(ReadyLimits);
    if (Deployment.Dialect != nullptr) {
      Gateway = kj::heap<gateway>(Node, Dispatcher, Upstream.Contexts,
                                  *Deployment.Dialect);
    }
  }

  kj::Promise<http::response> answerReady(const deployment &Deployment,
                                          const http::request &Request) {
    constexpr std::uint16_t Ok = 200;
    constexpr std::uint16_t NotFound = 404;
    constexpr std::uint16_t ServiceUnavailable = 503;
    http::response Response;
    bool Accepting = Node.Condition.Ready && !Node.Condition.Stopping;
    Response.Status = Accepting ? Ok : ServiceUnavailable;
    if (http::pathOf(Request.Target) != Deployment.ReadyPath) {
      Response.Status = NotFound;
    }
    return kj::mv(Response);
  }

  static kj::HttpServerSettings httpSettings(caller_service &Callers) {
    kj::HttpServerSettings Settings;
    Settings.errorHandler = Callers;
    // Callers keep idle connections open for reuse.
    Settings.pipelineTimeout = 60 * kj::SECONDS;
    // The rest of a refused upload is read, so that the client receives the
    // refusal and not a connection reset.
    Settings.canceledUploadGraceBytes = std::size_t{16} << 20U;
    Settings.canceledUploadGracePeriod = 5 * kj::SECONDS;
    return Settings;
  }

  node_runtime Node;
  mailbox Mailbox;
  peer_pool Peers;
  upstream_service Upstream;
  disseminator Dissemination;
  dispatcher Dispatcher;
  round_service Rounds;
  caller_service Callers;
  capnp::TwoPartyServer Rpc;
  admin_server Admin;
  kj::HttpServer Http;
  http::server Ready;
  kj::Own<gateway> Gateway;
  framework::heap_trimmer Trimmer;
  /// Accepts connections for requests of routes. Replacing the promise closes
  /// the port.
  kj::Promise<void> RouteListening = kj::READY_NOW;
};

/// Applies the published limits on callers' connections and requests of routes.
void applyCallerLimits(node_parts &Parts) {
  const configuration::caller_limits &Published =
      Parts.Node.Store.Catalog.Routing.Limits;
  http::server_limits Limits;
  Limits.Parser = {Published.MaxHeaderBytes, Published.MaxBodyBytes};
  Limits.HeaderTimeout = Published.HeaderTimeout;
  Limits.IdleTimeout = Published.IdleTimeout;
  Limits.MaxConnections =
      Parts.Node.Settings.MaxDescriptors / 4 * CallerDescriptorQuarters;
  if (Parts.Gateway.get() != nullptr) {
    Parts.Gateway->Server.setLimits(Limits);
  }
}

/// Called after a pause of the process.
void handlePause(node_parts &Parts, milliseconds PauseLength) {
  Parts.Node.Metrics.Pauses->Increment();
  logEvent(log_level::Warning, "process_paused",
           {{"pause_ms", PauseLength.count()}});
  Parts.Dissemination.resumeAfterPause(readClocks());
}

void updateGauges(node_parts &Parts, framework::monotonic_time Now) {
  node_runtime &Node = Parts.Node;
  Node.Metrics.InFlight->Set(Node.Limit.InFlight);
  Node.Metrics.Limit->Set(Node.Limit.Limit);
  Node.Metrics.Queued->Set(static_cast<double>(Node.Queue.Size));
  Node.Metrics.Suspects->Set(
      static_cast<double>(Node.Suspects.Suspects.size()));
  Node.Metrics.IdsRun->Set(static_cast<double>(Node.Home.Runs));
  Node.Metrics.IdsFenced->Set(static_cast<double>(Node.Home.Fences));
  Node.Metrics.RoutesVersion->Set(
      static_cast<double>(Node.Store.Catalog.Routing.Version));
  Node.Metrics.UpdateAge->Set(
      framework::inSeconds(Parts.Dissemination.updateAge(Now)));
  const framework::memory_account &Memory = Node.Memory;
  for (std::size_t I = 0; I < Memory.UsedBytes.size(); ++I) {
    Node.Metrics.Memory.Used[I]->Set(static_cast<double>(Memory.UsedBytes[I]));
    Node.Metrics.Memory.Denials[I]->Set(static_cast<double>(Memory.Denials[I]));
  }
  Node.Metrics.Memory.Free->Set(
      static_cast<double>(framework::freeBytes(Memory)));
  if (Parts.Gateway.get() != nullptr) {
    Node.Metrics.Connections->Set(
        static_cast<double>(Parts.Gateway->Server.openConnections()));
  }
}

/// Closes callers' connections that hold too much.
task<void> harmCheckLoop(node_parts &Parts) {
  while (Parts.Gateway.get() != nullptr) {
    co_await Parts.Node.Timer.afterDelay(toDuration(HarmCheckInterval));
    Parts.Gateway->Server.closeHarmfulConnections();
    Parts.Trimmer.trim(framework::usedBytes(Parts.Node.Memory));
  }
  co_await kj::Promise<void>(kj::NEVER_DONE);
}

void tick(node_parts &Parts) {
  framework::time_now Now = readClocks();
  detectPause(Parts.Node);
  Parts.Mailbox.drain();
  Parts.Upstream.tick(Now.Monotonic);
  Parts.Dissemination.tick(Now);
  updateGauges(Parts, Now.Monotonic);
}

task<void> tickLoop(node_parts &Parts) {
  while (true) {
    co_await Parts.Node.Timer.afterDelay(toDuration(TickInterval));
    try {
      tick(Parts);
    } catch (const std::exception &Exception) {
      logEvent(log_level::Error, "tick_failed", {{"error", Exception.what()}});
    }
  }
}

task<kj::Own<kj::ConnectionReceiver>> openPort(node_runtime &Node,
                                               std::string Address) {
  kj::Own<kj::NetworkAddress> Parsed =
      co_await Node.Network.parseAddress(Address.c_str());
  co_return framework::retryFailedAccepts(Parsed->listen(), Node.Timer);
}

/// Opens the configured ports and serves them until one fails.
task<void> listen(node_parts &Parts) {
  node_runtime &Node = Parts.Node;
  const node_settings &Settings = Node.Settings;
  kj::Own<kj::ConnectionReceiver> RpcPort =
      wrapPeerListener(co_await openPort(Node, Settings.RpcListenAddress));
  kj::Own<kj::ConnectionReceiver> HttpPort;
  kj::Own<kj::ConnectionReceiver> ReadyPort;
  kj::Promise<void> All = Parts.Rpc.listen(*RpcPort);
  if (!Settings.HttpAddress.empty()) {
    HttpPort = co_await openPort(Node, Settings.HttpAddress);
    // The promise of listenHttp resolves when the server drains, which must not
    // end the other ports.
    All = All.exclusiveJoin(Parts.Http.listenHttp(*HttpPort).then(
        []() -> kj::Promise<void> { return kj::NEVER_DONE; }));
  }
  if (Parts.Gateway.get() != nullptr) {
    kj::Own<kj::ConnectionReceiver> RoutePort =
        co_await openPort(Node, Settings.RouteAddress);
    kj::Promise<void> Accepting = Parts.Gateway->Server.listen(*RoutePort);
    Parts.RouteListening = Accepting.attach(kj::mv(RoutePort));
  }
  if (!Settings.ReadyAddress.empty()) {
    ReadyPort = co_await openPort(Node, Settings.ReadyAddress);
    All = All.exclusiveJoin(Parts.Ready.listen(*ReadyPort));
  }
  logEvent(log_level::Info, "listening",
           {{"http", Settings.HttpAddress},
            {"routes", Settings.RouteAddress},
            {"rpc", Settings.RpcAddress}});
  co_await kj::mv(All);
}

task<void> awaitSignal(kj::UnixEventPort &Port) {
  kj::Promise<siginfo_t> Either =
      Port.onSignal(SIGTERM).exclusiveJoin(Port.onSignal(SIGINT));
  (void)co_await kj::mv(Either);
}

/// Time for which a node with routes still accepts requests after the signal.
/// The platform probes readiness each second and stops sending requests after
/// two failed probes.
constexpr milliseconds RouteLameDuck{2'300};
/// Time before the end of RouteLameDuck at which other nodes are told to use
/// other upstreams.
constexpr milliseconds DrainNoticeLead{400};
/// Time after RouteLameDuck for which requests that were already in transit are
/// served. Later ones are refused, since they could outlast the grace period.
constexpr milliseconds TransitTime{500};
/// Time before the end of the grace period at which requests without an answer
/// are ended, so that their callers can take that answer.
constexpr milliseconds CloseMargin{900};
/// Time before the end of the grace period up to which answers are written. The
/// process needs it to exit.
constexpr milliseconds ExitMargin{300};

task<void> sleepUntil(node_runtime &Node, framework::monotonic_time Time) {
  co_await Node.Timer.afterDelay(toDuration(Time - readClocks().Monotonic));
}

/// Refuses new requests for this node's backend server and notifies the other
/// nodes of the service.
void startDraining(node_parts &Parts) {
  Parts.Node.Condition.Draining = true;
  Parts.Upstream.Notifier.excludeSelf();
  Parts.Node.Tasks.add(Parts.Upstream.Notifier.announceDrain());
}

/// Waits until all connections of callers are closed, until \p End at most.
task<void> awaitConnectionsClosed(node_parts &Parts,
                                  framework::monotonic_time End) {
  while (readClocks().Monotonic < End &&
         Parts.Gateway->Server.openConnections() > 0) {
    co_await Parts.Node.Timer.afterDelay(toDuration(TickInterval));
  }
}

/// Serves the requests of routes that still arrive, then closes the callers'
/// connections once all requests that were read are answered. This node's
/// backend server may outlive the node, so it receives requests for as long as
/// possible.
task<void> drainRoutes(node_parts &Parts, framework::monotonic_time End) {
  node_runtime &Node = Parts.Node;
  framework::monotonic_time CloseTime =
      std::min(readClocks().Monotonic + RouteLameDuck, End - CloseMargin);
  co_await sleepUntil(Node, CloseTime - DrainNoticeLead);
  startDraining(Parts);
  co_await sleepUntil(Node, CloseTime);
  // Requests sent after this are not read, so their callers may retry them.
  Parts.RouteListening = kj::READY_NOW;
  Parts.Gateway->Server.drainConnections();
  co_await awaitConnectionsClosed(Parts,
                                  std::min(CloseTime + TransitTime, End));
  Node.Condition.RefusesCallers = true;
  Parts.Gateway->Server.closeUnusedConnections();
  Parts.Admin.stop();
  co_await awaitConnectionsClosed(Parts, End);
  Parts.Gateway->endUnfinished();
  // A call that has just started to connect would delay the exit.
  Parts.Dissemination.stopReading();
  co_await awaitConnectionsClosed(Parts, End + CloseMargin - ExitMargin);
}

/// Stops accepting requests and waits for those in flight.
task<void> drain(node_parts &Parts) {
  node_runtime &Node = Parts.Node;
  Node.Condition.Stopping = true;
  logEvent(log_level::Info, "draining",
           {{"unfinished",
             static_cast<std::uint64_t>(Parts.Upstream.unfinishedRequests())}});
  framework::monotonic_time End =
      readClocks().Monotonic + Node.Settings.Grace - CloseMargin;
  Node.StopTime = End;
  if (Parts.Gateway.get() != nullptr) {
    co_await drainRoutes(Parts, End);
  } else {
    startDraining(Parts);
  }
  kj::Promise<void> HttpDrain = Parts.Http.drain();
  bool HttpDrained = false;
  Node.Tasks.add(HttpDrain.then([&HttpDrained]() { HttpDrained = true; }));
  while (readClocks().Monotonic < End &&
         (Parts.Upstream.unfinishedRequests() > 0 || !HttpDrained)) {
    co_await Node.Timer.afterDelay(toDuration(TickInterval));
  }
  co_await Node.Timer.afterDelay(toDuration(ResponseFlushTime));
  logEvent(log_level::Info, "stopped",
           {{"unfinished",
             static_cast<std::uint64_t>(Parts.Upstream.unfinishedRequests())}});
}

/// Reads the settings again each second and on SIGHUP. Only the seeds may
/// change while the node runs.
task<void> reloadLoop(node_parts &Parts, const deployment &Deployment,
                      kj::UnixEventPort &Port) {
  constexpr milliseconds ReloadInterval{1'000};
  node_runtime &Node = Parts.Node;
  while (true) {
    bool Signalled = false;
    kj::Promise<void> Hangup = Port.onSignal(SIGHUP).then(
        [&Signalled](siginfo_t &&) { Signalled = true; });
    co_await Hangup.exclusiveJoin(
        Node.Timer.afterDelay(toDuration(ReloadInterval)));
    node_settings Changed = Node.Settings;
    if (!Deployment.Reload || !Deployment.Reload(Changed)) {
      continue;
    }
    bool Differs = Changed.Seeds != Node.Settings.Seeds;
    Node.Settings.Seeds = Changed.Seeds;
    if (Signalled || Differs) {
      logEvent(log_level::Info, "settings_reloaded",
               {{"signal", Signalled ? "yes" : "no"},
                {"seeds", static_cast<std::uint64_t>(Changed.Seeds.size())}});
    }
  }
}

} // namespace

platform_source deployment::makeSource(const node_settings &Settings) const {
  if (Settings.PlatformAddress.empty()) {
    return {};
  }
  return Source ? Source(Settings)
                : watchSource(Settings.PlatformAddress, Settings.SourceIp);
}

int runNode(const node_settings &Settings, const deployment &Deployment) {
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  kj::UnixEventPort::captureSignal(SIGHUP);
  framework::kj_log_router KjLog;
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  try {
    node_parts Parts(Settings, Deployment, Io);
    Parts.Node.OnPause = [&Parts](milliseconds PauseLength) {
      handlePause(Parts, PauseLength);
    };
    Parts.Node.OnConfigurationChange = [&Parts]() { applyCallerLimits(Parts); };
    applyCallerLimits(Parts);
    kj::Promise<void> Ticks = tickLoop(Parts);
    kj::Promise<void> Listening = listen(Parts);
    kj::Promise<void> Reloads = reloadLoop(Parts, Deployment, Io.unixEventPort);
    kj::Promise<void> Signal = awaitSignal(Io.unixEventPort);
    // Ports and ticks keep running until the node has drained.
    kj::Promise<void> Serving = Listening.exclusiveJoin(kj::mv(Ticks))
                                    .exclusiveJoin(kj::mv(Reloads))
                                    .exclusiveJoin(harmCheckLoop(Parts));
    kj::Promise<void> Draining =
        Signal.then([&Parts]() -> kj::Promise<void> { return drain(Parts); });
    Draining.exclusiveJoin(kj::mv(Serving)).wait(Io.waitScope);
  } catch (const kj::Exception &Exception) {
    logEvent(log_level::Error, "node_failed",
             {{"error", Exception.getDescription().cStr()}});
    return FailureExitCode;
  } catch (const std::exception &Exception) {
    logEvent(log_level::Error, "node_failed", {{"error", Exception.what()}});
    return FailureExitCode;
  }
  return 0;
}

} // namespace figplank::node
