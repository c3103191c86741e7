#pragma once

// Erases entries of a map while looking at them mutably, which std::erase_if
// does not allow.

#include <set>

namespace jaydoor {

// Calls `aDrop(key, value)` for each entry; true erases the entry.
template<typename Map, typename Predicate>
void
EraseWhere(Map& aMap, Predicate aDrop)
{
  for (auto at = aMap.begin(); at != aMap.end();) {
    if (aDrop(at->first, at->second)) {
      at = aMap.erase(at);
    } else {
      ++at;
    }
  }
}

// The same for a set: calls `aDrop(key)`.
template<typename Key, typename Predicate>
void
EraseWhere(std::set<Key>& aSet, Predicate aDrop)
{
  for (auto at = aSet.begin(); at != aSet.end();) {
    at = aDrop(*at) ? aSet.erase(at) : std::next(at);
  }
}

} // namespace jaydoor
