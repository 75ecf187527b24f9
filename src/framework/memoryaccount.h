/// \file
/// One account of the memory that a process holds on behalf of clients, so that
/// no crowd of them can exhaust it.
#pragma once

#include "framework/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <utility>

namespace figplank::framework {

/// What the memory is held for.
enum class memory_class : std::uint8_t {
  /// Open connections of clients.
  Connections,
  /// Requests: their heads, and what is kept while they run.
  Heads,
  /// Bodies of requests.
  Bodies,
  /// Answers, from the first byte of the server to the last one written.
  Answers,
};

inline constexpr std::array<enum_name<memory_class>, 4> MemoryClassNames{{
    {memory_class::Connections, "connections"},
    {memory_class::Heads, "heads"},
    {memory_class::Bodies, "bodies"},
    {memory_class::Answers, "answers"},
}};

/// Size in bytes above which an item is long. Long items together leave room
/// for short ones.
inline constexpr std::size_t MaxShortBytes = std::size_t{64} << 10U;

/// Not synchronised: it belongs to the thread of the event loop.
struct memory_account {
  /// Bound of all items, in bytes.
  std::size_t MaxBytes = std::size_t{72} << 20U;
  /// Bound of the long ones, in bytes.
  std::size_t MaxLongBytes = std::size_t{64} << 20U;
  std::array<std::size_t, MemoryClassNames.size()> UsedBytes{};
  std::size_t LongBytes = 0;
  /// Items that found no room, by class.
  std::array<std::uint64_t, MemoryClassNames.size()> Denials{};
  std::uint64_t LongDenials = 0;
};

inline std::size_t usedBytes(const memory_account &Account) {
  return std::accumulate(Account.UsedBytes.begin(), Account.UsedBytes.end(),
                         std::size_t{0});
}

/// Bytes that are left; 0 if the account is overdrawn.
inline std::size_t freeBytes(const memory_account &Account) {
  std::size_t Used = usedBytes(Account);
  return Used < Account.MaxBytes ? Account.MaxBytes - Used : 0;
}

/// The charge for one item, which ends with the object.
class memory_charge {
public:
  /// \p Account must outlive the object and what is moved from it. Null for
  /// items that nothing bounds.
  memory_charge(memory_account *Account, memory_class Class)
      : Account(Account), Class(Class) {}
  ~memory_charge() { release(); }
  memory_charge(memory_charge &&Other) noexcept
      : Account(Other.Account), Class(Other.Class),
        Bytes(std::exchange(Other.Bytes, 0)) {}
  memory_charge &operator=(memory_charge &&) = delete;
  memory_charge(const memory_charge &) = delete;
  memory_charge &operator=(const memory_charge &) = delete;

  /// Raises the charge to \p Size bytes. Returns false, and leaves it as it is,
  /// if the account has no room.
  bool growTo(std::size_t Size) {
    if (Account == nullptr || Size <= Bytes) {
      return true;
    }
    if (!hasRoomFor(Size)) {
      ++Account->Denials[static_cast<std::size_t>(Class)];
      Account->LongDenials += Size > MaxShortBytes ? 1 : 0;
      return false;
    }
    set(Size);
    return true;
  }

  /// Raises the charge to \p Size bytes even if that overdraws the account.
  void force(std::size_t Size) {
    if (Account != nullptr && Size > Bytes) {
      set(Size);
    }
  }

  std::size_t bytes() const { return Bytes; }

  void release() {
    if (Account != nullptr) {
      set(0);
    }
  }

private:
  static std::size_t longPart(std::size_t Size) {
    return Size > MaxShortBytes ? Size : 0;
  }
  bool hasRoomFor(std::size_t Size) const {
    std::size_t Added = Size - Bytes;
    std::size_t AddedLong = longPart(Size) - longPart(Bytes);
    return Added <= freeBytes(*Account) &&
           (AddedLong == 0 ||
            Account->LongBytes + AddedLong <= Account->MaxLongBytes);
  }
  void set(std::size_t Size) {
    Account->UsedBytes[static_cast<std::size_t>(Class)] += Size - Bytes;
    Account->LongBytes += longPart(Size) - longPart(Bytes);
    Bytes = Size;
  }

  memory_account *Account;
  memory_class Class;
  std::size_t Bytes = 0;
};

} // namespace figplank::framework
