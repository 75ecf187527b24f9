/// \file
/// How requests of routes and their answers look on the wire: the headers that
/// name a request, its deadline and what became of it. A deployment brings its
/// own; everything behind it deals in the node's types.
#pragma once

#include "node/backend.h"
#include "node/worktypes.h"

#include <optional>
#include <string>

namespace figplank::node {

/// What the headers of a caller's request say of it.
struct caller_request_info {
  /// The caller's own name of the request; empty where it gave none.
  std::string RequestName;
  /// How long the caller will wait.
  std::optional<framework::milliseconds> Remaining;
};

/// Free functions over plain values, so that tests may bring their own.
struct wire_dialect {
  caller_request_info (*ReadCallerRequest)(const http::header_list &Headers) =
      nullptr;
  /// The answer to a caller; \p Answer may be a backend server's or a refusal.
  http::response (*WriteCallerAnswer)(const work_answer &Answer,
                                      const std::string &Name,
                                      bool Idempotent) = nullptr;
  /// The request to the backend server, with \p RemainingMs left.
  http::request (*WriteBackendRequest)(const work_request &Request,
                                       std::uint32_t RemainingMs) = nullptr;
  /// Whether \p Response answers the request called \p Name.
  bool (*AnswersRequest)(const http::response &Response,
                         const std::string &Name) = nullptr;
  backend_answer (*ReadBackendAnswer)(http::response Response) = nullptr;
};

} // namespace figplank::node
