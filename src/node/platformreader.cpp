#include "node/platformreader.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace figplank::node {
namespace {

using nlohmann::json;

constexpr int ConnectTimeoutSeconds = 1;
/// Longer than the platform holds a watch.
constexpr int ReadTimeoutSeconds = 15;
constexpr int WatchMilliseconds = 10'000;
constexpr std::chrono::milliseconds RetryPause{500};
/// Pause after news, so that changes in quick succession cost one call.
constexpr std::chrono::milliseconds GatherPause{200};

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
  json Document = json::parse(Body, nullptr, false);
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

namespace {

platform_update watch(httplib::Client &Client, std::uint64_t After) {
  std::string Path = "/v1/watch?after=" + std::to_string(After) +
                     "&wait_ms=" + std::to_string(WatchMilliseconds);
  auto Result = Client.Get(Path);
  platform_update News;
  if (!Result || Result->status != 200) {
    return News;
  }
  auto Answer = parseWatchAnswer(Result->body);
  if (!Answer) {
    return News;
  }
  News.Reached = true;
  News.Revision = Answer->Revision;
  News.Entries = std::move(Answer->Entries);
  return News;
}

} // namespace

platform_source watchSource(const std::string &Address,
                            const std::string &SourceIp) {
  auto Client = std::make_shared<httplib::Client>("http://" + Address);
  Client->set_connection_timeout(ConnectTimeoutSeconds);
  Client->set_read_timeout(ReadTimeoutSeconds);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  if (!SourceIp.empty()) {
    Client->set_interface(SourceIp);
  }
  return {[Client](std::uint64_t After) { return watch(*Client, After); },
          [Client]() { Client->stop(); }, false};
}

platform_reader::platform_reader(platform_source Source,
                                 std::function<void(platform_update)> Deliver)
    : Source(std::move(Source)), Deliver(std::move(Deliver)) {
  Thread = std::thread([this]() { loop(); });
}

platform_reader::~platform_reader() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Source.Interrupt();
  Thread.join();
}

void platform_reader::setActive(bool Wanted, std::uint64_t After) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Active == Wanted) {
      return;
    }
    Active = Wanted;
    Cursor = After;
  }
  Changed.notify_all();
}

bool platform_reader::awaitActive() {
  std::unique_lock<std::mutex> Lock(Mutex);
  Changed.wait(Lock, [this]() { return Active || Stopping; });
  return !Stopping;
}

platform_update platform_reader::readOnce() {
  std::uint64_t After = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    After = Cursor;
  }
  platform_update News = Source.Read(After);
  std::lock_guard<std::mutex> Lock(Mutex);
  // A platform that went back in time is followed from where it stands; the
  // store takes nothing older from it.
  if (News.Reached) {
    Cursor = News.Revision;
  }
  return News;
}

void platform_reader::loop() {
  while (awaitActive()) {
    platform_update News = readOnce();
    std::chrono::milliseconds Pause{0};
    if (!News.Reached) {
      Pause = RetryPause;
    } else if (!News.Entries.empty()) {
      Pause = GatherPause;
    }
    Deliver(std::move(News));
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait_for(Lock, Pause, [this]() { return Stopping; });
  }
}

} // namespace figplank::node
