/// \file
/// The requests that the backend server is running. Its own calls name one of
/// them by a token, and inherit rank, organisation, deadline and budget from
/// it; the node believes nothing else about a call inside a chain.
#pragma once

#include "node/worktypes.h"
#include "retry/budget.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace figplank::node {

struct call_context {
  std::string Token;
  /// The request that runs; its body is not kept.
  work_request Request;
  retry::retry_budget Budget;
  /// Least share that the answers to child calls carried.
  double ChildShare = 1.0;
  /// A child call was refused or lost; failures of this request are its
  /// consequence and no reason to try again here.
  bool ChildFailed = false;
  /// Child calls so far, by name, to number unnamed ones.
  std::map<std::string, unsigned> CallCounts;
};

/// By token.
using context_table =
    std::unordered_map<std::string, std::shared_ptr<call_context>>;

} // namespace figplank::node
