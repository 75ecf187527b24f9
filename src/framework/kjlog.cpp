#include "framework/kjlog.h"

#include "framework/logging.h"

namespace figplank::framework {

void kj_log_router::logMessage(kj::LogSeverity, const char *File, int Line, int,
                               kj::String &&Text) {
  logEvent(log_level::Debug, "kj_message",
           {{"file", File}, {"line", Line}, {"text", Text.cStr()}});
}

} // namespace figplank::framework
