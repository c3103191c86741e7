#pragma once

// Tracks the log positions of the servers of one group, to find out which of
// them can serve a read that has to include recent data.
//
// Each answer of the primary carries its log position. Everything that was
// committed before the command was sent is at or below that position. A read on
// a server whose log has reached it therefore returns data that is no older
// than the time at which the command was sent.
//
// All times are taken from this VM's own clock.

#include "base/Types.h"

#include <deque>
#include <map>
#include <optional>

namespace jaydoor {

class GroupLog
{
public:
  // Records that the primary's log was at `aPoint` when it answered a command
  // that was sent at `aSentAt`. Ignored if the point is of another term.
  void RecordPrimaryPoint(Time aSentAt, LogPoint aPoint);
  // Records that a replica's log was at `aPoint` when it sent an answer, which
  // arrived at `aNow`.
  void RecordReplicaPoint(const ServerId& aServer, Time aNow, LogPoint aPoint);
  // Records that a replica refused a read because its log had not reached a
  // point that the primary's log had reached at `aSince`.
  void RecordReplicaBehind(const ServerId& aServer, Time aNow, Time aSince);
  // Sets the current term. A change discards all positions: those of earlier
  // terms prove nothing about the log of the new primary.
  void SetTerm(std::uint64_t aTerm);

  // A log point, and a time before which all commits are at or below it.
  struct PrimaryPoint
  {
    Time at_;
    LogPoint point_;
  };

  // Returns the lowest recorded point that proves data no older than
  // `aOldest`, or nothing if no point was recorded since then.
  std::optional<PrimaryPoint> FindPrimaryPoint(Time aOldest) const;
  // Returns the time that the newest point proves, or Time{} if there is none.
  Time NewestPointAt() const;
  // Returns the newest known position of the primary's log in the current term,
  // or of a replica's log; nothing if none is known.
  std::optional<LogPoint> FindNewestPoint() const;
  std::optional<LogPoint> FindReplicaPoint(const ServerId& aServer) const;
  // Returns the lowest point that the primary has reported in the current
  // term. It covers all commits of earlier terms that the current one kept.
  std::optional<LogPoint> TermStart() const { return termStart_; }
  // Returns true if the log of the replica is expected to have reached the
  // point by now, by its last known position and its estimated lag.
  bool IsExpectedToHold(const ServerId& aServer,
                        const PrimaryPoint& aPrimaryPoint,
                        Time aNow) const;

private:
  struct Replica
  {
    LogPoint point_;     // highest known
    Duration lag_{};     // estimated delay behind the primary
    Time lagRecordedAt_; // time of that estimate
  };

  std::uint64_t term_ = 0;
  std::optional<LogPoint> termStart_;
  std::deque<PrimaryPoint> primaryPoints_; // oldest first
  std::map<ServerId, Replica> replicas_;
};

} // namespace jaydoor
