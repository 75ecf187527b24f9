#include "configuration/heldremovals.h"

#include <algorithm>
#include <utility>

namespace figplank::configuration {
namespace {

bool isInstanceRemoval(const published_entry &Entry) {
  return Entry.Value.empty() && Entry.Key.starts_with(InstancesPrefix);
}

void holdRemoval(held_removals &Held, const published_entry &Removal) {
  published_entry &Newest = Held.Removals[Removal.Key];
  if (Newest.Key.empty() || Newest.Revision < Removal.Revision) {
    Newest = Removal;
  }
}

void dropOvertaken(held_removals &Held, const published_entry &Entry) {
  auto Found = Held.Removals.find(Entry.Key);
  if (Found != Held.Removals.end() && Found->second.Revision < Entry.Revision) {
    Held.Removals.erase(Found);
  }
}

} // namespace

bool isEmpty(const held_removals &Held) {
  return Held.Removals.empty() && Held.ListedAt == 0;
}

void holdRemovals(held_removals &Held, std::vector<published_entry> &Entries,
                  std::uint64_t ListedAt) {
  for (const published_entry &Entry : Entries) {
    if (isInstanceRemoval(Entry)) {
      holdRemoval(Held, Entry);
    } else {
      dropOvertaken(Held, Entry);
    }
  }
  std::erase_if(Entries, isInstanceRemoval);
  Held.ListedAt = std::max(Held.ListedAt, ListedAt);
}

held_removals takeHeld(held_removals &Held) { return std::exchange(Held, {}); }

} // namespace figplank::configuration
