#include "standins/fleet.h"

#include <httplib.h>

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace figplank::standins {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollInterval{50};

std::unique_ptr<httplib::Client> makeAdminClient(const fleet_node &Node) {
  auto Client =
      std::make_unique<httplib::Client>("http://" + Node.AdminAddress);
  Client->set_connection_timeout(1);
  Client->set_read_timeout(2);
  return Client;
}

json makeRosterEntry(const fleet_node &Node) {
  return {{"name", Node.Name},
          {"zone", "z" + std::to_string(Node.Zone)},
          {"address", Node.Rpc}};
}

std::string formatTemplate(const template_spec &Template) {
  json Value{
      {"service", Template.Service},
      {"path", Template.Path},
      {"rank", {{"default", Template.Rank}, {"least", 0}, {"most", 7}}},
      {"deadline_ms",
       {{"default", Template.DeadlineMs}, {"least", 1}, {"most", 60'000}}},
      {"idempotent", Template.Idempotent},
      {"extra_tries", Template.ExtraTries},
      {"minimum_share", Template.MinimumShare}};
  return Value.dump();
}

} // namespace

fleet_spec linearChain(unsigned Length, unsigned Upstreams) {
  fleet_spec Spec;
  Spec.Organisations = {"alpha"};
  for (unsigned I = 1; I <= Length; ++I) {
    service_spec Service;
    Service.Name = "s" + std::to_string(I);
    Service.Upstreams = Upstreams;
    Service.Slots = 30;
    Service.Paths["/run"].ServiceTime = std::chrono::microseconds(500);
    if (I < Length) {
      Service.Paths["/run"].Children = {{"step" + std::to_string(I + 1)}};
    }
    Spec.Services.push_back(Service);
    template_spec Template;
    Template.Name = "step" + std::to_string(I);
    Template.Service = Service.Name;
    Template.Path = "/run";
    Spec.Templates.push_back(Template);
  }
  return Spec;
}

unsigned freePort() {
  // These ports are below the ephemeral range, so no outgoing connection can
  // take the port before the caller binds it.
  constexpr unsigned FirstPort = 10'000;
  constexpr unsigned PortCount = 20'000;
  static std::atomic<unsigned> NextOffset{static_cast<unsigned>(getpid()) *
                                          131U};
  while (true) {
    unsigned Port = FirstPort + NextOffset++ % PortCount;
    int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool Bound = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof Address) == 0;
    ::close(Socket);
    if (Bound) {
      return Port;
    }
  }
}

std::string freeAddress() { return "127.0.0.1:" + std::to_string(freePort()); }

fleet::fleet(fleet_spec InitialSpec)
    : Spec(std::move(InitialSpec)), PlatformAddress(freeAddress()) {
  Platform = std::make_unique<platform>(PlatformAddress);
  makeNodes();
  publishAll();
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    startNode(I);
  }
}

fleet::~fleet() {
  for (fleet_node &Node : Nodes) {
    if (Node.Process > 0) {
      kill(Node.Process, SIGCONT);
      kill(Node.Process, SIGKILL);
      waitpid(Node.Process, nullptr, 0);
    }
  }
  for (fleet_node &Node : Nodes) {
    Node.Relay.reset();
    Node.Backend.reset();
  }
}

void fleet::makeNodes() {
  for (const service_spec &Service : Spec.Services) {
    for (unsigned I = 0; I < Service.Upstreams; ++I) {
      fleet_node Node;
      Node.Name = Service.Name + "-" + std::to_string(I + 1);
      Node.Service = Service.Name;
      Node.Zone = I % Spec.Zones + 1;
      Node.Http = freeAddress();
      Node.RpcListenAddress = freeAddress();
      Node.Rpc = Spec.Relays ? freeAddress() : Node.RpcListenAddress;
      Node.AdminAddress = freeAddress();
      Node.BackendAddress = freeAddress();
      backend_settings Settings{Node.Name,          Node.BackendAddress,
                                Node.Http,          Service.Slots,
                                Service.MaxQueued,  Service.Paths,
                                Service.ColdFactor, Service.ColdRequests};
      Node.Backend =
          std::make_unique<backend_server>(Loop, std::move(Settings), Log);
      if (Spec.Relays) {
        Node.Relay =
            std::make_unique<relay>(Loop, Node.Rpc, Node.RpcListenAddress);
      }
      Nodes.push_back(std::move(Node));
    }
  }
}

void fleet::publishService(const std::string &Name) {
  json Roster = json::array();
  for (std::size_t Index : nodesOf(Name)) {
    Roster.push_back(makeRosterEntry(Nodes[Index]));
  }
  for (const service_spec &Service : Spec.Services) {
    if (Service.Name == Name) {
      Platform->publish(
          "services/" + Name,
          json{{"slots", Service.Slots}, {"roster", Roster}}.dump());
    }
  }
}

void fleet::publishInstance(std::size_t Index, const std::string &State) {
  const fleet_node &Node = Nodes[Index];
  json Value{{"zone", "z" + std::to_string(Node.Zone)},
             {"address", Node.Rpc},
             {"state", State}};
  Platform->publish("instances/" + Node.Service + "/" + Node.Name,
                    Value.dump());
}

void fleet::publishAll() {
  for (const service_spec &Service : Spec.Services) {
    publishService(Service.Name);
  }
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    publishInstance(I, "live");
  }
  for (const template_spec &Template : Spec.Templates) {
    Platform->publish("templates/" + Template.Name, formatTemplate(Template));
    for (const std::string &Organisation : Spec.Organisations) {
      Platform->publish("parameters/" + Organisation + "/" + Template.Name,
                        "{}");
    }
  }
}

std::string fleet::zoneAddressPrefix(unsigned Zone) const {
  return "127.0." + std::to_string(Zone) + ".";
}

void fleet::startNode(std::size_t Index) {
  fleet_node &Node = Nodes[Index];
  std::vector<std::string> Arguments{
      FIGPLANK_NODE_BINARY,
      "--name=" + Node.Name,
      "--service=" + Node.Service,
      "--zone=z" + std::to_string(Node.Zone),
      "--http-address=" + Node.Http,
      "--rpc-address=" + Node.Rpc,
      "--rpc-listen-address=" + Node.RpcListenAddress,
      "--admin-address=" + Node.AdminAddress,
      "--backend-address=" + Node.BackendAddress,
      "--platform-address=" + PlatformAddress,
      "--source-ip=" + zoneAddressPrefix(Node.Zone) + "1",
      "--log-level=warning"};
  std::string Seeds;
  for (const fleet_node &Other : Nodes) {
    bool IsSeed = Other.Name != Node.Name && Seeds.size() < 200;
    Seeds += IsSeed ? (Seeds.empty() ? "" : ",") + Other.Rpc : "";
  }
  if (!Seeds.empty()) {
    Arguments.push_back("--seeds=" + Seeds);
  }
  Arguments.insert(Arguments.end(), Spec.NodeFlags.begin(),
                   Spec.NodeFlags.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (std::string &Argument : Arguments) {
    Pointers.push_back(Argument.data());
  }
  Pointers.push_back(nullptr);
  int SpawnError = posix_spawn(&Node.Process, FIGPLANK_NODE_BINARY, nullptr,
                               nullptr, Pointers.data(), environ);
  if (SpawnError != 0) {
    throw std::runtime_error("cannot start figplank_node");
  }
}

bool fleet::awaitReady(std::chrono::milliseconds Timeout) {
  auto Deadline = std::chrono::steady_clock::now() + Timeout;
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    while (true) {
      json Status = status(I);
      bool Ready = Status.is_object() && Status["ready"] == true &&
                   Status["revision"] == Platform->revision();
      if (Ready) {
        break;
      }
      if (std::chrono::steady_clock::now() > Deadline) {
        return false;
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }
  return true;
}

void fleet::signalNode(std::size_t Index, int Signal) {
  kill(Nodes[Index].Process, Signal);
}

int fleet::awaitExit(std::size_t Index) {
  int Status = 0;
  waitpid(Nodes[Index].Process, &Status, 0);
  Nodes[Index].Process = 0;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

json fleet::status(std::size_t Index) const {
  auto Result = makeAdminClient(Nodes[Index])->Get("/status");
  return Result && Result->status == 200
             ? json::parse(Result->body, nullptr, false)
             : json();
}

std::string fleet::metrics(std::size_t Index) const {
  auto Result = makeAdminClient(Nodes[Index])->Get("/metrics");
  return Result && Result->status == 200 ? Result->body : std::string();
}

std::vector<std::size_t> fleet::nodesOf(const std::string &Service) const {
  std::vector<std::size_t> Indices;
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    if (Nodes[I].Service == Service) {
      Indices.push_back(I);
    }
  }
  return Indices;
}

std::vector<std::string> fleet::entries() const {
  std::vector<std::string> Addresses;
  for (const fleet_node &Node : Nodes) {
    Addresses.push_back(Node.Http);
  }
  return Addresses;
}

void fleet::cutZone(unsigned Zone) {
  std::vector<std::string> Others;
  for (unsigned Other = 1; Other <= Spec.Zones; ++Other) {
    if (Other != Zone) {
      Others.push_back(zoneAddressPrefix(Other));
    }
  }
  for (fleet_node &Node : Nodes) {
    Node.Relay->block(Node.Zone == Zone
                          ? Others
                          : std::vector<std::string>{zoneAddressPrefix(Zone)});
  }
  Platform->block({zoneAddressPrefix(Zone)});
}

void fleet::healZones() {
  for (fleet_node &Node : Nodes) {
    Node.Relay->block({});
  }
  Platform->block({});
}

} // namespace figplank::standins
