/// \file
/// An upstream says in its answers that it leaves, while the store lists it as
/// ready. Then its entry comes from another writer, with a field missing.
#include "harness.h"

#include <iostream>

using namespace figplank::review;

namespace {

constexpr milliseconds StartTime{8'000};
/// Time between the first answer that says so and the odd entry.
constexpr milliseconds OddEntryDelay{4'000};
constexpr milliseconds CallPause{40};
constexpr milliseconds Budget{3'000};
constexpr milliseconds RunTime{60};
constexpr unsigned ClientCount = 8;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    giveUp("usage: odd_entry RECORD");
  }
  record Record(Arguments[1]);
  temporary_folder Folder;
  store Store(Record);
  std::atomic<bool> Leaves = false;
  auto Stay = [](const backend_request &) {
    backend_answer Answer;
    Answer.RunTime = RunTime;
    return Answer;
  };
  auto Leave = [&](const backend_request &) {
    backend_answer Answer;
    Answer.RunTime = RunTime;
    Answer.ExtraHeaders = Leaves ? "Server-Leaving: 1\r\n" : "";
    return Answer;
  };
  backend Door("127.0.0.1", "i-door", Record, Stay);
  backend Leaver("127.0.0.2", "i-leaver", Record, Leave);
  backend Stayer("127.0.0.3", "i-stayer", Record, Stay);
  const std::string LeaverEntry = Leaver.entry("grid", "z-b");
  Store.put("servers/i-door", Door.entry("door", "z-b"));
  Store.put("servers/i-leaver", LeaverEntry);
  Store.put("servers/i-stayer", Stayer.entry("grid", "z-c"));
  Store.put("op/config",
            configuration(7, {{"read", "idempotent", "grid", 3'000}}));
  const ports Ports = freePorts();
  const std::vector<std::string> Seeds{"127.0.0.1", "127.0.0.2", "127.0.0.3"};
  sidecar Entry({"127.0.0.1", "sidecar-b-1", "door", "z-b"}, Ports,
                Door.address(), Store.address(), Seeds, Folder.path());
  sidecar First({"127.0.0.2", "sidecar-b-2", "grid", "z-b"}, Ports,
                Leaver.address(), Store.address(), Seeds, Folder.path());
  sidecar Second({"127.0.0.3", "sidecar-c-1", "grid", "z-c"}, Ports,
                 Stayer.address(), Store.address(), Seeds, Folder.path());
  bool AreReady = eventually(
      [&]() { return Entry.isReady() && First.isReady() && Second.isReady(); },
      StartTime);
  if (!AreReady) {
    giveUp("the sidecars are not ready");
  }
  std::atomic<bool> Stop = false;
  std::mutex Mutex;
  std::map<std::string, steady::time_point> Sent;
  // When the entry's machine had passed on an answer that says so.
  std::optional<steady::time_point> PassedOn;
  auto SendRequests = [&](unsigned Number) {
    for (unsigned N = 0; !Stop; ++N) {
      std::string Id = "q" + std::to_string(Number) + "-" + std::to_string(N);
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Sent[Id] = steady::now();
      }
      Record.add("client: " + Id + " sent");
      call_result Result = call(Entry.outbound(), "GET", "/read/x", Id, Budget);
      Record.add("client: " + Id + " got " + std::to_string(Result.Status) +
                 (Result.IsLeaving ? " with Server-Leaving" : ""));
      if (Result.IsLeaving) {
        std::lock_guard<std::mutex> Lock(Mutex);
        PassedOn = PassedOn.value_or(steady::now());
      }
      std::this_thread::sleep_for(CallPause);
    }
  };
  std::vector<std::thread> Clients;
  for (unsigned I = 0; I < ClientCount; ++I) {
    Clients.emplace_back(SendRequests, I);
  }
  std::this_thread::sleep_for(StableWindow);
  Record.add("i-leaver: says Server-Leaving from now on");
  Leaves = true;
  std::this_thread::sleep_for(OddEntryDelay);
  if (hasTrouble()) {
    Store.put("servers/i-leaver", Leaver.entryWithoutBorn("grid", "z-b"));
  }
  std::this_thread::sleep_for(HeartbeatTime);
  // The upstream's own next report.
  Store.put("servers/i-leaver", LeaverEntry);
  std::this_thread::sleep_for(DrainTime);
  Stop = true;
  for (std::thread &Client : Clients) {
    Client.join();
  }

  std::lock_guard<std::mutex> Lock(Mutex);
  if (!PassedOn) {
    giveUp("no answer said that the upstream leaves");
  }
  unsigned Late = 0;
  for (const backend_request &Each : Leaver.runs()) {
    auto At = Sent.find(Each.Id);
    Late += At != Sent.end() && At->second > *PassedOn + DrainTime ? 1 : 0;
  }
  Record.add("result: " + std::to_string(Late) +
             " requests reached the upstream that were sent later than drainMs "
             "after the entry's machine had passed on that it leaves");
  std::cout << "late " << Late << std::endl;
  return Late > 0 ? RuleBroken : RuleHeld;
}
