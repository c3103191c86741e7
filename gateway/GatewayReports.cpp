// What this VM reports about servers to the leader with its lease requests, and
// what the leader tells it with its grants: positions of primaries
// (control/PrimaryPoints.h), overloaded servers (control/OverloadMonitor.h),
// and the index of the control log, which proves how recent the fleet view is.

#include "gateway/Gateway.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// A position of a primary's log is reported to the leader if it is newer than
// the newest known one by this time: other VMs have reported that.
constexpr Duration kPointReportInterval = 250ms;
// Times of the leader that are kept: an answer arrives within this many lease
// requests.
constexpr std::size_t kMaxLeaderTimes = 8;
// Clocks of two VMs differ by no more than this over the age of a position.
constexpr Duration kPointAgeMargin = 10ms;
// A response time counts for no more in reports to the leader, and a refusal
// for lack of capacity for as much; 1000: too slow.
constexpr double kMaxDelayPermille = 2000;
// A new response time has a weight of 1/8 in the smoothed one.
constexpr int kServiceTimeSmoothing = 8;
// A server with more delay than the costs of another zone and of an unpreferred
// replica is avoided, until its delay is well below one of them.
constexpr Duration kAvoidedDelay = 24ms;
constexpr Duration kNotAvoidedDelay = 6ms;

} // namespace

// Records the time that the server took for the link's statement. It is slow if
// it used up half of the latency target of the most urgent database; no answer
// is slow once the configuration names no database of the group.
void
Gateway::RecordResponse(Server& aServer,
                        const Link& aLink,
                        std::optional<SessionError> aError,
                        Time aNow)
{
  const bool isRefused = aError == SessionError::Overloaded;
  const Duration responseTime = aNow - aLink.sentAt_;
  aServer.serviceTime_ +=
    (responseTime - aServer.serviceTime_) / kServiceTimeSmoothing;
  const auto work = work_.find(aLink.work_);
  const bool commits = work != work_.end() && work->second.commitsData_;
  if (commits && !isRefused) {
    return; // it may have waited for a replica
  }
  // A server that has not run the statement was quick, but of no use.
  if (isRefused || aError == SessionError::Behind) {
    aServer.delay_.RecordFailure(aNow);
  } else if (work != work_.end()) {
    aServer.delay_.Record(
      usualTimes_[work->second.route_.name_].Record(responseTime), aNow);
  }
  const Group& group = groups_.at(aServer.info_.database());
  const Duration limit = group.fastestTarget_ / 2;
  const bool isSlow = isRefused || responseTime > limit;
  aServer.shedder_.RecordResponse(isSlow, group.ranks_.size(), aNow);
  aServer.answers_.set_count(aServer.answers_.count() + 1);
  const double delay = static_cast<double>(responseTime.count()) /
                       static_cast<double>(limit.count() + 1);
  aServer.answers_.set_delay_permille(
    aServer.answers_.delay_permille() +
    static_cast<std::uint32_t>(isRefused
                                 ? kMaxDelayPermille
                                 : std::min(1000 * delay, kMaxDelayPermille)));
  aServer.hasSlowAnswers_ |= isSlow;
}

// Logs which servers this VM begins or ceases to avoid because they answer more
// slowly than usual: for these, its choice no longer goes by zone and
// preference.
void
Gateway::ReportAvoidedServers(Time aNow, GatewayActions& aOut)
{
  for (auto& [id, server] : servers_) {
    if (server.delay_.RecordedAt() == Time{}) {
      continue;
    }
    const Duration delay = server.delay_.At(aNow);
    const bool isAvoided =
      delay > (server.isAvoided_ ? kNotAvoidedDelay : kAvoidedDelay);
    if (isAvoided != server.isAvoided_) {
      server.isAvoided_ = isAvoided;
      aOut.push_back(WriteLogEvent{
        Event::ServerAvoided,
        fmt::format("server={} avoided={} delay_ms={} age_ms={}",
                    id,
                    isAvoided,
                    CountMs(delay),
                    CountMs(aNow - server.delay_.RecordedAt())) });
    }
  }
}

BalanceFigures
Gateway::MeasureBalance(Time aNow) const
{
  BalanceFigures figures;
  for (const auto& [name, group] : groups_) {
    Duration least = Duration::max();
    Duration most = Duration::min();
    for (const auto& id : group.servers_) {
      const Server& server = servers_.at(id);
      const Duration delay = server.delay_.At(aNow);
      least = std::min(least, delay);
      most = std::max(most, delay);
      figures.avoided_ += server.isAvoided_ ? 1U : 0U;
      if (!server.links_.empty() && server.delay_.RecordedAt() != Time{}) {
        figures.age_ =
          std::max(figures.age_, aNow - server.delay_.RecordedAt());
      }
    }
    if (!group.servers_.empty()) {
      figures.spread_ = std::max(figures.spread_, most - least);
    }
  }
  return figures;
}

// Keeps the leader's time, to which positions of primaries are reported.
void
Gateway::RecordLeaderTime(const wire::LeaseGrant& aGrant, Time aNow)
{
  if (aGrant.leader_term() < leaderTerm_) {
    return; // delayed, from an earlier leader
  }
  if (aGrant.leader_term() > leaderTerm_) {
    leaderTerm_ = aGrant.leader_term();
    leaderTimes_.clear();
    for (auto& [name, group] : groups_) {
      group.pointToReport_.reset();
    }
  }
  leaderTimes_.push_back({ aNow, aGrant.leader_us() });
  if (leaderTimes_.size() > kMaxLeaderTimes) {
    leaderTimes_.pop_front();
  }
}

// Takes over which servers the leader considers overloaded.
void
Gateway::RecordOverload(const wire::LeaseGrant& aGrant, Time aNow)
{
  std::map<std::string_view, const wire::ServerOverload*> byServer;
  for (const auto& overload : aGrant.overloaded()) {
    byServer[overload.server()] = &overload;
  }
  for (auto& [id, server] : servers_) {
    const auto group = groups_.find(server.info_.database());
    if (group == groups_.end()) {
      continue;
    }
    const auto found = byServer.find(id);
    server.isOverloaded_ = found != byServer.end();
    server.shedder_.SetSharedPressure(
      server.isOverloaded_ ? found->second->permille() / 1000.0 : 0,
      group->second.ranks_.size(),
      aNow);
    if (server.isOverloaded_ && found->second->connections_scarce()) {
      server.idleLinkPolicy_.RecordScarcity(aNow);
      server.connectionLimitAt_ = aNow;
    }
  }
}

// Adds what this VM has learned since its last lease request to a new one.
void
Gateway::AddReports(wire::LeaseRequest& aRequest)
{
  aRequest.set_leader_term(leaderTerm_);
  for (auto& [name, group] : groups_) {
    if (group.pointToReport_) {
      *aRequest.add_points() = std::move(*group.pointToReport_);
      group.pointToReport_.reset();
    }
  }
  for (auto& [id, server] : servers_) {
    if (server.hasSlowAnswers_ || server.answers_.connection_limit() ||
        (server.isOverloaded_ && server.answers_.count() > 0)) {
      server.answers_.set_server(id);
      *aRequest.add_answers() = server.answers_;
    }
    server.answers_.Clear();
    server.hasSlowAnswers_ = false;
  }
}

// Reports the log position that the primary stated in answer to a command sent
// at `aSentAt`, for the use of other VMs.
void
Gateway::ReportPrimaryPoint(const DatabaseId& aGroup,
                            Time aSentAt,
                            LogPoint aPoint)
{
  Group& group = groups_.at(aGroup);
  const auto time = std::find_if(
    leaderTimes_.rbegin(), leaderTimes_.rend(), [&](const LeaderTime& aTime) {
      return aTime.receivedAt_ < aSentAt;
    });
  const bool isNews =
    aSentAt >= group.log_.NewestPointAt() + kPointReportInterval;
  if (!isNews || time == leaderTimes_.rend() || aPoint.term_ != group.term_) {
    return;
  }
  wire::ReportedPoint point;
  point.set_database(aGroup);
  point.set_term(aPoint.term_);
  point.set_position(aPoint.position_);
  point.set_asked_us(time->leaderUs_);
  group.pointToReport_ = std::move(point);
}

// Takes over positions of primaries that other VMs have reported.
void
Gateway::RecordSharedPoints(const wire::LeaseGrant& aGrant)
{
  const Time requestedAt{ Duration(aGrant.sent_us()) };
  for (const auto& shared : aGrant.points()) {
    const auto group = groups_.find(shared.database());
    if (group != groups_.end()) {
      group->second.log_.RecordPrimaryPoint(
        requestedAt - Duration(shared.age_us()) - kPointAgeMargin,
        { shared.term(), shared.position() });
    }
  }
}

} // namespace jaydoor
