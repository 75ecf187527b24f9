#include "node/platformreader.h"

#include "configuration/jsonreader.h"
#include "framework/logging.h"
#include "http/httplibanswer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace figplank::node {
namespace {

using nlohmann::json;

using membership::read_result;

constexpr framework::milliseconds ConnectTimeout{500};

constexpr int HttpTooManyRequests = 429;

read_result resultOf(const platform_update &Update) {
  if (Update.Reached) {
    return Update.Entries.empty() ? read_result::Unchanged
                                  : read_result::Changed;
  }
  return Update.Failure == read_failure::NoAnswer ? read_result::NoAnswer
                                                  : read_result::Failed;
}

std::optional<configuration::published_entry> parseEntry(const json &Entry) {
  bool Valid = Entry.is_object() && Entry.contains("key") &&
               Entry["key"].is_string() && Entry.contains("revision") &&
               Entry["revision"].is_number_unsigned() &&
               Entry.contains("value") &&
               (Entry["value"].is_null() || Entry["value"].is_string());
  if (!Valid) {
    return std::nullopt;
  }
  configuration::published_entry Parsed;
  Parsed.Key = Entry["key"].get<std::string>();
  Parsed.Revision = Entry["revision"].get<std::uint64_t>();
  if (Entry["value"].is_string()) {
    Parsed.Value = Entry["value"].get<std::string>();
  }
  return Parsed;
}

} // namespace

std::optional<watch_answer> parseWatchAnswer(const std::string &Body) {
  json Document = configuration::parseJson(Body);
  bool Valid = Document.is_object() && Document.contains("revision") &&
               Document["revision"].is_number_unsigned() &&
               Document.contains("entries") && Document["entries"].is_array();
  if (!Valid) {
    return std::nullopt;
  }
  watch_answer Answer;
  Answer.Revision = Document["revision"].get<std::uint64_t>();
  for (const json &Entry : Document["entries"]) {
    auto Parsed = parseEntry(Entry);
    if (!Parsed) {
      return std::nullopt;
    }
    Answer.Entries.push_back(std::move(*Parsed));
  }
  return Answer;
}

bool isPresent(const platform_update &Update) {
  return Update.Reached || Update.Failure == read_failure::RateLimited;
}

read_failure failureOf(const httplib::Result &Result,
                       framework::milliseconds Waited,
                       framework::milliseconds MaxSilence) {
  if (Result) {
    return Result->status == HttpTooManyRequests ? read_failure::RateLimited
                                                 : read_failure::Refused;
  }
  bool Unconnected = Result.error() == httplib::Error::Connection ||
                     Result.error() == httplib::Error::ConnectionTimeout;
  if (Unconnected) {
    return read_failure::NoConnection;
  }
  return Waited < MaxSilence ? read_failure::ConnectionClosed
                             : read_failure::NoAnswer;
}

namespace {

platform_update watch(httplib::Client &Client, const read_request &Request) {
  const membership::read_times &Times = Request.Times;
  std::string Path = "/v1/watch?after=" + std::to_string(Request.After) +
                     "&wait_ms=" + std::to_string(Times.Wait.count());
  const framework::milliseconds MaxSilence = Times.Wait + Times.AnswerMargin;
  Client.set_read_timeout(MaxSilence);
  const framework::monotonic_time Start = framework::readClocks().Monotonic;
  http::dropUnaskedBytes(Client);
  auto Result = Client.Get(Path);
  platform_update Update;
  if (Result && !http::isSound(*Result)) {
    Client.stop();
    Update.Failure = read_failure::Malformed;
    return Update;
  }
  if (!Result || Result->status != 200) {
    Update.Failure =
        failureOf(Result,
                  std::chrono::duration_cast<framework::milliseconds>(
                      framework::readClocks().Monotonic - Start),
                  MaxSilence);
    return Update;
  }
  auto Answer = parseWatchAnswer(Result->body);
  if (!Answer) {
    return Update;
  }
  Update.Reached = true;
  Update.Revision = Answer->Revision;
  Update.Entries = std::move(Answer->Entries);
  return Update;
}

} // namespace

platform_source watchSource(const std::string &Address,
                            const std::string &SourceIp) {
  auto Client = std::make_shared<httplib::Client>("http://" + Address);
  Client->set_connection_timeout(ConnectTimeout);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  if (!SourceIp.empty()) {
    Client->set_interface(SourceIp);
  }
  return {
      [Client](const read_request &Request) { return watch(*Client, Request); },
      [Client]() { Client->stop(); },
      false,
      {}};
}

platform_reader::platform_reader(platform_source Source,
                                 std::function<void(platform_update)> Deliver)
    : Source(std::move(Source)), Deliver(std::move(Deliver)) {
  Thread = std::thread([this]() { readLoop(); });
}

platform_reader::~platform_reader() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  StateChanged.notify_all();
  // One interruption may come before the read has begun to wait.
  constexpr std::chrono::milliseconds InterruptInterval{10};
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Finished) {
    Lock.unlock();
    Source.Interrupt();
    Lock.lock();
    StateChanged.wait_for(Lock, InterruptInterval,
                          [this]() { return Finished; });
  }
  Lock.unlock();
  Thread.join();
}

void platform_reader::setActive(bool NewActive, std::uint64_t After) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Active == NewActive) {
      return;
    }
    Active = NewActive;
    Cursor = After;
  }
  StateChanged.notify_all();
}

bool platform_reader::awaitActive() {
  std::unique_lock<std::mutex> Lock(Mutex);
  StateChanged.wait(Lock, [this]() { return Active || Stopping; });
  return !Stopping;
}

platform_update platform_reader::readOnce() {
  std::uniform_real_distribution<double> Draw;
  read_request Request;
  Request.Times = membership::planRead(TimingSettings, Timing, Draw(Random));
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Request.After = Cursor;
  }
  platform_update Update;
  try {
    Update = Source.Read(Request);
  } catch (const std::exception &Exception) {
    framework::logEvent(
        framework::log_level::Error, "platform_read_failed",
        {{"after", Request.After}, {"error", Exception.what()}});
  }
  Update.ReadAt = framework::readClocks().Monotonic;
  std::lock_guard<std::mutex> Lock(Mutex);
  // The cursor follows the platform's revision even when that has decreased.
  // The node's store ignores entries that are older than its own.
  if (Update.Reached) {
    Cursor = Update.Revision;
  }
  return Update;
}

void platform_reader::readLoop() {
  while (awaitActive()) {
    platform_update Update = readOnce();
    framework::milliseconds Delay =
        membership::recordRead(TimingSettings, Timing, resultOf(Update));
    Deliver(std::move(Update));
    std::unique_lock<std::mutex> Lock(Mutex);
    StateChanged.wait_for(Lock, Delay, [this]() { return Stopping; });
  }
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Finished = true;
  }
  StateChanged.notify_all();
}

} // namespace figplank::node
