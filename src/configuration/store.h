/// \file
/// The node's copy of the published configuration. An entry moves only to a
/// higher revision; a value that fails validation is kept for other nodes but
/// leaves the last accepted one in force.
///
/// Two copies are compared by digests: per bucket of keys, the exclusive or
/// of a hash of each key with its revision. Equal digests mean equal copies
/// up to hash collisions, and a difference costs one exchange of the entries
/// of the buckets that differ (the method of Merkle-tree anti-entropy with
/// one level).
#pragma once

#include "configuration/configurationtypes.h"
#include "configuration/validation.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figplank::configuration {

inline constexpr std::size_t DigestBuckets = 256;
using digest_buckets = std::array<std::uint64_t, DigestBuckets>;

/// Ordered map that can be searched with a string_view.
template <typename Value>
using text_map = std::map<std::string, Value, std::less<>>;

/// The accepted values, parsed.
struct catalog {
  text_map<work_template> Templates;
  /// By organisation, then template.
  text_map<text_map<work_parameters>> Parameters;
  text_map<service_settings> Services;
  /// By service, then instance.
  text_map<text_map<instance>> Instances;
  route_table Routing;
};

/// The newest revision of a key that was refused.
struct refused_entry {
  std::uint64_t Revision = 0;
  framework::findings Findings;
};

struct store {
  /// The newest entry of each key, accepted or not.
  text_map<published_entry> Newest;
  text_map<refused_entry> Refused;
  /// Revision in force by key, where it differs from none.
  text_map<std::uint64_t> InForce;
  catalog Catalog;
  /// Every key by the revision of its newest entry.
  std::set<std::pair<std::uint64_t, std::string>> ByRevision;
  digest_buckets Digests{};
  /// Counts entries that were older than the held ones.
  std::uint64_t IgnoredOlder = 0;
};

enum class apply_result : std::uint8_t { Accepted, Refused, NotNewer };

/// Takes \p Entry if it is newer than the held entry of its key.
apply_result applyEntry(store &Store, const published_entry &Entry);

/// What the keys of instances begin with.
inline constexpr std::string_view InstancesPrefix = "instances/";

/// The key of an instance's entry.
std::string instanceKey(std::string_view Service, std::string_view Name);

/// The instance whose entry has the key \p Key; null if there is none.
const instance *findInstance(const catalog &Catalog, std::string_view Key);

/// One hash over all buckets.
std::uint64_t summaryDigest(const store &Store);

/// The bucket of \p Key.
std::size_t bucketOf(std::string_view Key);

/// The highest revision held, 0 for none.
std::uint64_t highestRevision(const store &Store);

/// Entries above \p Revision in ascending order, at most \p MaxBytes of keys
/// and values but at least one.
std::vector<published_entry> entriesNewerThan(const store &Store,
                                              std::uint64_t Revision,
                                              std::size_t MaxBytes);

/// Entries whose buckets differ between \p Store and \p Other, at most
/// \p MaxBytes of keys and values but at least one.
std::vector<published_entry> entriesThatDiffer(const store &Store,
                                               const digest_buckets &Other,
                                               std::size_t MaxBytes);

/// How \p Organisation uses \p Template: its parameters, held within the
/// template's bounds. Organisations can be known only through parameters.
std::optional<resolved_template> resolveTemplate(const catalog &Catalog,
                                                 std::string_view Organisation,
                                                 std::string_view Template);

/// The template's own defaults, for a child call of a known request.
resolved_template templateDefaults(const work_template &Template);

/// Minimum share of each rank: the largest that a template of the rank names.
std::array<double, RankCount> minimumShares(const catalog &Catalog,
                                            std::string_view Service);

} // namespace figplank::configuration
