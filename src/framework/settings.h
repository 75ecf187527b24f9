/// \file
/// Settings of a program from flags, environment variables and a settings file.
/// All problems with them are reported together.
///
/// `--some-name VALUE` can also be given as the environment variable
/// PREFIX_SOME_NAME; the flag takes precedence.
#pragma once

#include "framework/findings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::framework {

/// The setting that names a settings file. A program that has this setting also
/// reads `name = value` lines from the file; flags and environment variables
/// take precedence.
inline constexpr const char *SettingsFileFlag = "settings-file";

/// Declares one setting of a program.
struct setting_spec {
  std::string Name;
  std::string Help;
  /// Empty if there is no default.
  std::string Default;
  bool Required = false;
};

/// The unparsed value of a setting and the flag, environment variable or file
/// entry that gave it.
struct raw_setting {
  std::string Value;
  std::string Location;
};

/// The unparsed settings of a program, its positional arguments, and the
/// findings so far. Functions that parse a value add further findings.
struct raw_settings {
  std::map<std::string, raw_setting, std::less<>> Values;
  std::vector<std::string> Positional;
  bool Help = false;
  bool Version = false;
  bool Check = false;
  findings Findings;
};

/// Reads \p Arguments (without the program name), the environment variables
/// that begin with \p Prefix, and the settings file if there is one.
raw_settings readSettings(const std::vector<std::string> &Arguments,
                          std::string_view Prefix,
                          const std::vector<setting_spec> &Specs);

/// Returns the text of `--help`, with the environment variable of each setting.
std::string formatHelp(std::string_view Usage, std::string_view Prefix,
                       const std::vector<setting_spec> &Specs);

/// Handles the cases in which \p Program exits at once: prints its help, its
/// version, all findings, or that a requested check passed. Returns the exit
/// code, or nothing if the program should run.
std::optional<int> earlyExitCode(const raw_settings &Settings,
                                 const std::string &Program,
                                 std::string_view Prefix,
                                 const std::vector<setting_spec> &Specs);

/// Returns the value of the setting \p Name, or its default.
std::string textSetting(const raw_settings &Settings, std::string_view Name);

/// Returns a whole number in [\p Min, \p Max]. For other values, adds a finding
/// and returns \p Min.
std::int64_t integerSetting(raw_settings &Settings, std::string_view Name,
                            std::int64_t Min, std::int64_t Max);

/// Returns an `IP:PORT` address, or an empty value if \p AllowEmpty is set.
/// Adds a finding for other values.
std::string addressSetting(raw_settings &Settings, std::string_view Name,
                           bool AllowEmpty);

/// Returns an IPv4 address or an empty value. Adds a finding for other values.
std::string ipSetting(raw_settings &Settings, std::string_view Name);

/// Splits a comma-separated list of `IP:PORT` addresses. Adds a finding for
/// each invalid one.
std::vector<std::string> addressListSetting(raw_settings &Settings,
                                            std::string_view Name);

/// Returns one of \p Allowed. Adds a finding for other values.
std::string choiceSetting(raw_settings &Settings, std::string_view Name,
                          const std::vector<std::string> &Allowed);

/// Returns whether \p Text is a numeric IPv4 or bracketed IPv6 address, a colon
/// and a port from 1 to 65535. Of the IP address, only the characters are
/// checked, not the format.
bool isAddress(std::string_view Text);

/// Exit code of programs that have invalid settings.
inline constexpr int BadSettingsExitCode = 2;

} // namespace figplank::framework
