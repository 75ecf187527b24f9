/// \file
/// Forwards log messages of the KJ library to the structured log.
#pragma once

#include <kj/exception.h>

namespace figplank::framework {

/// While an object of this class exists, messages that KJ logs on its thread
/// become `kj_message` events. They have debug level whatever their severity,
/// because KJ reports each operation that a disconnecting caller interrupts.
class kj_log_router final : public kj::ExceptionCallback {
public:
  void logMessage(kj::LogSeverity Severity, const char *File, int Line,
                  int ContextDepth, kj::String &&Text) override;
};

} // namespace figplank::framework
