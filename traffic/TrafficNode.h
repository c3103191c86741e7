#pragma once

// All traffic decisions of one VM behind one entry point.
//
//   TrafficNode node(config);
//   node.Step(TrafficViewChanged{ view }, now, actions);
//   node.Step(CallerRequestReceived{ id, request }, now, actions);
//   // the shell performs `actions` and reports the results as events
//
// Sections:
//   1. Events
//   2. The node
//
// The node reads no clock and opens no socket: the same events and seed give
// the same actions. Many nodes can run in one process.

#include "traffic/DelayEstimate.h"
#include "traffic/StatementRouter.h"
#include "traffic/UpstreamOwner.h"

#include <variant>

namespace jaydoor {

// ---- 1. Events

// The control thread has published another fleet view.
struct TrafficViewChanged
{
  FleetViewPtr view_;
};

struct CallerRequestReceived
{
  RequestId request_ = 0;
  CallerRequest callerRequest_;
};

struct CallerDisconnected
{
  RequestId request_ = 0;
};

// A message from another VM.
struct TrafficMessageReceived
{
  wire::TrafficMessage message_;
};

// The message could not be handed to the link and will not be sent.
struct TrafficMessageUnsent
{
  wire::TrafficMessage message_;
};

struct UpstreamConnectionOpened
{
  ConnectionId connection_ = 0;
};

// Opening failed, or the connection was closed by the other side.
struct UpstreamConnectionLost
{
  ConnectionId connection_ = 0;
};

struct ConnectionAnswerReceived
{
  ConnectionId connection_ = 0;
  UpstreamAnswer answer_;
};

// Draining begins or ends. A draining node refuses new statements, does not own
// any upstream, and finishes the statements that it has.
struct TrafficDrainChanged
{
  bool draining_ = true;
};

// Time has passed (see NextWake).
struct TrafficTick
{};

using TrafficEvent = std::variant<TrafficViewChanged,
                                  CallerRequestReceived,
                                  CallerDisconnected,
                                  TrafficMessageReceived,
                                  TrafficMessageUnsent,
                                  UpstreamConnectionOpened,
                                  UpstreamConnectionLost,
                                  ConnectionAnswerReceived,
                                  TrafficDrainChanged,
                                  TrafficTick>;

// ---- 2. The node

struct TrafficConfig
{
  VmId self_;
  ZoneId zone_;
  std::vector<std::string> sessionKeys_; // the first one signs
  std::uint64_t seed_ = 1;
  ProbeTiming probeTiming_;
  OwnerTiming ownerTiming_;
  double probeBytesPerSecond_ = 1000; // for probes while no proof is awaited
};

// Totals since the start, for metrics.
struct TrafficCounters
{
  std::uint64_t statements_ = 0;     // received from callers
  std::uint64_t replicaAnswers_ = 0; // statements done by a replica
  std::uint64_t primaryAnswers_ = 0; // statements done by a primary
  std::uint64_t forwardsOut_ = 0;    // to other VMs
  std::uint64_t forwardsIn_ = 0;     // from other VMs
  std::uint64_t upstreamCalls_ = 0;  // requests to upstreams except status
  std::uint64_t statusCalls_ = 0;    // status requests to upstreams
};

class TrafficNode
{
public:
  explicit TrafficNode(TrafficConfig aConfig);

  // Processes one event and appends the resulting actions to `aOut`.
  void Step(TrafficEvent aEvent, Time aNow, TrafficActions& aOut);

  // The latest time at which the next TrafficTick is due.
  Time NextWake(Time aNow) const;

  // True if no statement is in flight and no transaction is open, so that a
  // draining node may stop.
  bool IsIdle() const;
  const TrafficCounters& Counters() const { return counters_; }
  std::size_t CountInFlight() const { return router_.CountInFlight(); }
  const std::map<ServerId, UpstreamOwner>& Owners() const { return owners_; }
  const std::map<DatabaseId, GroupWatch>& Watches() const { return watches_; }

private:
  void Handle(TrafficViewChanged& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(CallerRequestReceived& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(CallerDisconnected& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(TrafficMessageReceived& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(TrafficMessageUnsent& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(UpstreamConnectionOpened& aEvent,
              Time aNow,
              TrafficActions& aOut);
  void Handle(UpstreamConnectionLost& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(ConnectionAnswerReceived& aEvent,
              Time aNow,
              TrafficActions& aOut);
  void Handle(TrafficDrainChanged& aEvent, Time aNow, TrafficActions& aOut);
  void Handle(TrafficTick& aEvent, Time aNow, TrafficActions& aOut);

  void AcceptForward(const VmId& aFrom,
                     const wire::Forward& aForward,
                     Duration aDelay,
                     Time aNow);
  void RunOwnersAndRouter(Time aNow, TrafficActions& aOut);
  void TickOwnersAndWatches(Time aNow, TrafficActions& aOut);
  bool DeliverMessages(Time aNow, TrafficActions& aOut);
  void SendReply(OwnerReply& aReply, Time aNow, TrafficActions& aOut);
  void RecordAnswer(const wire::ForwardReply& aReply);
  const GroupWatch& WatchOf(const UpstreamOwner& aOwner) const;
  void UpdateProbeIntervals();
  void SendChecksToOtherOwners(const wire::Suspicion& aSuspicion,
                               TrafficActions& aOut);
  bool IsProofAwaited(const DatabaseId& aDatabase) const;
  void EmitOwnerSpans(const OwnerReply& aReply,
                      Time aNow,
                      TrafficActions& aOut);

  TrafficConfig config_;
  std::mt19937_64 random_;
  IdSource ids_;
  FleetViewPtr view_;
  StatementRouter router_;
  std::map<ServerId, UpstreamOwner> owners_;
  std::map<DatabaseId, GroupWatch> watches_;
  std::map<VmId, DelayEstimate> delays_; // by sending VM
  // Traceparents of the forwards held here, by sending VM and its forward id.
  std::map<std::pair<VmId, RequestId>, std::string> traceParents_;
  TrafficCounters counters_;
  bool draining_ = false;
};

} // namespace jaydoor
