#include "gateway/GroupLog.h"

#include <algorithm>

namespace jaydoor {
namespace {

constexpr Duration kPrimaryPointWindow =
  15s; // longer than any staleness allowed
// Points closer together do not improve the choice of a server.
constexpr Duration kPrimaryPointInterval = 15ms;
constexpr Duration kEntryTransferDelay = 10ms; // transfer time of a log entry
// An older estimate is ignored, so that the replica is tried again.
constexpr Duration kLagWindow = 2s;

} // namespace

void
GroupLog::SetTerm(std::uint64_t aTerm)
{
  if (aTerm != term_) {
    term_ = aTerm;
    marks_.clear();
    replicas_.clear();
    termStart_.reset();
  }
}

void
GroupLog::NotePrimary(Time aSentAt, LogPoint aPoint)
{
  if (aPoint.term_ != term_) {
    return;
  }
  if (!termStart_ || aPoint < *termStart_) {
    termStart_ = aPoint;
  }
  // Answers on different connections arrive in any order, so a send time can
  // be earlier than that of the newest point.
  if (!marks_.empty() && aSentAt < marks_.back().at_ + kPrimaryPointInterval) {
    return;
  }
  marks_.push_back({ aSentAt, aPoint });
  while (marks_.front().at_ + kPrimaryPointWindow < aSentAt) {
    marks_.pop_front();
  }
}

void
GroupLog::NoteReplica(const ServerId& aServer, Time aNow, LogPoint aPoint)
{
  Replica& replica = replicas_[aServer];
  replica.point_ = std::max(replica.point_, aPoint);
  replica.lagAt_ = aNow;
  // The replica is behind since the first primary point beyond its own.
  const auto firstMissing =
    std::find_if(marks_.begin(), marks_.end(), [&](const Mark& aPrimaryPoint) {
      return aPrimaryPoint.point_ > replica.point_;
    });
  replica.lag_ = firstMissing == marks_.end()
                   ? Duration{}
                   : std::max(Duration{}, aNow - firstMissing->at_);
}

void
GroupLog::NoteBehind(const ServerId& aServer, Time aNow, Time aSince)
{
  Replica& replica = replicas_[aServer];
  replica.lag_ = std::max(replica.lag_, aNow - aSince);
  replica.lagAt_ = aNow;
}

std::optional<GroupLog::Mark>
GroupLog::FindMark(Time aOldest) const
{
  const auto found =
    std::lower_bound(marks_.begin(),
                     marks_.end(),
                     aOldest,
                     [](const Mark& aPrimaryPoint, Time aTime) {
                       return aPrimaryPoint.at_ < aTime;
                     });
  if (found == marks_.end()) {
    return std::nullopt;
  }
  return *found;
}

bool
GroupLog::IsLikely(const ServerId& aServer,
                   const Mark& aPrimaryPoint,
                   Time aNow) const
{
  const auto found = replicas_.find(aServer);
  if (found == replicas_.end()) {
    return true;
  }
  const Replica& replica = found->second;
  return replica.point_ >= aPrimaryPoint.point_ ||
         aNow - aPrimaryPoint.at_ >= replica.lag_ + kEntryTransferDelay ||
         aNow - replica.lagAt_ >= kLagWindow;
}

} // namespace jaydoor
