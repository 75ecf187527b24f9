#include "http/httplibanswer.h"

#include "http/message.h"

#include <httplib.h>

#include <sys/socket.h>

namespace figplank::http {
namespace {

bool isLength(const std::string &Text) {
  return !Text.empty() && Text.find_first_not_of("0123456789") == Text.npos;
}

} // namespace

bool isSound(const httplib::Response &Answer) {
  for (const auto &[Name, Value] : Answer.headers) {
    if (!isFieldName(Name)) {
      return false;
    }
  }
  std::size_t Lengths = Answer.get_header_value_count("Content-Length");
  std::size_t Codings = Answer.get_header_value_count("Transfer-Encoding");
  bool HasLength =
      Lengths == 1 && isLength(Answer.get_header_value("Content-Length"));
  bool HasChunks = Codings == 1 &&
                   equalsIgnoringCase(
                       Answer.get_header_value("Transfer-Encoding"), "chunked");
  bool IsFramed = (Lengths == 0 || HasLength) && (Codings == 0 || HasChunks) &&
                  Lengths + Codings <= 1;
  return isValidStatus(static_cast<unsigned>(Answer.status)) && IsFramed;
}

void dropUnaskedBytes(httplib::Client &Client) {
  if (Client.is_socket_open() == 0) {
    return;
  }
  char Byte = 0;
  if (recv(Client.socket(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
    Client.stop();
  }
}

} // namespace figplank::http
