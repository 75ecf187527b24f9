#include "http/framing.h"

namespace figplank::http {
namespace {

constexpr char Digit = 'd';
constexpr char End = 'e';
/// The begin of a status line (RFC 9112, 4). A client takes any minor version
/// (RFC 9110, 6.2); the reason may be missing together with its blank.
constexpr std::string_view StatusLine = "HTTP/1.d ddde";

bool isLineEnd(char C) { return C == '\r' || C == '\n'; }

bool matches(char C, char Pattern) {
  switch (Pattern) {
  case Digit:
    return C >= '0' && C <= '9';
  case End:
    return C == ' ' || isLineEnd(C);
  default:
    return C == Pattern;
  }
}

} // namespace

bool checkLineEnds(framing_progress &Progress, std::string_view Bytes) {
  for (char C : Bytes) {
    bool IsWrong = (Progress.Next == next_byte::Cr && C != '\r') ||
                   (Progress.Next == next_byte::Lf && C != '\n');
    if (IsWrong) {
      return false;
    }
    Progress.Next = C == '\r' ? next_byte::Lf : next_byte::Any;
  }
  return true;
}

bool checkStatusLine(framing_progress &Progress, std::string_view Bytes) {
  std::size_t &Checked = Progress.StatusLineBytes;
  for (char C : Bytes) {
    if (Checked == StatusLine.size()) {
      break;
    }
    // Empty lines before a message are skipped (RFC 9112, 2.2).
    if (Checked == 0 && isLineEnd(C)) {
      continue;
    }
    if (!matches(C, StatusLine[Checked])) {
      return false;
    }
    ++Checked;
  }
  return true;
}

} // namespace figplank::http
