#pragma once

// The queue of statements for one upstream. It decides which statement gets the
// next free slot.
//
//   RankQueue queue;
//   queue.SetPolicy(slots, floors);
//   auto refused = queue.Push(item, now);   // set: refused, so it has not run
//   auto next = queue.Pop(now);
//
// Rules of service:
//   1. The most urgent rank that has items queued is served first.
//   2. Floors: a lower rank that has items queued gets at least its configured
//      share of all turns.
//   3. The customers of one rank share its turns by weight. Among the items
//      of one customer, the one with the earliest deadline is served first.
//   4. An item that can't meet its deadline is refused at once rather than
//      late.

#include "base/Types.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydoor {

inline constexpr std::size_t kMaxQueued = 4096; // items in one queue

struct QueuedItem
{
  std::uint64_t id_ = 0; // unique in the queue
  Rank rank_ = Rank::Normal;
  std::string customer_; // whose work it is
  double weight_ = 1;    // customer's share relative to the others of the rank
  Time deadline_;        // by which it has to be answered
};

struct RefusedItem
{
  std::uint64_t id_ = 0;
  Reason reason_ = Reason::Overloaded;
};

class RankQueue
{
public:
  // `aSlots`: statements that the upstream runs at the same time. `aFloors`:
  // least share of all turns by rank, 0 to 1.
  void SetPolicy(std::size_t aSlots,
                 const std::array<double, kRankCount>& aFloors);

  // Queues the item, or returns the reason why it is refused. If the queue is
  // full, drops an item of the least urgent rank to make room for one of a more
  // urgent rank; TakeRefused returns the dropped items.
  std::optional<Reason> Push(QueuedItem aItem, Time aNow);

  // Removes and returns the item to be served next. Unset if none is queued.
  std::optional<QueuedItem> Pop(Time aNow);

  // Removes an item that is no longer wanted. False if it is not queued.
  bool Remove(std::uint64_t aId);

  // Returns the items dropped since the last call, among them all that can no
  // longer be answered within their deadline.
  std::vector<RefusedItem> TakeRefused(Time aNow);

  // Records how long the upstream took to run one statement.
  void RecordServiceTime(Duration aService);
  // Records the time from sending a statement to the upstream until its answer
  // was proven.
  void RecordAnswerTime(Duration aTime);
  // Estimates the time from sending a statement until its answer is proven. An
  // item with less time left would be answered too late.
  Duration EstimateAnswerTime() const;

  // Estimates the time that an item of this rank would wait if queued now.
  Duration EstimateWait(Rank aRank) const;

  std::size_t Size() const { return itemKeys_.size(); }
  std::size_t CountOf(Rank aRank) const;

private:
  // One customer's items of one rank, by deadline.
  struct CustomerQueue
  {
    double nextTurn_ = 0; // virtual time of the customer's next turn
    std::multimap<Time, QueuedItem> items_;
  };

  struct RankState
  {
    std::map<std::string, CustomerQueue> customers_; // by customer
    std::size_t size_ = 0;                           // items of all customers
    double lastTurn_ = 0;    // virtual time of the last turn
    double floorCredit_ = 0; // turns that the floor has accrued
  };

  // Locates a queued item.
  struct ItemKey
  {
    Rank rank_ = Rank::Normal;
    std::string customer_;
    Time deadline_;
  };

  RankState& StateOf(Rank aRank);
  const RankState& StateOf(Rank aRank) const;
  std::optional<Rank> ChooseRank();
  QueuedItem PopFrom(RankState& aState);
  void DropLatestDeadline(Rank aRank);
  bool DropLessUrgent(Rank aRank);
  void DropExpired(Time aNow);

  std::array<RankState, kRankCount> ranks_;
  std::map<std::uint64_t, ItemKey> itemKeys_; // by item id
  std::vector<RefusedItem> refused_;
  std::array<double, kRankCount> floors_{};
  std::size_t slots_ = 1;
  Duration smoothedServiceTime_ = 2ms; // time that the upstream takes
  Duration smoothedAnswerTime_ = 2ms;  // time until the answer is proven
  Duration answerDeviation_{}; // smoothed absolute deviation of the answer time
};

} // namespace jaydoor
