#include "memory.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

/// `memoryMb` of the machines.
constexpr double MemoryMb = 260.0;
constexpr milliseconds RestartDelay{300};
constexpr std::size_t ClientCount = 8;
/// Lost requests that LOST allows.
constexpr unsigned AllowedLost = 3;

bool wasPassedOn(const deployment &Deployment, const std::string &AttemptId) {
  for (const auto &Machine : Deployment.Machines) {
    for (const run &Run : Machine->Server.runs()) {
      if (Run.AttemptId == AttemptId) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

memory_limit::memory_limit(deployment &Deployment, record_file &Record)
    : Deployment(Deployment), Record(Record), Usage(Deployment.Machines.size()),
      Thread([this]() { loop(); }) {}

void memory_limit::stop() {
  Stopping = true;
  if (!Thread.joinable()) {
    return;
  }
  Thread.join();
  for (std::size_t I = 0; I < Usage.size(); ++I) {
    Record.line("sidecar of " + Deployment.Machines[I]->Name + ": peak " +
                std::to_string(Usage[I].PeakMb) + " MiB, killed " +
                std::to_string(Usage[I].Kills) + " times");
  }
}

void memory_limit::loop() {
  while (!Stopping) {
    for (std::size_t I = 0; I < Usage.size(); ++I) {
      machine &Machine = *Deployment.Machines[I];
      double Resident = Machine.residentMb();
      Usage[I].PeakMb = std::max(Usage[I].PeakMb, Resident);
      if (Resident > MemoryMb) {
        Machine.kill();
        Record.line("sidecar of " + Machine.Name + " uses " +
                    std::to_string(Resident) + " MiB and is killed");
        ++Usage[I].Kills;
        std::this_thread::sleep_for(RestartDelay);
        Deployment.restart(Machine);
      }
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
}

steady_client::steady_client(const machine &Machine, std::string Prefix,
                             record_file &Record)
    : Prefix(std::move(Prefix)), Record(Record),
      Thread([this, &Machine]() { loop(Machine); }) {}

void steady_client::stop() {
  Stopping = true;
  if (Thread.joinable()) {
    Thread.join();
  }
}

void steady_client::loop(const machine &Machine) {
  while (!Stopping) {
    auto Connection = Machine.connect();
    if (Connection == nullptr) {
      std::this_thread::sleep_for(milliseconds(50));
      continue;
    }
    useConnection(*Connection);
  }
}

void steady_client::useConnection(connection &Connection) {
  bool Kept = false;
  while (!Stopping) {
    request_text Request;
    Request.AttemptId = newAttemptId();
    Request.Path = Prefix + Request.AttemptId;
    Record.line("sent " + Request.AttemptId);
    Connection.send(format(Request));
    auto Answer = Connection.read(milliseconds(5000));
    if (!Answer) {
      Record.line((Connection.isEnded() ? "closed without an answer to "
                                        : "no answer in time to ") +
                  Request.AttemptId);
      if (Kept && Connection.isEnded()) {
        Unanswered.push_back(Request.AttemptId);
      }
      return;
    }
    Record.line("answered " + Request.AttemptId + " " + Answer->StartLine);
    ++Answered;
    Kept = true;
    if (Answer->header("connection") == "close") {
      return;
    }
  }
}

steady_traffic::steady_traffic(deployment &Deployment, const machine &Entry,
                               const std::string &Prefix, record_file &Record)
    : Deployment(Deployment), Record(Record) {
  for (std::size_t I = 0; I < ClientCount; ++I) {
    Clients.push_back(std::make_unique<steady_client>(Entry, Prefix, Record));
  }
}

int steady_traffic::judge() {
  unsigned Answered = 0;
  unsigned Lost = 0;
  for (auto &Client : Clients) {
    Client->stop();
    Answered += Client->answered();
    for (const std::string &AttemptId : Client->unanswered()) {
      Lost += wasPassedOn(Deployment, AttemptId) ? 1 : 0;
    }
  }
  Record.line("answered " + std::to_string(Answered) +
              ", passed on and closed without an answer " +
              std::to_string(Lost));
  if (Answered == 0) {
    return CouldNotRun;
  }
  return Lost > AllowedLost ? RuleBroken : RuleHeld;
}

} // namespace review
