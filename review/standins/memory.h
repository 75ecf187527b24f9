/// \file
/// The platform's limit on memory, and clients that notice when a process is
/// killed for it.
#pragma once

#include "stage.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Kills a sidecar that exceeds `memoryMb` and starts it again, as the platform
/// does. Only resident memory counts here.
class memory_limit {
public:
  memory_limit(deployment &Deployment, record_file &Record);
  ~memory_limit() { stop(); }
  memory_limit(const memory_limit &) = delete;
  memory_limit &operator=(const memory_limit &) = delete;

  /// Stops and records the peak of each process.
  void stop();

private:
  struct usage {
    unsigned Kills = 0;
    double PeakMb = 0.0;
  };

  void loop();

  deployment &Deployment;
  record_file &Record;
  std::vector<usage> Usage;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

/// A client with one kept connection that sends one request after the other.
class steady_client {
public:
  steady_client(const machine &Machine, std::string Prefix,
                record_file &Record);
  ~steady_client() { stop(); }
  steady_client(const steady_client &) = delete;
  steady_client &operator=(const steady_client &) = delete;

  void stop();
  /// Requests on a kept connection that was closed without an answer. Valid
  /// after stop().
  const std::vector<std::string> &unanswered() const { return Unanswered; }
  unsigned answered() const { return Answered; }

private:
  void loop(const machine &Machine);
  void useConnection(connection &Connection);

  std::string Prefix;
  record_file &Record;
  std::vector<std::string> Unanswered;
  unsigned Answered = 0;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

/// Steady clients of one machine, and the check of the rule LOST for them: more
/// than three requests of kept connections are passed on to a server, and the
/// connection is closed without an answer.
class steady_traffic {
public:
  steady_traffic(deployment &Deployment, const machine &Entry,
                 const std::string &Prefix, record_file &Record);

  /// Ends the clients and returns the exit code of the case.
  int judge();

private:
  deployment &Deployment;
  record_file &Record;
  std::vector<std::unique_ptr<steady_client>> Clients;
};

} // namespace review
