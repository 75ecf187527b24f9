/// \file
/// Access to HTTP headers that KJ has parsed.
#pragma once

#include <kj/compat/http.h>

#include <string>

namespace figplank::framework {

/// Returns the value of a header, or an empty string if it is absent.
inline std::string headerText(const kj::HttpHeaders &Headers,
                              kj::HttpHeaderId Id) {
  KJ_IF_MAYBE (Text, Headers.get(Id)) {
    return {Text->cStr(), Text->size()};
  }
  return {};
}

} // namespace figplank::framework
