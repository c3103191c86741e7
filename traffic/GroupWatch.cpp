#include "traffic/GroupWatch.h"

#include "base/Erase.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jaydoor {
namespace {

constexpr std::size_t kMaxSamples = 512;
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
    samples_.clear();
    reported_ = false;
    for (auto& [id, member] : members_) {
      member.answered_ = false;
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
GroupWatch::SetInterval(Duration aInterval)
{
  timing_.interval_ = aInterval;
  for (auto& [id, member] : members_) {
    member.probe_.SetInterval(aInterval);
  }
}

void
GroupWatch::HurryPrimary()
{
  const auto found = members_.find(primary_);
  if (found != members_.end()) {
    found->second.probe_.Hurry();
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
GroupWatch::FindConnection(ConnectionId aId)
{
  for (auto& [id, member] : members_) {
    if (member.probe_.Connection() == aId) {
      return &member;
    }
  }
  return nullptr;
}

bool
GroupWatch::Opened(ConnectionId aId, Time aNow, TrafficActions& aOut)
{
  Member* member = FindConnection(aId);
  if (member != nullptr) {
    member->probe_.Opened(aNow, aOut);
  }
  return member != nullptr;
}

bool
GroupWatch::Lost(ConnectionId aId, Time aNow)
{
  Member* member = FindConnection(aId);
  if (member != nullptr) {
    member->probe_.Lost(aNow);
  }
  return member != nullptr;
}

bool
GroupWatch::Answered(ConnectionId aId, const UpstreamAnswer& aAnswer, Time aNow)
{
  for (auto& [id, member] : members_) {
    if (member.probe_.Connection() == aId) {
      const Time sentAt = member.probe_.Answered(aNow);
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
  aMember.point_ = aAnswer.point_;
  aMember.promised_ = aAnswer.promised_;
  aMember.answered_ = true;
  aMember.primary_ = aAnswer.primary_;
  if (aMember.promised_ <= term_) {
    aMember.confirmedAt_ = aSentAt;
  }
  const bool needsFollow = !aAnswer.following_ || aMember.promised_ < term_;
  if (aServer != primary_ && !primary_.empty() && needsFollow) {
    UpstreamRequest follow;
    follow.op_ = UpstreamOp::Follow;
    follow.term_ = term_;
    follow.primaryHost_ = primaryHost_;
    follow.primaryPort_ = primaryPort_;
    aMember.probe_.SetNext(std::move(follow));
  }
  const bool primary =
    aServer == primary_ && aAnswer.primary_ && aMember.promised_ == term_;
  if (!primary) {
    return;
  }
  const bool samePoint =
    !samples_.empty() && samples_.back().point_ == aAnswer.point_;
  const bool tooClose =
    samples_.size() >= 2 &&
    aSentAt - samples_[samples_.size() - 2].sentAt_ < kSampleInterval;
  if (samePoint || tooClose) {
    samples_.back() = { aSentAt, aAnswer.point_ };
  } else {
    samples_.push_back({ aSentAt, aAnswer.point_ });
  }
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
}

bool
GroupWatch::IsDurable(LogPoint aPoint, const ServerId& aHolder) const
{
  std::size_t holders = 0;
  for (const auto& [id, member] : members_) {
    const bool confirmed = member.answered_ &&
                           member.promised_ == aPoint.term_ &&
                           member.point_.term_ == aPoint.term_ &&
                           member.point_.position_ >= aPoint.position_;
    const bool holds = id == aHolder || confirmed;
    holders += holds ? 1U : 0U;
  }
  return groupSize_ > 0 && holders >= Majority();
}

// Returns the latest time at which a majority had promised no later term than
// the primary's. Until then no other server was primary. Unset if no majority
// has answered.
std::optional<Time>
GroupWatch::PrimacyTime() const
{
  std::vector<Time> confirmedAt;
  for (const auto& [id, member] : members_) {
    if (member.answered_ && member.promised_ <= term_) {
      confirmedAt.push_back(member.confirmedAt_);
    }
  }
  if (groupSize_ == 0 || confirmedAt.size() < Majority()) {
    return std::nullopt;
  }
  std::sort(confirmedAt.begin(), confirmedAt.end(), std::greater<>());
  return confirmedAt[Majority() - 1];
}

std::optional<Time>
GroupWatch::FreshAsOf(const ServerId& aServer, LogPoint aPoint) const
{
  const auto solePrimaryUntil = PrimacyTime();
  if (!solePrimaryUntil || aPoint.term_ > term_) {
    return std::nullopt;
  }
  if (aServer == primary_) {
    return solePrimaryUntil;
  }
  // Within a term the log only grows: data that contains the log point of a
  // sample contains everything that the primary acknowledged before it.
  for (auto at = samples_.rbegin(); at != samples_.rend(); ++at) {
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
  return found == members_.end() ? LogPoint{} : found->second.point_;
}

bool
GroupWatch::IsUnreachable(const ServerId& aServer) const
{
  const auto found = members_.find(aServer);
  return found == members_.end() || found->second.probe_.IsUnreachable();
}

bool
GroupWatch::IsPrimarySuspect() const
{
  const auto found = members_.find(primary_);
  if (found == members_.end()) {
    return true;
  }
  const Member& member = found->second;
  const bool steppedDown =
    member.answered_ && (!member.primary_ || member.promised_ > term_);
  return steppedDown || member.probe_.IsUnreachable();
}

std::optional<wire::Suspicion>
GroupWatch::TakeSuspicion(Time aNow)
{
  if (primary_.empty()) {
    return std::nullopt;
  }
  const bool suspected = IsPrimarySuspect();
  const bool due = suspected && aNow - reportedAt_ >= kReportInterval;
  if (suspected == reported_ && !due) {
    return std::nullopt;
  }
  reported_ = suspected;
  reportedAt_ = aNow;
  wire::Suspicion suspicion;
  suspicion.set_database(database_);
  suspicion.set_server(primary_);
  suspicion.set_term(term_);
  suspicion.set_suspected(suspected);
  return suspicion;
}

} // namespace jaydoor
