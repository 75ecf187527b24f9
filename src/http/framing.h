/// \file
/// Checks of the bytes that frame a message: its lines, without its body.
/// http_parser is built leniently. It takes any byte for the one that has to
/// follow a CR, any two for the end of a chunk, and more than three digits for
/// a status.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace figplank::http {

/// What the next byte has to be.
enum class next_byte : std::uint8_t {
  Any,
  /// A CR, which ends the data of a chunk.
  Cr,
  /// The LF after a CR (RFC 9112, 2.2).
  Lf,
};

/// Progress within the lines of one message.
struct framing_progress {
  next_byte Next = next_byte::Any;
  /// Bytes of the status line that were checked; unused for requests.
  std::size_t StatusLineBytes = 0;
};

/// Checks the line ends in \p Bytes, the next bytes of a message that are not a
/// part of its body. Returns false if one is malformed.
bool checkLineEnds(framing_progress &Progress, std::string_view Bytes);

/// Checks the version and the status in \p Bytes, the next bytes of a response
/// that are not a part of its body. Returns false if they are malformed.
bool checkStatusLine(framing_progress &Progress, std::string_view Bytes);

} // namespace figplank::http
