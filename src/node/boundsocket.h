/// \file
/// TCP connections with a given source IP address, which KJ's network API does
/// not support.
#pragma once

#include <kj/async-io.h>

#include <string>

namespace figplank::node {

/// Connects from the IPv4 address \p SourceIp to \p Address, `IP:PORT`. Throws
/// kj::Exception on failure.
kj::Promise<kj::Own<kj::AsyncIoStream>>
connectFrom(kj::LowLevelAsyncIoProvider &Provider, const std::string &SourceIp,
            const std::string &Address);

} // namespace figplank::node
