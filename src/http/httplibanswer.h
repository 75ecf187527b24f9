/// \file
/// Checks of answers that cpp-httplib has read. The library takes any bytes as
/// the name of a field and any of two unlike lengths, and goes on with a
/// connection on which there are bytes that nobody asked for.
#pragma once

namespace httplib {
class Client;
struct Response;
} // namespace httplib

namespace figplank::http {

/// Whether \p Answer is one that HTTP has, in a body without a coding: its
/// status, the names of its fields, and the one length, or chunks, that frame
/// its body. Trailers and the lines of chunks are not seen here.
bool isSound(const httplib::Response &Answer);

/// Closes the connection of \p Client if the server has sent bytes behind its
/// last answer, so that they are not read as the next one. Called before each
/// call on a connection that is kept open.
void dropUnaskedBytes(httplib::Client &Client);

} // namespace figplank::http
