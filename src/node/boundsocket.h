/// \file
/// TCP connections that leave from a given IP number, which KJ's network
/// addresses cannot express.
#pragma once

#include <kj/async-io.h>

#include <string>

namespace figplank::node {

/// Connects from IPv4 number \p SourceIp to \p Address, `IP:PORT`. Throws
/// kj::Exception.
kj::Promise<kj::Own<kj::AsyncIoStream>>
connectFrom(kj::LowLevelAsyncIoProvider &Provider, const std::string &SourceIp,
            const std::string &Address);

} // namespace figplank::node
