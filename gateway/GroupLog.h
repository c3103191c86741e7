#pragma once

// What is known of the log of one group of servers, and what that proves about
// reads.
//
// Each answer of the primary carries its log position. All that was committed
// before the question was sent is at or below it, so that a read which is
// proven to hold that position shows data no older than the question.
//
// All times are of this VM's own clock.

#include "base/Types.h"

#include <deque>
#include <map>
#include <optional>

namespace jaydoor {

class GroupLog
{
public:
  // The primary's log was at `aPoint` when it answered a question sent then.
  void RecordPrimaryPoint(Time aSentAt, LogPoint aPoint);
  // A replica's log was at `aPoint` when its answer came.
  void RecordReplicaPoint(const ServerId& aServer, Time aNow, LogPoint aPoint);
  // A replica refused to read at a point that the primary had at this time.
  void RecordReplicaBehind(const ServerId& aServer, Time aNow, Time aSince);
  // A new primary: positions of earlier terms prove nothing any more.
  void SetTerm(std::uint64_t aTerm);

  // A log point with the time at which the primary had it.
  struct PrimaryPoint
  {
    Time at_;
    LogPoint point_;
  };

  // The lowest point that proves data no older than `aOldest`.
  std::optional<PrimaryPoint> FindPrimaryPoint(Time aOldest) const;
  // A point that holds all commits of earlier terms that the present one has
  // kept.
  std::optional<LogPoint> TermStart() const { return termStart_; }
  // True if the replica is expected to hold the mark by now.
  bool IsExpectedToHold(const ServerId& aServer,
                        const PrimaryPoint& aMark,
                        Time aNow) const;

private:
  struct Replica
  {
    LogPoint point_;     // last known
    Duration lag_{};     // estimated
    Time lagRecordedAt_; // of the estimate
  };

  std::uint64_t term_ = 0;
  std::optional<LogPoint> termStart_;
  std::deque<PrimaryPoint> primaryPoints_; // oldest first
  std::map<ServerId, Replica> replicas_;
};

} // namespace jaydoor
