#include "http/headerlist.h"

#include <algorithm>
#include <utility>

namespace figplank::http {
namespace {

constexpr std::string_view Separator = ": ";
constexpr std::string_view LineEnd = "\r\n";

bool isLineBreak(char C) { return C == '\r' || C == '\n'; }

void appendWithoutLineBreaks(std::string &To, std::string_view From) {
  std::size_t Start = To.size();
  To += From;
  std::replace_if(To.begin() + static_cast<std::ptrdiff_t>(Start), To.end(),
                  isLineBreak, ' ');
}

} // namespace

header_list::header_list(std::initializer_list<header> Lines) {
  for (const header &Line : Lines) {
    add(Line.Name, Line.Value);
  }
}

header_list header_list::fromText(std::string Text) {
  header_list List;
  if (!Text.empty()) {
    List.Text = std::make_shared<std::string>(std::move(Text));
  }
  return List;
}

std::string &header_list::ownText() {
  if (Text == nullptr) {
    Text = std::make_shared<std::string>();
  } else if (Text.use_count() > 1) {
    Text = std::make_shared<std::string>(*Text);
  }
  return *Text;
}

void header_list::add(std::string_view Name, std::string_view Value) {
  std::string &Own = ownText();
  appendWithoutLineBreaks(Own, Name);
  Own += Separator;
  appendWithoutLineBreaks(Own, Value);
  Own += LineEnd;
}

const std::string &header_list::text() const {
  static const std::string Empty;
  return Text == nullptr ? Empty : *Text;
}

std::size_t header_list::size() const {
  const std::string &Lines = text();
  return static_cast<std::size_t>(
      std::count(Lines.begin(), Lines.end(), LineEnd.back()));
}

header_list::iterator header_list::begin() const { return iterator(text()); }

header_list::iterator header_list::end() const { return {}; }

header_list::iterator &header_list::iterator::operator++() {
  Rest.remove_prefix(LineBytes);
  readLine();
  return *this;
}

header_list::iterator header_list::iterator::operator++(int) {
  iterator Before = *this;
  ++*this;
  return Before;
}

void header_list::iterator::readLine() {
  if (Rest.empty()) {
    return;
  }
  std::size_t End = std::min(Rest.find(LineEnd), Rest.size());
  std::string_view Text = Rest.substr(0, End);
  std::size_t NameEnd = std::min(Text.find(Separator), Text.size());
  Line.Name = Text.substr(0, NameEnd);
  Line.Value = Text.substr(std::min(NameEnd + Separator.size(), Text.size()));
  LineBytes = std::min(End + LineEnd.size(), Rest.size());
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

std::optional<std::string_view> findHeaderLine(std::string_view Lines,
                                               std::string_view Name) {
  const header_list::iterator End;
  for (header_list::iterator Line(Lines); Line != End; ++Line) {
    if (equalsIgnoringCase(Line->Name, Name)) {
      return Line->Value;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name) {
  return findHeaderLine(Headers.text(), Name);
}

void removeHeader(header_list &Headers, std::string_view Name) {
  if (findHeader(Headers, Name)) {
    Headers = filterHeaders(Headers, [Name](const header &Line) {
      return !equalsIgnoringCase(Line.Name, Name);
    });
  }
}

void setHeader(header_list &Headers, std::string_view Name,
               std::string_view Value) {
  removeHeader(Headers, Name);
  Headers.add(Name, Value);
}

} // namespace figplank::http
