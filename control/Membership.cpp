#include "control/Membership.h"

#include "base/Erase.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jaydoor {
namespace {

constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kNewsPerMessage = 8;
constexpr double kSpreadFactor = 3; // times the logarithm of the fleet's size
constexpr Duration kSeedInterval = 1s;

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

// The next ones of a shuffled round: random, and without a walk through all
// members at each call.
std::vector<VmId>
Membership::ChooseRandomVms(std::size_t aCount)
{
  std::vector<VmId> chosen;
  bool fresh = false;
  while (chosen.size() < aCount) {
    if (shuffledChoices_.empty()) {
      if (fresh) {
        break;
      }
      shuffledChoices_ = ShuffleLiveMembers();
      fresh = true;
      continue;
    }
    VmId id = std::move(shuffledChoices_.back());
    shuffledChoices_.pop_back();
    const bool taken =
      std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    if (!taken && IsLive(id)) {
      chosen.push_back(std::move(id));
    }
  }
  return chosen;
}

// ---- Probing

void
Membership::Tick(Time aNow, std::vector<SendToVm>& aOut)
{
  TickPendingProbes(aNow, aOut);
  TickUnhealthyMembers(aNow);
  if (aNow >= nextProbeAt_) {
    nextProbeAt_ = aNow + ProbeInterval();
    ProbeNextMember(aNow, aOut);
  }
  if (aNow >= nextSeedProbeAt_) {
    nextSeedProbeAt_ = aNow + kSeedInterval;
    ProbeMissingSeed(aNow, aOut);
  }
}

// Each member is probed once a round, in an order of its own.
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

// Seeds that are not members are tried for ever, so that parts of the fleet
// that lost each other find back together.
void
Membership::ProbeMissingSeed(Time aNow, std::vector<SendToVm>& aOut)
{
  std::vector<VmId> missing;
  for (const auto& seed : seeds_) {
    if (!IsLive(seed.id())) {
      missing.push_back(seed.id());
    }
  }
  if (missing.empty()) {
    return;
  }
  const VmId& target = missing[random_() % missing.size()];
  SendProbe(target, PendingProbe{ target, aNow, true, {}, 0 }, aOut);
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
  for (auto& news : PickNews(false)) {
    *probe.add_news() = std::move(news);
  }
  pendingProbes_[sequence] = std::move(aPending);
  aOut.push_back(std::move(send));
}

void
Membership::TickPendingProbes(Time aNow, std::vector<SendToVm>& aOut)
{
  std::vector<VmId> failed;
  std::vector<std::uint64_t> ask;
  EraseWhere(
    pendingProbes_, [&](std::uint64_t aSequence, PendingProbe& aPending) {
      const Duration waited = aNow - aPending.sentAt_;
      if (!aPending.indirectRequested_ && waited >= timing_.replyTimeout_) {
        aPending.indirectRequested_ = true;
        ask.push_back(aSequence);
      }
      const bool over =
        waited >= timing_.replyTimeout_ + timing_.indirectTimeout_;
      if (over && aPending.requester_.empty()) {
        failed.push_back(aPending.target_);
      }
      return over;
    });
  for (const std::uint64_t sequence : ask) {
    const auto found = pendingProbes_.find(sequence);
    if (found == pendingProbes_.end()) {
      continue;
    }
    for (const auto& helper : ChooseRandomVms(kIndirectProbes)) {
      if (helper == found->second.target_) {
        continue;
      }
      SendToVm send;
      send.to_ = helper;
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

// Looks only at members that are not alive: there are few of them.
void
Membership::TickUnhealthyMembers(Time aNow)
{
  std::vector<VmId> dead;
  EraseWhere(unhealthy_, [&](const VmId& aId) {
    const auto found = members_.find(aId);
    if (found == members_.end() || found->second.state_ == MemberState::Alive) {
      return true;
    }
    const Duration since = aNow - found->second.stateSince_;
    if (found->second.state_ == MemberState::Suspect) {
      if (since >= timing_.suspectTimeout_) {
        dead.push_back(aId);
      }
      return false;
    }
    if (since >= timing_.forgetDelay_) {
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
  for (auto& news : PickNews(aProbe.join())) {
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
  const bool whole = aReply.news_size() > static_cast<int>(kNewsPerMessage) + 1;
  for (const auto& news : aReply.news()) {
    HandleMemberNews(news, aNow);
  }
  if (whole) {
    // The list of a fleet that is joined is news to nobody else.
    std::erase_if(newsSendsLeft_, [this](const auto& aEntry) {
      return aEntry.first != self_.id();
    });
  }
  const auto found = pendingProbes_.find(aReply.sequence());
  if (found == pendingProbes_.end()) {
    return;
  }
  const PendingProbe pending = found->second;
  pendingProbes_.erase(found);
  if (!pending.requester_.empty()) {
    SendToVm send;
    send.to_ = pending.requester_;
    send.message_.mutable_probe_reply()->set_sequence(
      pending.requesterSequence_);
    aOut.push_back(std::move(send));
    return;
  }
  // An answer in person, or through another VM, ends a suspicion of our own.
  const auto member = members_.find(pending.target_);
  const bool suspect = member != members_.end() &&
                       member->second.state_ == MemberState::Suspect &&
                       aFrom == pending.target_;
  if (suspect) {
    SetState(member->second, MemberState::Alive, aNow);
  }
}

// ---- News

// Newer incarnations win; within one, the worse state wins.
void
Membership::HandleMemberNews(const wire::MemberNews& aNews, Time aNow)
{
  const wire::Vm& vm = aNews.vm();
  const auto state = static_cast<MemberState>(std::min(aNews.state(), 2U));
  if (vm.id() == self_.id()) {
    const bool wrong =
      state != MemberState::Alive && vm.incarnation() >= self_.incarnation();
    if (wrong) {
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
    static_cast<int>(std::ceil(kSpreadFactor * std::log2(size)));
}

void
Membership::SetLeaving(bool aOn)
{
  self_.set_leaving(aOn);
  self_.set_incarnation(self_.incarnation() + 1);
  QueueNews(Member{ self_, MemberState::Alive, {} });
}

std::vector<wire::MemberNews>
Membership::PickNews(bool aAll)
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
  if (aAll) {
    for (const auto& [id, member] : members_) {
      add(member);
    }
    return picked;
  }
  EraseWhere(newsSendsLeft_, [&](const VmId& aId, int& aTimes) {
    const auto found = members_.find(aId);
    if (found == members_.end()) {
      return aId != self_.id();
    }
    if (picked.size() <= kNewsPerMessage) {
      add(found->second);
      aTimes--;
    }
    return aTimes <= 0;
  });
  return picked;
}

} // namespace jaydoor
