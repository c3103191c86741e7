#pragma once

// Erases the entries of a map or set that a predicate selects. Unlike with
// std::erase_if, the predicate may modify the values of a map.

#include <set>

namespace jaydoor {

// Calls `aShouldErase(key, value)` for each entry and erases the entry if it
// returns true.
template<typename Map, typename Predicate>
void
EraseWhere(Map& aMap, Predicate aShouldErase)
{
  for (auto at = aMap.begin(); at != aMap.end();) {
    if (aShouldErase(at->first, at->second)) {
      at = aMap.erase(at);
    } else {
      ++at;
    }
  }
}

// Calls `aShouldErase(key)` for each key of a set and erases the key if it
// returns true.
template<typename Key, typename Predicate>
void
EraseWhere(std::set<Key>& aSet, Predicate aShouldErase)
{
  for (auto at = aSet.begin(); at != aSet.end();) {
    at = aShouldErase(*at) ? aSet.erase(at) : std::next(at);
  }
}

} // namespace jaydoor
