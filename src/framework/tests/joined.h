/// \file
/// Texts that tests put together.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace figplank::framework::tests {

inline std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Part : Parts) {
    Text += Part;
  }
  return Text;
}

} // namespace figplank::framework::tests
