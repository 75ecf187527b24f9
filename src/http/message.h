/// \file
/// HTTP/1.1 messages as value types, with the complete body in memory.
#pragma once

#include "http/headerlist.h"
#include "http/sharedbody.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace figplank::http {

struct request {
  std::string Method;
  /// Path and query, as in the request line.
  std::string Target;
  header_list Headers;
  shared_body Body;
  /// Whether the connection stays open for further requests.
  bool KeepAlive = true;
  /// What the request is charged beside its body; null for none. Whoever works
  /// on the request keeps it.
  std::shared_ptr<const framework::memory_charge> Charge = nullptr;
};

struct response {
  std::uint16_t Status = 0;
  header_list Headers;
  shared_body Body;
  bool KeepAlive = true;
};

/// Lower statuses are those of interim responses (RFC 9110, 15.2).
constexpr std::uint16_t FirstFinalStatus = 200;

/// Interim responses to one request after which its call fails, since a faulty
/// server may send them without end.
constexpr unsigned MaxInterimResponses = 16;

/// Returns whether HTTP has responses with the status \p Status (RFC 9110, 15).
constexpr bool isValidStatus(unsigned Status) {
  constexpr unsigned Min = 100;
  constexpr unsigned Max = 599;
  return Status >= Min && Status <= Max;
}

/// Whether \p C may be part of a header name (RFC 9110, 5.6.2).
bool isTokenCharacter(char C);

/// Whether \p Text may be a header name.
bool isFieldName(std::string_view Text);

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1) and the headers that frame
/// the body, which the functions below write again.
void removeHopByHopHeaders(header_list &Headers);

/// Returns the path of a request target, without the query.
std::string_view pathOf(std::string_view Target);

/// Serialises \p Request without its body, which follows unchanged.
std::string formatRequestHead(const request &Request);

/// Whether a response with the status \p Status may have a body (RFC 9112,
/// 6.3).
bool mayHaveBody(std::uint16_t Status);

/// Serialises \p Response without its body. \p Close adds the header
/// `Connection: close`.
std::string formatResponseHead(const response &Response, bool Close);

} // namespace figplank::http
