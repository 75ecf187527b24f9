#include "bench/scenario.h"

#include "bench/report.h"

#include <cstdio>
#include <thread>

namespace figplank::bench {

using standins::fleet_spec;
using standins::load_stream;
using standins::path_behaviour;
using standins::service_spec;
using standins::template_spec;

namespace {

constexpr unsigned LastSlots = 4;
constexpr std::chrono::microseconds LastServiceTime{20'000};

struct request_class {
  const char *Name;
  unsigned Rank;
};

constexpr request_class RequestClasses[] = {
    {"grid", 0}, {"price", 1}, {"explain", 3}, {"archive", 5}};

service_spec makeService(const std::string &Name, unsigned Slots,
                         const std::string &Mode) {
  service_spec Service;
  Service.Name = Name;
  Service.Upstreams = 2;
  Service.Slots = Slots;
  // Without admission control, requests queue at the backend servers.
  Service.MaxQueued = Mode == "none" ? 100'000 : Slots;
  return Service;
}

void addPath(service_spec &Service, const std::string &Class,
             std::chrono::microseconds Time,
             const std::vector<std::vector<std::string>> &Children) {
  Service.Paths["/" + Class] = path_behaviour{Time, Children};
}

void addTemplate(fleet_spec &Spec, const std::string &Name,
                 const std::string &Service, const request_class &Class) {
  template_spec Template;
  Template.Name = Name;
  Template.Service = Service;
  Template.Path = std::string("/") + Class.Name;
  Template.Rank = Class.Rank;
  Template.DeadlineMs = 500;
  Spec.Templates.push_back(Template);
}

} // namespace

fleet_spec chainFleet(const std::string &Mode) {
  fleet_spec Spec;
  Spec.Zones = 2;
  Spec.Organisations = {"alpha", "beta", "gamma", "delta", "epsilon"};
  Spec.NodeFlags = {"--admission=" + Mode, "--clock-bound-ms=200"};
  service_spec First = makeService("first", 40, Mode);
  service_spec Second = makeService("second", 36, Mode);
  service_spec Third = makeService("third", 12, Mode);
  service_spec Last = makeService("last", LastSlots, Mode);
  for (const request_class &Class : RequestClasses) {
    std::string Name = Class.Name;
    addPath(First, Name, std::chrono::microseconds(2'000),
            {{Name + "-second"}});
    addPath(Second, Name, std::chrono::microseconds(2'000),
            {{Name + "-third", Name + "-last"}});
    addPath(Third, Name, std::chrono::microseconds(10'000), {});
    addPath(Last, Name, LastServiceTime, {});
    addTemplate(Spec, Name, "first", Class);
    addTemplate(Spec, Name + "-second", "second", Class);
    addTemplate(Spec, Name + "-third", "third", Class);
    addTemplate(Spec, Name + "-last", "last", Class);
  }
  Spec.Services = {First, Second, Third, Last};
  return Spec;
}

load_stream chainStream(const std::string &Template,
                        const std::string &Organisation, double Rate) {
  load_stream Stream;
  Stream.Name = Template + "/" + Organisation;
  Stream.Template = Template;
  Stream.Organisation = Organisation;
  Stream.Rate = Rate;
  Stream.AnswerTimeout = milliseconds(1'000);
  return Stream;
}

measured_run runPlan(const run_plan &Plan) {
  fleet_spec Spec = chainFleet(Plan.Mode);
  if (Plan.AdjustSpec) {
    Plan.AdjustSpec(Spec);
  }
  standins::fleet Fleet(Spec);
  if (!Fleet.awaitReady()) {
    std::printf("the fleet did not become ready\n");
    std::exit(1);
  }
  standins::load_generator Callers(Fleet.entries());
  measured_run Run;
  Run.Start = std::chrono::steady_clock::now() + Plan.WarmupDuration;
  std::thread FaultThread;
  if (Plan.InjectFaults) {
    FaultThread = std::thread([&]() { Plan.InjectFaults(Fleet); });
  }
  Callers.run(Plan.Streams, Plan.WarmupDuration + Plan.MeasuredDuration);
  if (FaultThread.joinable()) {
    FaultThread.join();
  }
  if (std::getenv("BENCH_STATUS") != nullptr) {
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
      nlohmann::json Status = Fleet.status(I);
      std::printf("%s limit=%s correction=%s queued=%s refusals=%s\n",
                  Fleet.Nodes[I].Name.c_str(), Status["limit"].dump().c_str(),
                  Status["correction"].dump().c_str(),
                  Status["queued"].dump().c_str(),
                  Status["refusals"].dump().c_str());
    }
  }
  Run.Results = Callers.results();
  Run.Seconds = std::chrono::duration<double>(Plan.MeasuredDuration).count();
  Run.Executions = Fleet.Log.records().size();
  for (std::size_t I = 0; I < Plan.Streams.size(); ++I) {
    Run.Streams.push_back(standins::summarize(Run.Results, I, Run.Start));
  }
  return Run;
}

void printStreams(const std::string &Title, const run_plan &Plan,
                  const measured_run &Run) {
  std::printf("%s\n", Title.c_str());
  printRow(
      {"stream", "offered/s", "goodput/s", "p50 ms", "p99 ms", "attempts"});
  for (std::size_t I = 0; I < Run.Streams.size(); ++I) {
    const standins::stream_summary &Stream = Run.Streams[I];
    printRow({Plan.Streams[I].Name,
              formatNumber(static_cast<double>(Stream.Offered) / Run.Seconds),
              formatNumber(goodput(Run, I)), formatNumber(Stream.MedianMs),
              formatNumber(Stream.P99Ms), std::to_string(Stream.Attempts)});
    for (const auto &[Reason, Count] : Stream.Reasons) {
      std::printf("    %s=%llu", Reason.c_str(),
                  static_cast<unsigned long long>(Count));
    }
    std::printf("\n");
  }
}

double goodput(const measured_run &Run, std::size_t Stream) {
  return static_cast<double>(Run.Streams[Stream].Succeeded) / Run.Seconds;
}

} // namespace figplank::bench
