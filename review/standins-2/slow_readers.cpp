/// \file
/// Clients read long answers slowly, and another one uploads long bodies.
#include "harness.h"

#include <iostream>

using namespace figplank::review;

namespace {

constexpr milliseconds StartTime{8'000};
constexpr milliseconds Budget{6'000};
constexpr milliseconds RunTime{50};
constexpr std::size_t AnswerBytes = 14'000'000;
constexpr std::size_t UploadBytes = 60'000'000;
constexpr unsigned ReaderCount = 7;
constexpr unsigned ReaderRounds = 3;
constexpr milliseconds UploadStart{1'500};
constexpr unsigned UploadCount = 2;
constexpr milliseconds UploadPause{1'000};
constexpr int ReceiveBytes = 65'536;
constexpr reading_pace Pace{100'000, milliseconds(4'500)};
/// Connections closed without an answer from which on the rule is broken.
constexpr unsigned MaxLost = 3;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    giveUp("usage: slow_readers RECORD");
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
  std::atomic<unsigned> Lost = 0;
  std::atomic<unsigned> Complete = 0;
  auto Read = [&](unsigned Round, unsigned Number) {
    std::string Id = "r" + std::to_string(Round) + "-" + std::to_string(Number);
    auto Connection = connectTo(Entry.outbound(), ReceiveBytes);
    // The connection is a kept one: it has carried a request before.
    Connection->send(
        requestText("POST", "/spend/short", Id + "-first", Budget));
    readSlowly(*Connection, {}, steady::now() + Budget);
    Connection->send(requestText("POST", "/spend/long", Id, Budget));
    call_result Result = readSlowly(*Connection, Pace, steady::now() + Budget);
    Record.add("client: " + Id + " got " + std::to_string(Result.Status) +
               ", " + std::to_string(Result.BodyBytes) + " bytes" +
               (Result.IsComplete ? "" : ", connection closed"));
    bool IsLost = !Result.IsComplete && Grid.runsOf(Id) == 1;
    Lost += IsLost ? 1 : 0;
    Complete += Result.IsComplete ? 1 : 0;
  };
  const std::string Body(UploadBytes, 'b');
  for (unsigned Round = 0; Round < ReaderRounds; ++Round) {
    std::vector<std::thread> Readers;
    for (unsigned I = 0; I < ReaderCount; ++I) {
      Readers.emplace_back(Read, Round, I);
    }
    std::this_thread::sleep_for(UploadStart);
    for (unsigned I = 0; hasTrouble() && I < UploadCount; ++I) {
      std::string Id = "u" + std::to_string(Round) + "-" + std::to_string(I);
      call_result Result =
          call(Entry.outbound(), "POST", "/spend/upload", Id, Budget, Body);
      Record.add("client: upload " + Id + " got " +
                 std::to_string(Result.Status) + ", Retry-After " +
                 Result.RetryAfter);
      std::this_thread::sleep_for(UploadPause);
    }
    for (std::thread &Reader : Readers) {
      Reader.join();
    }
  }
  std::cout << Lost << " answers lost, " << Complete << " complete"
            << std::endl;
  Record.add("result: " + std::to_string(Lost) +
             " kept connections closed without a complete answer");
  return Lost > MaxLost ? RuleBroken : RuleHeld;
}
