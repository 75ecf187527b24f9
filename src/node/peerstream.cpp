#include "node/peerstream.h"

#include "framework/coroutine.h"

#include <kj/debug.h>
#include <zlib.h>

#include <algorithm>
#include <array>
#include <string>

namespace figplank::node {
namespace {

using framework::task;

/// Two kilobytes of history, about two calls.
constexpr int WindowBits = 11;
constexpr int MemoryLevel = 3;
constexpr std::size_t AheadBytes = 4096;
/// What a flush adds to the bound that zlib tells.
constexpr std::size_t FlushBytes = 16;
/// First byte of a zlib stream with this window. A Cap'n Proto stream begins
/// with its number of segments less one, far below.
constexpr unsigned char CompressedMark = ((WindowBits - 8) << 4) | Z_DEFLATED;

/// State of both directions of zlib.
class codec {
public:
  codec() {
    // Fixed codes: building some for each short message costs more than they
    // save.
    KJ_REQUIRE(deflateInit2(&Deflate, Z_BEST_SPEED, Z_DEFLATED, WindowBits,
                            MemoryLevel, Z_FIXED) == Z_OK);
    KJ_REQUIRE(inflateInit2(&Inflate, WindowBits) == Z_OK);
  }
  ~codec() {
    deflateEnd(&Deflate);
    inflateEnd(&Inflate);
  }
  KJ_DISALLOW_COPY(codec);

  /// Compresses \p Bytes so that all of them can be read at the other side.
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

  void give(kj::ArrayPtr<const kj::byte> Compressed) {
    Inflate.next_in = const_cast<kj::byte *>(Compressed.begin());
    Inflate.avail_in = static_cast<uInt>(Compressed.size());
  }

  /// Takes up to \p Size bytes out of what was given.
  std::size_t take(kj::byte *To, std::size_t Size) {
    Inflate.next_out = To;
    Inflate.avail_out = static_cast<uInt>(Size);
    int Result = inflate(&Inflate, Z_SYNC_FLUSH);
    bool Sound = Result == Z_OK || Result == Z_BUF_ERROR;
    KJ_REQUIRE(Sound, "malformed compressed stream", Result);
    return Size - Inflate.avail_out;
  }

private:
  z_stream Deflate{};
  z_stream Inflate{};
};

class peer_stream final : public kj::AsyncIoStream {
public:
  peer_stream(kj::Own<kj::AsyncIoStream> Given, stream_coding Coding)
      : Inner(kj::mv(Given)), Coding(Coding) {
    if (Coding == stream_coding::Compressed) {
      Codec = kj::heap<codec>();
    }
  }
  KJ_DISALLOW_COPY(peer_stream);

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t Least,
                                   std::size_t Most) override {
    auto *To = static_cast<kj::byte *>(Buffer);
    std::size_t Got = takeHeld(To, Most);
    if (Got >= Least) {
      return Got;
    }
    return readMore(To, Got, Least, Most);
  }

  kj::Promise<void> write(const void *From, std::size_t Size) override {
    if (Coding != stream_coding::Compressed) {
      return Inner->write(From, Size);
    }
    return writeOut(
        Codec->compress({static_cast<const kj::byte *>(From), Size}));
  }

  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    if (Coding != stream_coding::Compressed) {
      return Inner->write(Pieces);
    }
    std::string Joined;
    for (kj::ArrayPtr<const kj::byte> Piece : Pieces) {
      Joined.append(reinterpret_cast<const char *>(Piece.begin()),
                    Piece.size());
    }
    return write(Joined.data(), Joined.size());
  }

  kj::Promise<void> whenWriteDisconnected() override {
    return Inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { Inner->shutdownWrite(); }
  void abortRead() override { Inner->abortRead(); }

private:
  kj::Promise<void> writeOut(std::string Out) {
    auto Kept = kj::heap<std::string>(kj::mv(Out));
    kj::Promise<void> Written = Inner->write(Kept->data(), Kept->size());
    return Written.attach(kj::mv(Kept));
  }

  /// Takes what was read ahead.
  std::size_t takeHeld(kj::byte *To, std::size_t Most) {
    if (Codec.get() != nullptr) {
      return Codec->take(To, Most);
    }
    std::size_t Size = std::min(Most, Held.size());
    std::copy_n(Held.begin(), Size, To);
    Held = Held.slice(Size, Held.size());
    return Size;
  }

  task<std::size_t> readMore(kj::byte *To, std::size_t Got, std::size_t Least,
                             std::size_t Most) {
    while (Got < Least) {
      bool Large = Least - Got > Ahead.size();
      if (Large && Coding == stream_coding::Plain) {
        std::size_t Rest =
            co_await Inner->tryRead(To + Got, Least - Got, Most - Got);
        co_return Got + Rest;
      }
      std::size_t Read = co_await Inner->tryRead(Ahead.data(), 1, Ahead.size());
      if (Read == 0) {
        break;
      }
      hold({Ahead.data(), Read});
      Got += takeHeld(To + Got, Most - Got);
    }
    co_return Got;
  }

  void hold(kj::ArrayPtr<const kj::byte> Read) {
    if (Coding == stream_coding::Recognise) {
      bool Compressed = Read[0] == CompressedMark;
      Coding = Compressed ? stream_coding::Compressed : stream_coding::Plain;
      if (Compressed) {
        Codec = kj::heap<codec>();
      }
    }
    if (Codec.get() != nullptr) {
      Codec->give(Read);
    } else {
      Held = Read;
    }
  }

  kj::Own<kj::AsyncIoStream> Inner;
  stream_coding Coding;
  kj::Own<codec> Codec;
  /// Read in one piece, since a message is asked for in two.
  std::array<kj::byte, AheadBytes> Ahead;
  kj::ArrayPtr<const kj::byte> Held;
};

class peer_port final : public kj::ConnectionReceiver {
public:
  explicit peer_port(kj::Own<kj::ConnectionReceiver> Given)
      : Inner(kj::mv(Given)) {}
  KJ_DISALLOW_COPY(peer_port);

  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override {
    return Inner->accept().then([](kj::Own<kj::AsyncIoStream> Stream) {
      return wrapPeerStream(kj::mv(Stream), stream_coding::Recognise);
    });
  }
  unsigned getPort() override { return Inner->getPort(); }

private:
  kj::Own<kj::ConnectionReceiver> Inner;
};

} // namespace

kj::Own<kj::AsyncIoStream> wrapPeerStream(kj::Own<kj::AsyncIoStream> Inner,
                                          stream_coding Coding) {
  return kj::heap<peer_stream>(kj::mv(Inner), Coding);
}

kj::Own<kj::ConnectionReceiver>
wrapPeerPort(kj::Own<kj::ConnectionReceiver> Inner) {
  return kj::heap<peer_port>(kj::mv(Inner));
}

} // namespace figplank::node
