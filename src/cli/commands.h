/// \file
/// The operator's commands. Each prints its result and returns its exit code.
#pragma once

#include "configuration/validation.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace figplank::cli {

/// Exit codes, documented in docs/OPERATIONS.md.
enum exit_code : int {
  Success = 0,
  /// Findings, or a request that was refused as not run.
  Refused = 1,
  BadUsage = 2,
  /// The outcome of a request is unknown.
  OutcomeUnknown = 3,
  /// A file or node could not be reached.
  Unreachable = 4,
};

enum class cli_errc { CannotReadFile, NotJson, NodeUnreachable, BadAnswer };

/// What failed and where; the error object of leaf::result here.
struct cli_error {
  cli_errc Code = cli_errc::CannotReadFile;
  std::string Location;
};

std::string describe(const cli_error &Error);

/// Reads a file that holds one JSON object of keys and values.
boost::leaf::result<nlohmann::json> readDocument(const std::string &File);

/// Checks every key and value of \p Document; places begin with \p File.
framework::findings checkDocument(const std::string &File,
                                  const nlohmann::json &Document);

/// `figplank check FILE...`
int runCheck(const std::vector<std::string> &Files, bool AsJson);

/// `figplank status ADMIN_ADDRESS`
int runStatus(const std::string &Address, bool AsJson);

/// What `figplank call` sends.
struct call_arguments {
  std::string Entry;
  std::string Template;
  std::string Organisation;
  std::string Body;
  std::string Key;
  unsigned DeadlineMs = 5'000;
  unsigned MaxAttempts = 1;
};

/// `figplank call ENTRY TEMPLATE`
int runCall(const call_arguments &Arguments, bool AsJson);

} // namespace figplank::cli
