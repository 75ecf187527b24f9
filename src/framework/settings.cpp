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
  Add("help", "print this text");
  Add("version", "print the version");
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

void takeOption(raw_settings &Given, const options::option &Option) {
  if (Option.position_key >= 0) {
    Given.Positional.insert(Given.Positional.end(), Option.value.begin(),
                            Option.value.end());
  } else if (Option.unregistered) {
    Given.Findings.push_back(
        {"--" + Option.string_key, "", "is not a known flag"});
  } else if (Option.string_key == "help") {
    Given.Help = true;
  } else if (Option.string_key == "version") {
    Given.Version = true;
  } else if (Option.string_key == "check") {
    Given.Check = true;
  } else if (!Option.value.empty()) {
    Given.Values[Option.string_key] = {Option.value.front(),
                                       "--" + Option.string_key};
  }
}

void readFlags(raw_settings &Given, const std::vector<std::string> &Arguments,
               std::string_view Prefix,
               const std::vector<setting_spec> &Specs) {
  options::options_description Description = describe(Prefix, Specs);
  options::positional_options_description Positional;
  try {
    auto Parsed = options::command_line_parser(Arguments)
                      .options(Description)
                      .positional(Positional)
                      .allow_unregistered()
                      .run();
    for (const options::option &Option : Parsed.options) {
      takeOption(Given, Option);
    }
  } catch (const options::error &Error) {
    Given.Findings.push_back({"flags", "", Error.what()});
  }
}

/// `FIGPLANK_` variables that match no setting are findings too: a misspelt
/// one would be ignored otherwise.
void readEnvironment(raw_settings &Given, std::string_view Prefix,
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
      Given.Findings.push_back(
          {Name, "", "is not a known environment variable"});
      continue;
    }
    Given.Values.try_emplace(
        Spec->Name, raw_setting{std::string(Text.substr(Equals + 1)), Name});
  }
}

/// Reads `name = value` lines. Names that are no settings are left to newer
/// versions, since the file may be written for them.
void readFile(raw_settings &Given, std::string_view Prefix,
              const std::vector<setting_spec> &Specs) {
  auto Path = Given.Values.find(SettingsFileFlag);
  if (Path == Given.Values.end() || Path->second.Value.empty()) {
    return;
  }
  std::ifstream File(Path->second.Value);
  if (!File) {
    Given.Findings.push_back(
        {Path->second.Location, Path->second.Value, "cannot be read"});
    return;
  }
  try {
    auto Parsed =
        options::parse_config_file(File, describe(Prefix, Specs), true);
    for (const options::option &Option : Parsed.options) {
      if (!Option.unregistered && !Option.value.empty()) {
        Given.Values.try_emplace(
            Option.string_key,
            raw_setting{Option.value.front(),
                        Path->second.Value + ": " + Option.string_key});
      }
    }
  } catch (const options::error &Error) {
    Given.Findings.push_back({Path->second.Value, "", Error.what()});
  }
}

void addFinding(raw_settings &Given, std::string_view Name,
                std::string Problem) {
  const raw_setting &Setting = Given.Values.find(Name)->second;
  Given.Findings.push_back(
      {Setting.Location, Setting.Value, std::move(Problem)});
}

} // namespace

raw_settings readSettings(const std::vector<std::string> &Arguments,
                          std::string_view Prefix,
                          const std::vector<setting_spec> &Specs) {
  raw_settings Given;
  readFlags(Given, Arguments, Prefix, Specs);
  readEnvironment(Given, Prefix, Specs);
  readFile(Given, Prefix, Specs);
  for (const setting_spec &Spec : Specs) {
    bool Missing = Given.Values.count(Spec.Name) == 0;
    if (Missing && Spec.Required) {
      Given.Findings.push_back(
          {"--" + Spec.Name, "",
           "is required; or set " + variableName(Prefix, Spec.Name)});
    }
    Given.Values.try_emplace(Spec.Name,
                             raw_setting{Spec.Default, "--" + Spec.Name});
  }
  return Given;
}

std::string formatHelp(std::string_view Usage, std::string_view Prefix,
                       const std::vector<setting_spec> &Specs) {
  std::ostringstream Text;
  Text << "Usage: " << Usage << "\n\n" << describe(Prefix, Specs);
  return Text.str();
}

std::optional<int> earlyExitCode(const raw_settings &Given,
                                 const std::string &Program,
                                 std::string_view Prefix,
                                 const std::vector<setting_spec> &Specs) {
  constexpr const char *Version = " 0.1.0";
  if (Given.Help) {
    std::fputs(formatHelp(Program + " [settings]", Prefix, Specs).c_str(),
               stdout);
    return 0;
  }
  if (Given.Version) {
    std::puts((Program + Version).c_str());
    return 0;
  }
  if (!Given.Findings.empty()) {
    std::fputs(formatFindings(Given.Findings).c_str(), stderr);
    return BadSettingsExitCode;
  }
  if (Given.Check) {
    std::puts("settings are valid");
    return 0;
  }
  return std::nullopt;
}

std::string textSetting(const raw_settings &Given, std::string_view Name) {
  auto Found = Given.Values.find(Name);
  return Found == Given.Values.end() ? std::string() : Found->second.Value;
}

std::int64_t integerSetting(raw_settings &Given, std::string_view Name,
                            std::int64_t Least, std::int64_t Most) {
  std::string Text = textSetting(Given, Name);
  std::int64_t Number = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  bool Whole = Error == std::errc() && End == Text.data() + Text.size();
  if (!Whole || Number < Least || Number > Most) {
    addFinding(Given, Name,
               "must be a whole number from " + std::to_string(Least) + " to " +
                   std::to_string(Most));
    return Least;
  }
  return Number;
}

bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0) {
    return false;
  }
  for (char C : Text.substr(0, Colon)) {
    bool Numeric = (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f') ||
                   C == '.' || C == ':' || C == '[' || C == ']';
    if (!Numeric) {
      return false;
    }
  }
  std::string_view Port = Text.substr(Colon + 1);
  unsigned Number = 0;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  bool Whole = Error == std::errc() && End == Port.data() + Port.size();
  return Whole && Number >= 1 && Number <= 65535;
}

std::string addressSetting(raw_settings &Given, std::string_view Name,
                           bool AllowEmpty) {
  std::string Text = textSetting(Given, Name);
  if (Text.empty() && AllowEmpty) {
    return Text;
  }
  if (!isAddress(Text)) {
    addFinding(Given, Name, "must be IP:PORT with an IP number");
  }
  return Text;
}

std::string ipSetting(raw_settings &Given, std::string_view Name) {
  std::string Text = textSetting(Given, Name);
  in_addr Parsed{};
  if (!Text.empty() && inet_pton(AF_INET, Text.c_str(), &Parsed) != 1) {
    addFinding(Given, Name, "must be an IPv4 number");
  }
  return Text;
}

std::vector<std::string> addressListSetting(raw_settings &Given,
                                            std::string_view Name) {
  std::vector<std::string> Addresses;
  std::istringstream Text(textSetting(Given, Name));
  std::string Address;
  while (std::getline(Text, Address, ',')) {
    if (!isAddress(Address)) {
      addFinding(Given, Name, "must be a comma-separated list of IP:PORT");
    }
    Addresses.push_back(Address);
  }
  return Addresses;
}

std::string choiceSetting(raw_settings &Given, std::string_view Name,
                          const std::vector<std::string> &Allowed) {
  std::string Text = textSetting(Given, Name);
  if (std::find(Allowed.begin(), Allowed.end(), Text) == Allowed.end()) {
    std::string Problem = "must be one of:";
    for (const std::string &Choice : Allowed) {
      Problem += " " + Choice;
    }
    addFinding(Given, Name, Problem);
  }
  return Text;
}

} // namespace figplank::framework
