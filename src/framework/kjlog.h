/// \file
/// Routes what the KJ library logs into the structured log.
#pragma once

#include <kj/exception.h>

namespace figplank::framework {

/// While it lives, messages of KJ on this thread become `kj_message` events
/// at debug level: KJ reports what each caller that leaves interrupts.
class kj_log_router final : public kj::ExceptionCallback {
public:
  void logMessage(kj::LogSeverity Severity, const char *File, int Line,
                  int ContextDepth, kj::String &&Text) override;
};

} // namespace figplank::framework
