#pragma once

// Promotes servers to primaries where no outside service does so (see
// Failover). Runs on the leader of the control state only.
//
// The watcher of a server is the VM that owns it (see OwnerMap). For each
// database that has no primary, or whose primary the watchers of a majority of
// its servers suspect:
//   1. reserve a term in the control log,
//   2. seal a majority of the group at that term,
//   3. promote the sealed server with the highest log point,
//   4. write the new primary to the control log.
//
// Every acknowledged write is on a majority of the group, any two majorities
// have a server in common, and a sealed server accepts no more writes of an
// earlier term. The promoted server therefore has every acknowledged write, and
// no other server can acknowledge one any more.

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
  Duration suspicionWindow_ = 1s; // reports of suspicion count for this long
  // Time that the rest of a new group has to announce itself.
  Duration newGroupDelay_ = 500ms;
  // Time that the remaining servers have to be sealed, after a majority.
  Duration lateSealDelay_ = 30ms;
  // An unanswered request is repeated after this time.
  Duration callRetryInterval_ = 300ms;
  Duration proposalRetryInterval_ = 500ms;
};

// Writes a line to the program's log.
struct LogControlEvent
{
  Event event_ = Event::Started;
  std::string fields_; // "key=value", separated by blanks
};

// Sends a request to an upstream, on a connection of its own.
// PromoterRequestCompleted brings the result.
struct SendPromoterRequest
{
  std::uint64_t callId_ = 0;
  ServerId server_;
  std::string host_;
  std::uint16_t port_ = 0;
  UpstreamRequest request_;
};

class Promoter
{
public:
  Promoter(PromoterTiming aTiming);

  // Stores a watcher's newest report on the primary of a database.
  void RecordSuspicion(const VmId& aFrom,
                       const wire::Suspicion& aSuspicion,
                       Time aNow);
  // The answer to a request; none if the request failed.
  void HandleAnswer(std::uint64_t aCallId,
                    const std::optional<UpstreamAnswer>& aAnswer,
                    Time aNow);

  // Advances all promotions and starts those that are needed. Must be called
  // only while this VM is the leader and holds the leader lease.
  void Tick(const ControlState& aState, const OwnerMap& aOwners, Time aNow);
  // Forgets all promotions, open requests and reports. To be called when this
  // VM has become the leader or has ceased to be it.
  void Reset();

  // Each of these functions returns what was added since its last call.
  std::vector<SendPromoterRequest> TakeRequests();
  std::vector<wire::Change> TakeProposals();
  std::vector<LogControlEvent> TakeLogEvents();

private:
  // A watcher's report on the primary of a database.
  struct SuspicionReport
  {
    std::uint64_t term_ = 0;
    Time receivedAt_;
    bool suspected_ = false;
  };

  enum class Phase : std::uint8_t
  {
    Reserving,  // until the term is reserved in the control log
    Sealing,    // until a majority is sealed
    Promoting,  // until the chosen server has confirmed that it is the primary
    Publishing, // until the control state names the new primary
  };

  // The promotion in one database.
  struct Promotion
  {
    Phase phase_ = Phase::Reserving;
    std::uint64_t term_ = 0; // term that the promoted server gets
    Time startedAt_;         // or when PromotionStalled was last logged
    Time phaseStartedAt_;
    Time retryAt_; // requests or the proposal are repeated then
    std::map<ServerId, LogPoint> sealedPoints_;
    std::optional<Time> majoritySealedAt_;
    ServerId chosenServer_;
    bool promoted_ = false; // the chosen server has confirmed it
    // A server has promised a later term, or the chosen server did not answer:
    // the promotion starts again with a term above `highestUsedTerm_`.
    bool needsNewTerm_ = false;
    std::uint64_t highestUsedTerm_ = 0;
  };

  // A request that has no answer yet.
  struct Call
  {
    DatabaseId database_;
    ServerId server_;
    std::uint64_t term_ = 0;
    UpstreamOp op_ = UpstreamOp::Seal;
  };

  bool IsPromotionNeeded(const wire::Database& aDatabase,
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
  ServerId ChooseServer(const wire::Database& aDatabase,
                        const Promotion& aPromotion) const;
  void QueueRequest(const wire::Upstream& aServer,
                    UpstreamOp aOp,
                    const Promotion& aPromotion);
  void SetPhase(Promotion& aPromotion, Phase aPhase, Time aNow);

  PromoterTiming timing_;
  std::map<DatabaseId, std::map<VmId, SuspicionReport>> suspicionReports_;
  // When each database was first seen without a primary.
  std::map<DatabaseId, Time> primaryMissingSince_;
  std::map<DatabaseId, Promotion> promotions_;
  std::map<std::uint64_t, Call> pendingCalls_;
  std::uint64_t nextCallId_ = 1;
  std::vector<SendPromoterRequest> requests_;
  std::vector<wire::Change> proposals_;
  std::vector<LogControlEvent> logEvents_;
};

} // namespace jaydoor
