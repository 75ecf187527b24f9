/// \file
/// The HTTP port for callers and for the calls that the local backend server
/// makes. docs/CALLERS.md documents it for callers.
///
/// NOTE This port is served by kj-http on the node's event loop and not by
/// cpp-httplib: cpp-httplib 0.11 does not notify a handler when its caller
/// disconnects, and it needs one thread per open connection. docs/DESIGN.md
/// gives the reasons.
#pragma once

#include "node/dispatch.h"
#include "node/rounds.h"

#include <kj/compat/http.h>

#include <memory>

namespace figplank::node {

/// The header ids of callers' requests and their answers.
struct caller_headers {
  kj::Own<kj::HttpHeaderTable> Table;
  kj::HttpHeaderId Organisation;
  kj::HttpHeaderId IdempotencyKey;
  kj::HttpHeaderId DeadlineMs;
  kj::HttpHeaderId Attempt;
  kj::HttpHeaderId Context;
  kj::HttpHeaderId Call;
  kj::HttpHeaderId Outcome;
  kj::HttpHeaderId Reason;
  kj::HttpHeaderId RetryAfter;
  kj::HttpHeaderId RetryAfterMs;
};

caller_headers makeCallerHeaders();

class caller_service final : public kj::HttpService,
                             public kj::HttpServerErrorHandler {
public:
  caller_service(node_runtime &Node, dispatcher &Dispatcher,
                 round_service &Rounds, context_table &Contexts);

  const kj::HttpHeaderTable &headerTable() const { return *Headers.Table; }

  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &Received,
                            kj::AsyncInputStream &Body,
                            Response &Reply) override;

  kj::Promise<void>
  handleClientProtocolError(kj::HttpHeaders::ProtocolError Error,
                            Response &Reply) override;

  /// Returns the service for one connection. It cancels the requests in
  /// progress when the caller closes the connection.
  kj::Own<kj::HttpService> serveConnection(kj::AsyncIoStream &Stream);

private:
  /// A parsed request, or the reason why it is refused.
  struct parsed_call {
    framework::refusal_reason Reason = framework::refusal_reason::None;
    work_request Request;
    std::uint32_t MaxBodyBytes = 0;
    std::shared_ptr<call_context> Parent;
    bool IsRound = false;
    /// The caller sent a valid id.
    bool HasId = false;
    framework::monotonic_time RoundDeadline;
  };

  task<void> serve(parsed_call Call, kj::AsyncInputStream &Body,
                   Response &Reply);
  parsed_call parse(kj::HttpMethod Method, kj::StringPtr Url,
                    const kj::HttpHeaders &Received);
  void parseRoot(parsed_call &Call, const std::string &Template,
                 const kj::HttpHeaders &Received);
  void parseChild(parsed_call &Call, const std::string &Template,
                  const std::string &Token, const kj::HttpHeaders &Received);
  /// Reads the body into the request, or sets the reason for refusing it.
  task<void> readBody(parsed_call &Call, kj::AsyncInputStream &Body);
  task<work_answer> dispatch(parsed_call Call);
  task<work_answer> dispatchRound(parsed_call Call);
  void parseRoundDeadline(parsed_call &Call, const kj::HttpHeaders &Received);
  task<void> reply(Response &Reply, const work_answer &Answer, std::string Id);

  node_runtime &Node;
  dispatcher &Dispatcher;
  round_service &Rounds;
  context_table &Contexts;
  caller_headers Headers;
};

} // namespace figplank::node
