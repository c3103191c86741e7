#include "traffic/TrafficNode.h"

#include "base/Erase.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kMaxTickInterval = 100ms;
constexpr std::size_t kSmallFleetServers = 9; // current fleets: three databases
constexpr double kBytesPerProbe = 350; // request and answer with HTTP headers

constexpr std::uint64_t kNodeSeedMask = 0x5eed; // for ids unlike the router's

} // namespace

TrafficNode::TrafficNode(TrafficConfig aConfig)
  : config_(std::move(aConfig))
  , random_(config_.seed_ ^ kNodeSeedMask)
  , ids_(MakeFirstId(random_))
  , view_(std::make_shared<FleetView>())
  , router_(config_.self_,
            config_.zone_,
            SessionSigner(config_.sessionKeys_),
            config_.seed_)
{
}

void
TrafficNode::Step(TrafficEvent aEvent, Time aNow, TrafficActions& aOut)
{
  std::visit([&](auto& aCase) { Handle(aCase, aNow, aOut); }, aEvent);
  RunOwnersAndRouter(aNow, aOut);
}

void
TrafficNode::Handle(TrafficViewChanged& aEvent, Time aNow, TrafficActions& aOut)
{
  view_ = std::move(aEvent.view_);
  router_.SetView(view_, aNow);
  std::vector<DatabaseId> watched;
  for (const auto& [id, server] : view_->servers_) {
    const bool owned =
      !draining_ && view_->owners_.FindOwner(server.info_) == config_.self_;
    if (owned) {
      owners_.try_emplace(
        id, server.info_, config_.self_, config_.ownerTiming_);
      watched.push_back(server.info_.database());
    }
  }
  for (auto& [id, owner] : owners_) {
    const auto found = view_->servers_.find(id);
    const bool owned =
      !draining_ && found != view_->servers_.end() &&
      view_->owners_.FindOwner(found->second.info_) == config_.self_;
    owner.SetView(*view_, owned, aOut);
    if (!owned && !owner.IsIdle()) {
      watched.push_back(owner.Info().database());
    }
  }
  for (const auto& database : watched) {
    watches_.try_emplace(database, database, config_.probeTiming_);
  }
  EraseWhere(watches_, [&](const DatabaseId& aId, GroupWatch& aWatch) {
    const bool wanted =
      std::find(watched.begin(), watched.end(), aId) != watched.end();
    if (!wanted) {
      aWatch.SetView(FleetView{}, aOut);
    }
    return !wanted;
  });
  for (auto& [database, watch] : watches_) {
    watch.SetView(*view_, aOut);
  }
  UpdateProbeIntervals();
}

// Sets the interval of the status requests. It grows with the number of watched
// servers, so that all requests together stay within probeBytesPerSecond_. To
// detect a failure quickly all the same, a VM that suspects a primary asks the
// owners of the group's other servers to check it at once.
void
TrafficNode::UpdateProbeIntervals()
{
  std::size_t servers = 0;
  for (const auto& [database, watch] : watches_) {
    const auto found = view_->databases_.find(database);
    servers +=
      found == view_->databases_.end() ? 0 : found->second.servers_.size();
  }
  const double seconds = static_cast<double>(servers) * kBytesPerProbe /
                         config_.probeBytesPerSecond_;
  const Duration needed(static_cast<Duration::rep>(seconds * 1e6));
  // With few servers the shortest interval costs little.
  const Duration interval =
    servers <= kSmallFleetServers
      ? config_.probeTiming_.idleInterval_
      : std::max(config_.probeTiming_.idleInterval_, needed);
  for (auto& [database, watch] : watches_) {
    watch.SetIdleInterval(interval);
  }
}

// Asks the VMs that own the group's servers to check the primary at once, if it
// is suspected.
void
TrafficNode::SendChecksToOtherOwners(const wire::Suspicion& aSuspicion,
                                     TrafficActions& aOut)
{
  const auto group = view_->databases_.find(aSuspicion.database());
  if (!aSuspicion.suspected() || group == view_->databases_.end()) {
    return;
  }
  std::set<VmId> owners;
  for (const auto& server : group->second.servers_) {
    owners.insert(view_->owners_.FindOwner(view_->servers_.at(server).info_));
  }
  owners.erase(config_.self_);
  owners.erase(VmId());
  for (const auto& owner : owners) {
    SendTrafficMessage send;
    send.to_ = owner;
    send.message_.mutable_check()->set_database(aSuspicion.database());
    aOut.push_back(std::move(send));
  }
}

void
TrafficNode::Handle(CallerRequestReceived& aEvent, Time aNow, TrafficActions&)
{
  counters_.statements_++;
  router_.StartStatement(
    aEvent.request_, std::move(aEvent.callerRequest_), aNow);
}

void
TrafficNode::Handle(CallerDisconnected& aEvent, Time, TrafficActions&)
{
  router_.AbandonStatement(aEvent.request_);
}

void
TrafficNode::Handle(TrafficMessageReceived& aEvent, Time aNow, TrafficActions&)
{
  const wire::TrafficMessage& message = aEvent.message_;
  const Duration delay =
    delays_[message.from()].RecordArrival(message.sent_us(), aNow);
  switch (message.body_case()) {
    case wire::TrafficMessage::kForward:
      counters_.forwardsIn_++;
      AcceptForward(message.from(), message.forward(), delay, aNow);
      break;
    case wire::TrafficMessage::kReply:
      router_.HandleReply(message.reply(), aNow);
      break;
    case wire::TrafficMessage::kCancel:
      for (auto& [id, owner] : owners_) {
        owner.Cancel({ message.from(), message.cancel().request() });
      }
      break;
    case wire::TrafficMessage::kCheck: {
      const auto watch = watches_.find(message.check().database());
      if (watch != watches_.end()) {
        watch->second.MakePrimaryProbeDue();
      }
      break;
    }
    case wire::TrafficMessage::BODY_NOT_SET:
      break;
  }
}

void
TrafficNode::Handle(TrafficMessageUnsent& aEvent, Time aNow, TrafficActions&)
{
  if (aEvent.message_.has_forward()) {
    router_.HandleUnsentForward(aEvent.message_.forward().request(), aNow);
  }
}

void
TrafficNode::Handle(UpstreamConnectionOpened& aEvent,
                    Time aNow,
                    TrafficActions& aOut)
{
  for (auto& [id, owner] : owners_) {
    if (owner.HandleOpened(aEvent.connection_, aNow)) {
      return;
    }
  }
  for (auto& [database, watch] : watches_) {
    if (watch.HandleOpened(aEvent.connection_, aNow, aOut)) {
      return;
    }
  }
  aOut.push_back(CloseConnection{ aEvent.connection_ });
}

void
TrafficNode::Handle(UpstreamConnectionLost& aEvent, Time aNow, TrafficActions&)
{
  for (auto& [id, owner] : owners_) {
    if (owner.HandleLost(aEvent.connection_, aNow)) {
      return;
    }
  }
  for (auto& [database, watch] : watches_) {
    if (watch.HandleLost(aEvent.connection_, aNow)) {
      return;
    }
  }
}

void
TrafficNode::Handle(ConnectionAnswerReceived& aEvent,
                    Time aNow,
                    TrafficActions&)
{
  for (auto& [id, owner] : owners_) {
    if (owner.HandleAnswer(aEvent.connection_, aEvent.answer_, aNow)) {
      return;
    }
  }
  for (auto& [database, watch] : watches_) {
    if (watch.HandleAnswer(aEvent.connection_, aEvent.answer_, aNow)) {
      return;
    }
  }
}

void
TrafficNode::Handle(TrafficDrainChanged& aEvent,
                    Time aNow,
                    TrafficActions& aOut)
{
  draining_ = aEvent.draining_;
  router_.SetDraining(draining_);
  TrafficViewChanged currentView{ view_ };
  Handle(currentView, aNow, aOut);
}

void
TrafficNode::Handle(TrafficTick&, Time aNow, TrafficActions&)
{
  router_.Tick(aNow);
}

void
TrafficNode::AcceptForward(const VmId& aFrom,
                           const wire::Forward& aForward,
                           Duration aDelay,
                           Time aNow)
{
  OwnedStatement statement;
  statement.replyTo_ = { aFrom, aForward.request() };
  statement.statement_ = aForward.statement();
  statement.term_ = aForward.term();
  statement.minPoint_ = { aForward.min_point().term(),
                          aForward.min_point().position() };
  statement.maxAge_ = Duration(aForward.max_age_us());
  statement.deadline_ = aNow + Duration(aForward.remaining_us()) - aDelay;
  if (!aForward.trace().empty()) {
    traceParents_[{ aFrom, aForward.request() }] = aForward.trace();
  }
  const bool valid = aForward.statement().rank() < kRankCount;
  auto found = owners_.find(aForward.server());
  if (found == owners_.end() || !valid) {
    // A server without an owner here gets one that lacks its description and
    // therefore refuses the statement. An invalid rank is replaced by rank 0.
    wire::Upstream unknown;
    unknown.set_server(aForward.server());
    found = owners_
              .try_emplace(
                aForward.server(), unknown, config_.self_, config_.ownerTiming_)
              .first;
    statement.statement_.set_rank(0);
  }
  found->second.Accept(std::move(statement), aNow, WatchOf(found->second));
}

// Returns the watch of the owner's database, or one without any proof if the
// database is not watched.
const GroupWatch&
TrafficNode::WatchOf(const UpstreamOwner& aOwner) const
{
  static const GroupWatch kNoWatch("", ProbeTiming{});
  const auto watch = watches_.find(aOwner.Info().database());
  return watch == watches_.end() ? kNoWatch : watch->second;
}

bool
TrafficNode::IsProofAwaited(const DatabaseId& aDatabase) const
{
  return std::any_of(
    owners_.begin(), owners_.end(), [&aDatabase](const auto& aEntry) {
      return aEntry.second.Info().database() == aDatabase &&
             aEntry.second.IsProofAwaited();
    });
}

void
TrafficNode::TickOwnersAndWatches(Time aNow, TrafficActions& aOut)
{
  for (auto& [id, owner] : owners_) {
    owner.Tick(aNow, WatchOf(owner), ids_, aOut);
  }
  for (auto& [database, watch] : watches_) {
    watch.Tick(aNow, IsProofAwaited(database), ids_, aOut);
    auto suspicion = watch.TakeSuspicionReport(aNow);
    if (suspicion) {
      SendChecksToOtherOwners(*suspicion, aOut);
      aOut.push_back(ReportSuspicion{ std::move(*suspicion) });
    }
  }
  EraseWhere(owners_, [&](const ServerId& aId, UpstreamOwner& aOwner) {
    const bool done = aOwner.IsIdle() && !view_->servers_.contains(aId);
    if (done) {
      aOwner.CloseUnusedConnections(aOut);
    }
    return done;
  });
}

// Runs owners, watches and router until none of them has messages for the
// others on this VM, and collects their actions.
void
TrafficNode::RunOwnersAndRouter(Time aNow, TrafficActions& aOut)
{
  const std::size_t before = aOut.size();
  do {
    TickOwnersAndWatches(aNow, aOut);
  } while (DeliverMessages(aNow, aOut));
  for (auto& action : router_.TakeActions()) {
    aOut.push_back(std::move(action));
  }
  for (std::size_t i = before; i < aOut.size(); i++) {
    const auto* sent = std::get_if<SendUpstreamRequest>(&aOut[i]);
    if (sent != nullptr) {
      const bool status = sent->request_.op_ == UpstreamOp::Status;
      (status ? counters_.statusCalls_ : counters_.upstreamCalls_)++;
    }
  }
}

// Delivers cancels, forwards and replies. Returns true if a forward or reply
// was for this VM itself, so that owners and router have more to do.
bool
TrafficNode::DeliverMessages(Time aNow, TrafficActions& aOut)
{
  bool local = false;
  for (auto& cancel : router_.TakeCancels()) {
    SendTrafficMessage send;
    send.to_ = cancel.owner_;
    send.message_.mutable_cancel()->set_request(cancel.request_);
    if (cancel.owner_ == config_.self_) {
      for (auto& [id, owner] : owners_) {
        owner.Cancel({ config_.self_, cancel.request_ });
      }
    } else {
      aOut.push_back(std::move(send));
    }
  }
  for (auto& out : router_.TakeForwards()) {
    if (out.owner_ == config_.self_) {
      AcceptForward(config_.self_, out.forward_, Duration::zero(), aNow);
      local = true;
      continue;
    }
    counters_.forwardsOut_++;
    SendTrafficMessage send;
    send.to_ = out.owner_;
    *send.message_.mutable_forward() = std::move(out.forward_);
    aOut.push_back(std::move(send));
  }
  for (auto& [id, owner] : owners_) {
    for (auto& reply : owner.TakeReplies()) {
      local = local || reply.to_.vm_ == config_.self_;
      SendReply(reply, aNow, aOut);
    }
  }
  return local;
}

void
TrafficNode::SendReply(OwnerReply& aReply, Time aNow, TrafficActions& aOut)
{
  EmitOwnerSpans(aReply, aNow, aOut);
  RecordAnswer(aReply.reply_);
  if (aReply.to_.vm_ == config_.self_) {
    router_.HandleReply(aReply.reply_, aNow);
    return;
  }
  SendTrafficMessage send;
  send.to_ = aReply.to_.vm_;
  *send.message_.mutable_reply() = std::move(aReply.reply_);
  aOut.push_back(std::move(send));
}

// Counts a statement that was done, by whether the server is a primary.
void
TrafficNode::RecordAnswer(const wire::ForwardReply& aReply)
{
  const ServerId& server = aReply.server();
  const auto found = view_->servers_.find(server);
  const bool done = aReply.outcome() == static_cast<unsigned>(Outcome::Done);
  if (!done || found == view_->servers_.end()) {
    return;
  }
  const auto group = view_->databases_.find(found->second.info_.database());
  const bool primary =
    group != view_->databases_.end() && group->second.primary_ == server;
  (primary ? counters_.primaryAnswers_ : counters_.replicaAnswers_)++;
}

// Emits the owner's span of a traced statement, and the upstream's span if the
// upstream has answered.
void
TrafficNode::EmitOwnerSpans(const OwnerReply& aReply,
                            Time aNow,
                            TrafficActions& aOut)
{
  const auto found =
    traceParents_.find({ aReply.to_.vm_, aReply.to_.request_ });
  if (found == traceParents_.end()) {
    return;
  }
  const std::string traceParent = found->second;
  traceParents_.erase(found);
  const std::string traceId = traceParent.substr(3, 32);
  const std::string ownerSpanId = fmt::format("{:016x}", random_());
  EmitSpan ownerSpan;
  ownerSpan.traceParent_ = fmt::format("00-{}-{}-01", traceId, ownerSpanId);
  ownerSpan.parentSpanId_ = traceParent.substr(36, 16);
  ownerSpan.name_ = "owner";
  const Duration queueTime(aReply.reply_.queue_us());
  const Duration upstreamTime(aReply.reply_.upstream_us());
  ownerSpan.start_ = aNow - queueTime - upstreamTime;
  ownerSpan.end_ = aNow;
  ownerSpan.detail_ = ToText(static_cast<Reason>(aReply.reply_.reason()));
  aOut.push_back(ownerSpan);
  if (upstreamTime > Duration::zero()) {
    EmitSpan upstreamSpan;
    upstreamSpan.traceParent_ =
      fmt::format("00-{}-{:016x}-01", traceId, random_());
    upstreamSpan.parentSpanId_ = ownerSpanId;
    upstreamSpan.name_ = "upstream";
    upstreamSpan.start_ = aNow - upstreamTime;
    upstreamSpan.end_ = aNow;
    upstreamSpan.detail_ = aReply.reply_.server();
    aOut.push_back(std::move(upstreamSpan));
  }
}

Time
TrafficNode::NextWake(Time aNow) const
{
  Time next = aNow + kMaxTickInterval;
  for (const auto& [id, owner] : owners_) {
    next = std::min(next, owner.NextWake(aNow));
  }
  for (const auto& [database, watch] : watches_) {
    next = std::min(next, watch.NextWake(IsProofAwaited(database)));
  }
  if (router_.CountInFlight() > 0) {
    next = std::min(next, aNow + Duration(5ms));
  }
  return std::max(next, aNow + Duration(200us));
}

bool
TrafficNode::IsIdle() const
{
  const bool owners =
    std::all_of(owners_.begin(), owners_.end(), [](const auto& aEntry) {
      return aEntry.second.IsIdle();
    });
  return owners && router_.CountInFlight() == 0;
}

} // namespace jaydoor
