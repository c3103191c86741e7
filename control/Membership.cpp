#include "control/Membership.h"

#include "base/Erase.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jaydoor {
namespace {

// Number of VMs that are asked to probe a member that has not replied.
constexpr std::size_t kIndirectProbeCount = 3;

constexpr std::size_t kNewsPerMessage = 8; // besides the sender's own

// The number of messages that carry the same news is this factor times the
// binary logarithm of the fleet's size.
constexpr double kNewsSendFactor = 3;

// Time between two probes of seeds that are not live members.
constexpr Duration kSeedProbeInterval = 1s;
// The same until this VM has joined. Short, because the seeds may be starting
// at the same time, and a probe of a VM that is not up yet is lost.
constexpr Duration kJoinProbeInterval = 50ms;
// After so many of these probes the seeds are down, or have too much to do.
constexpr std::size_t kFrequentJoinProbes = 20;
constexpr Duration kSlowJoinProbeInterval = 200ms;

// A part of the member list fits a datagram, so that a VM that joins opens no
// links for it.
constexpr std::size_t kMaxListPartBytes = 900;
// Gossip alone takes tens of seconds to spread the news of 100 VMs that start
// at once. For this time after its start, a VM that knows fewer members than
// another one asks it for its list.
constexpr Duration kStartWindow = 10s;
// Later it does so only if it lacks more than one member of this many: when
// VMs die, the counts differ for a while.
constexpr std::size_t kToleratedMissingPart = 10;
constexpr Duration kMinListInterval = 500ms;
constexpr Duration kListIntervalPerMember = 5ms;
// A tick that is late by more than this has kept replies waiting too.
constexpr Duration kLateTick = 100ms;

} // namespace

Membership::Membership(wire::Vm aSelf,
                       std::vector<wire::Vm> aSeeds,
                       MembershipTiming aTiming,
                       std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , seeds_(std::move(aSeeds))
  , timing_(aTiming)
  , random_(aSeed)
{
  std::erase_if(
    seeds_, [this](const wire::Vm& aSeed) { return aSeed.id() == self_.id(); });
  newsSendsLeft_[self_.id()] = 1;
}

void
Membership::AddSeeds(std::vector<wire::Vm> aSeeds)
{
  for (auto& seed : aSeeds) {
    const bool known =
      seed.id() == self_.id() ||
      std::any_of(seeds_.begin(), seeds_.end(), [&](const auto& aKnown) {
        return aKnown.id() == seed.id();
      });
    if (!known) {
      seeds_.push_back(std::move(seed));
    }
  }
}

Duration
Membership::ProbeInterval() const
{
  const auto count = static_cast<Duration::rep>(members_.size() + 1);
  return std::clamp(timing_.intervalPerMember_ * count,
                    timing_.minProbeInterval_,
                    timing_.maxProbeInterval_);
}

std::vector<MemberChange>
Membership::TakeChanges()
{
  return std::exchange(changes_, {});
}

std::vector<wire::Vm>
Membership::ListLiveVms() const
{
  std::vector<wire::Vm> live{ self_ };
  for (const auto& [id, member] : members_) {
    if (member.state_ != MemberState::Dead) {
      live.push_back(member.vm_);
    }
  }
  std::sort(
    live.begin(), live.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.id() < aRight.id();
    });
  return live;
}

std::size_t
Membership::CountLiveVms() const
{
  std::size_t count = 0;
  VisitLiveVms([&](const wire::Vm&) { count++; });
  return count;
}

const wire::Vm*
Membership::Find(const VmId& aId) const
{
  const auto found = members_.find(aId);
  return aId == self_.id()         ? &self_
         : found == members_.end() ? nullptr
                                   : &found->second.vm_;
}

bool
Membership::IsLive(const VmId& aId) const
{
  const auto found = members_.find(aId);
  return aId == self_.id() ||
         (found != members_.end() && found->second.state_ != MemberState::Dead);
}

std::vector<VmId>
Membership::ShuffleLiveMembers()
{
  std::vector<VmId> live;
  for (const auto& [id, member] : members_) {
    if (member.state_ != MemberState::Dead) {
      live.push_back(id);
    }
  }
  std::shuffle(live.begin(), live.end(), random_);
  return live;
}

// Takes the next VMs of a shuffled list, so that a call need not visit all
// members. The list is shuffled anew once all of it has been used.
std::vector<VmId>
Membership::ChooseRandomVms(std::size_t aCount)
{
  std::vector<VmId> chosen;
  bool reshuffled = false;
  while (chosen.size() < aCount) {
    if (shuffledChoices_.empty()) {
      if (reshuffled) {
        break;
      }
      shuffledChoices_ = ShuffleLiveMembers();
      reshuffled = true;
      continue;
    }
    VmId id = std::move(shuffledChoices_.back());
    shuffledChoices_.pop_back();
    const bool alreadyChosen =
      std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    if (!alreadyChosen && IsLive(id)) {
      chosen.push_back(std::move(id));
    }
  }
  return chosen;
}

// ---- Probing

void
Membership::Tick(Time aNow, std::vector<SendToVm>& aOut)
{
  DelayPendingProbes(aNow);
  TickPendingProbes(aNow, aOut);
  TickUnhealthyMembers(aNow);
  TickMemberList(aNow, aOut);
  if (aNow >= nextProbeAt_) {
    nextProbeAt_ = aNow + ProbeInterval();
    ProbeNextMember(aNow, aOut);
  }
  if (aNow >= nextJoinProbeAt_) {
    const bool joined = joined_ && HasLiveMember();
    joinProbes_ = joined ? 0 : joinProbes_ + 1;
    const Duration interval = joinProbes_ <= kFrequentJoinProbes
                                ? kJoinProbeInterval
                                : kSlowJoinProbeInterval;
    nextJoinProbeAt_ = aNow + (joined ? kSeedProbeInterval : interval);
    ProbeToJoin(aNow, aOut);
  }
}

// Replies that have arrived while this VM was late are handled after the tick,
// so they must not count as missing.
void
Membership::DelayPendingProbes(Time aNow)
{
  if (startedAt_ && aNow - tickedAt_ > kLateTick) {
    for (auto& [sequence, pending] : pendingProbes_) {
      pending.sentAt_ += aNow - tickedAt_ - kLateTick;
    }
  }
  if (!startedAt_) {
    startedAt_ = aNow;
  }
  tickedAt_ = aNow;
}

void
Membership::CompareMemberCount(const VmId& aFrom, std::size_t aCount, Time aNow)
{
  const std::size_t own = CountLiveVms();
  const bool starts = startedAt_ && aNow - *startedAt_ < kStartWindow;
  const std::size_t tolerated = starts ? 0 : own / kToleratedMissingPart;
  if (aCount > own + tolerated) {
    largerMember_ = aFrom;
  }
}

// Asks for the complete member list of a VM that knows more members.
void
Membership::TickMemberList(Time aNow, std::vector<SendToVm>& aOut)
{
  if (largerMember_.empty() || aNow < nextListRequestAt_) {
    return;
  }
  const auto count = static_cast<Duration::rep>(members_.size());
  const Duration interval =
    std::max(kMinListInterval, kListIntervalPerMember * count);
  const auto spread = static_cast<std::uint64_t>(interval.count()) / 2;
  nextListRequestAt_ =
    aNow + interval + Duration(static_cast<Duration::rep>(random_() % spread));
  const VmId target = std::exchange(largerMember_, {});
  SendProbe(target, PendingProbe{ target, aNow, true, {}, 0, true }, aOut);
  aOut.back().message_.mutable_probe()->set_join(true);
}

// Each member is probed once per round. The order is random and differs from
// round to round.
void
Membership::ProbeNextMember(Time aNow, std::vector<SendToVm>& aOut)
{
  while (true) {
    if (probeRound_.empty()) {
      probeRound_ = ShuffleLiveMembers();
      if (probeRound_.empty()) {
        return;
      }
    }
    const VmId target = probeRound_.back();
    probeRound_.pop_back();
    if (IsLive(target)) {
      SendProbe(target, PendingProbe{ target, aNow, false, {}, 0 }, aOut);
      return;
    }
  }
}

bool
Membership::HasLiveMember() const
{
  return std::any_of(members_.begin(), members_.end(), [](const auto& aEntry) {
    return aEntry.second.state_ != MemberState::Dead;
  });
}

// Probes a random seed that is not a live member. This goes on for as long as a
// seed is missing, so that parts of the fleet that were separated by a network
// partition rejoin. Until the complete member list has arrived, live members
// are asked for it as well.
void
Membership::ProbeToJoin(Time aNow, std::vector<SendToVm>& aOut)
{
  std::vector<VmId> targets;
  for (const auto& seed : seeds_) {
    if (!IsLive(seed.id())) {
      targets.push_back(seed.id());
    }
  }
  if (!joined_) {
    const std::vector<VmId> live = ShuffleLiveMembers();
    targets.insert(targets.end(), live.begin(), live.end());
  }
  if (targets.empty()) {
    return;
  }
  const VmId& target = targets[random_() % targets.size()];
  SendProbe(target, PendingProbe{ target, aNow, true, {}, 0, true }, aOut);
  aOut.back().message_.mutable_probe()->set_join(true);
}

void
Membership::SendProbe(const VmId& aTo,
                      PendingProbe aPending,
                      std::vector<SendToVm>& aOut)
{
  const std::uint64_t sequence = nextSequence_++;
  SendToVm send;
  send.to_ = aTo;
  auto& probe = *send.message_.mutable_probe();
  probe.set_sequence(sequence);
  for (auto& news : PickNews()) {
    *probe.add_news() = std::move(news);
  }
  pendingProbes_[sequence] = std::move(aPending);
  aOut.push_back(std::move(send));
}

void
Membership::TickPendingProbes(Time aNow, std::vector<SendToVm>& aOut)
{
  std::vector<VmId> failed;
  std::vector<std::uint64_t> indirectSequences;
  EraseWhere(
    pendingProbes_, [&](std::uint64_t aSequence, PendingProbe& aPending) {
      const Duration waited = aNow - aPending.sentAt_;
      if (!aPending.indirectRequested_ && waited >= timing_.replyTimeout_) {
        aPending.indirectRequested_ = true;
        indirectSequences.push_back(aSequence);
      }
      const bool timedOut =
        waited >= timing_.replyTimeout_ + timing_.indirectTimeout_;
      if (timedOut && aPending.requester_.empty() && !aPending.join_) {
        failed.push_back(aPending.target_);
      }
      return timedOut;
    });
  for (const std::uint64_t sequence : indirectSequences) {
    const auto found = pendingProbes_.find(sequence);
    if (found == pendingProbes_.end()) {
      continue;
    }
    for (const auto& prober : ChooseRandomVms(kIndirectProbeCount)) {
      if (prober == found->second.target_) {
        continue;
      }
      SendToVm send;
      send.to_ = prober;
      send.message_.mutable_probe()->set_sequence(sequence);
      send.message_.mutable_probe()->set_target(found->second.target_);
      aOut.push_back(std::move(send));
    }
  }
  for (const auto& id : failed) {
    const auto found = members_.find(id);
    const bool alive =
      found != members_.end() && found->second.state_ == MemberState::Alive;
    if (alive) {
      SetState(found->second, MemberState::Suspect, aNow);
    }
  }
}

// Visits only suspect and dead members, as these are few.
void
Membership::TickUnhealthyMembers(Time aNow)
{
  std::vector<VmId> dead;
  EraseWhere(unhealthy_, [&](const VmId& aId) {
    const auto found = members_.find(aId);
    if (found == members_.end() || found->second.state_ == MemberState::Alive) {
      return true;
    }
    const Duration timeInState = aNow - found->second.stateSince_;
    if (found->second.state_ == MemberState::Suspect) {
      if (timeInState >= timing_.suspectTimeout_) {
        dead.push_back(aId);
      }
      return false;
    }
    if (timeInState >= timing_.forgetDelay_) {
      members_.erase(found);
      return true;
    }
    return false;
  });
  for (const auto& id : dead) {
    SetState(members_.at(id), MemberState::Dead, aNow);
  }
}

void
Membership::HandleProbe(const VmId& aFrom,
                        const wire::Probe& aProbe,
                        Time aNow,
                        std::vector<SendToVm>& aOut)
{
  for (const auto& news : aProbe.news()) {
    HandleMemberNews(news, aNow);
  }
  CompareMemberCount(aFrom, aProbe.members(), aNow);
  if (aProbe.join()) {
    SendMemberList(aFrom, aProbe.sequence(), aOut);
    return;
  }
  if (!aProbe.target().empty() && aProbe.target() != self_.id()) {
    SendProbe(
      aProbe.target(),
      PendingProbe{ aProbe.target(), aNow, true, aFrom, aProbe.sequence() },
      aOut);
    return;
  }
  SendToVm send;
  send.to_ = aFrom;
  auto& reply = *send.message_.mutable_probe_reply();
  reply.set_sequence(aProbe.sequence());
  for (auto& news : PickNews()) {
    *reply.add_news() = std::move(news);
  }
  aOut.push_back(std::move(send));
}

void
Membership::HandleProbeReply(const VmId& aFrom,
                             const wire::ProbeReply& aReply,
                             Time aNow,
                             std::vector<SendToVm>& aOut)
{
  for (const auto& news : aReply.news()) {
    // The members of the fleet know the member list, so it is not passed on.
    const bool isQueued = newsSendsLeft_.contains(news.vm().id());
    HandleMemberNews(news, aNow);
    if (aReply.list() && !isQueued && news.vm().id() != self_.id()) {
      newsSendsLeft_.erase(news.vm().id());
    }
  }
  CompareMemberCount(aFrom, aReply.members(), aNow);
  const auto found = pendingProbes_.find(aReply.sequence());
  if (found == pendingProbes_.end()) {
    return;
  }
  const PendingProbe pending = found->second;
  pendingProbes_.erase(found);
  joined_ = joined_ || pending.join_;
  if (!pending.requester_.empty()) {
    SendToVm send;
    send.to_ = pending.requester_;
    send.message_.mutable_probe_reply()->set_sequence(
      pending.requesterSequence_);
    aOut.push_back(std::move(send));
    return;
  }
  // Only a reply from the target itself ends its suspicion here; a reply
  // through another VM just ends the wait.
  const auto member = members_.find(pending.target_);
  const bool suspect = member != members_.end() &&
                       member->second.state_ == MemberState::Suspect &&
                       aFrom == pending.target_;
  if (suspect) {
    SetState(member->second, MemberState::Alive, aNow);
  }
}

// ---- News of members

// Accepts news with a higher incarnation number, or with the same number and a
// worse state. A false suspicion of this VM is refuted by a higher incarnation
// number of its own.
void
Membership::HandleMemberNews(const wire::MemberNews& aNews, Time aNow)
{
  const wire::Vm& vm = aNews.vm();
  const auto state = static_cast<MemberState>(std::min(aNews.state(), 2U));
  if (vm.id() == self_.id()) {
    const bool isFalseSuspicion =
      state != MemberState::Alive && vm.incarnation() >= self_.incarnation();
    // The clock was set back between two starts.
    const bool isFormerRun = vm.incarnation() > self_.incarnation();
    if (isFalseSuspicion || isFormerRun) {
      self_.set_incarnation(vm.incarnation() + 1);
      newsSendsLeft_[self_.id()] = 0;
      QueueNews(Member{ self_, MemberState::Alive, aNow });
    }
    return;
  }
  const auto found = members_.find(vm.id());
  if (found == members_.end()) {
    if (state == MemberState::Dead) {
      return;
    }
    Member& member = members_[vm.id()];
    member.vm_ = vm;
    SetState(member, state, aNow);
    return;
  }
  Member& member = found->second;
  const bool newer = vm.incarnation() > member.vm_.incarnation();
  const bool worse =
    vm.incarnation() == member.vm_.incarnation() && state > member.state_;
  if (newer || worse) {
    member.vm_ = vm;
    SetState(member, state, aNow);
  }
}

void
Membership::SetState(Member& aMember, MemberState aState, Time aNow)
{
  aMember.state_ = aState;
  aMember.stateSince_ = aNow;
  changes_.push_back({ aMember.vm_, aState });
  if (aState != MemberState::Alive) {
    unhealthy_.insert(aMember.vm_.id());
  }
  QueueNews(aMember);
}

void
Membership::QueueNews(const Member& aMember)
{
  const double size = static_cast<double>(members_.size()) + 2;
  newsSendsLeft_[aMember.vm_.id()] =
    static_cast<int>(std::ceil(kNewsSendFactor * std::log2(size)));
}

void
Membership::SetLeaving(bool aLeaving)
{
  self_.set_leaving(aLeaving);
  self_.set_incarnation(self_.incarnation() + 1);
  QueueNews(Member{ self_, MemberState::Alive, {} });
}

// A probe whose reply is not awaited, so that its loss raises no suspicion.
void
Membership::SendDescription(const VmId& aTo, std::vector<SendToVm>& aOut)
{
  SendToVm send;
  send.to_ = aTo;
  auto& probe = *send.message_.mutable_probe();
  probe.set_sequence(nextSequence_++);
  for (auto& news : PickNews()) {
    *probe.add_news() = std::move(news);
  }
  aOut.push_back(std::move(send));
}

// Sends the complete member list, in parts.
void
Membership::SendMemberList(const VmId& aTo,
                           std::uint64_t aSequence,
                           std::vector<SendToVm>& aOut) const
{
  SendToVm part;
  std::size_t bytes = 0;
  const auto flush = [&] {
    part.to_ = aTo;
    part.message_.mutable_probe_reply()->set_sequence(aSequence);
    part.message_.mutable_probe_reply()->set_list(true);
    aOut.push_back(std::exchange(part, {}));
    bytes = 0;
  };
  const auto add = [&](const wire::Vm& aVm, MemberState aState) {
    wire::MemberNews& news = *part.message_.mutable_probe_reply()->add_news();
    *news.mutable_vm() = aVm;
    news.set_state(static_cast<std::uint32_t>(aState));
    bytes += news.ByteSizeLong();
    if (bytes >= kMaxListPartBytes) {
      flush();
    }
  };
  add(self_, MemberState::Alive);
  for (const auto& [id, member] : members_) {
    add(member.vm_, member.state_);
  }
  if (bytes > 0) {
    flush();
  }
}

std::vector<wire::MemberNews>
Membership::PickNews()
{
  std::vector<wire::MemberNews> picked;
  wire::MemberNews own;
  *own.mutable_vm() = self_;
  picked.push_back(std::move(own));
  const auto add = [&picked](const Member& aMember) {
    wire::MemberNews news;
    *news.mutable_vm() = aMember.vm_;
    news.set_state(static_cast<std::uint32_t>(aMember.state_));
    picked.push_back(std::move(news));
  };
  EraseWhere(newsSendsLeft_, [&](const VmId& aId, int& aSendsLeft) {
    const auto found = members_.find(aId);
    if (found == members_.end()) {
      return aId != self_.id();
    }
    if (picked.size() <= kNewsPerMessage) {
      add(found->second);
      aSendsLeft--;
    }
    return aSendsLeft <= 0;
  });
  return picked;
}

} // namespace jaydoor
