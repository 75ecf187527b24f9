/// \file
/// Bodies of messages, which are passed on unchanged.
#pragma once

#include "framework/memoryaccount.h"

#include <memory>
#include <string>
#include <utility>

namespace figplank::http {

/// An immutable body. Copies of a message share it, so that a long body is in
/// memory once, whatever becomes of the message. It is charged until the last
/// of them is gone.
class shared_body {
public:
  shared_body() = default;
  shared_body(std::string Bytes)
      : shared_body(std::move(Bytes),
                    framework::memory_charge(nullptr,
                                             framework::memory_class::Bodies)) {
  }
  shared_body(const char *Bytes) : shared_body(std::string(Bytes)) {}
  shared_body(std::string Bytes, framework::memory_charge Charge)
      : Content(std::make_shared<const content>(std::move(Bytes),
                                                std::move(Charge))) {}

  const std::string &text() const {
    static const std::string Empty;
    return Content == nullptr ? Empty : Content->Bytes;
  }
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }
  void clear() { Content = nullptr; }
  /// Whether an account is charged for the body.
  bool isCharged() const {
    return Content != nullptr && Content->Charge.bytes() > 0;
  }

private:
  struct content {
    content(std::string Bytes, framework::memory_charge Charge)
        : Bytes(std::move(Bytes)), Charge(std::move(Charge)) {}

    std::string Bytes;
    framework::memory_charge Charge;
  };

  std::shared_ptr<const content> Content;
};

} // namespace figplank::http
