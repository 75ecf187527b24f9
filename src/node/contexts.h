/// \file
/// The requests that the local backend server is running. Each call that it
/// makes names one of these requests by a token and inherits rank,
/// organisation, deadline and retry budget from that request. The node trusts
/// nothing else that a call inside a chain claims about itself.
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
  /// The running request, without its body.
  work_request Request;
  retry::retry_budget Budget;
  /// Minimum of the shares reported by the answers to child calls.
  double MinChildShare = 1.0;
  /// A child call was refused or lost. A failure of this request is then
  /// attributed to the child call and not retried at this level.
  bool ChildFailed = false;
  /// Number of child calls so far, by template, to number unnamed calls.
  std::map<std::string, unsigned> CallCounts;
};

/// Contexts by token.
using context_table =
    std::unordered_map<std::string, std::shared_ptr<call_context>>;

} // namespace figplank::node
