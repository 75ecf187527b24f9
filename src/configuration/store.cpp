#include "configuration/store.h"

#include "framework/hashing.h"

#include <algorithm>

namespace figplank::configuration {
namespace {

std::uint64_t entryHash(const published_entry &Entry) {
  return framework::hashText(Entry.Key, Entry.Revision);
}

void updateDigest(store &Store, const published_entry *Old,
                  const published_entry &New) {
  std::uint64_t &Bucket = Store.Digests[bucketOf(New.Key)];
  if (Old != nullptr) {
    Bucket ^= entryHash(*Old);
  }
  Bucket ^= entryHash(New);
}

template <typename Value>
void eraseNested(text_map<text_map<Value>> &Map, const std::string &Outer,
                 const std::string &Inner) {
  auto Found = Map.find(Outer);
  if (Found == Map.end()) {
    return;
  }
  Found->second.erase(Inner);
  if (Found->second.empty()) {
    Map.erase(Found);
  }
}

void removeValue(catalog &Catalog, const std::string &Key) {
  std::size_t FirstSlash = Key.find('/');
  if (FirstSlash == std::string::npos) {
    return;
  }
  std::string Kind = Key.substr(0, FirstSlash);
  std::string Rest = Key.substr(FirstSlash + 1);
  std::size_t SecondSlash = Rest.find('/');
  if (Kind == "templates") {
    Catalog.Templates.erase(Rest);
  } else if (Kind == "services") {
    Catalog.Services.erase(Rest);
  } else if (Kind == "routing") {
    Catalog.Routing = route_table();
  } else if (SecondSlash != std::string::npos && Kind == "parameters") {
    eraseNested(Catalog.Parameters, Rest.substr(0, SecondSlash),
                Rest.substr(SecondSlash + 1));
  } else if (SecondSlash != std::string::npos && Kind == "instances") {
    eraseNested(Catalog.Instances, Rest.substr(0, SecondSlash),
                Rest.substr(SecondSlash + 1));
  }
}

struct value_inserter {
  catalog &Catalog;

  void operator()(const std::monostate &) const {}
  void operator()(const work_template &Value) const {
    Catalog.Templates[Value.Name] = Value;
  }
  void operator()(const work_parameters &Value) const {
    Catalog.Parameters[Value.Organisation][Value.Template] = Value;
  }
  void operator()(const service_settings &Value) const {
    Catalog.Services[Value.Name] = Value;
  }
  void operator()(const instance &Value) const {
    Catalog.Instances[Value.Service][Value.Name] = Value;
  }
  void operator()(const route_table &Value) const { Catalog.Routing = Value; }
};

/// Whether \p Entry, whose key is not stored, is an instance that the newest
/// listing no longer had.
bool wasRemovedBeforeListing(const store &Store, const published_entry &Entry) {
  return Entry.Key.starts_with(InstancesPrefix) && !Entry.Value.empty() &&
         Entry.Revision < Store.ListedAt;
}

/// How an entry relates to the one in force, where their content tells.
enum class content_order : std::uint8_t { Unknown, Older, Newer };

content_order compareRoutes(const store &Store, const route_table &Routes) {
  std::uint64_t InForce = Store.Catalog.Routing.Version;
  if (Routes.Version == InForce) {
    return content_order::Unknown;
  }
  return Routes.Version < InForce ? content_order::Older : content_order::Newer;
}

/// Whether the instance behind \p Entry has written it since the platform's
/// return. An entry of the copy keeps its revision.
bool wasRenewed(const left_incarnation &Left, const published_entry &Entry) {
  return Left.WasRemoved && Left.SeenRevision != 0 &&
         eraOf(Left.SeenRevision) == eraOf(Entry.Revision) &&
         Left.SeenRevision < Entry.Revision;
}

content_order compareInstances(const store &Store, const published_entry &Entry,
                               const instance &Instance) {
  bool IsLeaving = Instance.State == instance_state::Leaving;
  auto Left = Store.LeftInstances.find(Entry.Key);
  bool HasLeft = Instance.StartedMs != 0 && !IsLeaving &&
                 Left != Store.LeftInstances.end() &&
                 Instance.StartedMs <= Left->second.StartedMs &&
                 eraOf(Left->second.Revision) < eraOf(Entry.Revision) &&
                 !wasRenewed(Left->second, Entry);
  if (HasLeft) {
    return content_order::Older;
  }
  const figplank::configuration::instance *InForce =
      findInstance(Store.Catalog, Entry.Key);
  bool LeavesNow = IsLeaving && Instance.StartedMs != 0 && InForce != nullptr &&
                   InForce->StartedMs == Instance.StartedMs &&
                   InForce->State != instance_state::Leaving;
  return LeavesNow ? content_order::Newer : content_order::Unknown;
}

/// Compares \p Entry by its content with what is in force for its key. Used for
/// entries of another era only: within one, the revision tells.
content_order compareContent(const store &Store, const published_entry &Entry) {
  if (Entry.Value.empty()) {
    return content_order::Unknown;
  }
  validation_result Checked = validateValue(Entry.Key, Entry.Value);
  if (!Checked.Findings.empty()) {
    return content_order::Unknown;
  }
  if (const auto *Routes = std::get_if<route_table>(&Checked.Value)) {
    return compareRoutes(Store, *Routes);
  }
  if (const auto *Instance = std::get_if<instance>(&Checked.Value)) {
    return compareInstances(Store, Entry, *Instance);
  }
  return content_order::Unknown;
}

/// Returns Accepted if \p Entry replaces the stored entry of its key, at
/// \p StoredRevision.
apply_result compareToStored(const store &Store, std::uint64_t StoredRevision,
                             const published_entry &Entry) {
  bool IsNewer = Entry.Revision > StoredRevision;
  if (eraOf(Entry.Revision) == eraOf(StoredRevision)) {
    return IsNewer ? apply_result::Accepted : apply_result::NotNewer;
  }
  switch (compareContent(Store, Entry)) {
  case content_order::Older:
    return IsNewer ? apply_result::Outdated : apply_result::NotNewer;
  case content_order::Newer:
    return apply_result::Accepted;
  case content_order::Unknown:
    break;
  }
  return IsNewer ? apply_result::Accepted : apply_result::NotNewer;
}

/// Records what an accepted \p Entry, which is in the catalog, says of leaving.
void recordListed(store &Store, const published_entry &Entry) {
  const instance *Instance = findInstance(Store.Catalog, Entry.Key);
  if (Instance == nullptr) {
    return;
  }
  if (Instance->State == instance_state::Leaving) {
    Store.LeftInstances[Entry.Key] = {Instance->StartedMs, Entry.Revision};
    return;
  }
  auto Left = Store.LeftInstances.find(Entry.Key);
  if (Left != Store.LeftInstances.end() && Left->second.WasRemoved) {
    Store.LeftInstances.erase(Left);
  }
}

/// Records the removal by \p Entry of the instance that is in the catalog.
void recordRemoval(store &Store, const published_entry &Entry) {
  const instance *Instance = findInstance(Store.Catalog, Entry.Key);
  if (Instance != nullptr && Instance->State == instance_state::Live) {
    Store.LeftInstances[Entry.Key] = {Instance->StartedMs, Entry.Revision,
                                      true};
  }
}

/// Records that \p Entry, of an instance that had left, was not applied.
void recordSeen(store &Store, const published_entry &Entry) {
  auto Left = Store.LeftInstances.find(Entry.Key);
  if (Left != Store.LeftInstances.end() &&
      eraOf(Left->second.SeenRevision) < eraOf(Entry.Revision)) {
    Left->second.SeenRevision = Entry.Revision;
  }
}

/// An entry without a start time says nothing of a restart: the instance in
/// force keeps its own, and with it what is known of that incarnation.
void keepKnownStart(const store &Store, const published_entry &Entry,
                    instance &Instance) {
  const instance *InForce = findInstance(Store.Catalog, Entry.Key);
  if (Instance.StartedMs == 0 && InForce != nullptr) {
    Instance.StartedMs = InForce->StartedMs;
  }
}

template <typename Number>
Number clampToBounds(const bounded_setting<Number> &Setting,
                     std::optional<Number> Requested) {
  if (!Requested) {
    return Setting.Default;
  }
  return std::clamp(*Requested, Setting.Min, Setting.Max);
}

} // namespace

std::size_t bucketOf(std::string_view Key) {
  return static_cast<std::size_t>(framework::hashText(Key) % DigestBucketCount);
}

void recordListing(store &Store, std::uint64_t Revision) {
  Store.ListedAt = std::max(Store.ListedAt, Revision);
}

apply_result applyEntry(store &Store, const published_entry &Entry) {
  auto Stored = Store.Newest.find(Entry.Key);
  if (Stored == Store.Newest.end() && wasRemovedBeforeListing(Store, Entry)) {
    // NOTE The entry comes from a peer that has missed the removal. Storing the
    // deletion passes it on to that peer.
    return applyEntry(Store, {Entry.Key, Store.ListedAt, ""});
  }
  if (Stored != Store.Newest.end()) {
    apply_result Order = compareToStored(Store, Stored->second.Revision, Entry);
    if (Order == apply_result::Outdated) {
      recordSeen(Store, Entry);
    }
    if (Order != apply_result::Accepted) {
      ++Store.NotNewerCount;
      return Order;
    }
  }
  if (Stored != Store.Newest.end()) {
    Store.KeysByRevision.erase({Stored->second.Revision, Entry.Key});
  }
  updateDigest(Store, Stored == Store.Newest.end() ? nullptr : &Stored->second,
               Entry);
  Store.Newest[Entry.Key] = Entry;
  Store.KeysByRevision.emplace(Entry.Revision, Entry.Key);
  if (Entry.Value.empty()) {
    recordRemoval(Store, Entry);
    removeValue(Store.Catalog, Entry.Key);
    ++Store.Catalog.Version;
    Store.Refused.erase(Entry.Key);
    Store.AcceptedRevisions[Entry.Key] = Entry.Revision;
    return apply_result::Accepted;
  }
  validation_result Checked = validateValue(Entry.Key, Entry.Value);
  if (!Checked.Findings.empty()) {
    Store.Refused[Entry.Key] = {Entry.Revision, std::move(Checked.Findings)};
    return apply_result::Refused;
  }
  if (auto *Instance = std::get_if<instance>(&Checked.Value)) {
    keepKnownStart(Store, Entry, *Instance);
  }
  std::visit(value_inserter{Store.Catalog}, Checked.Value);
  recordListed(Store, Entry);
  ++Store.Catalog.Version;
  Store.Refused.erase(Entry.Key);
  Store.AcceptedRevisions[Entry.Key] = Entry.Revision;
  return apply_result::Accepted;
}

std::string instanceKey(std::string_view Service, std::string_view Name) {
  std::string Key(InstancesPrefix);
  Key.append(Service).append("/").append(Name);
  return Key;
}

const instance *findInstance(const catalog &Catalog, std::string_view Key) {
  if (!Key.starts_with(InstancesPrefix)) {
    return nullptr;
  }
  Key.remove_prefix(InstancesPrefix.size());
  std::size_t Slash = Key.find('/');
  if (Slash == std::string_view::npos) {
    return nullptr;
  }
  auto Service = Catalog.Instances.find(Key.substr(0, Slash));
  if (Service == Catalog.Instances.end()) {
    return nullptr;
  }
  auto Found = Service->second.find(Key.substr(Slash + 1));
  return Found == Service->second.end() ? nullptr : &Found->second;
}

std::uint64_t summaryDigest(const store &Store) {
  return framework::hashText(
      std::string_view(reinterpret_cast<const char *>(Store.Digests.data()),
                       Store.Digests.size() * sizeof(std::uint64_t)));
}

std::uint64_t highestRevision(const store &Store) {
  return Store.KeysByRevision.empty() ? 0
                                      : Store.KeysByRevision.rbegin()->first;
}

std::vector<published_entry> entriesNewerThan(const store &Store,
                                              std::uint64_t Revision,
                                              std::size_t MaxBytes) {
  std::vector<published_entry> Entries;
  std::size_t Bytes = 0;
  auto First = Store.KeysByRevision.lower_bound({Revision + 1, std::string()});
  for (auto It = First; It != Store.KeysByRevision.end(); ++It) {
    const published_entry &Entry = Store.Newest.find(It->second)->second;
    Bytes += Entry.Key.size() + Entry.Value.size();
    if (Bytes > MaxBytes && !Entries.empty()) {
      break;
    }
    Entries.push_back(Entry);
  }
  return Entries;
}

std::vector<published_entry>
entriesInDifferingBuckets(const store &Store, const digest_buckets &Other,
                          std::size_t MaxBytes) {
  std::vector<published_entry> Entries;
  std::size_t Bytes = 0;
  for (const auto &[Key, Entry] : Store.Newest) {
    std::size_t Bucket = bucketOf(Key);
    if (Store.Digests[Bucket] == Other[Bucket]) {
      continue;
    }
    Bytes += Key.size() + Entry.Value.size();
    if (Bytes > MaxBytes && !Entries.empty()) {
      break;
    }
    Entries.push_back(Entry);
  }
  return Entries;
}

resolved_template templateDefaults(const work_template &Template) {
  resolved_template Resolved;
  Resolved.Template = Template.Name;
  Resolved.Service = Template.Service;
  Resolved.Path = Template.Path;
  Resolved.Rank = Template.Rank.Default;
  Resolved.Deadline = framework::milliseconds(Template.DeadlineMs.Default);
  Resolved.Idempotent = Template.Idempotent;
  Resolved.ExtraTries = Template.ExtraTries;
  Resolved.MaxBodyBytes = Template.MaxBodyBytes;
  return Resolved;
}

std::optional<resolved_template> resolveTemplate(const catalog &Catalog,
                                                 std::string_view Organisation,
                                                 std::string_view Template) {
  auto Found = Catalog.Templates.find(Template);
  auto ByTemplate = Catalog.Parameters.find(Organisation);
  if (Found == Catalog.Templates.end() ||
      ByTemplate == Catalog.Parameters.end()) {
    return std::nullopt;
  }
  auto FoundParameters = ByTemplate->second.find(Template);
  if (FoundParameters == ByTemplate->second.end()) {
    return std::nullopt;
  }
  const work_template &Defaults = Found->second;
  const work_parameters &Parameters = FoundParameters->second;
  resolved_template Resolved = templateDefaults(Defaults);
  Resolved.Rank = clampToBounds(Defaults.Rank, Parameters.Rank);
  Resolved.Deadline = framework::milliseconds(
      clampToBounds(Defaults.DeadlineMs, Parameters.DeadlineMs));
  // NOTE Parameters cannot make requests idempotent that the operator's
  // template declares non-idempotent.
  Resolved.Idempotent =
      Defaults.Idempotent && Parameters.Idempotent.value_or(true);
  return Resolved;
}

std::array<double, RankCount> minimumShares(const catalog &Catalog,
                                            std::string_view Service) {
  std::array<double, RankCount> Shares{};
  for (const auto &[Name, Template] : Catalog.Templates) {
    if (Template.Service == Service) {
      for (std::uint8_t Rank = Template.Rank.Min; Rank <= Template.Rank.Max;
           ++Rank) {
        Shares[Rank] = std::max(Shares[Rank], Template.MinimumShare);
      }
    }
  }
  return Shares;
}

} // namespace figplank::configuration
