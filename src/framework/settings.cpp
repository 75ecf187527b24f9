#include "framework/settings.h"

#include <boost/program_options.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace figplank::framework {
namespace {

namespace options = boost::program_options;

std::string variableName(std::string_view Prefix, std::string_view Name) {
  std::string Variable(Prefix);
  for (char C : Name) {
    Variable +=
        C == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  }
  return Variable;
}

options::options_description describe(std::string_view Prefix,
                                      const std::vector<setting_spec> &Specs) {
  options::options_description Description("Settings");
  auto Add = Description.add_options();
  Add("help", "print this help and exit");
  Add("version", "print the version and exit");
  Add("check", "check the settings and exit");
  for (const setting_spec &Spec : Specs) {
    std::string Help = Spec.Help;
    if (Spec.Required) {
      Help += " (required)";
    } else if (!Spec.Default.empty()) {
      Help += " (default " + Spec.Default + ")";
    }
    Help += " [" + variableName(Prefix, Spec.Name) + "]";
    Add(Spec.Name.c_str(), options::value<std::string>(), Help.c_str());
  }
  return Description;
}

void storeOption(raw_settings &Settings, const options::option &Option) {
  if (Option.position_key >= 0) {
    Settings.Positional.insert(Settings.Positional.end(), Option.value.begin(),
                               Option.value.end());
  } else if (Option.unregistered) {
    Settings.Findings.push_back(
        {"--" + Option.string_key, "", "is not a known flag"});
  } else if (Option.string_key == "help") {
    Settings.Help = true;
  } else if (Option.string_key == "version") {
    Settings.Version = true;
  } else if (Option.string_key == "check") {
    Settings.Check = true;
  } else if (!Option.value.empty()) {
    Settings.Values[Option.string_key] = {Option.value.front(),
                                          "--" + Option.string_key};
  }
}

void readFlags(raw_settings &Settings,
               const std::vector<std::string> &Arguments,
               std::string_view Prefix,
               const std::vector<setting_spec> &Specs) {
  options::options_description Description = describe(Prefix, Specs);
  options::positional_options_description Positional;
  constexpr int Unlimited = -1;
  Positional.add("arguments", Unlimited);
  try {
    auto Parsed = options::command_line_parser(Arguments)
                      .options(Description)
                      .positional(Positional)
                      .allow_unregistered()
                      .run();
    for (const options::option &Option : Parsed.options) {
      storeOption(Settings, Option);
    }
  } catch (const options::error &Error) {
    Settings.Findings.push_back({"flags", "", Error.what()});
  }
}

/// Variables that begin with \p Prefix and match no setting are findings, since
/// a misspelt name would otherwise be ignored.
void readEnvironment(raw_settings &Settings, std::string_view Prefix,
                     const std::vector<setting_spec> &Specs) {
  for (char **Variable = environ; *Variable != nullptr; ++Variable) {
    std::string_view Text(*Variable);
    std::size_t Equals = Text.find('=');
    if (Equals == std::string_view::npos || !Text.starts_with(Prefix)) {
      continue;
    }
    std::string Name(Text.substr(0, Equals));
    auto Spec = std::find_if(
        Specs.begin(), Specs.end(), [&](const setting_spec &Candidate) {
          return variableName(Prefix, Candidate.Name) == Name;
        });
    if (Spec == Specs.end()) {
      Settings.Findings.push_back(
          {Name, "", "is not a known environment variable"});
      continue;
    }
    Settings.Values.try_emplace(
        Spec->Name, raw_setting{std::string(Text.substr(Equals + 1)), Name});
  }
}

/// Reads the `name = value` lines of the settings file. Unknown names are
/// ignored, since the file may have been written for a newer version.
void readFile(raw_settings &Settings, std::string_view Prefix,
              const std::vector<setting_spec> &Specs) {
  auto Path = Settings.Values.find(SettingsFileFlag);
  if (Path == Settings.Values.end() || Path->second.Value.empty()) {
    return;
  }
  std::ifstream File(Path->second.Value);
  if (!File) {
    Settings.Findings.push_back(
        {Path->second.Location, Path->second.Value, "cannot be read"});
    return;
  }
  try {
    auto Parsed =
        options::parse_config_file(File, describe(Prefix, Specs), true);
    for (const options::option &Option : Parsed.options) {
      if (!Option.unregistered && !Option.value.empty()) {
        Settings.Values.try_emplace(
            Option.string_key,
            raw_setting{Option.value.front(),
                        Path->second.Value + ": " + Option.string_key});
      }
    }
  } catch (const options::error &Error) {
    Settings.Findings.push_back({Path->second.Value, "", Error.what()});
  }
}

void addFinding(raw_settings &Settings, std::string_view Name,
                std::string Problem) {
  const raw_setting &Setting = Settings.Values.find(Name)->second;
  Settings.Findings.push_back(
      {Setting.Location, Setting.Value, std::move(Problem)});
}

} // namespace

raw_settings readSettings(const std::vector<std::string> &Arguments,
                          std::string_view Prefix,
                          const std::vector<setting_spec> &Specs) {
  raw_settings Settings;
  readFlags(Settings, Arguments, Prefix, Specs);
  readEnvironment(Settings, Prefix, Specs);
  readFile(Settings, Prefix, Specs);
  for (const setting_spec &Spec : Specs) {
    bool Missing = Settings.Values.count(Spec.Name) == 0;
    if (Missing && Spec.Required) {
      Settings.Findings.push_back(
          {"--" + Spec.Name, "",
           "is required; or set " + variableName(Prefix, Spec.Name)});
    }
    Settings.Values.try_emplace(Spec.Name,
                                raw_setting{Spec.Default, "--" + Spec.Name});
  }
  return Settings;
}

std::string formatHelp(std::string_view Usage, std::string_view Prefix,
                       const std::vector<setting_spec> &Specs) {
  std::ostringstream Text;
  Text << "Usage: " << Usage << "\n\n" << describe(Prefix, Specs);
  return Text.str();
}

std::optional<int> earlyExitCode(const raw_settings &Settings,
                                 const std::string &Program,
                                 std::string_view Prefix,
                                 const std::vector<setting_spec> &Specs) {
  constexpr const char *Version = " 0.1.0";
  if (Settings.Help) {
    std::fputs(formatHelp(Program + " [settings]", Prefix, Specs).c_str(),
               stdout);
    return 0;
  }
  if (Settings.Version) {
    std::puts((Program + Version).c_str());
    return 0;
  }
  if (!Settings.Findings.empty()) {
    std::fputs(formatFindings(Settings.Findings).c_str(), stderr);
    return BadSettingsExitCode;
  }
  if (Settings.Check) {
    std::puts("settings are valid");
    return 0;
  }
  return std::nullopt;
}

std::string textSetting(const raw_settings &Settings, std::string_view Name) {
  auto Found = Settings.Values.find(Name);
  return Found == Settings.Values.end() ? std::string() : Found->second.Value;
}

std::int64_t integerSetting(raw_settings &Settings, std::string_view Name,
                            std::int64_t Min, std::int64_t Max) {
  std::string Text = textSetting(Settings, Name);
  std::int64_t Number = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  bool IsNumber = Error == std::errc() && End == Text.data() + Text.size();
  if (!IsNumber || Number < Min || Number > Max) {
    addFinding(Settings, Name,
               "must be a whole number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return Min;
  }
  return Number;
}

bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0) {
    return false;
  }
  for (char C : Text.substr(0, Colon)) {
    bool IsAllowed = (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f') ||
                     C == '.' || C == ':' || C == '[' || C == ']';
    if (!IsAllowed) {
      return false;
    }
  }
  std::string_view Port = Text.substr(Colon + 1);
  unsigned Number = 0;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  bool IsNumber = Error == std::errc() && End == Port.data() + Port.size();
  return IsNumber && Number >= 1 && Number <= 65535;
}

std::string addressSetting(raw_settings &Settings, std::string_view Name,
                           bool AllowEmpty) {
  std::string Text = textSetting(Settings, Name);
  if (Text.empty() && AllowEmpty) {
    return Text;
  }
  if (!isAddress(Text)) {
    addFinding(Settings, Name, "must be IP:PORT with an IP number");
  }
  return Text;
}

std::string ipSetting(raw_settings &Settings, std::string_view Name) {
  std::string Text = textSetting(Settings, Name);
  in_addr Parsed{};
  if (!Text.empty() && inet_pton(AF_INET, Text.c_str(), &Parsed) != 1) {
    addFinding(Settings, Name, "must be an IPv4 address");
  }
  return Text;
}

std::vector<std::string> addressListSetting(raw_settings &Settings,
                                            std::string_view Name) {
  std::vector<std::string> Addresses;
  std::istringstream Text(textSetting(Settings, Name));
  std::string Address;
  while (std::getline(Text, Address, ',')) {
    if (!isAddress(Address)) {
      addFinding(Settings, Name, "must be a comma-separated list of IP:PORT");
    }
    Addresses.push_back(Address);
  }
  return Addresses;
}

std::string choiceSetting(raw_settings &Settings, std::string_view Name,
                          const std::vector<std::string> &Allowed) {
  std::string Text = textSetting(Settings, Name);
  if (std::find(Allowed.begin(), Allowed.end(), Text) == Allowed.end()) {
    std::string Problem = "must be one of:";
    for (const std::string &Choice : Allowed) {
      Problem += " " + Choice;
    }
    addFinding(Settings, Name, Problem);
  }
  return Text;
}

} // namespace figplank::framework
