#pragma once

// Orders the waiting statements of a group fairly among organisations.
//
//   FairOrder order;
//   order.Arrange(waiting);              // by rank and arrival before
//   order.RecordStart(rank, "o1");       // a statement was sent
//
// The load pattern: one organisation sends 4 to 9 times its usual load for
// several seconds, while its servers are near their capacity. In the order of
// arrival its statements take nearly all slots, and those of the others wait
// until they are refused.
//
// Within a rank this is start-time fair queueing (Goyal, Vin and Cheng, 1996),
// with tags that are set when a statement starts: what waits and is refused in
// the end costs its organisation nothing. An organisation's tag is the larger
// one of the virtual time and the end of its last statement; the least tag goes
// first, then the earliest arrival. The virtual time is the tag of the last
// statement that started. The order is work-conserving: an organisation alone
// gets everything and is not charged for it later. Its number of sessions and
// of attempts does not matter. Each statement counts the same, and so does each
// organisation.

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace jaydoor {

class FairOrder
{
public:
  struct Entry
  {
    int rank_ = 0;
    std::string_view organisation_;
    std::uint64_t id_ = 0;
  };

  // Arranges entries, which have to be ordered by rank and then by arrival, in
  // the order in which they are to be sent.
  void Arrange(std::vector<Entry>& aEntries) const;

  // Records that a statement of the organisation starts.
  void RecordStart(int aRank, std::string_view aOrganisation);

private:
  struct Rank
  {
    double now_ = 0; // virtual time
    // Of the last statement, by organisation; only those after now_.
    std::map<OrganisationId, double, std::less<>> ends_;
  };

  static double FindTag(const Rank& aRank, std::string_view aOrganisation);
  static void ArrangeRank(const Rank& aRank,
                          std::vector<Entry>::iterator aFirst,
                          std::vector<Entry>::iterator aLast);

  std::map<int, Rank> ranks_;
};

} // namespace jaydoor
