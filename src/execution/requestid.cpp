#include "execution/requestid.h"

#include "framework/hashing.h"

#include <algorithm>

namespace figplank::execution {
namespace {

constexpr std::size_t TextLength = 36;
constexpr std::uint8_t Version7Bits = 0x70;
constexpr std::uint8_t VariantBits = 0x80;

int hexDigit(char C) {
  if (C >= '0' && C <= '9') {
    return C - '0';
  }
  if (C >= 'a' && C <= 'f') {
    return C - 'a' + 10;
  }
  if (C >= 'A' && C <= 'F') {
    return C - 'A' + 10;
  }
  return -1;
}

bool isHyphenPosition(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

bool isUuidVersion7(const request_id &Id) {
  return (Id.Bytes[6] & 0xF0U) == Version7Bits &&
         (Id.Bytes[8] & 0xC0U) == VariantBits;
}

} // namespace

std::string_view requestIdBytes(const request_id &Id) {
  return {reinterpret_cast<const char *>(Id.Bytes.data()), Id.Bytes.size()};
}

std::size_t request_id_hash::operator()(const request_id &Id) const {
  return static_cast<std::size_t>(framework::hashText(requestIdBytes(Id)));
}

std::optional<request_id> parseRequestId(std::string_view Text) {
  if (Text.size() != TextLength) {
    return std::nullopt;
  }
  request_id Id;
  std::size_t Nibble = 0;
  for (std::size_t I = 0; I < TextLength; ++I) {
    if (isHyphenPosition(I)) {
      if (Text[I] != '-') {
        return std::nullopt;
      }
      continue;
    }
    int Digit = hexDigit(Text[I]);
    if (Digit < 0) {
      return std::nullopt;
    }
    unsigned Shift = Nibble % 2 == 0 ? 4U : 0U;
    Id.Bytes[Nibble / 2] |=
        static_cast<std::uint8_t>(static_cast<unsigned>(Digit) << Shift);
    ++Nibble;
  }
  if (!isUuidVersion7(Id)) {
    return std::nullopt;
  }
  return Id;
}

std::optional<request_id> requestIdFromBytes(std::string_view Bytes) {
  request_id Id;
  if (Bytes.size() != Id.Bytes.size()) {
    return std::nullopt;
  }
  std::copy(Bytes.begin(), Bytes.end(), Id.Bytes.begin());
  if (!isUuidVersion7(Id)) {
    return std::nullopt;
  }
  return Id;
}

std::string formatRequestId(const request_id &Id) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(TextLength);
  for (std::uint8_t Byte : Id.Bytes) {
    if (isHyphenPosition(Text.size())) {
      Text += '-';
    }
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xFU];
  }
  return Text;
}

framework::wall_time issueTime(const request_id &Id) {
  std::uint64_t Milliseconds = 0;
  for (std::size_t I = 0; I < 6; ++I) {
    Milliseconds = (Milliseconds << 8U) | Id.Bytes[I];
  }
  return framework::wall_time(framework::milliseconds(Milliseconds));
}

request_id makeRequestId(framework::wall_time Now, std::uint64_t High,
                         std::uint64_t Low) {
  request_id Id;
  auto Milliseconds =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  for (std::size_t I = 0; I < 6; ++I) {
    Id.Bytes[I] = static_cast<std::uint8_t>(Milliseconds >> (40U - 8U * I));
  }
  Id.Bytes[6] =
      static_cast<std::uint8_t>(Version7Bits | ((High >> 8U) & 0x0FU));
  Id.Bytes[7] = static_cast<std::uint8_t>(High);
  for (std::size_t I = 0; I < 8; ++I) {
    Id.Bytes[8 + I] = static_cast<std::uint8_t>(Low >> (56U - 8U * I));
  }
  Id.Bytes[8] = static_cast<std::uint8_t>(VariantBits | (Id.Bytes[8] & 0x3FU));
  return Id;
}

request_id deriveChildId(const request_id &Parent, std::string_view CallName) {
  constexpr std::uint64_t HighSeed = 0x68696768;
  constexpr std::uint64_t LowSeed = 0x6c6f77;
  std::string Source(requestIdBytes(Parent));
  Source += CallName;
  return makeRequestId(issueTime(Parent), framework::hashText(Source, HighSeed),
                       framework::hashText(Source, LowSeed));
}

} // namespace figplank::execution
