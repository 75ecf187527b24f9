// The demonstration: both deployments at reduced size over two availability
// zones, a delivery round, usual load and an overload.

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

struct demo_work {
  const char *Template;
  const char *Service;
  unsigned Rank;
  bool Idempotent;
  microseconds ServiceTime;
  /// Template called by each run, or null.
  const char *Child;
  /// Called by callers, at this many requests per second.
  double Rate;
  const char *Organisation;
};

const demo_work Works[] = {
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

/// About a tenth of the slots of the real deployments.
const demo_service Services[] = {
    {"grid", 5},      {"archive", 5},  {"ledger", 7},      {"explain", 2},
    {"catalogue", 5}, {"shipment", 5}, {"reservation", 6}, {"pricing", 3}};

standins::fleet_spec bothDeployments() {
  standins::fleet_spec Spec;
  Spec.Zones = 2;
  Spec.Organisations = {"athens-daily", "patras-post", "bilbao-books",
                        "gijon-libros"};
  Spec.NodeFlags = {"--clock-bound-ms=500"};
  for (const demo_service &Each : Services) {
    standins::service_spec Service;
    Service.Name = Each.Name;
    Service.Upstreams = 2;
    Service.Slots = Each.Slots;
    Service.MaxWaiting = Each.Slots;
    for (const demo_work &Work : Works) {
      if (Service.Name == Work.Service) {
        standins::path_behaviour Behaviour{Work.ServiceTime, {}};
        if (Work.Child != nullptr) {
          Behaviour.Children = {{Work.Child}};
        }
        Service.Paths[std::string("/") + Work.Template] = Behaviour;
      }
    }
    Spec.Services.push_back(Service);
  }
  for (const demo_work &Work : Works) {
    standins::template_spec Template;
    Template.Name = Work.Template;
    Template.Service = Work.Service;
    Template.Path = std::string("/") + Work.Template;
    Template.Rank = Work.Rank;
    Template.DeadlineMs = 800;
    Template.Idempotent = Work.Idempotent;
    Spec.Templates.push_back(Template);
  }
  return Spec;
}

std::vector<load_stream> loadAt(double Factor) {
  std::vector<load_stream> Streams;
  for (const demo_work &Work : Works) {
    if (Work.Rate > 0) {
      load_stream Stream;
      Stream.Name = Work.Template;
      Stream.Template = Work.Template;
      Stream.Organisation = Work.Organisation;
      Stream.Rate = Work.Rate * Factor;
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
  std::vector<load_stream> Streams = loadAt(Factor);
  Callers.run(Streams, Duration);
  std::printf("\n%s\n", Title);
  printRow({"work", "rank", "offered", "whole", "p50 ms", "p99 ms"});
  for (std::size_t I = 0; I < Streams.size(); ++I) {
    standins::stream_summary Summary =
        standins::summarize(Callers.results(), I);
    unsigned Rank = 0;
    for (const demo_work &Work : Works) {
      Rank = Streams[I].Name == Work.Template ? Work.Rank : Rank;
    }
    printRow({Streams[I].Name, std::to_string(Rank),
              std::to_string(Summary.Offered),
              std::to_string(Summary.Succeeded), formatNumber(Summary.MedianMs),
              formatNumber(Summary.P99Ms)});
    for (const auto &[Reason, Count] : Summary.Reasons) {
      std::printf("      refused %s=%llu\n", Reason.c_str(),
                  static_cast<unsigned long long>(Count));
    }
  }
}

/// Sends a delivery round of grid requests; prints how it ended.
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
                     : "no answer",
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
  runLoad(Callers, "usual load, 4 s", 1.0, milliseconds(4'000));
  runLoad(Callers, "five times as much, 6 s", 5.0, milliseconds(6'000));
  runLoad(Callers, "usual load again, 4 s", 1.0, milliseconds(4'000));
  std::size_t Doubles = 0;
  std::map<std::string, int> Starts;
  for (const standins::execution_record &Record : Fleet.Log.records()) {
    bool Once = Record.Path == "/reveal" || Record.Path == "/reservation" ||
                Record.Path == "/shipment";
    Doubles += Once && ++Starts[Record.Key] > 1 ? 1 : 0;
  }
  std::printf("\nnon-idempotent requests that ran twice: %zu\n", Doubles);
  return Doubles == 0 ? 0 : 1;
}
