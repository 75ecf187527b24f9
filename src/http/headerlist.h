/// \file
/// The header lines of a message.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figplank::http {

/// One header line. Refers to the list that it is read from.
struct header {
  std::string_view Name;
  std::string_view Value;

  bool operator==(const header &) const = default;
};

/// Header lines in the order in which they were added, kept as one text in the
/// format of HTTP/1.1. A list takes about the length of its lines, however many
/// they are, and copies share the text until one of them is changed.
class header_list {
public:
  class iterator;

  header_list() = default;
  header_list(std::initializer_list<header> Lines);

  /// Takes over lines in the format that text() returns.
  static header_list fromText(std::string Text);

  /// Adds a line. Line breaks in \p Name and \p Value become spaces.
  void add(std::string_view Name, std::string_view Value);

  bool empty() const { return text().empty(); }
  /// Number of lines; takes a pass over all of them.
  std::size_t size() const;

  /// Each line as `Name: Value`, ended by CRLF.
  const std::string &text() const;

  iterator begin() const;
  iterator end() const;

  bool operator==(const header_list &Other) const {
    return text() == Other.text();
  }

private:
  std::string &ownText();

  /// Null while the list is empty.
  std::shared_ptr<std::string> Text;
};

class header_list::iterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = header;
  using difference_type = std::ptrdiff_t;
  using pointer = const header *;
  using reference = const header &;

  iterator() = default;
  /// \p Rest begins at a line or is empty.
  explicit iterator(std::string_view Rest) : Rest(Rest) { readLine(); }

  const header &operator*() const { return Line; }
  const header *operator->() const { return &Line; }
  iterator &operator++();
  iterator operator++(int);
  bool operator==(const iterator &Other) const {
    return Rest.size() == Other.Rest.size();
  }

private:
  void readLine();

  std::string_view Rest;
  header Line;
  std::size_t LineBytes = 0;
};

/// \p C in lower case, if it is an ASCII letter.
constexpr char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

/// Compares header names, which have no case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Returns the value of the first header called \p Name in \p Lines, the text
/// of a header_list, if there is one.
std::optional<std::string_view> findHeaderLine(std::string_view Lines,
                                               std::string_view Name);

/// The same for a list. Valid until \p Headers is changed.
std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name);

/// Removes all headers called \p Name.
void removeHeader(header_list &Headers, std::string_view Name);

/// Replaces all headers called \p Name by a single one.
void setHeader(header_list &Headers, std::string_view Name,
               std::string_view Value);

/// Returns the lines of \p Headers for which \p IsKept holds.
template <typename Predicate>
header_list filterHeaders(const header_list &Headers, Predicate IsKept) {
  header_list Kept;
  for (const header &Line : Headers) {
    if (IsKept(Line)) {
      Kept.add(Line.Name, Line.Value);
    }
  }
  return Kept;
}

} // namespace figplank::http
