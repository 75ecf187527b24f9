/// \file
/// The node's copy of the published configuration. An entry is replaced only by
/// one with a higher revision. Across a return of the platform from an older
/// copy (see configuration/revision.h), what the lost part had put in force
/// holds: neither an older route table nor an instance whose leaving or removal
/// was known comes back, though its revision is of a newer era. One whose entry
/// had expired is told from one that is gone by its next renewal. An entry
/// whose value fails validation is stored and passed on to other nodes, but the
/// last accepted value stays in force.
///
/// The copies of two nodes are compared by their digests. Keys are hashed into
/// buckets, and the digest of a bucket is the exclusive or of a hash of each
/// key with its revision. Equal digests mean equal copies, except for hash
/// collisions. If digests differ, one exchange transfers the entries of the
/// differing buckets (Merkle-tree anti-entropy with one level).
#pragma once

#include "configuration/configurationtypes.h"
#include "configuration/revision.h"
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

inline constexpr std::size_t DigestBucketCount = 256;
using digest_buckets = std::array<std::uint64_t, DigestBucketCount>;

/// Ordered map with string keys that can be searched with a string_view.
template <typename Value>
using text_map = std::map<std::string, Value, std::less<>>;

/// The accepted values in parsed form.
struct catalog {
  text_map<work_template> Templates;
  /// By organisation, then template.
  text_map<text_map<work_parameters>> Parameters;
  text_map<service_settings> Services;
  /// By service, then instance.
  text_map<text_map<instance>> Instances;
  route_table Routing;
  /// Increases with each change.
  std::uint64_t Version = 0;
};

/// A revision that failed validation, with the findings.
struct refused_entry {
  std::uint64_t Revision = 0;
  framework::findings Findings;
};

/// An incarnation of an instance that was listed as leaving, or was removed.
struct left_incarnation {
  std::uint64_t StartedMs = 0;
  std::uint64_t Revision = 0;
  /// It was removed and had not been listed as leaving. Its entry may have
  /// expired while it ran; if so, it renews its entry after a return.
  bool WasRemoved = false;
  /// Revision of the entry by which a later era listed it first; 0 for none.
  std::uint64_t SeenRevision = 0;
};

struct store {
  /// The entry with the highest revision of each key, valid or not.
  text_map<published_entry> Newest;
  /// Keys whose newest entry failed validation.
  text_map<refused_entry> Refused;
  /// Revision of the last accepted entry of each key, deletions included.
  text_map<std::uint64_t> AcceptedRevisions;
  catalog Catalog;
  /// All keys, ordered by the revision of their newest entry.
  std::set<std::pair<std::uint64_t, std::string>> KeysByRevision;
  /// Digest of each bucket.
  digest_buckets Digests{};
  /// The newest incarnation of each instance that was seen leaving or was
  /// removed, by key.
  text_map<left_incarnation> LeftInstances;
  /// Revision of the newest complete listing of the instances. An instance that
  /// it lacked and whose entry is older has been removed.
  std::uint64_t ListedAt = 0;
  /// Number of entries ignored because their revision was not higher than that
  /// of the stored entry.
  std::uint64_t NotNewerCount = 0;
};

enum class apply_result : std::uint8_t {
  Accepted,
  Refused,
  NotNewer,
  /// Of a newer era, but older than what is in force.
  Outdated,
};

/// Stores \p Entry if it is newer than the stored entry of its key. A valid
/// value takes effect in the catalog. An instance that was removed before the
/// newest listing is stored as deleted.
apply_result applyEntry(store &Store, const published_entry &Entry);

/// Records that all instances of a complete listing at \p Revision have been
/// applied.
void recordListing(store &Store, std::uint64_t Revision);

/// Prefix of the keys of instances.
inline constexpr std::string_view InstancesPrefix = "instances/";

/// Returns the key of an instance's entry.
std::string instanceKey(std::string_view Service, std::string_view Name);

/// Returns the instance whose entry has the key \p Key, or null.
const instance *findInstance(const catalog &Catalog, std::string_view Key);

/// Returns one hash over the digests of all buckets.
std::uint64_t summaryDigest(const store &Store);

/// Returns the index of the digest bucket of \p Key.
std::size_t bucketOf(std::string_view Key);

/// Returns the highest stored revision, or 0 if there are no entries.
std::uint64_t highestRevision(const store &Store);

/// Returns the entries with a revision above \p Revision in ascending order of
/// revision: at most \p MaxBytes of keys and values, but at least one entry if
/// there is any.
std::vector<published_entry> entriesNewerThan(const store &Store,
                                              std::uint64_t Revision,
                                              std::size_t MaxBytes);

/// Returns entries of the buckets whose digests differ between \p Store and
/// \p Other: at most \p MaxBytes of keys and values, but at least one entry if
/// there is any.
std::vector<published_entry>
entriesInDifferingBuckets(const store &Store, const digest_buckets &Other,
                          std::size_t MaxBytes);

/// Applies the parameters of \p Organisation to \p Template, clamped to the
/// template's bounds. Returns nothing if the template is unknown or has no
/// parameters of the organisation; a node knows organisations only by their
/// parameters.
std::optional<resolved_template> resolveTemplate(const catalog &Catalog,
                                                 std::string_view Organisation,
                                                 std::string_view Template);

/// Returns the template with its defaults, for a child call of an organisation
/// without parameters for it.
resolved_template templateDefaults(const work_template &Template);

/// Returns the minimum share of each rank for \p Service: the largest one among
/// the templates whose range of ranks includes the rank.
std::array<double, RankCount> minimumShares(const catalog &Catalog,
                                            std::string_view Service);

} // namespace figplank::configuration
