#pragma once

// Watches the servers of one database and proves things about them.
//
// Three kinds of proof come out of the same status answers:
//   1. Durability: a majority holds a log point in the primary's history.
//   2. Freshness:  data read at a point is no older than a time.
//   3. Suspicion:  the primary can't be reached on a fresh connection, or says
//                  itself that it is no longer the primary.
//
// A replica that does not follow the primary of the view is told to.
//
// All times are of this VM's own clock: a status answer proves something
// about the moment that its question was sent, never about a later one.

#include "control/FleetView.h"
#include "traffic/StatusProbe.h"

#include <deque>
#include <map>

namespace jaydoor {

class GroupWatch
{
public:
  GroupWatch(DatabaseId aDatabase, ProbeTiming aTiming);

  // Takes over primary, term and servers from the view.
  void SetView(const FleetView& aView, TrafficActions& aOut);

  // The time between questions to a server when nobody waits.
  void SetIdleInterval(Duration aInterval);
  // Asks the primary at once: another watcher suspects it.
  void MakePrimaryProbeDue();

  // Sends the questions that are due. `aWanted`: somebody waits for a proof.
  void Tick(Time aNow, bool aWanted, IdSource& aIds, TrafficActions& aOut);
  Time NextWake(bool aWanted) const;

  // Events of the connections opened here; true if the id is one of them.
  bool HandleOpened(ConnectionId aId, Time aNow, TrafficActions& aOut);
  bool HandleLost(ConnectionId aId, Time aNow);
  bool HandleAnswer(ConnectionId aId, const UpstreamAnswer& aAnswer, Time aNow);

  // True if a majority holds the point durably in the history of its term and
  // none of that majority had promised a later term when it stored it.
  // `aHolder` has answered with the point and counts without being asked.
  bool IsDurable(LogPoint aPoint, const ServerId& aHolder) const;

  // The data that `aServer` holds at `aPoint` contains all that the primary
  // had acknowledged at the returned time. Unset: nothing can be proven.
  std::optional<Time> FindFreshnessTime(const ServerId& aServer,
                                        LogPoint aPoint) const;

  // Last known log point of a server; zero if it has not answered yet.
  LogPoint PointOf(const ServerId& aServer) const;
  bool IsUnreachable(const ServerId& aServer) const;

  // Suspicion of the primary to report, if it has changed since the last
  // report or is due again.
  std::optional<wire::Suspicion> TakeSuspicionReport(Time aNow);

  const ServerId& Primary() const { return primary_; }
  std::uint64_t Term() const { return term_; }

private:
  struct Member
  {
    explicit Member(StatusProbe aProbe)
      : probe_(std::move(aProbe))
    {
    }

    StatusProbe probe_;
    LogPoint durablePoint_;          // last durable entry
    std::uint64_t promisedTerm_ = 0; // highest term promised
    Time termConfirmedAt_;           // sending of the last answer at our term
    bool answeredInTerm_ = false;    // since the view's term began
    bool claimsPrimary_ = false;     // takes itself for the primary
  };

  struct PrimarySample
  {
    Time sentAt_;
    LogPoint point_;
  };

  std::size_t MajoritySize() const { return groupSize_ / 2 + 1; }
  Member* FindMemberByConnection(ConnectionId aId);
  void RecordStatus(const ServerId& aServer,
                    Member& aMember,
                    Time aSentAt,
                    const UpstreamAnswer& aAnswer);
  std::optional<Time> FindSolePrimaryUntil() const;
  bool IsPrimarySuspected() const;

  DatabaseId database_;
  ProbeTiming timing_;
  ServerId primary_;
  std::string primaryHost_;
  std::uint16_t primaryPort_ = 0;
  std::uint64_t term_ = 0;
  std::uint64_t groupSize_ = 0;
  std::map<ServerId, Member> members_;
  std::deque<PrimarySample>
    primarySamples_;               // of the primary's log, oldest first
  bool reportedSuspicion_ = false; // suspicion last told
  Time reportedAt_;
};

} // namespace jaydoor
