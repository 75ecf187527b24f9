/// \file
/// Request identifiers: UUIDv7 (RFC 9562), whose first 48 bits are the wall
/// time of issue in milliseconds.
#pragma once

#include "framework/timetypes.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figplank::execution {

struct request_id {
  std::array<std::uint8_t, 16> Bytes{};

  // NOLINTNEXTLINE(readability-identifier-naming): of the generated function.
  auto operator<=>(const request_id &) const = default;
};

/// Hash for unordered containers.
struct request_id_hash {
  std::size_t operator()(const request_id &Id) const;
};

/// Parses the 36-character text form; nothing unless it is a UUIDv7.
std::optional<request_id> parseRequestId(std::string_view Text);

/// The id of 16 bytes; nothing for another length.
std::optional<request_id> requestIdFromBytes(std::string_view Bytes);

std::string formatRequestId(const request_id &Id);

/// The id's time of issue.
framework::wall_time issueTime(const request_id &Id);

/// Makes an id issued at \p Now with \p High and \p Low as its random bits.
request_id makeRequestId(framework::wall_time Now, std::uint64_t High,
                         std::uint64_t Low);

/// The id of the call \p CallName made by the run of \p Parent: the same for
/// every run, so that a repeated parent repeats no child.
request_id deriveChildId(const request_id &Parent, std::string_view CallName);

std::string_view asText(const request_id &Id);

} // namespace figplank::execution
