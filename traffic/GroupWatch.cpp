#include "traffic/GroupWatch.h"

#include "base/Erase.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jaydoor {
namespace {

constexpr std::size_t kMaxPrimarySamples = 512;
constexpr Duration kSampleInterval = 20ms;  // least time between two samples
constexpr Duration kReportInterval = 200ms; // between reports of one suspicion

} // namespace

GroupWatch::GroupWatch(DatabaseId aDatabase, ProbeTiming aTiming)
  : database_(std::move(aDatabase))
  , timing_(aTiming)
{
}

void
GroupWatch::SetView(const FleetView& aView, TrafficActions& aOut)
{
  const auto found = aView.databases_.find(database_);
  const DatabaseView group =
    found == aView.databases_.end() ? DatabaseView{} : found->second;
  if (group.term_ != term_ || group.primary_ != primary_) {
    primarySamples_.clear();
    reportedSuspicion_ = false;
    for (auto& [id, member] : members_) {
      member.answeredInTerm_ = false;
    }
  }
  primary_ = group.primary_;
  term_ = group.term_;
  groupSize_ = group.groupSize_;
  const auto primary = aView.servers_.find(primary_);
  if (primary != aView.servers_.end()) {
    primaryHost_ = primary->second.info_.host();
    primaryPort_ = static_cast<std::uint16_t>(primary->second.info_.port());
  }
  for (const auto& id : group.servers_) {
    const auto& info = aView.servers_.at(id).info_;
    const auto port = static_cast<std::uint16_t>(info.port());
    members_.try_emplace(id, StatusProbe(info.host(), port, timing_));
  }
  EraseWhere(members_, [&group, &aOut](const auto& aId, Member& aMember) {
    const bool stays =
      std::find(group.servers_.begin(), group.servers_.end(), aId) !=
      group.servers_.end();
    if (!stays) {
      aMember.probe_.Close(aOut);
    }
    return !stays;
  });
}

void
GroupWatch::SetIdleInterval(Duration aInterval)
{
  timing_.idleInterval_ = aInterval;
  for (auto& [id, member] : members_) {
    member.probe_.SetIdleInterval(aInterval);
  }
}

void
GroupWatch::MakePrimaryProbeDue()
{
  const auto found = members_.find(primary_);
  if (found != members_.end()) {
    found->second.probe_.MakeDue();
  }
}

void
GroupWatch::Tick(Time aNow,
                 bool aProofAwaited,
                 IdSource& aIds,
                 TrafficActions& aOut)
{
  for (auto& [id, member] : members_) {
    member.probe_.Tick(aNow, aProofAwaited, aIds, aOut);
  }
}

Time
GroupWatch::NextWake(bool aProofAwaited) const
{
  Time next = Time::max();
  for (const auto& [id, member] : members_) {
    next = std::min(next, member.probe_.NextWake(aProofAwaited));
  }
  return next;
}

GroupWatch::Member*
GroupWatch::FindMemberByConnection(ConnectionId aId)
{
  for (auto& [id, member] : members_) {
    if (member.probe_.Connection() == aId) {
      return &member;
    }
  }
  return nullptr;
}

bool
GroupWatch::HandleOpened(ConnectionId aId, Time aNow, TrafficActions& aOut)
{
  Member* member = FindMemberByConnection(aId);
  if (member != nullptr) {
    member->probe_.HandleOpened(aNow, aOut);
  }
  return member != nullptr;
}

bool
GroupWatch::HandleLost(ConnectionId aId, Time aNow)
{
  Member* member = FindMemberByConnection(aId);
  if (member != nullptr) {
    member->probe_.HandleLost(aNow);
  }
  return member != nullptr;
}

bool
GroupWatch::HandleAnswer(ConnectionId aId,
                         const UpstreamAnswer& aAnswer,
                         Time aNow)
{
  for (auto& [id, member] : members_) {
    if (member.probe_.Connection() == aId) {
      const Time sentAt = member.probe_.HandleAnswer(aNow);
      RecordStatus(id, member, sentAt, aAnswer);
      return true;
    }
  }
  return false;
}

void
GroupWatch::RecordStatus(const ServerId& aServer,
                         Member& aMember,
                         Time aSentAt,
                         const UpstreamAnswer& aAnswer)
{
  aMember.durablePoint_ = aAnswer.point_;
  aMember.promisedTerm_ = aAnswer.promisedTerm_;
  aMember.answeredInTerm_ = true;
  aMember.claimsPrimary_ = aAnswer.claimsPrimary_;
  if (aMember.promisedTerm_ <= term_) {
    aMember.termConfirmedAt_ = aSentAt;
  }
  const bool needsFollow =
    !aAnswer.followsPrimary_ || aMember.promisedTerm_ < term_;
  if (aServer != primary_ && !primary_.empty() && needsFollow) {
    UpstreamRequest follow;
    follow.op_ = UpstreamOp::Follow;
    follow.term_ = term_;
    follow.primaryHost_ = primaryHost_;
    follow.primaryPort_ = primaryPort_;
    aMember.probe_.SetNextRequest(std::move(follow));
  }
  const bool isPrimary = aServer == primary_ && aAnswer.claimsPrimary_ &&
                         aMember.promisedTerm_ == term_;
  if (!isPrimary) {
    return;
  }
  const bool samePoint =
    !primarySamples_.empty() && primarySamples_.back().point_ == aAnswer.point_;
  const bool tooClose =
    primarySamples_.size() >= 2 &&
    aSentAt - primarySamples_[primarySamples_.size() - 2].sentAt_ <
      kSampleInterval;
  if (samePoint || tooClose) {
    primarySamples_.back() = { aSentAt, aAnswer.point_ };
  } else {
    primarySamples_.push_back({ aSentAt, aAnswer.point_ });
  }
  if (primarySamples_.size() > kMaxPrimarySamples) {
    primarySamples_.pop_front();
  }
}

bool
GroupWatch::IsDurable(LogPoint aPoint, const ServerId& aHolder) const
{
  std::size_t holders = 0;
  for (const auto& [id, member] : members_) {
    const bool confirmed = member.answeredInTerm_ &&
                           member.promisedTerm_ == aPoint.term_ &&
                           member.durablePoint_.term_ == aPoint.term_ &&
                           member.durablePoint_.position_ >= aPoint.position_;
    const bool holds = id == aHolder || confirmed;
    holders += holds ? 1U : 0U;
  }
  return groupSize_ > 0 && holders >= MajoritySize();
}

// Returns the latest time at which a majority had promised no later term than
// the primary's. Until then no other server was primary. Unset if no majority
// has answered.
std::optional<Time>
GroupWatch::FindSolePrimaryUntil() const
{
  std::vector<Time> confirmedAt;
  for (const auto& [id, member] : members_) {
    if (member.answeredInTerm_ && member.promisedTerm_ <= term_) {
      confirmedAt.push_back(member.termConfirmedAt_);
    }
  }
  if (groupSize_ == 0 || confirmedAt.size() < MajoritySize()) {
    return std::nullopt;
  }
  std::sort(confirmedAt.begin(), confirmedAt.end(), std::greater<>());
  return confirmedAt[MajoritySize() - 1];
}

std::optional<Time>
GroupWatch::FindFreshnessTime(const ServerId& aServer, LogPoint aPoint) const
{
  const auto solePrimaryUntil = FindSolePrimaryUntil();
  if (!solePrimaryUntil || aPoint.term_ > term_) {
    return std::nullopt;
  }
  if (aServer == primary_) {
    return solePrimaryUntil;
  }
  // Within a term the log only grows: data that contains the log point of a
  // sample contains everything that the primary acknowledged before it.
  for (auto at = primarySamples_.rbegin(); at != primarySamples_.rend(); ++at) {
    if (at->point_ <= aPoint) {
      return std::min(at->sentAt_, *solePrimaryUntil);
    }
  }
  return std::nullopt;
}

LogPoint
GroupWatch::PointOf(const ServerId& aServer) const
{
  const auto found = members_.find(aServer);
  return found == members_.end() ? LogPoint{} : found->second.durablePoint_;
}

bool
GroupWatch::IsUnreachable(const ServerId& aServer) const
{
  const auto found = members_.find(aServer);
  return found == members_.end() || found->second.probe_.IsUnreachable();
}

bool
GroupWatch::IsPrimarySuspected() const
{
  const auto found = members_.find(primary_);
  if (found == members_.end()) {
    return true;
  }
  const Member& member = found->second;
  const bool steppedDown =
    member.answeredInTerm_ &&
    (!member.claimsPrimary_ || member.promisedTerm_ > term_);
  return steppedDown || member.probe_.IsUnreachable();
}

std::optional<wire::Suspicion>
GroupWatch::TakeSuspicionReport(Time aNow)
{
  if (primary_.empty()) {
    return std::nullopt;
  }
  const bool suspected = IsPrimarySuspected();
  const bool due = suspected && aNow - reportedAt_ >= kReportInterval;
  if (suspected == reportedSuspicion_ && !due) {
    return std::nullopt;
  }
  reportedSuspicion_ = suspected;
  reportedAt_ = aNow;
  wire::Suspicion suspicion;
  suspicion.set_database(database_);
  suspicion.set_server(primary_);
  suspicion.set_term(term_);
  suspicion.set_suspected(suspected);
  return suspicion;
}

} // namespace jaydoor
