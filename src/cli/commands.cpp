#include "cli/commands.h"

#include "client/caller.h"
#include "configuration/jsonreader.h"
#include "http/blockingcall.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace figplank::cli {
namespace {

namespace leaf = boost::leaf;
using framework::outcome;
using nlohmann::json;

constexpr framework::milliseconds StatusTimeout{3'000};

leaf::result<json> fetchStatus(const std::string &Address) {
  http::request Request{"GET",
                        "/status",
                        {{"Host", Address}, {"Connection", "close"}},
                        {},
                        false};
  http::call_result Result = http::callServer(
      Address, Request, framework::readClocks().Monotonic + StatusTimeout);
  if (!Result.Answer) {
    bool IsBroken = Result.Failure == http::call_failure::BrokenAnswer;
    return leaf::new_error(cli_error{
        IsBroken ? cli_errc::BadAnswer : cli_errc::NodeUnreachable, Address});
  }
  json Status = configuration::parseJson(Result.Answer->Body.text());
  if (Result.Answer->Status != 200 || !Status.is_object()) {
    return leaf::new_error(cli_error{cli_errc::BadAnswer, Address});
  }
  return Status;
}

int reportError(const cli_error &Error) {
  std::fprintf(stderr, "%s\n", describe(Error).c_str());
  return Unreachable;
}

json toJson(const framework::findings &Findings) {
  json Rows = json::array();
  for (const framework::finding &Finding : Findings) {
    Rows.push_back({{"place", Finding.Location},
                    {"value", Finding.Value},
                    {"problem", Finding.Problem}});
  }
  return Rows;
}

void printStatus(const json &Status) {
  for (const auto &Row : Status.items()) {
    if (Row.value().is_primitive()) {
      std::printf("%-18s %s\n", Row.key().c_str(), Row.value().dump().c_str());
    }
  }
  for (const json &Refused : Status.value("refused_entries", json::array())) {
    std::printf("refused            %s\n", Refused.dump().c_str());
  }
  std::printf("refusals           %s\n",
              Status.value("refusals", json::object()).dump().c_str());
  constexpr std::pair<const char *, const char *> RowLists[] = {
      {"readers", "reader"},
      {"routes", "route"},
      {"instances", "instance"},
      {"upstreams", "upstream"}};
  for (const auto &[Name, Label] : RowLists) {
    for (const json &Row : Status.value(Name, json::array())) {
      std::printf("%-18s %s\n", Label, Row.dump().c_str());
    }
  }
}

int exitCodeOf(outcome Outcome) {
  switch (Outcome) {
  case outcome::Completed:
    return Success;
  case outcome::NotRun:
    return Refused;
  case outcome::Unknown:
    break;
  }
  return OutcomeUnknown;
}

} // namespace

std::string describe(const cli_error &Error) {
  switch (Error.Code) {
  case cli_errc::CannotReadFile:
    return Error.Location + ": cannot be read";
  case cli_errc::NotJson:
    return Error.Location + ": is not a JSON object of keys and values";
  case cli_errc::NodeUnreachable:
    return Error.Location + ": no response from the node";
  case cli_errc::BadAnswer:
    return Error.Location + ": the response is not a node status";
  }
  return Error.Location;
}

leaf::result<json> readDocument(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    return leaf::new_error(cli_error{cli_errc::CannotReadFile, File});
  }
  std::ostringstream Text;
  Text << Stream.rdbuf();
  json Document = configuration::parseJson(Text.str());
  if (!Document.is_object()) {
    return leaf::new_error(cli_error{cli_errc::NotJson, File});
  }
  return Document;
}

framework::findings checkDocument(const std::string &File,
                                  const json &Document) {
  framework::findings AllFindings;
  for (const auto &Entry : Document.items()) {
    configuration::validation_result Result =
        configuration::validateValue(Entry.key(), Entry.value().dump());
    for (framework::finding &Finding : Result.Findings) {
      Finding.Location = File + ": " + Finding.Location;
      AllFindings.push_back(std::move(Finding));
    }
  }
  return AllFindings;
}

int runCheck(const std::vector<std::string> &Files, bool AsJson) {
  framework::findings AllFindings;
  for (const std::string &File : Files) {
    int Code = leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_AUTO(Document, readDocument(File));
          framework::findings Found = checkDocument(File, Document);
          AllFindings.insert(AllFindings.end(), Found.begin(), Found.end());
          return int{Success};
        },
        [](const cli_error &Error) { return reportError(Error); },
        []() { return int{Unreachable}; });
    if (Code != Success) {
      return Code;
    }
  }
  if (AsJson) {
    std::printf("%s\n", toJson(AllFindings).dump(2).c_str());
  } else {
    std::fputs(framework::formatFindings(AllFindings).c_str(), stdout);
    std::printf("%zu files, %zu findings\n", Files.size(), AllFindings.size());
  }
  return AllFindings.empty() ? Success : Refused;
}

int runStatus(const std::string &Address, bool AsJson) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(Status, fetchStatus(Address));
        if (AsJson) {
          std::printf("%s\n", Status.dump(2).c_str());
        } else {
          printStatus(Status);
        }
        return int{Success};
      },
      [](const cli_error &Error) { return reportError(Error); },
      []() { return int{Unreachable}; });
}

int runCall(const call_arguments &Arguments, bool AsJson) {
  client::call_request Request;
  Request.Template = Arguments.Template;
  Request.Organisation = Arguments.Organisation;
  Request.Body = Arguments.Body;
  Request.Key = Arguments.Key;
  Request.Deadline = framework::milliseconds(Arguments.DeadlineMs);
  Request.MaxAttempts = Arguments.MaxAttempts;
  client::call_answer Answer =
      client::callWithRetries({Arguments.NodeAddress}, Request);
  std::string Outcome(framework::nameOf(Answer.Outcome));
  if (AsJson) {
    json Output{{"outcome", Outcome},      {"reason", Answer.Reason},
                {"status", Answer.Status}, {"key", Answer.Key},
                {"body", Answer.Body},     {"attempts", Answer.Attempts}};
    std::printf(
        "%s\n",
        Output.dump(2, ' ', false, json::error_handler_t::replace).c_str());
  } else {
    std::fprintf(stderr, "outcome=%s reason=%s status=%u key=%s attempts=%u\n",
                 Outcome.c_str(), Answer.Reason.c_str(), Answer.Status,
                 Answer.Key.c_str(), Answer.Attempts);
    std::fputs(Answer.Body.c_str(), stdout);
    std::fputs("\n", stdout);
  }
  return exitCodeOf(Answer.Outcome);
}

} // namespace figplank::cli
