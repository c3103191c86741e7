#include "traffic/RankQueue.h"

#include <algorithm>
#include <utility>

namespace jaydoor {
namespace {

constexpr int kSmoothing = 16;   // weight of the past in the service time
constexpr int kSpreads = 2;      // deviations that an answer may be late by
constexpr double kMaxCredit = 2; // turns that a floor can save up
constexpr double kWholeTurn = 1 - 1e-9; // a turn, but for rounding

constexpr std::size_t
IndexOf(Rank aRank)
{
  return static_cast<std::size_t>(aRank);
}

} // namespace

RankQueue::RankState&
RankQueue::StateOf(Rank aRank)
{
  return ranks_[IndexOf(aRank)];
}

const RankQueue::RankState&
RankQueue::StateOf(Rank aRank) const
{
  return ranks_[IndexOf(aRank)];
}

void
RankQueue::SetPolicy(std::size_t aSlots,
                     const std::array<double, kRankCount>& aFloors)
{
  slots_ = std::max<std::size_t>(1, aSlots);
  floors_ = aFloors;
}

std::size_t
RankQueue::CountOf(Rank aRank) const
{
  return StateOf(aRank).size_;
}

Duration
RankQueue::EstimateWait(Rank aRank) const
{
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= IndexOf(aRank); i++) {
    ahead += ranks_[i].size_;
  }
  const double turn = static_cast<double>(smoothedServiceTime_.count()) /
                      static_cast<double>(slots_);
  double wait = turn * static_cast<double>(ahead);
  const double floor = floors_[IndexOf(aRank)];
  if (floor > 0) {
    const double own = static_cast<double>(StateOf(aRank).size_);
    wait = std::min(wait, turn * own / floor);
  }
  return Duration(static_cast<Duration::rep>(wait));
}

std::optional<Reason>
RankQueue::Push(QueuedItem aItem, Time aNow)
{
  if (aItem.deadline_ <= aNow) {
    return Reason::PastDeadline;
  }
  if (aNow + EstimateWait(aItem.rank_) + EstimateAnswerTime() >
      aItem.deadline_) {
    return Reason::Overloaded;
  }
  if (itemKeys_.size() >= kMaxQueued && !DropLessUrgent(aItem.rank_)) {
    return Reason::Overloaded;
  }
  RankState& state = StateOf(aItem.rank_);
  auto [at, isNew] = state.customers_.try_emplace(aItem.customer_);
  CustomerQueue& lane = at->second;
  if (lane.items_.empty()) {
    // A customer that was idle has saved up nothing.
    lane.nextTurn_ = std::max(lane.nextTurn_, state.lastTurn_);
  }
  itemKeys_[aItem.id_] = { aItem.rank_, aItem.customer_, aItem.deadline_ };
  state.size_++;
  const Time deadline = aItem.deadline_;
  lane.items_.emplace(deadline, std::move(aItem));
  return std::nullopt;
}

std::optional<Rank>
RankQueue::ChooseRank()
{
  std::optional<Rank> first;
  std::optional<Rank> owed;
  for (std::size_t i = 0; i < kRankCount; i++) {
    RankState& state = ranks_[i];
    if (state.size_ == 0) {
      state.floorCredit_ = 0;
      continue;
    }
    if (!first) {
      first = static_cast<Rank>(i);
      continue;
    }
    state.floorCredit_ = std::min(kMaxCredit, state.floorCredit_ + floors_[i]);
    if (!owed && state.floorCredit_ >= kWholeTurn) {
      owed = static_cast<Rank>(i);
    }
  }
  if (owed) {
    StateOf(*owed).floorCredit_ -= 1;
    return owed;
  }
  return first;
}

QueuedItem
RankQueue::PopFrom(RankState& aState)
{
  auto best = aState.customers_.end();
  for (auto at = aState.customers_.begin(); at != aState.customers_.end();
       ++at) {
    const bool sooner = best == aState.customers_.end() ||
                        at->second.nextTurn_ < best->second.nextTurn_;
    if (!at->second.items_.empty() && sooner) {
      best = at;
    }
  }
  CustomerQueue& lane = best->second;
  QueuedItem item = std::move(lane.items_.begin()->second);
  lane.items_.erase(lane.items_.begin());
  aState.lastTurn_ = lane.nextTurn_;
  lane.nextTurn_ += 1 / item.weight_;
  aState.size_--;
  if (lane.items_.empty() && aState.size_ == 0) {
    // Nobody waits: forget the past turns along with the customers.
    aState.customers_.clear();
    aState.lastTurn_ = 0;
  }
  itemKeys_.erase(item.id_);
  return item;
}

std::optional<QueuedItem>
RankQueue::Pop(Time aNow)
{
  DropExpired(aNow);
  const auto rank = ChooseRank();
  if (!rank) {
    return std::nullopt;
  }
  return PopFrom(StateOf(*rank));
}

bool
RankQueue::Remove(std::uint64_t aId)
{
  const auto found = itemKeys_.find(aId);
  if (found == itemKeys_.end()) {
    return false;
  }
  RankState& state = StateOf(found->second.rank_);
  CustomerQueue& lane = state.customers_[found->second.customer_];
  auto [at, end] = lane.items_.equal_range(found->second.deadline_);
  while (at != end && at->second.id_ != aId) {
    ++at;
  }
  lane.items_.erase(at);
  state.size_--;
  itemKeys_.erase(found);
  return true;
}

void
RankQueue::DropLatestDeadline(Rank aRank)
{
  const QueuedItem* last = nullptr;
  for (auto& [customer, lane] : StateOf(aRank).customers_) {
    if (lane.items_.empty()) {
      continue;
    }
    const QueuedItem& item = lane.items_.rbegin()->second;
    if (last == nullptr || item.deadline_ > last->deadline_) {
      last = &item;
    }
  }
  if (last != nullptr) {
    const std::uint64_t id = last->id_;
    Remove(id);
    refused_.push_back({ id, Reason::Overloaded });
  }
}

// Drops one item of a less urgent rank. False if there is none.
bool
RankQueue::DropLessUrgent(Rank aRank)
{
  for (std::size_t i = kRankCount - 1; i > IndexOf(aRank); i--) {
    if (ranks_[i].size_ > 0) {
      DropLatestDeadline(static_cast<Rank>(i));
      return true;
    }
  }
  return false;
}

// An item is dropped when too little time is left to run it.
void
RankQueue::DropExpired(Time aNow)
{
  const Time latest = aNow + EstimateAnswerTime();
  for (auto& state : ranks_) {
    for (auto& [customer, lane] : state.customers_) {
      while (!lane.items_.empty() && lane.items_.begin()->first <= latest) {
        const std::uint64_t id = lane.items_.begin()->second.id_;
        lane.items_.erase(lane.items_.begin());
        state.size_--;
        itemKeys_.erase(id);
        refused_.push_back({ id, Reason::PastDeadline });
      }
    }
  }
}

std::vector<RefusedItem>
RankQueue::TakeRefused(Time aNow)
{
  DropExpired(aNow);
  return std::exchange(refused_, {});
}

void
RankQueue::RecordAnswerTime(Duration aTime)
{
  const Duration off = aTime - smoothedAnswerTime_;
  smoothedAnswerTime_ += off / kSmoothing;
  answerDeviation_ += (std::chrono::abs(off) - answerDeviation_) / kSmoothing;
}

Duration
RankQueue::EstimateAnswerTime() const
{
  return std::max(smoothedServiceTime_,
                  smoothedAnswerTime_ + kSpreads * answerDeviation_);
}

void
RankQueue::RecordServiceTime(Duration aService)
{
  smoothedServiceTime_ += (aService - smoothedServiceTime_) / kSmoothing;
  smoothedServiceTime_ = std::max(smoothedServiceTime_, Duration(1));
}

} // namespace jaydoor
