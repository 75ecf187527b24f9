/// \file
/// Clients of several machines upload long bodies to a service at the same
/// time. The platform kills a process that exceeds its memory and starts it
/// again.
#include "harness.h"

#include <algorithm>
#include <iostream>

using namespace figplank::review;

namespace {

constexpr milliseconds StartTime{10'000};
constexpr milliseconds RestartDelay{300};
constexpr milliseconds SampleInterval{2};
constexpr milliseconds Budget{5'000};
/// The clients of a round send the last bytes of their bodies when all have
/// sent the rest, or after this time, which is below `headerTimeoutMs`.
constexpr milliseconds MaxPause{2'000};
constexpr milliseconds AnswerSlack{1'000};
constexpr milliseconds RoundPause{2'000};
constexpr unsigned Rounds = 30;
/// Rounds without the trouble: about as many as it takes with it.
constexpr unsigned CalmRounds = 8;
constexpr milliseconds MaxTime{95'000};
constexpr unsigned EntryCount = 12;
constexpr unsigned ServingCount = 2;
/// Below `maxBodyBytes`, which is 67,108,864.
constexpr std::size_t BodyBytes = 64'000'000;
/// Machines, and ends of each, from which on the rule is broken: a tenth of
/// the machines in use, two at least, three times.
constexpr std::size_t MaxMachines = 2;
constexpr unsigned MaxEnds = 3;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    giveUp("usage: uploads RECORD");
  }
  record Record(Arguments[1]);
  temporary_folder Folder;
  store Store(Record);
  const ports Ports = freePorts();
  std::vector<std::unique_ptr<backend>> Backends;
  std::vector<std::unique_ptr<sidecar>> Sidecars;
  const std::vector<std::string> Zones{"z-a", "z-b", "z-c"};
  for (unsigned I = 0; I < EntryCount + ServingCount; ++I) {
    std::string Ip = "127.0.0." + std::to_string(I + 1);
    std::string Service = I < EntryCount ? "door" : "grid";
    const std::string &Zone = Zones[I % Zones.size()];
    Backends.push_back(std::make_unique<backend>(
        Ip, "i-" + std::to_string(I + 1), Record, [](const backend_request &) {
          backend_answer Answer;
          Answer.RunTime = milliseconds(100);
          return Answer;
        }));
    Store.put("servers/" + Backends.back()->name(),
              Backends.back()->entry(Service, Zone));
  }
  Store.put("op/config",
            configuration(7, {{"spend", "non_idempotent", "grid", 5'000}}));
  for (unsigned I = 0; I < Backends.size(); ++I) {
    std::string Ip = "127.0.0." + std::to_string(I + 1);
    Sidecars.push_back(std::make_unique<sidecar>(
        machine{Ip, "sidecar-" + std::to_string(I + 1),
                I < EntryCount ? "door" : "grid", Zones[I % Zones.size()]},
        Ports, Backends[I]->address(), Store.address(),
        std::vector<std::string>{"127.0.0.1", "127.0.0.2", "127.0.0.3"},
        Folder.path()));
  }
  auto AllReady = [&]() {
    return std::all_of(Sidecars.begin(), Sidecars.end(),
                       [](const auto &Each) { return Each->isReady(); });
  };
  if (!eventually(AllReady, StartTime)) {
    giveUp("the sidecars are not ready");
  }
  std::vector<std::atomic<unsigned>> Ends(Sidecars.size());
  std::vector<std::size_t> Peaks(Sidecars.size());
  std::atomic<bool> Stop = false;
  std::thread Platform([&]() {
    std::map<std::size_t, steady::time_point> Restarts;
    while (!Stop) {
      for (std::size_t I = 0; I < Sidecars.size(); ++I) {
        std::size_t Used = Sidecars[I]->anonymousMemory();
        Peaks[I] = std::max(Peaks[I], Used);
        bool IsOver = Used > (MemoryMb << 20U);
        bool HasEnded = Restarts.count(I) == 0 && !Sidecars[I]->isRunning();
        if (IsOver || HasEnded) {
          Sidecars[I]->kill();
          ++Ends[I];
          Record.add(
              Sidecars[I]->description().Name +
              (IsOver ? " exceeds its memory with " : " has ended, it used ") +
              std::to_string(Used >> 20U) + " MB; killed");
          Restarts[I] = steady::now() + RestartDelay;
        }
        auto Due = Restarts.find(I);
        if (Due != Restarts.end() && steady::now() >= Due->second) {
          Sidecars[I]->start();
          Restarts.erase(Due);
        }
      }
      std::this_thread::sleep_for(SampleInterval);
    }
  });
  const std::string Body(BodyBytes, 'b');
  std::atomic<unsigned> Served = 0;
  std::atomic<unsigned> Waiting = 0;
  auto Upload = [&](unsigned Round, unsigned Entry) {
    std::string Id = "u" + std::to_string(Round) + "-" + std::to_string(Entry);
    auto Connection = connectTo(Sidecars[Entry]->outbound());
    if (!Connection->isOpen()) {
      Record.add("client: " + Id + " could not connect");
      return;
    }
    Connection->send(requestText("POST", "/spend/x", Id, Budget, Body.size()));
    Connection->send(std::string_view(Body).substr(1));
    ++Waiting;
    eventually([&]() { return !hasTrouble() || Waiting >= EntryCount; },
               MaxPause);
    Connection->send(std::string_view(Body).substr(0, 1));
    Record.add("client: " + Id + " sent");
    call_result Result =
        readSlowly(*Connection, {}, steady::now() + Budget + AnswerSlack);
    Served += Result.Status == 200 ? 1 : 0;
    Record.add("client: " + Id + " got " + std::to_string(Result.Status));
  };
  auto CountMachines = [&]() {
    return static_cast<std::size_t>(
        std::count_if(Ends.begin(), Ends.end(),
                      [](const auto &Times) { return Times >= MaxEnds; }));
  };
  const unsigned MaxRounds = hasTrouble() ? Rounds : CalmRounds;
  for (unsigned Round = 0; Round < MaxRounds && CountMachines() < MaxMachines &&
                           Record.now() < MaxTime;
       ++Round) {
    Waiting = 0;
    std::vector<std::thread> Clients;
    for (unsigned I = 0; I < EntryCount; ++I) {
      if (hasTrouble()) {
        Clients.emplace_back(Upload, Round, I);
      } else {
        Upload(Round, I);
      }
    }
    for (std::thread &Client : Clients) {
      Client.join();
    }
    std::this_thread::sleep_for(hasTrouble() ? RoundPause : milliseconds(0));
  }
  Stop = true;
  Platform.join();
  for (std::size_t I = 0; I < Sidecars.size(); ++I) {
    Record.add(Sidecars[I]->description().Name + ": peak " +
               std::to_string(Peaks[I] >> 20U) + " MB, ended " +
               std::to_string(Ends[I]) + " times");
  }
  std::size_t Machines = CountMachines();
  std::cout << Machines << " machines whose process ended " << MaxEnds
            << " times, " << Served << " uploads served" << std::endl;
  return Machines >= MaxMachines ? RuleBroken : RuleHeld;
}
