/// \file
/// Watches of the store that wait are cut now and then while upstreams leave
/// one after the other, whose entries are removed. No call to the store fails
/// otherwise, and no process is disturbed.
#include "harness.h"

#include <algorithm>
#include <csignal>
#include <map>

using namespace figplank::review;

namespace {

/// Upstreams that leave in turn, and how long each goes on serving after its
/// entry was removed.
constexpr std::size_t LeavingCount = 3;
constexpr milliseconds ServesOn{8'000};
/// Time between two cuts of all waiting watches.
constexpr milliseconds CutInterval{1'500};
constexpr milliseconds Warmup{4'000};
/// A request that reaches the upstream this much later than allowed counts.
constexpr milliseconds Tolerance{100};

struct sent_request {
  steady::time_point At;
  int Status = 0;
};

/// Sends requests one after the other until it is destroyed.
class client {
public:
  client(std::string Name, std::string Address)
      : Name(std::move(Name)), Address(std::move(Address)),
        Thread([this]() { run(); }) {}
  ~client() {
    Stopping = true;
    Thread.join();
  }
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  /// What was sent so far, by attempt id.
  std::map<std::string, sent_request> sent() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Sent;
  }

private:
  void run() {
    constexpr milliseconds Pause{40};
    constexpr milliseconds Budget{3'000};
    for (unsigned I = 0; !Stopping; ++I) {
      std::string Id = Name + "-" + std::to_string(I);
      auto Start = steady::now();
      call_result Result = call(Address, "GET", "/read/x", Id, Budget);
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Sent[Id] = {Start, Result.Status};
      }
      std::this_thread::sleep_for(Pause);
    }
  }

  std::string Name;
  std::string Address;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::map<std::string, sent_request> Sent;
  std::thread Thread;
};

struct late_runs {
  unsigned Count = 0;
  milliseconds Last{0};
};

/// Requests that were sent later than allowed after \p Removed and ran at
/// \p Upstream.
late_runs findLateRuns(backend &Upstream, steady::time_point Removed,
                       const std::map<std::string, sent_request> &Sent) {
  late_runs Late;
  for (const backend_request &Run : Upstream.runs()) {
    auto Found = Sent.find(Run.Id);
    if (Found == Sent.end()) {
      continue;
    }
    auto After =
        std::chrono::duration_cast<milliseconds>(Found->second.At - Removed);
    if (After > DrainTime + Tolerance) {
      ++Late.Count;
      Late.Last = std::max(Late.Last, After);
    }
  }
  return Late;
}

std::map<std::string, sent_request>
allSent(const std::vector<std::unique_ptr<client>> &Clients) {
  std::map<std::string, sent_request> Sent;
  for (const auto &Client : Clients) {
    Sent.merge(Client->sent());
  }
  return Sent;
}

int play(const std::string &RecordPath) {
  record Record(RecordPath);
  temporary_folder Folder;
  store Store(Record);
  Store.put("op/config", configuration(3, {{"read", "idempotent", "grid"}}));
  const std::vector<machine> Machines{{"127.0.0.1", "side-a-1", "door", "z-a"},
                                      {"127.0.0.2", "side-a-2", "grid", "z-a"},
                                      {"127.0.0.3", "side-a-3", "grid", "z-a"},
                                      {"127.0.0.4", "side-a-4", "grid", "z-a"},
                                      {"127.0.0.5", "side-a-5", "grid", "z-a"}};
  const ports Ports = freePorts();
  std::vector<std::unique_ptr<backend>> Backends;
  std::vector<std::unique_ptr<sidecar>> Sidecars;
  auto Answer = [](const backend_request &) {
    return backend_answer{milliseconds(20), "body", ""};
  };
  for (const machine &Machine : Machines) {
    Backends.push_back(std::make_unique<backend>(
        Machine.Ip, "i-" + Machine.Name, Record, Answer));
    Store.put("servers/" + Backends.back()->name(),
              Backends.back()->entry(Machine.Service, Machine.Zone));
  }
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    Sidecars.push_back(std::make_unique<sidecar>(
        Machines[I], Ports, Backends[I]->address(), Store.address(),
        std::vector<std::string>{"127.0.0.1", "127.0.0.2"}, Folder.path()));
  }
  auto AllReady = [&]() {
    return std::all_of(Sidecars.begin(), Sidecars.end(),
                       [](const auto &Each) { return Each->isReady(); });
  };
  if (!eventually(AllReady, milliseconds(20'000))) {
    giveUp("the sidecars are not ready");
  }
  std::vector<std::unique_ptr<client>> Clients;
  for (const char *Name : {"a", "b", "c", "d"}) {
    Clients.push_back(std::make_unique<client>(Name, Sidecars[0]->outbound()));
  }
  std::atomic<bool> Stopping = false;
  std::thread Cutter([&]() {
    while (hasTrouble() && !Stopping) {
      std::this_thread::sleep_for(CutInterval);
      Store.cutWaitingWatches();
    }
  });
  std::this_thread::sleep_for(Warmup);
  unsigned LateCount = 0;
  for (std::size_t I = 1; I <= LeavingCount; ++I) {
    backend &Leaving = *Backends[I];
    Store.remove("servers/" + Leaving.name());
    steady::time_point Removed = steady::now();
    std::this_thread::sleep_for(ServesOn);
    late_runs Late = findLateRuns(Leaving, Removed, allSent(Clients));
    LateCount += Late.Count;
    Record.add(Leaving.name() + ": " + std::to_string(Late.Count) +
               " requests that were sent later than " +
               std::to_string((DrainTime + Tolerance).count()) +
               " ms after its removal ran there, the last one sent " +
               std::to_string(Late.Last.count()) + " ms after it");
    // The upstream ends, and then its machine.
    Backends[I].reset();
    Sidecars[I]->signal(SIGTERM);
  }
  Stopping = true;
  Cutter.join();
  const std::map<std::string, sent_request> Sent = allSent(Clients);
  Clients.clear();
  auto Served = std::count_if(Sent.begin(), Sent.end(), [](const auto &Each) {
    return Each.second.Status == 200;
  });
  Record.add("clients sent " + std::to_string(Sent.size()) + " requests, " +
             std::to_string(Served) + " served");
  Record.add(LateCount > 0 ? "result: DRAIN broken" : "result: DRAIN held");
  return LateCount > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int ArgCount, char **Arguments) {
  return play(ArgCount > 1 ? Arguments[1] : "record.txt");
}
