#include "gateway/FairOrder.h"

#include "base/Erase.h"

#include <algorithm>
#include <deque>
#include <set>

namespace jaydoor {
namespace {

constexpr double kWork = 1; // of a statement, in units of the virtual time

} // namespace

double
FairOrder::FindTag(const Rank& aRank, std::string_view aOrganisation)
{
  const auto found = aRank.ends_.find(aOrganisation);
  return found == aRank.ends_.end() ? aRank.now_
                                    : std::max(aRank.now_, found->second);
}

void
FairOrder::ArrangeRank(const Rank& aRank,
                       std::vector<Entry>::iterator aFirst,
                       std::vector<Entry>::iterator aLast)
{
  const std::vector<Entry> entries(aFirst, aLast);
  std::map<std::string_view, std::deque<std::size_t>> waiting;
  for (std::size_t i = 0; i < entries.size(); i++) {
    waiting[entries[i].organisation_].push_back(i);
  }
  // The next statement of each organisation, by tag and place of arrival.
  std::set<std::pair<double, std::size_t>> next;
  for (const auto& [organisation, places] : waiting) {
    next.emplace(FindTag(aRank, organisation), places.front());
  }
  while (!next.empty()) {
    const auto [tag, place] = *next.begin();
    next.erase(next.begin());
    *aFirst++ = entries[place];
    auto& places = waiting[entries[place].organisation_];
    places.pop_front();
    if (!places.empty()) {
      next.emplace(tag + kWork, places.front());
    }
  }
}

void
FairOrder::Arrange(std::vector<Entry>& aEntries) const
{
  static const Rank kUnused;
  for (auto first = aEntries.begin(); first != aEntries.end();) {
    const int rank = first->rank_;
    const auto last = std::find_if(first, aEntries.end(), [&](auto& aEntry) {
      return aEntry.rank_ != rank;
    });
    const auto known = ranks_.find(rank);
    ArrangeRank(known == ranks_.end() ? kUnused : known->second, first, last);
    first = last;
  }
}

void
FairOrder::RecordStart(int aRank, std::string_view aOrganisation)
{
  Rank& rank = ranks_[aRank];
  const double tag = FindTag(rank, aOrganisation);
  rank.now_ = std::max(rank.now_, tag);
  rank.ends_.insert_or_assign(OrganisationId(aOrganisation), tag + kWork);
  EraseWhere(rank.ends_, [&](const OrganisationId&, double& aEnd) {
    return aEnd <= rank.now_;
  });
}

} // namespace jaydoor
