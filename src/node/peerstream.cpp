#include "node/peerstream.h"

#include "framework/coroutine.h"
#include "framework/memoryaccount.h"

#include <kj/debug.h>
#include <zlib.h>

#include <algorithm>
#include <array>
#include <string>

namespace figplank::node {
namespace {

using framework::task;

/// Base-two logarithm of the history size: two kilobytes, about two calls.
constexpr int WindowBits = 11;
constexpr int MemoryLevel = 3;
constexpr std::size_t ReadBufferBytes = 4096;
/// Size up to which the pieces of a message are compressed together.
constexpr std::size_t MaxJoinedBytes = std::size_t{64} << 10U;
/// Bytes that a flush may add to the bound that deflateBound returns.
constexpr std::size_t FlushBytes = 16;
/// First byte of a zlib stream with this window size. A Cap'n Proto stream
/// begins with its number of segments minus one, which is far smaller.
constexpr unsigned char ZlibFirstByte = ((WindowBits - 8) << 4) | Z_DEFLATED;

/// zlib state of both directions of a stream.
class codec {
public:
  codec() {
    // Fixed Huffman codes, because building dynamic codes for each short
    // message costs more than they save.
    KJ_REQUIRE(deflateInit2(&Deflate, Z_BEST_SPEED, Z_DEFLATED, WindowBits,
                            MemoryLevel, Z_FIXED) == Z_OK);
    KJ_REQUIRE(inflateInit2(&Inflate, WindowBits) == Z_OK);
  }
  ~codec() {
    deflateEnd(&Deflate);
    inflateEnd(&Inflate);
  }
  KJ_DISALLOW_COPY(codec);

  /// Compresses \p Bytes and flushes, so that the receiver can decode all of
  /// them.
  std::string compress(kj::ArrayPtr<const kj::byte> Bytes) {
    std::string Out(deflateBound(&Deflate, Bytes.size()) + FlushBytes, '\0');
    Deflate.next_in = const_cast<kj::byte *>(Bytes.begin());
    Deflate.avail_in = static_cast<uInt>(Bytes.size());
    Deflate.next_out = reinterpret_cast<Bytef *>(Out.data());
    Deflate.avail_out = static_cast<uInt>(Out.size());
    int Result = deflate(&Deflate, Z_SYNC_FLUSH);
    KJ_REQUIRE(Result == Z_OK && Deflate.avail_out > 0, Result);
    Out.resize(Out.size() - Deflate.avail_out);
    return Out;
  }

  /// Sets the input of decompress. \p Compressed must stay valid until all of
  /// it has been decompressed.
  void setInput(kj::ArrayPtr<const kj::byte> Compressed) {
    Inflate.next_in = const_cast<kj::byte *>(Compressed.begin());
    Inflate.avail_in = static_cast<uInt>(Compressed.size());
  }

  /// Decompresses up to \p Size bytes of the input into \p To. Returns their
  /// number.
  std::size_t decompress(kj::byte *To, std::size_t Size) {
    Inflate.next_out = To;
    Inflate.avail_out = static_cast<uInt>(Size);
    int Result = inflate(&Inflate, Z_SYNC_FLUSH);
    bool Valid = Result == Z_OK || Result == Z_BUF_ERROR;
    KJ_REQUIRE(Valid, "malformed compressed stream", Result);
    return Size - Inflate.avail_out;
  }

private:
  z_stream Deflate{};
  z_stream Inflate{};
};

class peer_stream final : public kj::AsyncIoStream {
public:
  peer_stream(kj::Own<kj::AsyncIoStream> Stream, stream_coding Coding,
              written_handler OnWritten)
      : Inner(kj::mv(Stream)), Coding(Coding), OnWritten(std::move(OnWritten)) {
    if (Coding == stream_coding::Compressed) {
      Codec = kj::heap<codec>();
    }
  }
  KJ_DISALLOW_COPY(peer_stream);

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t MinBytes,
                                   std::size_t MaxBytes) override {
    auto *To = static_cast<kj::byte *>(Buffer);
    std::size_t Received = takeBuffered(To, MaxBytes);
    if (Received >= MinBytes) {
      return Received;
    }
    return readMore(To, Received, MinBytes, MaxBytes);
  }

  kj::Promise<void> write(const void *From, std::size_t Size) override {
    if (Coding != stream_coding::Compressed) {
      return Inner->write(From, Size);
    }
    return writeOwned(
        Codec->compress({static_cast<const kj::byte *>(From), Size}));
  }

  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    std::size_t Size = 0;
    for (kj::ArrayPtr<const kj::byte> Piece : Pieces) {
      Size += Piece.size();
    }
    if (!OnWritten || Size <= framework::MaxShortBytes) {
      return writePieces(Pieces, Size);
    }
    return writePieces(Pieces, Size).then([this, Size]() { OnWritten(Size); });
  }

  kj::Promise<void> whenWriteDisconnected() override {
    return Inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { Inner->shutdownWrite(); }
  void abortRead() override { Inner->abortRead(); }

private:
  kj::Promise<void>
  writePieces(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces,
              std::size_t Size) {
    if (Coding != stream_coding::Compressed) {
      return Inner->write(Pieces);
    }
    if (Size > MaxJoinedBytes) {
      return writeSlices(Pieces);
    }
    std::string Joined;
    Joined.reserve(Size);
    for (kj::ArrayPtr<const kj::byte> Piece : Pieces) {
      Joined.append(reinterpret_cast<const char *>(Piece.begin()),
                    Piece.size());
    }
    return write(Joined.data(), Joined.size());
  }

  /// Compresses and writes a long message slice by slice, so that it isn't held
  /// a second time.
  task<void>
  writeSlices(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) {
    for (kj::ArrayPtr<const kj::byte> Piece : Pieces) {
      for (std::size_t Start = 0; Start < Piece.size();
           Start += MaxJoinedBytes) {
        std::size_t End = std::min(Start + MaxJoinedBytes, Piece.size());
        co_await writeOwned(Codec->compress(Piece.slice(Start, End)));
      }
    }
  }

  /// Writes \p Out and keeps it alive until it is written.
  kj::Promise<void> writeOwned(std::string Out) {
    auto Owned = kj::heap<std::string>(kj::mv(Out));
    kj::Promise<void> Written = Inner->write(Owned->data(), Owned->size());
    return Written.attach(kj::mv(Owned));
  }

  /// Copies up to \p MaxBytes bytes of the buffered input to \p To,
  /// decompressed if the stream is compressed. Returns their number.
  std::size_t takeBuffered(kj::byte *To, std::size_t MaxBytes) {
    if (Codec.get() != nullptr) {
      return Codec->decompress(To, MaxBytes);
    }
    std::size_t Size = std::min(MaxBytes, Buffered.size());
    std::copy_n(Buffered.begin(), Size, To);
    Buffered = Buffered.slice(Size, Buffered.size());
    return Size;
  }

  task<std::size_t> readMore(kj::byte *To, std::size_t Received,
                             std::size_t MinBytes, std::size_t MaxBytes) {
    while (Received < MinBytes) {
      bool Large = MinBytes - Received > ReadBuffer.size();
      if (Large && Coding == stream_coding::Plain) {
        std::size_t Rest = co_await Inner->tryRead(
            To + Received, MinBytes - Received, MaxBytes - Received);
        co_return Received + Rest;
      }
      std::size_t Read =
          co_await Inner->tryRead(ReadBuffer.data(), 1, ReadBuffer.size());
      if (Read == 0) {
        break;
      }
      buffer({ReadBuffer.data(), Read});
      Received += takeBuffered(To + Received, MaxBytes - Received);
    }
    co_return Received;
  }

  /// Buffers \p Read, which lies in ReadBuffer, and detects the coding by the
  /// first byte if it is not known yet.
  void buffer(kj::ArrayPtr<const kj::byte> Read) {
    if (Coding == stream_coding::Detect) {
      bool Compressed = Read[0] == ZlibFirstByte;
      Coding = Compressed ? stream_coding::Compressed : stream_coding::Plain;
      if (Compressed) {
        Codec = kj::heap<codec>();
      }
    }
    if (Codec.get() != nullptr) {
      Codec->setInput(Read);
    } else {
      Buffered = Read;
    }
  }

  kj::Own<kj::AsyncIoStream> Inner;
  stream_coding Coding;
  written_handler OnWritten;
  kj::Own<codec> Codec;
  /// Input buffer, so that one read of Inner serves both reads that Cap'n Proto
  /// makes per message.
  std::array<kj::byte, ReadBufferBytes> ReadBuffer;
  kj::ArrayPtr<const kj::byte> Buffered;
};

class peer_listener final : public kj::ConnectionReceiver {
public:
  explicit peer_listener(kj::Own<kj::ConnectionReceiver> Receiver)
      : Inner(kj::mv(Receiver)) {}
  KJ_DISALLOW_COPY(peer_listener);

  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override {
    return Inner->accept().then([](kj::Own<kj::AsyncIoStream> Stream) {
      return wrapPeerStream(kj::mv(Stream), stream_coding::Detect);
    });
  }
  unsigned getPort() override { return Inner->getPort(); }

private:
  kj::Own<kj::ConnectionReceiver> Inner;
};

} // namespace

kj::Own<kj::AsyncIoStream> wrapPeerStream(kj::Own<kj::AsyncIoStream> Inner,
                                          stream_coding Coding,
                                          written_handler OnWritten) {
  return kj::heap<peer_stream>(kj::mv(Inner), Coding, std::move(OnWritten));
}

kj::Own<kj::ConnectionReceiver>
wrapPeerListener(kj::Own<kj::ConnectionReceiver> Inner) {
  return kj::heap<peer_listener>(kj::mv(Inner));
}

} // namespace figplank::node
