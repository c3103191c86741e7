#include "traffic/RankQueue.h"

#include <algorithm>
#include <utility>

namespace jaydoor {
namespace {

constexpr int kSmoothingDivisor = 16;   // a new value counts 1/16
constexpr int kAllowedDeviations = 2;   // added to the usual answer time
constexpr double kMaxFloorCredit = 2;   // most turns that a floor can accrue
constexpr double kWholeTurn = 1 - 1e-9; // one turn, less rounding errors

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
  const double turnTime = static_cast<double>(smoothedServiceTime_.count()) /
                          static_cast<double>(slots_);
  double wait = turnTime * static_cast<double>(ahead);
  const double floor = floors_[IndexOf(aRank)];
  if (floor > 0) {
    const double ownRankSize = static_cast<double>(StateOf(aRank).size_);
    wait = std::min(wait, turnTime * ownRankSize / floor);
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
  CustomerQueue& customerQueue = at->second;
  if (customerQueue.items_.empty()) {
    // A customer gains no turns from the time in which it had nothing queued.
    customerQueue.nextTurn_ =
      std::max(customerQueue.nextTurn_, state.lastTurn_);
  }
  itemKeys_[aItem.id_] = { aItem.rank_, aItem.customer_, aItem.deadline_ };
  state.size_++;
  const Time deadline = aItem.deadline_;
  customerQueue.items_.emplace(deadline, std::move(aItem));
  return std::nullopt;
}

// Returns the rank to be served next: the most urgent one that has items
// queued, unless the floor of a lower one has accrued a turn. Unset if none is
// queued.
std::optional<Rank>
RankQueue::ChooseRank()
{
  std::optional<Rank> mostUrgent;
  std::optional<Rank> floorDue;
  for (std::size_t i = 0; i < kRankCount; i++) {
    RankState& state = ranks_[i];
    if (state.size_ == 0) {
      state.floorCredit_ = 0;
      continue;
    }
    if (!mostUrgent) {
      mostUrgent = static_cast<Rank>(i);
      continue;
    }
    state.floorCredit_ =
      std::min(kMaxFloorCredit, state.floorCredit_ + floors_[i]);
    if (!floorDue && state.floorCredit_ >= kWholeTurn) {
      floorDue = static_cast<Rank>(i);
    }
  }
  if (floorDue) {
    StateOf(*floorDue).floorCredit_ -= 1;
    return floorDue;
  }
  return mostUrgent;
}

QueuedItem
RankQueue::PopFrom(RankState& aState)
{
  auto next = aState.customers_.end();
  for (auto at = aState.customers_.begin(); at != aState.customers_.end();
       ++at) {
    const bool isSooner = next == aState.customers_.end() ||
                          at->second.nextTurn_ < next->second.nextTurn_;
    if (!at->second.items_.empty() && isSooner) {
      next = at;
    }
  }
  CustomerQueue& customerQueue = next->second;
  QueuedItem item = std::move(customerQueue.items_.begin()->second);
  customerQueue.items_.erase(customerQueue.items_.begin());
  aState.lastTurn_ = customerQueue.nextTurn_;
  customerQueue.nextTurn_ += 1 / item.weight_;
  aState.size_--;
  if (customerQueue.items_.empty() && aState.size_ == 0) {
    // No customer waits: the past turns no longer matter.
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
  CustomerQueue& customerQueue = state.customers_[found->second.customer_];
  auto [at, end] = customerQueue.items_.equal_range(found->second.deadline_);
  while (at != end && at->second.id_ != aId) {
    ++at;
  }
  customerQueue.items_.erase(at);
  state.size_--;
  itemKeys_.erase(found);
  return true;
}

// Drops the item of the rank that has the latest deadline.
void
RankQueue::DropLatestDeadline(Rank aRank)
{
  const QueuedItem* latest = nullptr;
  for (auto& [customer, customerQueue] : StateOf(aRank).customers_) {
    if (customerQueue.items_.empty()) {
      continue;
    }
    const QueuedItem& item = customerQueue.items_.rbegin()->second;
    if (latest == nullptr || item.deadline_ > latest->deadline_) {
      latest = &item;
    }
  }
  if (latest != nullptr) {
    const std::uint64_t id = latest->id_;
    Remove(id);
    refused_.push_back({ id, Reason::Overloaded });
  }
}

// Drops one item of the least urgent rank that has any, if that rank is less
// urgent than `aRank`. False if there is none.
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

// Drops the items that have too little time left to be answered.
void
RankQueue::DropExpired(Time aNow)
{
  const Time latest = aNow + EstimateAnswerTime();
  for (auto& state : ranks_) {
    for (auto& [customer, customerQueue] : state.customers_) {
      while (!customerQueue.items_.empty() &&
             customerQueue.items_.begin()->first <= latest) {
        const std::uint64_t id = customerQueue.items_.begin()->second.id_;
        customerQueue.items_.erase(customerQueue.items_.begin());
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
  const Duration deviation = aTime - smoothedAnswerTime_;
  smoothedAnswerTime_ += deviation / kSmoothingDivisor;
  answerDeviation_ +=
    (std::chrono::abs(deviation) - answerDeviation_) / kSmoothingDivisor;
}

Duration
RankQueue::EstimateAnswerTime() const
{
  return std::max(smoothedServiceTime_,
                  smoothedAnswerTime_ + kAllowedDeviations * answerDeviation_);
}

void
RankQueue::RecordServiceTime(Duration aService)
{
  smoothedServiceTime_ += (aService - smoothedServiceTime_) / kSmoothingDivisor;
  smoothedServiceTime_ = std::max(smoothedServiceTime_, Duration(1));
}

} // namespace jaydoor
