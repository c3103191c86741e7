#include "traffic/RankQueue.h"

#include <algorithm>
#include <utility>

namespace jaydoor {
namespace {

constexpr int kSmoothingDivisor =
  16; // a new value counts 1/16 in a smoothed time
constexpr int kAllowedDeviations =
  2; // deviations added to the usual answer time
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
RankQueue::SizeOf(Rank aRank) const
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
  const double turnTime =
    static_cast<double>(service_.count()) / static_cast<double>(slots_);
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
  if (aNow + EstimateWait(aItem.rank_) + TimeToAnswer() > aItem.deadline_) {
    return Reason::Overloaded;
  }
  if (positions_.size() >= kMaxQueued && !MakeRoom(aItem.rank_)) {
    return Reason::Overloaded;
  }
  RankState& state = StateOf(aItem.rank_);
  auto [at, isNew] = state.lanes_.try_emplace(aItem.customer_);
  Lane& customerQueue = at->second;
  if (customerQueue.items_.empty()) {
    // A customer gains no turns from the time in which it had nothing queued.
    customerQueue.turn_ = std::max(customerQueue.turn_, state.turn_);
  }
  positions_[aItem.id_] = { aItem.rank_, aItem.customer_, aItem.deadline_ };
  state.size_++;
  const Time deadline = aItem.deadline_;
  customerQueue.items_.emplace(deadline, std::move(aItem));
  return std::nullopt;
}

std::optional<Rank>
RankQueue::ChooseRank()
{
  std::optional<Rank> first;
  std::optional<Rank> floorDue;
  for (std::size_t i = 0; i < kRankCount; i++) {
    RankState& state = ranks_[i];
    if (state.size_ == 0) {
      state.credit_ = 0;
      continue;
    }
    if (!first) {
      first = static_cast<Rank>(i);
      continue;
    }
    state.credit_ = std::min(kMaxFloorCredit, state.credit_ + floors_[i]);
    if (!floorDue && state.credit_ >= kWholeTurn) {
      floorDue = static_cast<Rank>(i);
    }
  }
  if (floorDue) {
    StateOf(*floorDue).credit_ -= 1;
    return floorDue;
  }
  return first;
}

QueuedItem
RankQueue::TakeFrom(RankState& aState)
{
  auto next = aState.lanes_.end();
  for (auto at = aState.lanes_.begin(); at != aState.lanes_.end(); ++at) {
    const bool isSooner =
      next == aState.lanes_.end() || at->second.turn_ < next->second.turn_;
    if (!at->second.items_.empty() && isSooner) {
      next = at;
    }
  }
  Lane& customerQueue = next->second;
  QueuedItem item = std::move(customerQueue.items_.begin()->second);
  customerQueue.items_.erase(customerQueue.items_.begin());
  aState.turn_ = customerQueue.turn_;
  customerQueue.turn_ += 1 / item.weight_;
  aState.size_--;
  if (customerQueue.items_.empty() && aState.size_ == 0) {
    // No customer waits: the past turns no longer matter.
    aState.lanes_.clear();
    aState.turn_ = 0;
  }
  positions_.erase(item.id_);
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
  return TakeFrom(StateOf(*rank));
}

bool
RankQueue::Remove(std::uint64_t aId)
{
  const auto found = positions_.find(aId);
  if (found == positions_.end()) {
    return false;
  }
  RankState& state = StateOf(found->second.rank_);
  Lane& customerQueue = state.lanes_[found->second.customer_];
  auto [at, end] = customerQueue.items_.equal_range(found->second.deadline_);
  while (at != end && at->second.id_ != aId) {
    ++at;
  }
  customerQueue.items_.erase(at);
  state.size_--;
  positions_.erase(found);
  return true;
}

// Drops the item of the rank that has the latest deadline.
void
RankQueue::DropLast(Rank aRank)
{
  const QueuedItem* latest = nullptr;
  for (auto& [customer, customerQueue] : StateOf(aRank).lanes_) {
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
RankQueue::MakeRoom(Rank aRank)
{
  for (std::size_t i = kRankCount - 1; i > IndexOf(aRank); i--) {
    if (ranks_[i].size_ > 0) {
      DropLast(static_cast<Rank>(i));
      return true;
    }
  }
  return false;
}

// Drops the items that have too little time left to be answered.
void
RankQueue::DropExpired(Time aNow)
{
  const Time latest = aNow + TimeToAnswer();
  for (auto& state : ranks_) {
    for (auto& [customer, customerQueue] : state.lanes_) {
      while (!customerQueue.items_.empty() &&
             customerQueue.items_.begin()->first <= latest) {
        const std::uint64_t id = customerQueue.items_.begin()->second.id_;
        customerQueue.items_.erase(customerQueue.items_.begin());
        state.size_--;
        positions_.erase(id);
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
RankQueue::NoteAnswer(Duration aTime)
{
  const Duration deviation = aTime - answer_;
  answer_ += deviation / kSmoothingDivisor;
  spread_ += (std::chrono::abs(deviation) - spread_) / kSmoothingDivisor;
}

Duration
RankQueue::TimeToAnswer() const
{
  return std::max(service_, answer_ + kAllowedDeviations * spread_);
}

void
RankQueue::NoteService(Duration aService)
{
  service_ += (aService - service_) / kSmoothingDivisor;
  service_ = std::max(service_, Duration(1));
}

} // namespace jaydoor
