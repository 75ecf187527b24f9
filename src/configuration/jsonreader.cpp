#include "configuration/jsonreader.h"

#include <algorithm>

namespace figplank::configuration {
namespace {

using nlohmann::json;

/// Returns the member, or null if it is missing. Adds a finding if a required
/// member is missing.
const json *findMember(json_reader &Reader, std::string_view Name,
                       bool Required) {
  auto Found = Reader.Object.find(std::string(Name));
  if (Found != Reader.Object.end()) {
    return &*Found;
  }
  if (Required) {
    addFinding(Reader, Name, "is missing");
  }
  return nullptr;
}

/// Whether \p Text has more than MaxJsonDepth brackets open at once, without
/// those in strings. Cheaper than a parser that reports each value.
bool isNestedTooDeeply(std::string_view Text) {
  int Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString) {
      I += C == '\\' ? 1 : 0;
      InString = C != '"';
    } else if (C == '"') {
      InString = true;
    } else if (C == '{' || C == '[') {
      ++Depth;
    } else if (C == '}' || C == ']') {
      --Depth;
    }
    if (Depth > MaxJsonDepth) {
      return true;
    }
  }
  return false;
}

} // namespace

json parseJson(std::string_view Text) {
  if (isNestedTooDeeply(Text)) {
    return json(json::value_t::discarded);
  }
  return json::parse(Text, nullptr, false);
}

void addFinding(json_reader &Reader, std::string_view Name,
                std::string_view Problem) {
  std::string Value;
  if (Reader.Object.is_object()) {
    auto Found = Reader.Object.find(std::string(Name));
    if (Found != Reader.Object.end()) {
      Value = Found->dump(-1, ' ', false, json::error_handler_t::replace)
                  .substr(0, 80);
    }
  }
  std::string Location = Reader.Location;
  if (!Name.empty()) {
    Location += "/" + std::string(Name);
  }
  Reader.Findings.push_back(
      {std::move(Location), std::move(Value), std::string(Problem)});
}

bool requireObject(json_reader &Reader) {
  if (Reader.Object.is_object()) {
    return true;
  }
  addFinding(Reader, "", "must be a JSON object");
  return false;
}

void reportUnknownMembers(
    json_reader &Reader, std::initializer_list<std::string_view> KnownMembers) {
  for (const auto &Member : Reader.Object.items()) {
    if (std::find(KnownMembers.begin(), KnownMembers.end(), Member.key()) ==
        KnownMembers.end()) {
      addFinding(Reader, Member.key(), "is not a known member");
    }
  }
}

std::optional<std::string> readString(json_reader &Reader,
                                      std::string_view Name,
                                      std::size_t MaxLength, bool Required) {
  const json *Member = findMember(Reader, Name, Required);
  if (Member == nullptr) {
    return std::nullopt;
  }
  if (!Member->is_string() || Member->get_ref<const std::string &>().empty() ||
      Member->get_ref<const std::string &>().size() > MaxLength) {
    addFinding(Reader, Name,
               "must be a text of 1 to " + std::to_string(MaxLength) +
                   " characters");
    return std::nullopt;
  }
  return Member->get<std::string>();
}

std::optional<std::uint32_t> readUnsigned(json_reader &Reader,
                                          std::string_view Name,
                                          std::uint32_t Min, std::uint32_t Max,
                                          bool Required) {
  const json *Member = findMember(Reader, Name, Required);
  if (Member == nullptr) {
    return std::nullopt;
  }
  bool InRange = Member->is_number_unsigned() &&
                 Member->get<std::uint64_t>() >= Min &&
                 Member->get<std::uint64_t>() <= Max;
  if (!InRange) {
    addFinding(Reader, Name,
               "must be a whole number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return std::nullopt;
  }
  return Member->get<std::uint32_t>();
}

std::optional<double> readNumber(json_reader &Reader, std::string_view Name,
                                 double Min, double Max, bool Required) {
  const json *Member = findMember(Reader, Name, Required);
  if (Member == nullptr) {
    return std::nullopt;
  }
  bool InRange = Member->is_number() && Member->get<double>() >= Min &&
                 Member->get<double>() <= Max;
  if (!InRange) {
    addFinding(Reader, Name,
               "must be a number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return std::nullopt;
  }
  return Member->get<double>();
}

std::optional<bool> readBoolean(json_reader &Reader, std::string_view Name,
                                bool Required) {
  const json *Member = findMember(Reader, Name, Required);
  if (Member == nullptr) {
    return std::nullopt;
  }
  if (!Member->is_boolean()) {
    addFinding(Reader, Name, "must be true or false");
    return std::nullopt;
  }
  return Member->get<bool>();
}

} // namespace figplank::configuration
