#include "gateway/GroupLog.h"

#include <algorithm>

namespace jaydoor {
namespace {

// Age at which a primary point is discarded: longer than any staleness allowed.
constexpr Duration kPrimaryPointWindow = 15s;
// Points closer together do not improve the choice of a server.
constexpr Duration kPrimaryPointInterval = 15ms;
// Time that a log entry takes from the primary to a replica.
constexpr Duration kEntryTransferDelay = 10ms;
// An older estimate of a replica's lag is ignored, so that the replica is tried
// again.
constexpr Duration kLagWindow = 2s;

} // namespace

void
GroupLog::SetTerm(std::uint64_t aTerm)
{
  if (aTerm != term_) {
    term_ = aTerm;
    primaryPoints_.clear();
    replicas_.clear();
    termStart_.reset();
  }
}

void
GroupLog::RecordPrimaryPoint(Time aSentAt, LogPoint aPoint)
{
  if (aPoint.term_ != term_) {
    return;
  }
  if (!termStart_ || aPoint < *termStart_) {
    termStart_ = aPoint;
  }
  // Answers on different connections arrive in any order, so a send time can
  // be earlier than that of the newest point.
  if (!primaryPoints_.empty() &&
      aSentAt < primaryPoints_.back().at_ + kPrimaryPointInterval) {
    return;
  }
  primaryPoints_.push_back({ aSentAt, aPoint });
  while (primaryPoints_.front().at_ + kPrimaryPointWindow < aSentAt) {
    primaryPoints_.pop_front();
  }
}

void
GroupLog::RecordReplicaPoint(const ServerId& aServer,
                             Time aNow,
                             LogPoint aPoint)
{
  Replica& replica = replicas_[aServer];
  replica.point_ = std::max(replica.point_, aPoint);
  replica.lagRecordedAt_ = aNow;
  // The replica has been behind since the first primary point beyond its own.
  const auto firstMissing =
    std::find_if(primaryPoints_.begin(),
                 primaryPoints_.end(),
                 [&](const PrimaryPoint& aPrimaryPoint) {
                   return aPrimaryPoint.point_ > replica.point_;
                 });
  replica.lag_ = firstMissing == primaryPoints_.end()
                   ? Duration{}
                   : std::max(Duration{}, aNow - firstMissing->at_);
}

void
GroupLog::RecordReplicaBehind(const ServerId& aServer, Time aNow, Time aSince)
{
  Replica& replica = replicas_[aServer];
  replica.lag_ = std::max(replica.lag_, aNow - aSince);
  replica.lagRecordedAt_ = aNow;
}

std::optional<GroupLog::PrimaryPoint>
GroupLog::FindPrimaryPoint(Time aOldest) const
{
  const auto found =
    std::lower_bound(primaryPoints_.begin(),
                     primaryPoints_.end(),
                     aOldest,
                     [](const PrimaryPoint& aPrimaryPoint, Time aTime) {
                       return aPrimaryPoint.at_ < aTime;
                     });
  if (found == primaryPoints_.end()) {
    return std::nullopt;
  }
  return *found;
}

Time
GroupLog::NewestPointAt() const
{
  return primaryPoints_.empty() ? Time{} : primaryPoints_.back().at_;
}

std::optional<LogPoint>
GroupLog::FindNewestPoint() const
{
  return primaryPoints_.empty() ? std::nullopt
                                : std::optional(primaryPoints_.back().point_);
}

std::optional<LogPoint>
GroupLog::FindReplicaPoint(const ServerId& aServer) const
{
  const auto found = replicas_.find(aServer);
  return found == replicas_.end() ? std::nullopt
                                  : std::optional(found->second.point_);
}

bool
GroupLog::IsExpectedToHold(const ServerId& aServer,
                           const PrimaryPoint& aPrimaryPoint,
                           Time aNow) const
{
  const auto found = replicas_.find(aServer);
  if (found == replicas_.end()) {
    return true;
  }
  const Replica& replica = found->second;
  return replica.point_ >= aPrimaryPoint.point_ ||
         aNow - aPrimaryPoint.at_ >= replica.lag_ + kEntryTransferDelay ||
         aNow - replica.lagRecordedAt_ >= kLagWindow;
}

} // namespace jaydoor
