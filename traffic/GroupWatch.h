#pragma once

// Monitors the group of servers of one database by their status answers.
//
// The status answers show three things:
//   1. Durability: a majority holds a log point in the primary's history.
//   2. Freshness:  data read at a log point is no older than a given time.
//   3. Suspicion:  the primary can't be reached on a new connection, or reports
//                  itself that it is no longer the primary.
//
// A replica that does not follow the primary of the fleet view is sent a follow
// request in place of the next status request.
//
// All times are of this VM's own clock. A status answer proves the state of the
// server at the time that the request was sent, never at a later time.

#include "control/FleetView.h"
#include "traffic/StatusProbe.h"

#include <deque>
#include <map>

namespace jaydoor {

class GroupWatch
{
public:
  GroupWatch(DatabaseId aDatabase, ProbeTiming aTiming);

  // Adopts primary, term and servers from the view. Closes the connections to
  // servers that are no longer in the group.
  void SetView(const FleetView& aView, TrafficActions& aOut);

  // Sets the time between status requests to a server while no statement waits
  // for a proof.
  void SetIdleInterval(Duration aInterval);
  // Makes a status request to the primary due at once, for use when another VM
  // suspects the primary.
  void MakePrimaryProbeDue();

  // Opens and closes connections and sends status requests, as far as they are
  // due. `aProofAwaited`: a statement waits for a proof.
  void Tick(Time aNow,
            bool aProofAwaited,
            IdSource& aIds,
            TrafficActions& aOut);
  // The next time at which Tick has something to do.
  Time NextWake(bool aProofAwaited) const;

  // Handle events of the connections that this watch opened. Return false if
  // the connection is not one of them.
  bool HandleOpened(ConnectionId aId, Time aNow, TrafficActions& aOut);
  bool HandleLost(ConnectionId aId, Time aNow);
  bool HandleAnswer(ConnectionId aId, const UpstreamAnswer& aAnswer, Time aNow);

  // True if a majority of the group holds the point durably in the history of
  // its term, and none of that majority had promised a later term when it
  // stored the point. `aHolder` is the server whose answer contained the point;
  // it counts as a holder without a status answer.
  bool IsDurable(LogPoint aPoint, const ServerId& aHolder) const;

  // Returns a time such that the data of `aServer` at `aPoint` provably
  // contains everything that the primary had acknowledged by then. Unset if
  // nothing can be proven.
  std::optional<Time> FindFreshnessTime(const ServerId& aServer,
                                        LogPoint aPoint) const;

  // Last known log point of a server; zero if it has not answered yet.
  LogPoint PointOf(const ServerId& aServer) const;
  // True if a new connection to the server has failed and none has answered
  // since, or if the server is not in the group.
  bool IsUnreachable(const ServerId& aServer) const;

  // Returns whether the primary is suspected, as a message to the control
  // leader, if this has changed since the last report or if a persistent
  // suspicion is due to be repeated. Unset if there is nothing to report.
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
    // When the request for the last answer without a later term was sent.
    Time termConfirmedAt_;
    bool answeredInTerm_ = false; // since the view's primary or term changed
    bool claimsPrimary_ = false;  // reports that it is the primary
  };

  // The primary's last durable entry at the time of a status request.
  struct PrimarySample
  {
    Time sentAt_; // when the request was sent
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
  std::uint64_t groupSize_ = 0; // servers that a majority is counted of
  std::map<ServerId, Member> members_;
  std::deque<PrimarySample> primarySamples_; // oldest first
  bool reportedSuspicion_ = false;           // the last report said suspected
  Time reportedAt_;
};

} // namespace jaydoor
