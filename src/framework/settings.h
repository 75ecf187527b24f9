/// \file
/// Settings from flags and environment variables, checked as a whole.
///
/// `--some-name VALUE` may also be given as PREFIX_SOME_NAME; the flag wins.
#pragma once

#include "framework/findings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::framework {

/// A program with this setting also reads `name = value` lines from the file
/// that it names; flags and variables win.
inline constexpr const char *SettingsFileFlag = "settings-file";

/// One setting of a program.
struct setting_spec {
  std::string Name;
  std::string Help;
  /// Empty for none.
  std::string Default;
  bool Required = false;
};

/// A value as given and where it was given.
struct raw_setting {
  std::string Value;
  std::string Location;
};

/// The raw settings of a program, its positional arguments, and what is wrong
/// with them so far.
struct raw_settings {
  std::map<std::string, raw_setting, std::less<>> Values;
  std::vector<std::string> Positional;
  bool Help = false;
  bool Version = false;
  bool Check = false;
  findings Findings;
};

/// Reads \p Arguments (without the program's name) and the environment
/// variables that begin with \p Prefix.
raw_settings readSettings(const std::vector<std::string> &Arguments,
                          std::string_view Prefix,
                          const std::vector<setting_spec> &Specs);

/// The text of `--help`, with the variable of each setting.
std::string formatHelp(std::string_view Usage, std::string_view Prefix,
                       const std::vector<setting_spec> &Specs);

/// Answers what the settings ask of \p Program other than to run: its help, its
/// version, a check, or a report of all findings. Returns the exit code;
/// nothing where the program should run.
std::optional<int> earlyExitCode(const raw_settings &Given,
                                 const std::string &Program,
                                 std::string_view Prefix,
                                 const std::vector<setting_spec> &Specs);

/// The text given for \p Name, or its default.
std::string textSetting(const raw_settings &Given, std::string_view Name);

/// A whole number in [\p Least, \p Most], with a finding otherwise.
std::int64_t integerSetting(raw_settings &Given, std::string_view Name,
                            std::int64_t Least, std::int64_t Most);

/// `IP:PORT`, with a finding otherwise. An empty value passes if allowed.
std::string addressSetting(raw_settings &Given, std::string_view Name,
                           bool AllowEmpty);

/// An IPv4 number or nothing.
std::string ipSetting(raw_settings &Given, std::string_view Name);

/// A comma-separated list of `IP:PORT`.
std::vector<std::string> addressListSetting(raw_settings &Given,
                                            std::string_view Name);

/// One of \p Allowed, with a finding otherwise.
std::string choiceSetting(raw_settings &Given, std::string_view Name,
                          const std::vector<std::string> &Allowed);

/// Whether \p Text is an IPv4 address or a bracketed IPv6 one, a colon and a
/// port from 1 to 65535.
bool isAddress(std::string_view Text);

/// Exit code of programs whose settings are wrong.
inline constexpr int BadSettingsExitCode = 2;

} // namespace figplank::framework
