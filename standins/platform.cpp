#include "standins/platform.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace figplank::standins {
namespace {

using nlohmann::json;

/// A waiting watch occupies one server thread.
constexpr int ServerThreadCount = 400;
constexpr std::size_t MaxResponseBytes = 1'000'000;
constexpr int ServiceUnavailable = 503;

std::uint64_t parseNumberParameter(const httplib::Request &Request,
                                   const char *Name) {
  std::string Text = Request.get_param_value(Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

platform::platform(const std::string &Address)
    : Server(std::make_unique<httplib::Server>()) {
  Server->new_task_queue = []() {
    return new httplib::ThreadPool(ServerThreadCount);
  };
  Server->set_tcp_nodelay(true);
  Server->set_keep_alive_max_count(1'000'000);
  Server->Get("/v1/watch", [this](const httplib::Request &Request,
                                  httplib::Response &Reply) {
    ++Calls;
    std::string Body =
        watch(Request.remote_addr, parseNumberParameter(Request, "after"),
              parseNumberParameter(Request, "wait_ms"));
    if (Body.empty()) {
      Reply.status = ServiceUnavailable;
      return;
    }
    Reply.set_content(Body, "application/json");
  });
  Server->Put(
      R"(/operator/values/(.+))",
      [this](const httplib::Request &Request, httplib::Response &Reply) {
        std::uint64_t Published = publish(Request.matches[1], Request.body);
        Reply.set_content(std::to_string(Published) + "\n", "text/plain");
      });
  Server->Delete(
      R"(/operator/values/(.+))",
      [this](const httplib::Request &Request, httplib::Response &Reply) {
        std::uint64_t Published = publish(Request.matches[1], "");
        Reply.set_content(std::to_string(Published) + "\n", "text/plain");
      });
  Server->Post(
      R"(/operator/mode/(up|down|stale))",
      [this](const httplib::Request &Request, httplib::Response &Reply) {
        std::string Mode = Request.matches[1];
        setMode(Mode == "up"     ? platform_mode::Up
                : Mode == "down" ? platform_mode::Down
                                 : platform_mode::Stale);
        Reply.set_content(Mode + "\n", "text/plain");
      });
  std::size_t Colon = Address.rfind(':');
  if (!Server->bind_to_port(Address.substr(0, Colon),
                            std::stoi(Address.substr(Colon + 1)))) {
    throw std::runtime_error("cannot bind " + Address);
  }
  Thread = std::thread([this]() { Server->listen_after_bind(); });
}

platform::~platform() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  StateChanged.notify_all();
  Server->stop();
  Thread.join();
}

std::uint64_t platform::publish(const std::string &Key,
                                const std::string &Value) {
  std::uint64_t Published = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Published = ++Revision;
    Entries[Key] = {Key, Published, Value};
    History[Published] = Entries[Key];
  }
  StateChanged.notify_all();
  return Published;
}

void platform::setMode(platform_mode NewMode) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Mode = NewMode;
    StaleRevision = Revision;
  }
  StateChanged.notify_all();
}

std::uint64_t platform::revision() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Revision;
}

std::uint64_t platform::visibleRevision() const {
  return Mode == platform_mode::Stale ? StaleRevision : Revision;
}

std::string platform::formatEntriesAfter(std::uint64_t After) const {
  std::uint64_t Visible = visibleRevision();
  json EntryList = json::array();
  std::uint64_t LastRevision = Visible;
  std::size_t Bytes = 0;
  std::map<std::string, std::uint64_t> LatestRevisions;
  auto End = History.upper_bound(Visible);
  for (auto It = History.upper_bound(After); It != End; ++It) {
    LatestRevisions[It->second.Key] = It->first;
  }
  for (auto It = History.upper_bound(After); It != End; ++It) {
    const configuration::published_entry &Entry = It->second;
    if (LatestRevisions[Entry.Key] != It->first) {
      continue;
    }
    Bytes += Entry.Key.size() + Entry.Value.size();
    if (Bytes > MaxResponseBytes && !EntryList.empty()) {
      LastRevision = It->first - 1;
      break;
    }
    json Row{{"key", Entry.Key}, {"revision", Entry.Revision}};
    Row["value"] = Entry.Value.empty() ? json(nullptr) : json(Entry.Value);
    EntryList.push_back(std::move(Row));
  }
  return json{{"revision", LastRevision}, {"entries", std::move(EntryList)}}
      .dump();
}

void platform::block(const std::vector<std::string> &Prefixes) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    BlockedPrefixes = Prefixes;
  }
  StateChanged.notify_all();
}

bool platform::isBlocked(const std::string &Source) const {
  return std::any_of(
      BlockedPrefixes.begin(), BlockedPrefixes.end(),
      [&](const std::string &Prefix) { return Source.starts_with(Prefix); });
}

std::string platform::watch(const std::string &Source, std::uint64_t After,
                            std::uint64_t WaitMs) {
  std::unique_lock<std::mutex> Lock(Mutex);
  auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(WaitMs);
  auto IsRefused = [&]() {
    return Stopping || Mode == platform_mode::Down || isBlocked(Source);
  };
  while (!IsRefused() && visibleRevision() <= After) {
    if (StateChanged.wait_until(Lock, Deadline) == std::cv_status::timeout) {
      break;
    }
  }
  if (IsRefused()) {
    return {};
  }
  return formatEntriesAfter(After);
}

} // namespace figplank::standins
