#pragma once

// The one queue in front of an upstream: which statement gets the next slot.
//
//   RankQueue queue;
//   queue.SetPolicy(slots, floors);
//   auto refused = queue.Push(item, now);   // refused: proven not run
//   auto next = queue.Pop(now);
//
// Sections of the policy:
//   1. Ranks: the most urgent rank with work goes first.
//   2. Floors: a lower rank with work gets at least its share of the turns.
//   3. Customers of one rank share it by weight; of one customer, the
//      statement with the earliest deadline goes first.
//   4. What can't meet its deadline is refused at once rather than late.

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
  std::uint64_t id_ = 0; //
  Rank rank_ = Rank::Normal;
  std::string customer_; //
  double weight_ = 1;    // the customer's share
  Time deadline_;        // has to be answered by
};

struct RefusedItem
{
  std::uint64_t id_ = 0;
  Reason reason_ = Reason::Overloaded;
};

class RankQueue
{
public:
  // Floors are shares of all turns, 0 to 1, by rank.
  void SetPolicy(std::size_t aSlots,
                 const std::array<double, kRankCount>& aFloors);

  // Queues the item, or says why not. Makes room for more urgent work by
  // dropping the least urgent: TakeRefused tells which.
  std::optional<Reason> Push(QueuedItem aItem, Time aNow);

  // Takes the item whose turn it is.
  std::optional<QueuedItem> Pop(Time aNow);

  // Removes an item that is no longer wanted. False if it is not queued.
  bool Remove(std::uint64_t aId);

  // Items dropped since the last call, among them all past their deadline.
  std::vector<RefusedItem> TakeRefused(Time aNow);

  // Learns from one statement's time at the upstream.
  void RecordServiceTime(Duration aService);
  // Learns from the whole time between sending a statement and its answer,
  // with the proof that the answer waited for.
  void RecordAnswerTime(Duration aTime);
  // What has less time left than this would be answered too late.
  Duration EstimateAnswerTime() const;

  // Time that an item of this rank would wait if it came now.
  Duration EstimateWait(Rank aRank) const;

  std::size_t Size() const { return itemKeys_.size(); }
  std::size_t CountOf(Rank aRank) const;

private:
  // One customer's items of one rank, by deadline.
  struct CustomerQueue
  {
    double nextTurn_ = 0; // virtual time of its next turn
    std::multimap<Time, QueuedItem> items_;
  };

  struct RankState
  {
    std::map<std::string, CustomerQueue> customers_; // by customer
    std::size_t size_ = 0;                           // items in all lanes
    double lastTurn_ = 0;    // virtual time of the last turn
    double floorCredit_ = 0; // turns that the floor has earned
  };

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
  Duration smoothedServiceTime_ = 2ms; // smoothed time at the upstream
  Duration smoothedAnswerTime_ =
    2ms;                       // smoothed time until the answer is proven
  Duration answerDeviation_{}; // smoothed deviation from it
};

} // namespace jaydoor
