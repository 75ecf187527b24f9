#include "node/admin.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <future>
#include <stdexcept>

namespace figplank::node {
namespace {

using nlohmann::json;

constexpr int AdminThreads = 2;
constexpr std::chrono::milliseconds StatusTimeout{1'000};
/// Time for which a connection may send nothing before it is closed.
constexpr std::chrono::seconds MaxSilence{1};
constexpr int ServiceUnavailable = 503;

json formatUpstreams(const node_runtime &Node) {
  json List = json::array();
  framework::monotonic_time Now = framework::readClocks().Monotonic;
  for (const auto &[Address, View] : Node.Upstreams.Views) {
    List.push_back({{"address", Address},
                    {"limit", View.Load.Limit},
                    {"in_flight", View.Load.InFlight},
                    {"queued", View.Load.Queued},
                    {"outstanding", View.Outstanding},
                    {"avoided", Now < View.AvoidUntil},
                    {"draining", Now < View.DrainingUntil}});
  }
  return List;
}

json formatRoutes(const node_runtime &Node, framework::monotonic_time Now) {
  json List = json::array();
  for (const configuration::route &Route : Node.Store.Catalog.Routing.Routes) {
    List.push_back({{"name", Route.Name},
                    {"rank", Route.Rank},
                    {"timeout_ms", Route.Timeout.count()},
                    {"share", admission::chainShareOf(Node.ChainShares,
                                                      Route.Name, "", Now)}});
  }
  return List;
}

/// All listed instances with their service, zone, RPC address and state.
json formatInstances(const node_runtime &Node) {
  json List = json::array();
  for (const auto &[Service, Instances] : Node.Store.Catalog.Instances) {
    for (const auto &[Name, Instance] : Instances) {
      auto Stored =
          Node.Store.Newest.find(configuration::instanceKey(Service, Name));
      std::uint64_t Revision =
          Stored == Node.Store.Newest.end()
              ? 0
              : configuration::numberOf(Stored->second.Revision);
      List.push_back(
          {{"service", Service},
           {"name", Name},
           {"zone", Instance.Zone},
           {"address", Instance.Address},
           {"state", std::string(framework::nameOf(
                         configuration::InstanceStateNames, Instance.State))},
           {"revision", Revision}});
    }
  }
  return List;
}

json formatRefused(const node_runtime &Node) {
  json List = json::array();
  for (const auto &[Key, Refused] : Node.Store.Refused) {
    json Findings = json::array();
    for (const framework::finding &Finding : Refused.Findings) {
      Findings.push_back({{"place", Finding.Location},
                          {"value", Finding.Value},
                          {"problem", Finding.Problem}});
    }
    List.push_back({{"key", Key},
                    {"revision", configuration::numberOf(Refused.Revision)},
                    {"findings", Findings}});
  }
  return List;
}

json formatRefusals(const node_runtime &Node) {
  json Counts = json::object();
  for (std::size_t I = 1; I < Node.Metrics.LocalRefusals.size(); ++I) {
    double Count = Node.Metrics.LocalRefusals[I]->Value();
    if (Count > 0) {
      Counts[std::string(framework::RefusalTable[I].Name)] = Count;
    }
  }
  return Counts;
}

} // namespace

std::string formatStatus(const node_runtime &Node,
                         const upstream_service &Upstream,
                         const disseminator &Dissemination) {
  json Status;
  Status["name"] = Node.Settings.Name;
  Status["service"] = Node.Settings.Service;
  Status["zone"] = Node.Settings.Zone;
  Status["ready"] = Node.Condition.Ready;
  Status["view_stale"] = Node.Condition.ViewStale;
  Status["draining"] = Node.Condition.Draining;
  Status["unfinished"] = Upstream.unfinishedRequests();
  framework::time_now Now = framework::readClocks();
  Status["reading_platform"] = Dissemination.isReading();
  Status["readers"] = Dissemination.listReaders(Now.Wall);
  Status["news_age_ms"] =
      framework::inMilliseconds(Dissemination.updateAge(Now.Monotonic));
  Status["routes_version"] = Node.Store.Catalog.Routing.Version;
  Status["routes"] = formatRoutes(Node, Now.Monotonic);
  std::uint64_t Highest = configuration::highestRevision(Node.Store);
  Status["revision"] = configuration::numberOf(Highest);
  Status["era"] = configuration::eraOf(Highest);
  Status["digest"] = configuration::summaryDigest(Node.Store);
  Status["entries"] = Node.Store.Newest.size();
  Status["refused_entries"] = formatRefused(Node);
  Status["limit"] = Node.Limit.Limit;
  Status["in_flight"] = Node.Limit.InFlight;
  Status["queued"] = Node.Queue.Size;
  Status["correction"] = Node.Shares.CapacityCorrection;
  Status["ids_run"] = Node.Home.Runs;
  Status["ids_fenced"] = Node.Home.Fences;
  Status["suspects"] = Node.Suspects.Suspects.size();
  Status["previous_roster"] = Node.Home.PreviousRosters.size();
  Status["refusals"] = formatRefusals(Node);
  Status["upstreams"] = formatUpstreams(Node);
  Status["instances"] = formatInstances(Node);
  // Findings quote values as received, which need not be valid text.
  return Status.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

admin_server::admin_server(const node_runtime &Node, mailbox &Mailbox,
                           const std::function<std::string()> &Status)
    : Server(std::make_unique<httplib::Server>()) {
  Server->new_task_queue = []() {
    return new httplib::ThreadPool(AdminThreads);
  };
  Server->set_tcp_nodelay(true);
  // A connection holds the end of the process for as long as it may be silent.
  Server->set_keep_alive_max_count(1);
  Server->set_keep_alive_timeout(MaxSilence.count());
  Server->set_read_timeout(MaxSilence);
  const node_metrics &Metrics = Node.Metrics;
  Server->Get("/metrics", [&Metrics](const httplib::Request &,
                                     httplib::Response &Reply) {
    Reply.set_content(formatMetrics(Metrics), "text/plain; version=0.0.4");
  });
  Server->Get("/status", [&Mailbox, Status](const httplib::Request &,
                                            httplib::Response &Reply) {
    auto Promise = std::make_shared<std::promise<std::string>>();
    auto Future = Promise->get_future();
    Mailbox.post([Promise, Status]() { Promise->set_value(Status()); });
    if (Future.wait_for(StatusTimeout) == std::future_status::ready) {
      Reply.set_content(Future.get(), "application/json");
    } else {
      Reply.status = ServiceUnavailable;
    }
  });
  const std::string &Address = Node.Settings.AdminAddress;
  std::size_t Colon = Address.rfind(':');
  int Port = std::stoi(Address.substr(Colon + 1));
  if (!Server->bind_to_port(Address.substr(0, Colon), Port)) {
    throw std::runtime_error("cannot bind the admin address " + Address);
  }
  Thread = std::thread([this]() { Server->listen_after_bind(); });
}

void admin_server::stop() { Server->stop(); }

admin_server::~admin_server() {
  stop();
  Thread.join();
}

} // namespace figplank::node
