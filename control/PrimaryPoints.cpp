#include "control/PrimaryPoints.h"

#include <tuple>

namespace jaydoor {
namespace {

// A position is sent to a VM again once it is newer by this time: well below
// the staleness that is usually allowed.
constexpr Duration kShareInterval = 400ms;
// An older position proves too little to be sent.
constexpr Duration kMaxSharedAge = 2s;

} // namespace

void
PrimaryPoints::Reset(std::uint64_t aLeaderTerm)
{
  leaderTerm_ = aLeaderTerm;
  points_.clear();
  sent_.clear();
}

void
PrimaryPoints::Record(const wire::LeaseRequest& aRequest, Time aNow)
{
  if (aRequest.leader_term() != leaderTerm_) {
    return; // the times are of another leader's clock
  }
  for (const auto& reported : aRequest.points()) {
    const Point point{ { reported.term(), reported.position() },
                       Time(Duration(reported.asked_us())) };
    Point& known = points_[reported.database()];
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
  for (const auto& [name, known] : points_) {
    Time& sentAt = sent_[{ aHolder, name }];
    const bool isDue = known.askedAt_ >= sentAt + kShareInterval;
    if (!isDue || aNow - known.askedAt_ > kMaxSharedAge) {
      continue;
    }
    sentAt = known.askedAt_;
    wire::SharedPoint& shared = *aGrant.add_points();
    shared.set_database(name);
    shared.set_term(known.point_.term_);
    shared.set_position(known.point_.position_);
    shared.set_age_us((aNow - known.askedAt_).count());
  }
}

} // namespace jaydoor
