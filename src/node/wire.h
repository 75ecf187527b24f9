/// \file
/// Conversion between the node's types and the RPC messages of node.capnp.
#pragma once

#include "configuration/configurationtypes.h"
#include "execution/home.h"
#include "membership/presence.h"
#include "node/worktypes.h"
#include "retry/suspects.h"
#include "rpc/node.capnp.h"

#include <optional>
#include <vector>

namespace figplank::node {

/// Writes \p From to \p To. The deadline is sent as remaining milliseconds, so
/// the clocks of the nodes need not be synchronised.
void writeRequest(rpc::WorkRequest::Builder To, const work_request &From,
                  std::uint64_t Attempt, framework::monotonic_time Now);

/// Returns nothing if \p From is not a valid request. The request is charged to
/// \p Account; sets \p HasRoom to false, and leaves the body out, if it finds
/// no room there.
std::optional<work_request> readRequest(rpc::WorkRequest::Reader From,
                                        framework::monotonic_time Now,
                                        framework::memory_account &Account,
                                        bool &HasRoom);

void writeAnswer(rpc::WorkAnswer::Builder To, const work_answer &From,
                 std::uint64_t Attempt);

/// Returns nothing if the answer belongs to another attempt or is invalid, as
/// with a status or a header name that HTTP does not have. The body is charged
/// to \p Account. If it finds no room there, the answer is replaced by one that
/// leaves the outcome open, for lack of memory.
std::optional<work_answer> readAnswer(rpc::WorkAnswer::Reader From,
                                      std::uint64_t Attempt,
                                      framework::memory_account &Account);

void writeEntries(capnp::List<rpc::Entry>::Builder To,
                  const std::vector<configuration::published_entry> &From);

std::vector<configuration::published_entry>
readEntries(capnp::List<rpc::Entry>::Reader From);

void writePresence(rpc::Node::ExchangeResults::Builder To,
                   const membership::presence_report &Report);
/// Returns nothing if the peer knows of no answer of the platform.
std::optional<membership::presence_report>
readPresence(rpc::Node::ExchangeResults::Reader From);

void writeCrashReport(rpc::CrashReport::Builder To,
                      const retry::crash_report &From);

retry::crash_report readCrashReport(rpc::CrashReport::Reader From);

/// Answer of a previous home of a request id that is being handed over.
struct handover_answer {
  execution::handover_verdict Verdict =
      execution::handover_verdict::Indeterminate;
  /// Valid if Verdict is Recorded.
  execution::id_record Record;
};

void writeHandover(rpc::HomeRecord::Builder To, const handover_answer &From);

handover_answer readHandover(rpc::HomeRecord::Reader From);

} // namespace figplank::node
