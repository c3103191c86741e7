#include "control/PrimaryPoints.h"

#include <tuple>

namespace jaydoor {
namespace {

// A position is sent to a VM again once it is newer by this time: well below
// the staleness that is usually allowed.
constexpr Duration kShareInterval = 400ms;
// An older position proves too little to be sent.
constexpr Duration kMaxSharedAge = 2s;
// Positions in one grant. Up to 30 groups, this is enough for kShareInterval;
// beyond that, each position is sent less often, and a VM that needs a newer
// one asks the primary.
constexpr std::size_t kMaxPointsPerGrant = 12;

} // namespace

void
PrimaryPoints::Reset(std::uint64_t aLeaderTerm)
{
  leaderTerm_ = aLeaderTerm;
  points_.clear();
  numbers_.clear();
  holders_.clear();
}

void
PrimaryPoints::Record(const wire::LeaseRequest& aRequest, Time aNow)
{
  if (aRequest.leader_term() != leaderTerm_) {
    return; // the times are of another leader's clock
  }
  for (const auto& reported : aRequest.points()) {
    const Point point{ reported.database(),
                       { reported.term(), reported.position() },
                       Time(Duration(reported.asked_us())) };
    const auto number =
      numbers_.try_emplace(reported.database(), points_.size()).first->second;
    if (number == points_.size()) {
      points_.push_back({ reported.database(), {}, {} });
    }
    Point& known = points_[number];
    const bool isNewer = std::tie(point.point_.term_, point.askedAt_) >
                         std::tie(known.point_.term_, known.askedAt_);
    if (isNewer && point.askedAt_ <= aNow) {
      known = point;
    }
  }
}

void
PrimaryPoints::AddTo(const VmId& aHolder, wire::LeaseGrant& aGrant, Time aNow)
{
  aGrant.set_leader_term(leaderTerm_);
  aGrant.set_leader_us(aNow.time_since_epoch().count());
  Holder& holder = holders_[aHolder];
  holder.sentAt_.resize(points_.size());
  std::size_t added = 0;
  for (std::size_t i = 0; i < points_.size() && added < kMaxPointsPerGrant;
       i++) {
    holder.next_ = (holder.next_ + 1) % points_.size();
    const Point& known = points_[holder.next_];
    Time& sentAt = holder.sentAt_[holder.next_];
    const bool isDue = known.askedAt_ >= sentAt + kShareInterval;
    if (!isDue || aNow - known.askedAt_ > kMaxSharedAge) {
      continue;
    }
    sentAt = known.askedAt_;
    added++;
    wire::SharedPoint& shared = *aGrant.add_points();
    shared.set_database(known.database_);
    shared.set_term(known.point_.term_);
    shared.set_position(known.point_.position_);
    shared.set_age_us((aNow - known.askedAt_).count());
  }
}

} // namespace jaydoor
