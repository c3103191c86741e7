#include "traffic/RankQueue.h"

#include <algorithm>
#include <utility>

namespace jaydoor {
namespace {

constexpr int kSmoothing = 16;   // a new value counts 1/16 in a smoothed time
constexpr int kSpreads = 2;      // deviations added to the usual answer time
constexpr double kMaxCredit = 2; // most turns that a floor can accrue
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
  const double turn =
    static_cast<double>(service_.count()) / static_cast<double>(slots_);
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
  if (aNow + EstimateWait(aItem.rank_) + TimeToAnswer() > aItem.deadline_) {
    return Reason::Overloaded;
  }
  if (positions_.size() >= kMaxQueued && !MakeRoom(aItem.rank_)) {
    return Reason::Overloaded;
  }
  RankState& state = StateOf(aItem.rank_);
  auto [at, isNew] = state.lanes_.try_emplace(aItem.customer_);
  Lane& lane = at->second;
  if (lane.items_.empty()) {
    // A customer gains no turns from the time in which it had nothing queued.
    lane.turn_ = std::max(lane.turn_, state.turn_);
  }
  positions_[aItem.id_] = { aItem.rank_, aItem.customer_, aItem.deadline_ };
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
      state.credit_ = 0;
      continue;
    }
    if (!first) {
      first = static_cast<Rank>(i);
      continue;
    }
    state.credit_ = std::min(kMaxCredit, state.credit_ + floors_[i]);
    if (!owed && state.credit_ >= kWholeTurn) {
      owed = static_cast<Rank>(i);
    }
  }
  if (owed) {
    StateOf(*owed).credit_ -= 1;
    return owed;
  }
  return first;
}

QueuedItem
RankQueue::TakeFrom(RankState& aState)
{
  auto best = aState.lanes_.end();
  for (auto at = aState.lanes_.begin(); at != aState.lanes_.end(); ++at) {
    const bool sooner =
      best == aState.lanes_.end() || at->second.turn_ < best->second.turn_;
    if (!at->second.items_.empty() && sooner) {
      best = at;
    }
  }
  Lane& lane = best->second;
  QueuedItem item = std::move(lane.items_.begin()->second);
  lane.items_.erase(lane.items_.begin());
  aState.turn_ = lane.turn_;
  lane.turn_ += 1 / item.weight_;
  aState.size_--;
  if (lane.items_.empty() && aState.size_ == 0) {
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
  Lane& lane = state.lanes_[found->second.customer_];
  auto [at, end] = lane.items_.equal_range(found->second.deadline_);
  while (at != end && at->second.id_ != aId) {
    ++at;
  }
  lane.items_.erase(at);
  state.size_--;
  positions_.erase(found);
  return true;
}

// Drops the item of the rank that has the latest deadline.
void
RankQueue::DropLast(Rank aRank)
{
  const QueuedItem* last = nullptr;
  for (auto& [customer, lane] : StateOf(aRank).lanes_) {
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
    for (auto& [customer, lane] : state.lanes_) {
      while (!lane.items_.empty() && lane.items_.begin()->first <= latest) {
        const std::uint64_t id = lane.items_.begin()->second.id_;
        lane.items_.erase(lane.items_.begin());
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
  const Duration off = aTime - answer_;
  answer_ += off / kSmoothing;
  spread_ += (std::chrono::abs(off) - spread_) / kSmoothing;
}

Duration
RankQueue::TimeToAnswer() const
{
  return std::max(service_, answer_ + kSpreads * spread_);
}

void
RankQueue::NoteService(Duration aService)
{
  service_ += (aService - service_) / kSmoothing;
  service_ = std::max(service_, Duration(1));
}

} // namespace jaydoor
