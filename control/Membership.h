#pragma once

// Group membership by the SWIM protocol: which VMs of the fleet are alive.
//
// Each VM probes random members. If one does not reply, others are asked to
// probe it too before it is suspected. A VM that learns of a false suspicion of
// itself refutes it with a higher incarnation number. News of members is
// carried by probes and replies.
//
// The load of a VM does not grow with the fleet: it sends one probe per
// interval, and the interval grows with the fleet up to a limit.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jaydoor {

enum class MemberState : std::uint8_t
{
  Alive,
  Suspect, // has not replied to a probe; counts as live until it is Dead
  Dead,
};

struct MembershipTiming
{
  // The time between two probes is proportional to the number of members,
  // within these limits.
  Duration minProbeInterval_ = 100ms;
  Duration maxProbeInterval_ = 1s;
  Duration intervalPerMember_ = 5ms;
  // After this time without a reply, other VMs are asked to probe the member.
  Duration replyTimeout_ = 150ms;
  // After this further time without a reply, the member becomes Suspect.
  Duration indirectTimeout_ = 250ms;
  Duration suspectTimeout_ = 600ms; // after which a Suspect member becomes Dead
  Duration forgetDelay_ = 60s; // after which a Dead member's record is dropped
};

// Sends a message to a VM. The shell resolves the id to an address.
struct SendToVm
{
  VmId to_;
  wire::ControlMessage message_;
};

// A member that was added, or whose state or description was updated.
struct MemberChange
{
  wire::Vm vm_;
  MemberState state_ = MemberState::Alive;
};

class Membership
{
public:
  // `aSeeds`: VMs to join the fleet through, with id, host and ports.
  Membership(wire::Vm aSelf,
             std::vector<wire::Vm> aSeeds,
             MembershipTiming aTiming,
             std::uint64_t aSeed);

  // Sends the probes that are due, and updates members that have not replied.
  void Tick(Time aNow, std::vector<SendToVm>& aOut);
  void HandleProbe(const VmId& aFrom,
                   const wire::Probe& aProbe,
                   Time aNow,
                   std::vector<SendToVm>& aOut);
  void HandleProbeReply(const VmId& aFrom,
                        const wire::ProbeReply& aReply,
                        Time aNow,
                        std::vector<SendToVm>& aOut);

  // Adds VMs to join the fleet through; seeds that are already known stay.
  void AddSeeds(std::vector<wire::Vm> aSeeds);
  // Sends the description of this VM to another one out of turn. It may be
  // lost.
  void SendDescription(const VmId& aTo, std::vector<SendToVm>& aOut);
  // Announces that this VM is leaving the fleet, or no longer is.
  void SetLeaving(bool aLeaving);

  // Alive and suspect VMs, this one included, sorted by id.
  std::vector<wire::Vm> ListLiveVms() const;
  // Number of live VMs, this one included.
  std::size_t CountLiveVms() const;
  // Calls the function with each live VM, this one included, in no particular
  // order. Unlike ListLiveVms() it copies nothing.
  template<typename Function>
  void VisitLiveVms(Function aFunction) const
  {
    aFunction(self_);
    for (const auto& [id, member] : members_) {
      if (member.state_ != MemberState::Dead) {
        aFunction(member.vm_);
      }
    }
  }
  // The VM as it last described itself, also if it is dead; null: unknown.
  const wire::Vm* Find(const VmId& aId) const;
  // True for this VM and for members that are alive or suspect.
  bool IsLive(const VmId& aId) const;
  // Up to `aCount` different live VMs other than this one, in random order.
  std::vector<VmId> ChooseRandomVms(std::size_t aCount);
  // The changes since the last call.
  std::vector<MemberChange> TakeChanges();
  // Time between two probes at the present size of the fleet.
  Duration ProbeInterval() const;

private:
  struct Member
  {
    wire::Vm vm_;
    MemberState state_ = MemberState::Alive;
    Time stateSince_; // when it entered this state
  };

  // A probe that has not been replied to yet.
  struct PendingProbe
  {
    VmId target_;
    Time sentAt_;
    // True if other VMs have been asked to probe the target, or are not to be.
    bool indirectRequested_ = false;
    VmId requester_; // VM for which the target is probed; empty: this one
    std::uint64_t requesterSequence_ = 0; // of that VM's own probe
    bool join_ = false;                   // asks for the complete member list
  };

  std::vector<VmId> ShuffleLiveMembers();
  void ProbeNextMember(Time aNow, std::vector<SendToVm>& aOut);
  bool HasLiveMember() const;
  void ProbeToJoin(Time aNow, std::vector<SendToVm>& aOut);
  void SendProbe(const VmId& aTo,
                 PendingProbe aPending,
                 std::vector<SendToVm>& aOut);
  void TickPendingProbes(Time aNow, std::vector<SendToVm>& aOut);
  void TickUnhealthyMembers(Time aNow);
  void HandleMemberNews(const wire::MemberNews& aNews, Time aNow);
  void SetState(Member& aMember, MemberState aState, Time aNow);
  void QueueNews(const Member& aMember);
  std::vector<wire::MemberNews> PickNews();
  void SendMemberList(const VmId& aTo,
                      std::uint64_t aSequence,
                      std::vector<SendToVm>& aOut) const;
  void CompareMemberCount(const VmId& aFrom, std::size_t aCount, Time aNow);
  void DelayPendingProbes(Time aNow);
  void TickMemberList(Time aNow, std::vector<SendToVm>& aOut);

  wire::Vm self_;
  std::vector<wire::Vm> seeds_;
  MembershipTiming timing_;
  std::mt19937_64 random_;
  std::map<VmId, Member> members_;                      // others than this VM
  std::map<std::uint64_t, PendingProbe> pendingProbes_; // by sequence
  std::set<VmId> unhealthy_; // suspect and dead members
  // Shuffled VMs that ChooseRandomVms has not used yet.
  std::vector<VmId> shuffledChoices_;
  std::vector<VmId> probeRound_; // members still to be probed in this round
  // Number of messages that are still to carry news of each VM.
  std::map<VmId, int> newsSendsLeft_;
  std::vector<MemberChange> changes_;
  std::uint64_t nextSequence_ = 1; // of the next probe
  Time nextProbeAt_;
  Time nextJoinProbeAt_;
  std::size_t joinProbes_ = 0;    // sent since this VM last had no live member
  std::optional<Time> startedAt_; // first tick
  Time tickedAt_;                 // last tick
  // A VM that knows more live members than this one, to be asked for its list.
  VmId largerMember_;
  Time nextListRequestAt_;
  bool joined_ = false; // another VM has sent the complete member list
};

} // namespace jaydoor
