/// \file
/// The byte stream between two nodes, compressed where traffic is expensive.
///
/// The connecting side chooses the coding, and the accepting side detects it by
/// the first byte. Compression uses a small window, so that data repeated
/// between messages takes few bytes while a connection needs only a few
/// kilobytes of memory.
#pragma once

#include <kj/async-io.h>
#include <kj/common.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace figplank::node {

enum class stream_coding : std::uint8_t {
  Plain,
  Compressed,
  /// Plain or Compressed, determined by the first byte received.
  Detect,
};

/// Called with the length of a message when the whole of it was written.
using written_handler = std::function<void(std::size_t Bytes)>;

/// Wraps \p Inner. A stream that ends inside compressed data, or whose
/// compressed data is malformed, fails with kj::Exception. \p OnWritten is
/// called for messages longer than framework::MaxShortBytes; it may be empty.
kj::Own<kj::AsyncIoStream> wrapPeerStream(kj::Own<kj::AsyncIoStream> Inner,
                                          stream_coding Coding,
                                          written_handler OnWritten = {});

/// Wraps each stream that \p Inner accepts and detects its coding.
kj::Own<kj::ConnectionReceiver>
wrapPeerListener(kj::Own<kj::ConnectionReceiver> Inner);

} // namespace figplank::node
