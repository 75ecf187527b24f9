/// \file
/// A machine is stopped while its clients read long answers that it has.
#include "harness.h"

#include <csignal>
#include <iostream>

using namespace figplank::review;

namespace {

constexpr milliseconds StartTime{8'000};
/// That of the site's non-idempotent requests.
constexpr milliseconds Budget{6'000};
constexpr milliseconds RunTime{50};
constexpr std::size_t AnswerBytes = 14'000'000;
constexpr unsigned ReaderCount = 5;
constexpr int ReceiveBytes = 65'536;
/// When the requests are sent, after the signal.
constexpr milliseconds SendDelay{300};
/// The clients are done 5.2 s after they have sent their requests.
constexpr reading_pace Pace{1'400'000, milliseconds(5'100)};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    giveUp("usage: slow_reader_stop RECORD");
  }
  record Record(Arguments[1]);
  temporary_folder Folder;
  store Store(Record);
  auto Run = [](const backend_request &Request) {
    backend_answer Answer;
    Answer.RunTime = RunTime;
    if (Request.Message.target().ends_with("/long")) {
      Answer.Body = std::string(AnswerBytes, 'b');
    }
    return Answer;
  };
  backend Door("127.0.0.1", "i-door", Record, Run);
  backend Grid("127.0.0.2", "i-grid", Record, Run);
  Store.put("servers/i-door", Door.entry("door", "z-a"));
  Store.put("servers/i-grid", Grid.entry("grid", "z-a"));
  Store.put("op/config",
            configuration(7, {{"spend", "non_idempotent", "grid", 6'000}}));
  const ports Ports = freePorts();
  const std::vector<std::string> Seeds{"127.0.0.1", "127.0.0.2"};
  sidecar Entry({"127.0.0.1", "sidecar-a-1", "door", "z-a"}, Ports,
                Door.address(), Store.address(), Seeds, Folder.path());
  sidecar Serving({"127.0.0.2", "sidecar-a-2", "grid", "z-a"}, Ports,
                  Grid.address(), Store.address(), Seeds, Folder.path());
  if (!eventually([&]() { return Entry.isReady() && Serving.isReady(); },
                  StartTime)) {
    giveUp("the sidecars are not ready");
  }
  std::this_thread::sleep_for(StableWindow);
  auto Signalled = steady::now();
  if (hasTrouble()) {
    Record.add("platform: SIGTERM to sidecar-a-1");
    Entry.signal(SIGTERM);
  }
  std::this_thread::sleep_for(SendDelay);
  std::atomic<unsigned> Lost = 0;
  std::atomic<unsigned> Complete = 0;
  auto Read = [&](unsigned Number) {
    std::string Id = "r" + std::to_string(Number);
    auto Connection = connectTo(Entry.outbound(), ReceiveBytes);
    Connection->send(requestText("POST", "/spend/long", Id, Budget));
    Record.add("client: " + Id + " sent");
    call_result Result = readSlowly(*Connection, Pace, steady::now() + Budget);
    auto End =
        std::chrono::duration_cast<milliseconds>(steady::now() - Signalled);
    Record.add("client: " + Id + " got " + std::to_string(Result.Status) +
               ", " + std::to_string(Result.BodyBytes) + " bytes" +
               (Result.IsComplete ? "" : ", connection closed") + ", " +
               std::to_string(End.count()) + " ms after the signal");
    bool IsLost = !Result.IsComplete && Grid.runsOf(Id) == 1 && End < GraceTime;
    Lost += IsLost ? 1 : 0;
    Complete += Result.IsComplete ? 1 : 0;
  };
  std::vector<std::thread> Readers;
  for (unsigned I = 0; I < ReaderCount; ++I) {
    Readers.emplace_back(Read, I);
  }
  if (hasTrouble() && Entry.awaitExit(GraceTime)) {
    auto End =
        std::chrono::duration_cast<milliseconds>(steady::now() - Signalled);
    Record.add("sidecar-a-1: has ended " + std::to_string(End.count()) +
               " ms after the signal");
  }
  for (std::thread &Reader : Readers) {
    Reader.join();
  }
  std::cout << Lost << " answers lost, " << Complete << " complete"
            << std::endl;
  Record.add("result: " + std::to_string(Lost) +
             " requests were run and their connections ended without a "
             "complete answer");
  return Lost > 0 ? RuleBroken : RuleHeld;
}
