/// \file
/// The byte stream between two nodes, compressed where its bytes are dear.
///
/// The side that connects chooses; the other recognises the choice by the first
/// byte. Compression keeps a small window, so that what repeats between
/// messages costs little while a connection holds some kilobytes only.
#pragma once

#include <kj/async-io.h>
#include <kj/common.h>

#include <cstdint>

namespace figplank::node {

enum class stream_coding : std::uint8_t {
  Plain,
  Compressed,
  /// As the first byte that is read tells.
  Recognise,
};

/// Wraps \p Inner. A stream that ends inside compressed data, or holds what is
/// none, fails with an exception.
kj::Own<kj::AsyncIoStream> wrapPeerStream(kj::Own<kj::AsyncIoStream> Inner,
                                          stream_coding Coding);

/// Wraps the streams that \p Inner accepts, each in the coding that it begins
/// with.
kj::Own<kj::ConnectionReceiver>
wrapPeerPort(kj::Own<kj::ConnectionReceiver> Inner);

} // namespace figplank::node
