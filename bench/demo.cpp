// Demonstration: runs both deployments at reduced size in two availability
// zones, with delivery rounds, normal load and an overload.

#include "bench/report.h"
#include "standins/fleet.h"
#include "standins/loadgenerator.h"

#include <cstdio>
#include <httplib.h>

namespace {

using namespace figplank;
using bench::formatNumber;
using bench::printRow;
using standins::load_stream;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct demo_template {
  const char *Name;
  const char *Service;
  unsigned Rank;
  bool Idempotent;
  microseconds ServiceTime;
  /// Template that each execution calls; null for none.
  const char *Child;
  /// Requests per second of the callers at normal load; 0 if only other
  /// templates call this one.
  double Rate;
  const char *Organisation;
};

const demo_template DemoTemplates[] = {
    {"grid", "grid", 0, true, microseconds(5'000), "archive", 120,
     "athens-daily"},
    {"archive", "archive", 2, true, microseconds(8'000), nullptr, 0, ""},
    {"reveal", "ledger", 1, false, microseconds(10'000), nullptr, 80,
     "patras-post"},
    {"explain", "explain", 4, true, microseconds(30'000), nullptr, 40,
     "athens-daily"},
    {"price", "pricing", 0, true, microseconds(6'000), "stock", 120,
     "bilbao-books"},
    {"stock", "catalogue", 3, true, microseconds(4'000), nullptr, 60,
     "gijon-libros"},
    {"reservation", "reservation", 1, false, microseconds(12'000), "shipment",
     60, "bilbao-books"},
    {"shipment", "shipment", 2, false, microseconds(6'000), nullptr, 0, ""},
};

struct demo_service {
  const char *Name;
  unsigned Slots;
};

/// Each service has about a tenth of its slots in the real deployments.
const demo_service DemoServices[] = {
    {"grid", 5},      {"archive", 5},  {"ledger", 7},      {"explain", 2},
    {"catalogue", 5}, {"shipment", 5}, {"reservation", 6}, {"pricing", 3}};

standins::fleet_spec bothDeployments() {
  standins::fleet_spec Spec;
  Spec.Zones = 2;
  Spec.Organisations = {"athens-daily", "patras-post", "bilbao-books",
                        "gijon-libros"};
  Spec.NodeFlags = {"--clock-bound-ms=500"};
  for (const demo_service &DemoService : DemoServices) {
    standins::service_spec Service;
    Service.Name = DemoService.Name;
    Service.Upstreams = 2;
    Service.Slots = DemoService.Slots;
    Service.MaxQueued = DemoService.Slots;
    for (const demo_template &DemoTemplate : DemoTemplates) {
      if (Service.Name == DemoTemplate.Service) {
        standins::path_behaviour Behaviour{DemoTemplate.ServiceTime, {}};
        if (DemoTemplate.Child != nullptr) {
          Behaviour.Children = {{DemoTemplate.Child}};
        }
        Service.Paths[std::string("/") + DemoTemplate.Name] = Behaviour;
      }
    }
    Spec.Services.push_back(Service);
  }
  for (const demo_template &DemoTemplate : DemoTemplates) {
    standins::template_spec Template;
    Template.Name = DemoTemplate.Name;
    Template.Service = DemoTemplate.Service;
    Template.Path = std::string("/") + DemoTemplate.Name;
    Template.Rank = DemoTemplate.Rank;
    Template.DeadlineMs = 800;
    Template.Idempotent = DemoTemplate.Idempotent;
    Spec.Templates.push_back(Template);
  }
  return Spec;
}

std::vector<load_stream> makeStreams(double Factor) {
  std::vector<load_stream> Streams;
  for (const demo_template &DemoTemplate : DemoTemplates) {
    if (DemoTemplate.Rate > 0) {
      load_stream Stream;
      Stream.Name = DemoTemplate.Name;
      Stream.Template = DemoTemplate.Name;
      Stream.Organisation = DemoTemplate.Organisation;
      Stream.Rate = DemoTemplate.Rate * Factor;
      Stream.WithKey = true;
      Stream.AnswerTimeout = milliseconds(2'000);
      Streams.push_back(Stream);
    }
  }
  return Streams;
}

void runLoad(standins::load_generator &Callers, const char *Title,
             double Factor, milliseconds Duration) {
  Callers.clear();
  std::vector<load_stream> Streams = makeStreams(Factor);
  Callers.run(Streams, Duration);
  std::printf("\n%s\n", Title);
  printRow({"template", "rank", "offered", "succeeded", "p50 ms", "p99 ms"});
  for (std::size_t I = 0; I < Streams.size(); ++I) {
    standins::stream_summary Summary =
        standins::summarize(Callers.results(), I);
    unsigned Rank = 0;
    for (const demo_template &DemoTemplate : DemoTemplates) {
      Rank = Streams[I].Name == DemoTemplate.Name ? DemoTemplate.Rank : Rank;
    }
    printRow({Streams[I].Name, std::to_string(Rank),
              std::to_string(Summary.Offered),
              std::to_string(Summary.Succeeded), formatNumber(Summary.MedianMs),
              formatNumber(Summary.P99Ms)});
    for (const auto &[Reason, Count] : Summary.Reasons) {
      std::printf("      failed %s=%llu\n", Reason.c_str(),
                  static_cast<unsigned long long>(Count));
    }
  }
}

/// Sends a delivery round of grid requests and prints its outcome.
void sendRound(const standins::fleet &Fleet, int Size) {
  nlohmann::json Body{{"requests", nlohmann::json::array()}};
  for (int I = 0; I < Size; ++I) {
    Body["requests"].push_back("monday " + std::to_string(I));
  }
  httplib::Client Client("http://" + Fleet.Nodes[0].Http);
  Client.set_read_timeout(30);
  auto Result =
      Client.Post("/round/grid", {{"Figplank-Organisation", "athens-daily"}},
                  Body.dump(), "application/json");
  std::printf("delivery round of %d grid requests: %s %s\n", Size,
              Result ? Result->get_header_value("Figplank-Outcome").c_str()
                     : "no response",
              Result ? Result->get_header_value("Figplank-Reason").c_str()
                     : "");
}

} // namespace

int main() {
  standins::fleet Fleet(bothDeployments());
  if (!Fleet.awaitReady()) {
    std::printf("the nodes did not become ready\n");
    return 1;
  }
  std::printf("%zu nodes over 2 availability zones, platform at %s\n",
              Fleet.Nodes.size(), Fleet.PlatformAddress.c_str());
  std::this_thread::sleep_for(milliseconds(1'000));
  sendRound(Fleet, 100);
  sendRound(Fleet, 9'000);
  standins::load_generator Callers(Fleet.entries());
  runLoad(Callers, "normal load, 4 s", 1.0, milliseconds(4'000));
  runLoad(Callers, "five times the normal load, 6 s", 5.0, milliseconds(6'000));
  runLoad(Callers, "normal load again, 4 s", 1.0, milliseconds(4'000));
  std::size_t DuplicateExecutions = 0;
  std::map<std::string, int> Executions;
  for (const standins::execution_record &Record : Fleet.Log.records()) {
    bool NonIdempotent = Record.Path == "/reveal" ||
                         Record.Path == "/reservation" ||
                         Record.Path == "/shipment";
    DuplicateExecutions +=
        NonIdempotent && ++Executions[Record.Key] > 1 ? 1 : 0;
  }
  std::printf("\nduplicate executions of non-idempotent requests: %zu\n",
              DuplicateExecutions);
  return DuplicateExecutions == 0 ? 0 : 1;
}
