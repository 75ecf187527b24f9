/// \file
/// Commands of the figplank command-line tool. Each prints its result and
/// returns the exit code.
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
  /// `check` found problems, or a request was refused and did not run.
  Refused = 1,
  BadUsage = 2,
  /// The outcome of a request is unknown.
  OutcomeUnknown = 3,
  /// A file could not be read or parsed, or a node gave no valid response.
  Unreachable = 4,
};

enum class cli_errc { CannotReadFile, NotJson, NodeUnreachable, BadAnswer };

/// What failed and where; the error object in the leaf::result of these
/// functions.
struct cli_error {
  cli_errc Code = cli_errc::CannotReadFile;
  std::string Location;
};

/// Returns the error message for operators.
std::string describe(const cli_error &Error);

/// Reads a file that contains one JSON object of configuration keys and values.
boost::leaf::result<nlohmann::json> readDocument(const std::string &File);

/// Validates all keys and values of \p Document. The locations of findings
/// begin with \p File.
framework::findings checkDocument(const std::string &File,
                                  const nlohmann::json &Document);

/// Runs `figplank check FILE...`.
int runCheck(const std::vector<std::string> &Files, bool AsJson);

/// Runs `figplank status ADMIN_ADDRESS`.
int runStatus(const std::string &Address, bool AsJson);

/// Arguments of `figplank call`.
struct call_arguments {
  /// HTTP address of the node that receives the request.
  std::string NodeAddress;
  std::string Template;
  std::string Organisation;
  std::string Body;
  std::string Key;
  unsigned DeadlineMs = 5'000;
  unsigned MaxAttempts = 1;
};

/// Runs `figplank call HTTP_ADDRESS TEMPLATE`.
int runCall(const call_arguments &Arguments, bool AsJson);

} // namespace figplank::cli
