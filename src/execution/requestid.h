/// \file
/// Request identifiers in UUIDv7 format (RFC 9562): the first 48 bits are the
/// time of issue in milliseconds since the Unix epoch.
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

/// Parses the 36-character text form. Returns nothing if \p Text is not a
/// UUIDv7.
std::optional<request_id> parseRequestId(std::string_view Text);

/// Makes an id from its binary form. Returns nothing if \p Bytes are not the 16
/// bytes of a UUIDv7.
std::optional<request_id> requestIdFromBytes(std::string_view Bytes);

/// The 36-character text form, in lower case.
std::string formatRequestId(const request_id &Id);

framework::wall_time issueTime(const request_id &Id);

/// Makes an id issued at \p Now. Its random bits are the low 12 bits of \p High
/// and the low 62 bits of \p Low.
request_id makeRequestId(framework::wall_time Now, std::uint64_t High,
                         std::uint64_t Low);

/// The id of the call \p CallName that the handler of request \p Parent makes.
/// It is the same in every run of \p Parent, so that a repeated parent request
/// does not run its child calls a second time.
request_id deriveChildId(const request_id &Parent, std::string_view CallName);

/// The 16 bytes of \p Id, as a view.
std::string_view requestIdBytes(const request_id &Id);

} // namespace figplank::execution
