/// \file
/// The wire format of requests of routes and their answers: the headers that
/// carry the name of a request, its deadline and its outcome. Each deployment
/// supplies its own dialect; the rest of the node uses only the node's types.
#pragma once

#include "node/backend.h"
#include "node/worktypes.h"

#include <optional>
#include <string>

namespace figplank::node {

/// Information from the headers of a caller's request.
struct caller_request_info {
  /// The name that the caller gave the request; empty if it gave none.
  std::string RequestName;
  /// Time for which the caller waits for the answer, if it says so.
  std::optional<framework::milliseconds> Remaining;
};

/// Pointers to free functions, so that tests can supply their own.
struct wire_dialect {
  caller_request_info (*ReadCallerRequest)(const http::header_list &Headers) =
      nullptr;
  /// Builds the response to a caller. \p Answer is that of a backend server or
  /// a refusal.
  http::response (*WriteCallerAnswer)(const work_answer &Answer,
                                      const std::string &Name,
                                      bool Idempotent) = nullptr;
  /// Builds the request to the backend server, whose deadline is \p RemainingMs
  /// away.
  http::request (*WriteBackendRequest)(const work_request &Request,
                                       std::uint32_t RemainingMs) = nullptr;
  /// Whether \p Response answers the request with the name \p Name.
  bool (*AnswersRequest)(const http::response &Response,
                         const std::string &Name) = nullptr;
  backend_answer (*ReadBackendAnswer)(http::response Response) = nullptr;
};

} // namespace figplank::node
