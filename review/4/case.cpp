/// \file
/// A planned stop of the machine that took pipelined requests: the first answer
/// after the close of the listener ends the connection, and the requests behind
/// it, at which servers work, get no answer.

#include "../standins/stage.h"

#include <csignal>

namespace {

using namespace review;

constexpr unsigned Connections = 3;
/// Work of the requests of one connection. All end well before the last sixth
/// of graceS, 5 s after the signal.
constexpr unsigned WorkMs[] = {600, 2700, 3600};
constexpr milliseconds TimeBeforeSignal{100};

struct pipelined {
  std::string AttemptId;
  unsigned WorkMs = 0;
  bool Answered = false;
};

struct client {
  std::unique_ptr<connection> Connection;
  std::vector<pipelined> Requests;
};

void sendAll(client &Client, record_file &Record) {
  std::string Text;
  for (unsigned Work : WorkMs) {
    request_text Request;
    Request.AttemptId = newAttemptId();
    Request.Path = "/grid/ms" + std::to_string(Work) + "/" + Request.AttemptId;
    Request.DeadlineMs = 6000;
    Client.Requests.push_back({Request.AttemptId, Work, false});
    Text += format(Request);
    Record.line("sent " + Request.AttemptId + " " + Request.Path);
  }
  Client.Connection->send(Text);
}

void readAll(client &Client, record_file &Record) {
  for (pipelined &Request : Client.Requests) {
    auto Answer = Client.Connection->read(milliseconds(7000));
    if (!Answer) {
      Record.line("connection closed before the answer to " +
                  Request.AttemptId);
      return;
    }
    Request.Answered = Answer->header("attempt-id") == Request.AttemptId &&
                       Answer->secondWord() == "200";
    Record.line("answered " + Request.AttemptId + " " + Answer->StartLine +
                ", connection: " + Answer->header("connection"));
  }
}

int stopEntry(const std::string &Folder, record_file &Record) {
  deployment Deployment(
      {{"zone-a", "grid"}, {"zone-b", "grid"}, {"zone-c", "ledger"}}, Folder,
      Record);
  route Grid{"grid", "a.example", "/grid/", "grid", true, 6000};
  if (!Deployment.start(configuration(7, {Grid}, {"grid", "ledger"}))) {
    return CouldNotRun;
  }
  // The server beside this machine gets none of the requests.
  machine &Entry = *Deployment.Machines[2];
  std::vector<client> Clients(Connections);
  for (client &Client : Clients) {
    Client.Connection = Entry.connect();
    if (Client.Connection == nullptr) {
      return CouldNotRun;
    }
    sendAll(Client, Record);
  }
  std::this_thread::sleep_for(TimeBeforeSignal);
  if (!isCalm()) {
    Entry.signal(SIGTERM);
    Record.line("SIGTERM to the sidecar of " + Entry.Name);
  }
  std::vector<std::thread> Readers;
  Readers.reserve(Clients.size());
  for (client &Client : Clients) {
    Readers.emplace_back([&Client, &Record]() { readAll(Client, Record); });
  }
  for (std::thread &Reader : Readers) {
    Reader.join();
  }
  std::this_thread::sleep_for(milliseconds(1000));
  unsigned Lost = 0;
  for (const client &Client : Clients) {
    for (const pipelined &Request : Client.Requests) {
      bool PassedOn = false;
      for (auto &Machine : Deployment.Machines) {
        for (const run &Run : Machine->Server.runs()) {
          PassedOn = PassedOn || Run.AttemptId == Request.AttemptId;
        }
      }
      Lost += PassedOn && !Request.Answered ? 1 : 0;
    }
  }
  Record.line("passed on to a server and never answered: " +
              std::to_string(Lost));
  return Lost > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  return runCase(ArgumentCount, Arguments, stopEntry);
}
