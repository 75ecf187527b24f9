#include "http/message.h"

#include <algorithm>
#include <array>
#include <unordered_set>

namespace figplank::http {
namespace {

constexpr std::uint16_t NoContent = 204;
constexpr std::uint16_t NotModified = 304;

bool isAlphanumeric(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z');
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t')) {
    Text.remove_prefix(1);
  }
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t')) {
    Text.remove_suffix(1);
  }
  return Text;
}

std::string lowerCase(std::string_view Name) {
  std::string Lower(Name);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), toLower);
  return Lower;
}

/// Adds the names in \p List, which commas separate, to \p Names in lower case.
void addNames(std::unordered_set<std::string> &Names, std::string_view List) {
  while (!List.empty()) {
    std::size_t Comma = std::min(List.find(','), List.size());
    Names.insert(lowerCase(trim(List.substr(0, Comma))));
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
}

bool isHopByHopName(std::string_view Name) {
  constexpr std::array<std::string_view, 10> HopByHopNames{
      "Connection", "Keep-Alive",    "Proxy-Connection",  "TE",
      "Trailer",    "Upgrade",       "Transfer-Encoding", "Content-Length",
      "Expect",     "HTTP2-Settings"};
  return std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                     [Name](std::string_view HopByHopName) {
                       return equalsIgnoringCase(Name, HopByHopName);
                     });
}

std::string_view reasonPhrase(std::uint16_t Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

} // namespace

bool isTokenCharacter(char C) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return isAlphanumeric(C) || Others.find(C) != std::string_view::npos;
}

bool isFieldName(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

void removeHopByHopHeaders(header_list &Headers) {
  std::unordered_set<std::string> ListedNames;
  for (const header &Line : Headers) {
    if (equalsIgnoringCase(Line.Name, "Connection")) {
      addNames(ListedNames, Line.Value);
    }
  }
  Headers = filterHeaders(Headers, [&ListedNames](const header &Line) {
    return !isHopByHopName(Line.Name) &&
           (ListedNames.empty() || !ListedNames.contains(lowerCase(Line.Name)));
  });
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string formatRequestHead(const request &Request) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  Text += Request.Headers.text();
  bool HasBody = !Request.Body.empty() || Request.Method == "POST" ||
                 Request.Method == "PUT" || Request.Method == "PATCH";
  if (HasBody) {
    Text += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  }
  Text += "\r\n";
  return Text;
}

bool mayHaveBody(std::uint16_t Status) {
  return Status >= FirstFinalStatus && Status != NoContent &&
         Status != NotModified;
}

std::string formatResponseHead(const response &Response, bool Close) {
  std::string Text = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Text += reasonPhrase(Response.Status);
  Text += "\r\n";
  Text += Response.Headers.text();
  if (mayHaveBody(Response.Status)) {
    Text += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  }
  if (Close) {
    Text += "Connection: close\r\n";
  }
  Text += "\r\n";
  return Text;
}

} // namespace figplank::http
