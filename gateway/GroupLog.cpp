#include "gateway/GroupLog.h"

#include <algorithm>

namespace jaydoor {
namespace {

constexpr Duration kKeepMarks = 15s;   // longer than any allowed age
constexpr Duration kMarkEvery = 15ms;  // closer marks add nothing to a choice
constexpr Duration kLagSlack = 10ms;   // for the way of an entry
constexpr Duration kLagForgotten = 2s; // an old estimate is tried again

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
  // Answers on several connections come in any order.
  if (!primaryPoints_.empty() &&
      aSentAt < primaryPoints_.back().at_ + kMarkEvery) {
    return;
  }
  primaryPoints_.push_back({ aSentAt, aPoint });
  while (primaryPoints_.front().at_ + kKeepMarks < aSentAt) {
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
  // It lacks something since the first mark beyond its point.
  const auto beyond = std::find_if(
    primaryPoints_.begin(),
    primaryPoints_.end(),
    [&](const PrimaryPoint& aMark) { return aMark.point_ > replica.point_; });
  replica.lag_ = beyond == primaryPoints_.end()
                   ? Duration{}
                   : std::max(Duration{}, aNow - beyond->at_);
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
  const auto found = std::lower_bound(
    primaryPoints_.begin(),
    primaryPoints_.end(),
    aOldest,
    [](const PrimaryPoint& aMark, Time aTime) { return aMark.at_ < aTime; });
  if (found == primaryPoints_.end()) {
    return std::nullopt;
  }
  return *found;
}

bool
GroupLog::IsExpectedToHold(const ServerId& aServer,
                           const PrimaryPoint& aMark,
                           Time aNow) const
{
  const auto found = replicas_.find(aServer);
  if (found == replicas_.end()) {
    return true;
  }
  const Replica& replica = found->second;
  return replica.point_ >= aMark.point_ ||
         aNow - aMark.at_ >= replica.lag_ + kLagSlack ||
         aNow - replica.lagRecordedAt_ >= kLagForgotten;
}

} // namespace jaydoor
