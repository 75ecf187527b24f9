/// \file
/// HTTP/1.1 messages as values, with their bodies whole in memory.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::http {

struct header {
  std::string Name;
  std::string Value;

  bool operator==(const header &) const = default;
};

using header_list = std::vector<header>;

struct request {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  header_list Headers;
  std::string Body;
  /// The connection stays open for more requests.
  bool KeepAlive = true;
};

struct response {
  std::uint16_t Status = 0;
  header_list Headers;
  std::string Body;
  bool KeepAlive = true;
};

/// The value of the first header called \p Name, or null. Names are compared
/// without regard to case.
const std::string *findHeader(const header_list &Headers,
                              std::string_view Name);

void removeHeader(header_list &Headers, std::string_view Name);

/// Sets the one header called \p Name.
void setHeader(header_list &Headers, std::string_view Name, std::string Value);

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1) and
/// those that frame the body, which are written anew.
void removeHopHeaders(header_list &Headers);

/// The path of a target, without its query.
std::string_view pathOf(std::string_view Target);

std::string formatRequest(const request &Request);

/// Writes \p Response; \p Close announces the end of the connection. The answer
/// to a HEAD request has no body.
std::string formatResponse(const response &Response, bool Close, bool IsHead);

} // namespace figplank::http
