/// \file
/// An upstream's entry is removed, and its machines know it. Then the store
/// comes back from a copy that still has the entry.
#include "harness.h"

#include <iostream>

using namespace figplank::review;

namespace {

constexpr milliseconds StartTime{8'000};
/// Age of the copy when the entry is removed.
constexpr milliseconds CopyAge{500};
/// Time between the removal and the return.
constexpr milliseconds ReturnDelay{3'500};
/// An entry goes after three heartbeats of silence.
constexpr milliseconds EntryLife = 3 * HeartbeatTime;
constexpr milliseconds CallPause{40};
constexpr milliseconds Budget{3'000};
constexpr milliseconds RunTime{60};
constexpr unsigned ClientCount = 8;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    giveUp("usage: returned_copy RECORD");
  }
  record Record(Arguments[1]);
  temporary_folder Folder;
  std::mutex Mutex;
  // When each of the machines had received the removal.
  std::vector<steady::time_point> Acknowledged;
  store Store(Record);
  Store.OnDelivered = [&](const std::string &Key, const std::string &Client) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Record.add("store: " + Key + " delivered to " + Client);
    if (Key == "servers/i-leaver" && !Store.contains(Key)) {
      Acknowledged.push_back(steady::now());
    }
  };
  auto Run = [](const backend_request &) {
    backend_answer Answer;
    Answer.RunTime = RunTime;
    return Answer;
  };
  backend Door("127.0.0.1", "i-door", Record, Run);
  backend Leaver("127.0.0.2", "i-leaver", Record, Run);
  backend Stayer("127.0.0.3", "i-stayer", Record, Run);
  Store.put("servers/i-door", Door.entry("door", "z-b"));
  Store.put("servers/i-leaver", Leaver.entry("grid", "z-b"));
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
  // Clients of the entry's machine, each of which sends requests one after
  // another.
  std::atomic<bool> Stop = false;
  std::map<std::string, steady::time_point> Sent;
  auto SendRequests = [&](unsigned Number) {
    for (unsigned N = 0; !Stop; ++N) {
      std::string Id = "q" + std::to_string(Number) + "-" + std::to_string(N);
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Sent[Id] = steady::now();
      }
      Record.add("client: " + Id + " sent");
      call_result Result = call(Entry.outbound(), "GET", "/read/x", Id, Budget);
      Record.add("client: " + Id + " got " + std::to_string(Result.Status));
      std::this_thread::sleep_for(CallPause);
    }
  };
  std::vector<std::thread> Clients;
  for (unsigned I = 0; I < ClientCount; ++I) {
    Clients.emplace_back(SendRequests, I);
  }
  std::this_thread::sleep_for(StableWindow);
  bool WasUsed = !Leaver.runs().empty();
  Store.copyItems();
  std::this_thread::sleep_for(CopyAge);
  Store.remove("servers/i-leaver");
  std::this_thread::sleep_for(ReturnDelay);
  auto Returned = steady::now();
  if (hasTrouble()) {
    Store.returnFromCopy();
    std::this_thread::sleep_for(EntryLife);
    Store.remove("servers/i-leaver");
  } else {
    std::this_thread::sleep_for(EntryLife);
  }
  std::this_thread::sleep_for(DrainTime);
  Stop = true;
  for (std::thread &Client : Clients) {
    Client.join();
  }

  std::lock_guard<std::mutex> Lock(Mutex);
  if (!WasUsed || Acknowledged.size() < Seeds.size()) {
    giveUp("the upstream was not used before, or its leaving not learnt");
  }
  auto AllKnow = Acknowledged[Seeds.size() - 1];
  unsigned Late = 0;
  unsigned LateWhileStable = 0;
  for (const backend_request &Each : Leaver.runs()) {
    auto At = Sent.find(Each.Id);
    bool IsLate = At != Sent.end() && At->second > AllKnow + DrainTime;
    Late += IsLate ? 1 : 0;
    LateWhileStable += IsLate && At->second > Returned + StableWindow ? 1 : 0;
  }
  Record.add("result: " + std::to_string(Late) +
             " requests reached the upstream later than drainMs after the "
             "machines had acknowledged that it is gone, " +
             std::to_string(LateWhileStable) +
             " of them later than stableWindowMs after the store's return");
  std::cout << "late " << Late << ", while stable " << LateWhileStable
            << std::endl;
  return LateWhileStable > 0 ? RuleBroken : RuleHeld;
}
