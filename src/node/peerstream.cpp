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
constexpr std::size_t ChunkBytes = 4096;
/// First byte of a zlib stream with this window. A Cap'n Proto stream begins
/// with its number of segments less one, far below.
constexpr unsigned char CompressedMark = ((WindowBits - 8) << 4) | Z_DEFLATED;

/// State of both directions of zlib.
class codec {
public:
  codec() {
    KJ_REQUIRE(deflateInit2(&Deflate, Z_BEST_SPEED, Z_DEFLATED, WindowBits,
                            MemoryLevel, Z_DEFAULT_STRATEGY) == Z_OK);
    KJ_REQUIRE(inflateInit2(&Inflate, WindowBits) == Z_OK);
  }
  ~codec() {
    deflateEnd(&Deflate);
    inflateEnd(&Inflate);
  }
  KJ_DISALLOW_COPY(codec);

  /// Appends \p Piece to \p To; a flush makes all of it readable.
  void compress(kj::ArrayPtr<const kj::byte> Piece, bool Flush,
                std::string &To) {
    Deflate.next_in = const_cast<kj::byte *>(Piece.begin());
    Deflate.avail_in = static_cast<uInt>(Piece.size());
    std::array<char, ChunkBytes> Chunk;
    do {
      Deflate.next_out = reinterpret_cast<Bytef *>(Chunk.data());
      Deflate.avail_out = static_cast<uInt>(Chunk.size());
      deflate(&Deflate, Flush ? Z_SYNC_FLUSH : Z_NO_FLUSH);
      To.append(Chunk.data(), Chunk.size() - Deflate.avail_out);
    } while (Deflate.avail_out == 0);
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

  kj::Promise<std::size_t> tryRead(void *To, std::size_t Least,
                                   std::size_t Most) override {
    if (Coding == stream_coding::Plain) {
      return Inner->tryRead(To, Least, Most);
    }
    return readCoded(static_cast<kj::byte *>(To), Least, Most);
  }

  kj::Promise<void> write(const void *From, std::size_t Size) override {
    if (Coding != stream_coding::Compressed) {
      return Inner->write(From, Size);
    }
    std::string Out;
    Codec->compress({static_cast<const kj::byte *>(From), Size}, true, Out);
    return writeOut(kj::mv(Out));
  }

  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    if (Coding != stream_coding::Compressed) {
      return Inner->write(Pieces);
    }
    std::string Out;
    for (std::size_t I = 0; I < Pieces.size(); ++I) {
      Codec->compress(Pieces[I], I + 1 == Pieces.size(), Out);
    }
    return writeOut(kj::mv(Out));
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

  task<std::size_t> readCoded(kj::byte *To, std::size_t Least,
                              std::size_t Most) {
    if (Coding == stream_coding::Recognise) {
      std::size_t First = co_await Inner->tryRead(Buffer.data(), 1, 1);
      if (First == 0) {
        co_return First;
      }
      recognise();
      if (Coding == stream_coding::Plain) {
        To[0] = Buffer[0];
        std::size_t LeastRest = std::max(Least, First) - First;
        std::size_t Rest =
            co_await Inner->tryRead(To + First, LeastRest, Most - First);
        co_return First + Rest;
      }
    }
    std::size_t Got = Codec->take(To, Most);
    while (Got < Least) {
      std::size_t Read =
          co_await Inner->tryRead(Buffer.data(), 1, Buffer.size());
      if (Read == 0) {
        break;
      }
      Codec->give({Buffer.data(), Read});
      Got += Codec->take(To + Got, Most - Got);
    }
    co_return Got;
  }

  void recognise() {
    bool Compressed = Buffer[0] == CompressedMark;
    Coding = Compressed ? stream_coding::Compressed : stream_coding::Plain;
    if (Compressed) {
      Codec = kj::heap<codec>();
      Codec->give({Buffer.data(), 1});
    }
  }

  kj::Own<kj::AsyncIoStream> Inner;
  stream_coding Coding;
  kj::Own<codec> Codec;
  std::array<kj::byte, ChunkBytes> Buffer;
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
