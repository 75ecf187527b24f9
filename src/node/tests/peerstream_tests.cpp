#include "node/peerstream.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace figplank::node;

namespace {

constexpr std::size_t PieceBytes = std::size_t{1} << 20U;

/// Counts the bytes written at one end of a pipe.
class counted_stream final : public kj::AsyncIoStream {
public:
  counted_stream(kj::Own<kj::AsyncIoStream> Inner, std::size_t &Written)
      : Inner(kj::mv(Inner)), Written(Written) {}

  kj::Promise<std::size_t> tryRead(void *To, std::size_t MinBytes,
                                   std::size_t MaxBytes) override {
    return Inner->tryRead(To, MinBytes, MaxBytes);
  }
  kj::Promise<void> write(const void *From, std::size_t Size) override {
    Written += Size;
    return Inner->write(From, Size);
  }
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    for (auto Piece : Pieces) {
      Written += Piece.size();
    }
    return Inner->write(Pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return Inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { Inner->shutdownWrite(); }

private:
  kj::Own<kj::AsyncIoStream> Inner;
  std::size_t &Written;
};

/// Both ends of a connection between two nodes.
struct stream_pair {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  std::size_t Written = 0;
  kj::Own<kj::AsyncIoStream> Caller;
  kj::Own<kj::AsyncIoStream> Callee;

  explicit stream_pair(stream_coding Coding) {
    kj::TwoWayPipe Pipe = kj::newTwoWayPipe();
    Caller = wrapPeerStream(
        kj::heap<counted_stream>(kj::mv(Pipe.ends[0]), Written), Coding);
    Callee = wrapPeerStream(kj::mv(Pipe.ends[1]), stream_coding::Detect);
  }

  std::string transfer(kj::AsyncIoStream &From, kj::AsyncIoStream &To,
                       const std::string &Text) {
    std::string Received(Text.size(), '\0');
    kj::Promise<void> Writing = From.write(Text.data(), Text.size());
    To.read(Received.data(), Received.size()).wait(Io.waitScope);
    Writing.wait(Io.waitScope);
    return Received;
  }
};

} // namespace

TEST_GROUP(PeerStream){};

TEST(PeerStream, CarriesBothDirectionsInEitherCoding) {
  for (stream_coding Coding :
       {stream_coding::Plain, stream_coding::Compressed}) {
    stream_pair Pair(Coding);
    for (int I = 0; I < 20; ++I) {
      // A plain stream begins with a small number, as Cap'n Proto streams do.
      std::string Text = std::string(1, '\0') + "call " + std::to_string(I);
      CHECK(Pair.transfer(*Pair.Caller, *Pair.Callee, Text) == Text);
      CHECK(Pair.transfer(*Pair.Callee, *Pair.Caller, Text) == Text);
    }
  }
}

TEST(PeerStream, RepeatedDataCompressesWell) {
  stream_pair Pair(stream_coding::Compressed);
  std::string Message(500, 'x');
  for (std::size_t I = 0; I < Message.size(); ++I) {
    Message[I] = static_cast<char>((I * 7919) % 251);
  }
  Pair.transfer(*Pair.Caller, *Pair.Callee, Message);
  std::size_t First = Pair.Written;
  Pair.transfer(*Pair.Caller, *Pair.Callee, Message);
  CHECK(Pair.Written - First < Message.size() / 10);
}

TEST(PeerStream, LargePiecesArriveComplete) {
  stream_pair Pair(stream_coding::Compressed);
  std::string Piece(PieceBytes, 'a');
  for (std::size_t I = 0; I < Piece.size(); ++I) {
    Piece[I] = static_cast<char>((I * I * 2654435761U) >> 13U);
  }
  std::string Received(2 * PieceBytes, '\0');
  auto Bytes = kj::arrayPtr(reinterpret_cast<const kj::byte *>(Piece.data()),
                            Piece.size());
  kj::ArrayPtr<const kj::byte> Pieces[] = {Bytes, Bytes};
  kj::Promise<void> Writing = Pair.Caller->write(kj::arrayPtr(Pieces, 2));
  Pair.Callee->read(Received.data(), Received.size()).wait(Pair.Io.waitScope);
  Writing.wait(Pair.Io.waitScope);
  CHECK(Received == Piece + Piece);
}

TEST(PeerStream, MalformedInputThrows) {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  kj::TwoWayPipe Pipe = kj::newTwoWayPipe();
  kj::Own<kj::AsyncIoStream> Reader =
      wrapPeerStream(kj::mv(Pipe.ends[1]), stream_coding::Compressed);
  kj::Promise<void> Writing = Pipe.ends[0]->write("\x38\xff\xff\xff", 4);
  char Received = 0;
  bool Failed = false;
  try {
    Reader->read(&Received, 1).wait(Io.waitScope);
  } catch (const kj::Exception &) {
    Failed = true;
  }
  CHECK(Failed);
}

TEST(PeerStream, EndOfStreamReachesThePeer) {
  stream_pair Pair(stream_coding::Compressed);
  std::string Text = "last words";
  CHECK(Pair.transfer(*Pair.Caller, *Pair.Callee, Text) == Text);
  Pair.Caller->shutdownWrite();
  char Received = 0;
  LONGS_EQUAL(0, Pair.Callee->tryRead(&Received, 1, 1).wait(Pair.Io.waitScope));
}
