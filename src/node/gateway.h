/// \file
/// The HTTP port for requests of routes, from local callers and from the local
/// backend server. They are dispatched like requests of templates; headers,
/// bodies and answers are forwarded unchanged.
#pragma once

#include "http/server.h"
#include "node/dialect.h"
#include "node/dispatch.h"
#include "routing/routes.h"

#include <string>

namespace figplank::node {

class gateway {
public:
  gateway(node_runtime &Node, dispatcher &Dispatcher, context_table &Contexts,
          const wire_dialect &Dialect);
  KJ_DISALLOW_COPY(gateway);

  kj::Promise<http::response> handle(http::request Request);

  /// Answers all requests that are still in progress as having an unknown
  /// outcome, and cancels them.
  void endUnfinished() { Ending->fulfill(); }

  http::server Server;

private:
  task<http::response> serve(http::request Received);
  /// Dispatches \p Request; resolves early after endUnfinished().
  kj::Promise<work_answer>
  dispatch(work_request Request, const std::shared_ptr<call_context> &Parent);
  work_request makeRequest(http::request Received,
                           const caller_request_info &CallerInfo,
                           const configuration::route &Route,
                           const call_context *Parent,
                           framework::monotonic_time Now);
  /// The request during whose run the local backend server made the call named
  /// \p Name; null if a caller sent it.
  std::shared_ptr<call_context> findParent(const std::string &Name) const;

  /// Whether the memory account leaves room for a request of \p Route, and
  /// keeps room for its answer in \p AnswerRoom.
  bool findMemory(const configuration::route &Route,
                  std::shared_ptr<framework::memory_charge> &AnswerRoom);
  /// Remembers the size of the answers of \p Route, if they are long.
  void recordAnswerSize(const std::string &Route, std::size_t Bytes);
  void recordConnectionEnd(const http::connection_record &Record);

  void countAnswer(const std::string &Route, const work_answer &Answer,
                   framework::monotonic_time Started);

  node_runtime &Node;
  dispatcher &Dispatcher;
  context_table &Contexts;
  const wire_dialect &Dialect;
  routing::weighted_round_robin RoundRobin;
  /// Expected sizes of long answers in bytes, by route.
  configuration::text_map<std::size_t> LongAnswerBytes;
  kj::Own<kj::PromiseFulfiller<void>> Ending;
  kj::ForkedPromise<void> Ended = nullptr;
};

} // namespace figplank::node
