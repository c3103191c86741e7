#pragma once

// Admits the operations of organisations within the part of their limits that
// this VM holds. An operation is a single statement or a whole transaction.
//
//   limiter.SetLimits(catalog.organisations_, now);
//   auto decision = limiter.Admit(organisation, id, waitUntil, now);
//   limiter.AddReport(request, now);        // to a lease request
//   limiter.ApplyGrant(grant, now);         // the answer to it
//   limiter.Tick(now);
//   for (const auto& settled : limiter.TakeSettled()) ...
//
// The load pattern: callers of an organisation reach a few VMs, and which of
// them, changes; one organisation may send many times its limit. Each VM has a
// token bucket per organisation that fills at its share of the limit, as the
// leader granted it (control/LimitDivider.h). An operation that finds it empty
// waits for a moment while the leader is asked for tokens that no VM uses. Once
// the leader has none either, further operations are refused without asking it,
// so that an organisation over its limit costs few messages.
//
// Shares expire by the time of this VM, which includes suspension: after a thaw
// it admits nothing under a share that others may hold by then. A new or raised
// share adds no tokens, so that a restart of all VMs does not grant the burst
// again.

#include "base/Types.h"
#include "gateway/Organisations.h"
#include "wire/jaydoor.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace jaydoor {

// How far the operations that reach servers may exceed a limit.
struct LimitTolerance
{
  double excess_ = 0.1; // as a part of what the limit allows
  double slack_ = 20;   // operations
};

class OrganisationLimiter
{
public:
  using OperationId = std::uint64_t; // chosen by the user; not 0

  enum class Verdict : std::uint8_t
  {
    Admitted,
    Waits, // TakeSettled() tells how it ended
    Refused,
  };

  // Why an operation was refused.
  enum class Cause : std::uint8_t
  {
    None,
    LimitReached, // neither this VM nor the leader has a token
    NoShare,      // this VM has no share, and the leader did not answer
    Crowded,      // too many operations wait already
  };

  struct Decision
  {
    Verdict verdict_ = Verdict::Admitted;
    Cause cause_ = Cause::None;
    Duration retryAfter_{}; // there is room after this time
  };

  // The end of an operation's wait.
  struct Settled
  {
    OperationId id_ = 0;
    Decision decision_; // Admitted or Refused
  };

  // A change that is worth a log line. For each organisation there is at most
  // one of a kind in kNoteInterval; `count_` tells how many there were.
  struct Note
  {
    enum class Kind : std::uint8_t
    {
      Granted, // the share has changed
      UsedUp,  // operations were refused since no token was left
      Expired, // the share ran out without another grant
    };

    Kind kind_ = Kind::Granted;
    OrganisationId organisation_;
    double share_ = 0;             // now, or before it ran out
    std::uint64_t leaderTerm_ = 0; // of the leader that granted it
    std::uint64_t grant_ = 0;      // number of the grant applied last
    std::uint64_t count_ = 0;
  };

  struct Usage
  {
    std::size_t sessions_ = 0;
    double share_ = 0;
    double tokens_ = 0;
    double demand_ = 0; // operations per second
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
  };

  explicit OrganisationLimiter(LimitTolerance aTolerance = {});

  // Takes over the limits of a configuration; null if it has no organisations.
  void SetLimits(const Organisations* aOrganisations, Time aNow);
  // Counts the sessions of an organisation. A VM with sessions is given a share
  // before their first operation.
  void AddSession(const OrganisationId& aOrganisation);
  void RemoveSession(const OrganisationId& aOrganisation);

  // Decides about an operation. It waits until `aWaitUntil` at most.
  Decision Admit(const OrganisationId& aOrganisation,
                 OperationId aId,
                 Time aWaitUntil,
                 Time aNow);
  // The operation waits no longer: its session has ended.
  void Cancel(const OrganisationId& aOrganisation, OperationId aId);
  // An admitted operation was never sent to a server.
  void ReturnToken(const OrganisationId& aOrganisation);
  // Ends waits and shares whose time has come.
  void Tick(Time aNow);
  std::vector<Settled> TakeSettled();
  std::vector<Note> TakeNotes();
  // Returns the time at which Tick() is due at the latest.
  std::optional<Time> NextWake(Time aNow) const;

  // Returns true if a lease request is to be sent now, for the report's sake.
  bool IsReportUrgent(Time aNow) const;
  // Adds a report to a lease request if one is due.
  void AddReport(wire::LeaseRequest& aRequest, Time aNow);
  void ApplyGrant(const wire::LeaseGrant& aGrant, Time aNow);
  // Gives all shares back with the next report and takes no others: this VM
  // stops.
  void Leave(Time aNow);

  // Returns the use of one limit; all zero if there is no such organisation.
  Usage GetUsage(const OrganisationId& aOrganisation) const;
  // Returns the use of all limits, by organisation.
  std::map<OrganisationId, Usage> ListUsage() const;
  // Number of the grant applied last, and the term of its leader.
  std::uint64_t AppliedGrant() const { return appliedId_; }
  std::uint64_t AppliedTerm() const { return appliedTerm_; }

private:
  struct Waiting
  {
    OperationId id_ = 0;
    Time since_;
    Time until_;
  };

  // What the notes of one kind have to say.
  struct NoteState
  {
    std::uint64_t count_ = 0; // since the last note
    Time notedAt_;
  };

  struct Bucket
  {
    std::optional<OperationLimit> limit_; // none: unlimited
    double rate_ = 0;     // of the whole limit with its tolerance
    double capacity_ = 0; // likewise
    double share_ = 0;
    double tokens_ = 0;
    Time refilledAt_;
    double returned_ = 0; // tokens to be given back to the leader
    double demand_ = 0;   // operations per second, at demandAt_
    double reportedDemand_ = 0;
    Time demandAt_;
    Time demandSince_; // operations arrive since then
    Time emptyUntil_;  // the leader has no tokens until then
    std::deque<Waiting> waiting_;
    std::size_t sessions_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
    std::uint32_t notedSharePpm_ = 0;
    std::array<NoteState, 3> notes_;
  };

  void Refill(const OrganisationId& aId, Bucket& aBucket, Time aNow);
  void Trim(Bucket& aBucket) const;
  double Capacity(const Bucket& aBucket) const;
  double DemandAt(const Bucket& aBucket, Time aNow) const;
  Duration TimeToToken(const Bucket& aBucket, std::size_t aAhead) const;
  Decision Refuse(const OrganisationId& aId,
                  Bucket& aBucket,
                  Cause aCause,
                  Time aNow);
  void SettleWaiting(const OrganisationId& aId, Bucket& aBucket, Time aNow);
  void RefuseWaiting(const OrganisationId& aId,
                     Bucket& aBucket,
                     Time aRequestedAt,
                     Time aNow);
  void Record(const OrganisationId& aId,
              Bucket& aBucket,
              Note::Kind aKind,
              double aShare,
              Time aNow);
  bool IsReportDue(Time aNow) const;
  bool HasWaiting() const;

  LimitTolerance tolerance_;
  bool inUse_ = false;
  bool left_ = false;
  std::map<OrganisationId, Bucket> buckets_;
  Time sharesUntil_;                // all shares end at this time
  std::uint64_t leaderTerm_ = 0;    // highest seen
  std::uint64_t appliedTerm_ = 0;   // of the grant applied last
  std::uint64_t appliedId_ = 0;     // of the grant applied last
  std::uint64_t confirmedTerm_ = 0; // of a leader that knows what is held here
  bool wantsReport_ = false;        // at once
  bool wantsReportSoon_ = false;    // with the next lease request
  Time reportedAt_;
  Time askedAt_; // operations that arrived until then are reported as waiting
  std::vector<Settled> settled_;
  std::vector<Note> notes_;
};

} // namespace jaydoor
