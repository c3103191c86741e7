#pragma once

// Orders promotions; runs on the leader of the control state only.
//
// For each database without a primary that its watchers trust:
//   1. reserve a term in the control log,
//   2. seal a majority of the group at that term,
//   3. promote the sealed server with the highest log point,
//   4. publish it in the control log.
//
// What was acknowledged is on a majority, any two majorities meet, and a
// sealed server takes no more writes of an earlier term: so the promoted
// server holds all that was acknowledged, and nobody else can acknowledge.

#include "base/Log.h"
#include "control/ControlState.h"
#include "control/FleetView.h"
#include "wire/Json.h"

#include <map>
#include <set>
#include <vector>

namespace jaydoor {

struct PromoterTiming
{
  Duration reportAge_ = 1s;    // an older suspicion no longer counts
  Duration firstWait_ = 500ms; // for the rest of a new group to announce
  Duration sealExtra_ = 30ms;  // for the last server, after a majority
  Duration retry_ = 300ms;     // unanswered calls are repeated
  Duration proposeRetry_ = 500ms;
};

// A line for the log.
struct ControlNote
{
  Event event_ = Event::Started;
  std::string text_;
};

// A call to an upstream, on a connection of its own.
struct CallUpstream
{
  std::uint64_t call_ = 0;
  ServerId server_;
  std::string host_;
  std::uint16_t port_ = 0;
  UpstreamRequest request_;
};

class Promoter
{
public:
  Promoter(PromoterTiming aTiming);

  // A watcher's report on the primary of a database.
  void NoteSuspicion(const VmId& aFrom,
                     const wire::Suspicion& aSuspicion,
                     Time aNow);
  // The answer to a call, or none if it failed.
  void NoteAnswer(std::uint64_t aCall,
                  const std::optional<UpstreamAnswer>& aAnswer,
                  Time aNow);

  // Moves all promotions on. Call while this VM is the leader with a lease.
  void Tick(const ControlState& aState, const OwnerMap& aOwners, Time aNow);
  // Forgets what is under way: this VM is no longer the leader.
  void Reset();

  std::vector<CallUpstream> TakeCalls();
  std::vector<wire::Change> TakeProposals();
  std::vector<ControlNote> TakeNotes();

private:
  struct Report
  {
    std::uint64_t term_ = 0;
    Time at_;
    bool suspected_ = false;
  };

  enum class Phase : std::uint8_t
  {
    Reserving,
    Sealing,
    Promoting,
    Publishing,
  };

  struct Promotion
  {
    Phase phase_ = Phase::Reserving;
    std::uint64_t term_ = 0;
    Time startedAt_;
    Time phaseAt_;
    Time retryAt_; // calls or proposal are repeated then
    std::map<ServerId, LogPoint> sealed_;
    std::optional<Time> majorityAt_;
    ServerId chosen_;
    bool promoted_ = false;
    bool outrun_ = false;        // a server has promised a later term
    std::uint64_t seenTerm_ = 0; // highest term promised by a server
  };

  struct Call
  {
    DatabaseId database_;
    ServerId server_;
    std::uint64_t term_ = 0;
    UpstreamOp op_ = UpstreamOp::Seal;
  };

  bool IsNeeded(const wire::Database& aDatabase,
                const OwnerMap& aOwners,
                Time aNow);
  void Advance(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  void Reserve(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  void Seal(const wire::Database& aDatabase, Promotion& aPromotion, Time aNow);
  void Promote(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  void Publish(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  ServerId Choose(const wire::Database& aDatabase,
                  const Promotion& aPromotion) const;
  void SendCall(const wire::Upstream& aServer,
                UpstreamOp aOp,
                const Promotion& aPromotion);
  void SetPhase(Promotion& aPromotion, Phase aPhase, Time aNow);

  PromoterTiming timing_;
  std::map<DatabaseId, std::map<VmId, Report>> reports_;
  std::map<DatabaseId, Time> firstSeen_; // databases that had no primary yet
  std::map<DatabaseId, Promotion> promotions_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t nextCall_ = 1;
  std::vector<CallUpstream> out_;
  std::vector<wire::Change> proposals_;
  std::vector<ControlNote> notes_;
};

} // namespace jaydoor
