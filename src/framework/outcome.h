/// \file
/// Outcomes of requests and reasons for refusals. Responses, metrics and logs
/// use the same names for them.
#pragma once

#include "framework/enumnames.h"

#include <cstdint>

namespace figplank::framework {

/// What a response states about the execution of its request.
enum class outcome : std::uint8_t {
  /// The backend server's complete response is in the body.
  Completed,
  /// The request was not executed and never will be under its identifier.
  NotRun,
  /// The request may have been executed, may be running, or neither.
  Unknown,
};

inline constexpr std::array<enum_name<outcome>, 3> OutcomeNames{{
    {outcome::Completed, "completed"},
    {outcome::NotRun, "not_run"},
    {outcome::Unknown, "unknown"},
}};

/// Why a request was not completed.
enum class refusal_reason : std::uint8_t {
  None,
  MalformedRequest,
  BodyTooLarge,
  UnknownTemplate,
  UnknownOrganisation,
  MissingId,
  InvalidId,
  IdFromFuture,
  IdExpired,
  IdBeforeStart,
  HomeMoved,
  HomeUnreachable,
  OutcomeTableFull,
  NoConfiguration,
  NoUpstream,
  UpstreamUnreachable,
  UnknownContext,
  Draining,
  DeadlinePassed,
  DeadlineUnreachable,
  Overload,
  QueueFull,
  BackendShed,
  BackendUnreachable,
  BackendFailed,
  ConnectionLost,
  SuspectRequest,
  JustResumed,
  RoundTooLarge,
  ChildRefused,
  UnknownRoute,
  /// The address now belongs to another instance of a backend server.
  WrongInstance,
  /// The backend server named a limit on requests per second, which is used up.
  ServerLimit,
  /// The memory account of the process had no room.
  MemoryShort,
};

/// A refusal reason, its name, and the HTTP status of responses that give it.
struct refusal_row {
  refusal_reason Reason;
  std::string_view Name;
  std::uint16_t Status;
};

inline constexpr std::array<refusal_row, 34> RefusalTable{{
    {refusal_reason::None, "none", 200},
    {refusal_reason::MalformedRequest, "malformed_request", 400},
    {refusal_reason::BodyTooLarge, "body_too_large", 413},
    {refusal_reason::UnknownTemplate, "unknown_template", 404},
    {refusal_reason::UnknownOrganisation, "unknown_organisation", 403},
    {refusal_reason::MissingId, "missing_id", 400},
    {refusal_reason::InvalidId, "invalid_id", 400},
    {refusal_reason::IdFromFuture, "id_from_future", 400},
    {refusal_reason::IdExpired, "id_expired", 409},
    {refusal_reason::IdBeforeStart, "id_before_start", 409},
    {refusal_reason::HomeMoved, "home_moved", 503},
    {refusal_reason::HomeUnreachable, "home_unreachable", 503},
    {refusal_reason::OutcomeTableFull, "outcome_table_full", 503},
    {refusal_reason::NoConfiguration, "no_configuration", 503},
    {refusal_reason::NoUpstream, "no_upstream", 503},
    {refusal_reason::UpstreamUnreachable, "upstream_unreachable", 503},
    {refusal_reason::UnknownContext, "unknown_context", 400},
    {refusal_reason::Draining, "draining", 503},
    {refusal_reason::DeadlinePassed, "deadline_passed", 504},
    {refusal_reason::DeadlineUnreachable, "deadline_unreachable", 503},
    {refusal_reason::Overload, "overload", 503},
    {refusal_reason::QueueFull, "queue_full", 503},
    {refusal_reason::BackendShed, "backend_shed", 503},
    {refusal_reason::BackendUnreachable, "backend_unreachable", 503},
    {refusal_reason::BackendFailed, "backend_failed", 502},
    {refusal_reason::ConnectionLost, "connection_lost", 502},
    {refusal_reason::SuspectRequest, "suspect_request", 422},
    {refusal_reason::JustResumed, "woke_late", 503},
    {refusal_reason::RoundTooLarge, "round_too_large", 503},
    {refusal_reason::ChildRefused, "child_refused", 503},
    {refusal_reason::UnknownRoute, "unknown_route", 404},
    {refusal_reason::WrongInstance, "wrong_instance", 503},
    {refusal_reason::ServerLimit, "server_limit", 503},
    {refusal_reason::MemoryShort, "memory_short", 503},
}};

/// Returns the row of \p Reason. The row index is the enumerator's value.
constexpr const refusal_row &refusalRow(refusal_reason Reason) {
  auto Index = static_cast<std::size_t>(Reason);
  return RefusalTable[Index < RefusalTable.size() ? Index : 0];
}

constexpr std::string_view nameOf(refusal_reason Reason) {
  return refusalRow(Reason).Name;
}
constexpr std::string_view nameOf(outcome Outcome) {
  return nameOf(OutcomeNames, Outcome);
}

} // namespace figplank::framework
