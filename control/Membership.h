#pragma once

// Which VMs are alive: probes of random members, indirect probes before a
// suspicion, incarnations against false ones, news carried along (SWIM).
//
// The load of a VM does not grow with the fleet: one probe an interval, and
// the interval grows with the fleet up to a bound.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jaydoor {

enum class MemberState : std::uint8_t
{
  Alive,
  Suspect, // no answer; counts as alive until it is dead
  Dead,
};

struct MembershipTiming
{
  Duration minProbeInterval_ = 100ms; // between probes in a small fleet
  Duration maxProbeInterval_ = 1s;    // in a large one
  Duration intervalPerMember_ = 5ms;  // interval for each member
  Duration replyTimeout_ = 150ms;     // then others are asked to probe
  Duration indirectTimeout_ = 250ms;  // then it is suspected
  Duration suspectTimeout_ = 600ms;   // then it is dead
  Duration forgetDelay_ = 60s;        // then its record is dropped
};

// A message to a VM; the shell resolves the id to an address.
struct SendToVm
{
  VmId to_;
  wire::ControlMessage message_;
};

struct MemberChange
{
  wire::Vm vm_;
  MemberState state_ = MemberState::Alive;
};

class Membership
{
public:
  // `aSeeds`: VMs to join through, with id, host and ports.
  Membership(wire::Vm aSelf,
             std::vector<wire::Vm> aSeeds,
             MembershipTiming aTiming,
             std::uint64_t aSeed);

  void Tick(Time aNow, std::vector<SendToVm>& aOut);
  void HandleProbe(const VmId& aFrom,
                   const wire::Probe& aProbe,
                   Time aNow,
                   std::vector<SendToVm>& aOut);
  void HandleProbeReply(const VmId& aFrom,
                        const wire::ProbeReply& aReply,
                        Time aNow,
                        std::vector<SendToVm>& aOut);

  // Other VMs to join through, beside those that are known.
  void AddSeeds(std::vector<wire::Vm> aSeeds);
  // Tells the others that this VM leaves, or stays after all.
  void SetLeaving(bool aOn);

  // Alive and suspect VMs with this one, by id.
  std::vector<wire::Vm> ListLiveVms() const;
  bool IsLive(const VmId& aId) const;
  // Up to `aCount` random live VMs other than this one.
  std::vector<VmId> ChooseRandomVms(std::size_t aCount);
  // Changes since the last call.
  std::vector<MemberChange> TakeChanges();
  Duration ProbeInterval() const;

private:
  struct Member
  {
    wire::Vm vm_;
    MemberState state_ = MemberState::Alive;
    Time stateSince_;
  };

  // A probe that has no answer yet.
  struct PendingProbe
  {
    VmId target_;
    Time sentAt_;
    bool indirectRequested_ = false; // others have been asked
    VmId requester_;                 // who wants to know, if not this VM
    std::uint64_t requesterSequence_ = 0;
  };

  std::vector<VmId> ShuffleLiveMembers();
  void ProbeNextMember(Time aNow, std::vector<SendToVm>& aOut);
  void ProbeMissingSeed(Time aNow, std::vector<SendToVm>& aOut);
  void SendProbe(const VmId& aTo,
                 PendingProbe aPending,
                 std::vector<SendToVm>& aOut);
  void TickPendingProbes(Time aNow, std::vector<SendToVm>& aOut);
  void TickUnhealthyMembers(Time aNow);
  void HandleMemberNews(const wire::MemberNews& aNews, Time aNow);
  void SetState(Member& aMember, MemberState aState, Time aNow);
  void QueueNews(const Member& aMember);
  std::vector<wire::MemberNews> PickNews(bool aAll);

  wire::Vm self_;
  std::vector<wire::Vm> seeds_;
  MembershipTiming timing_;
  std::mt19937_64 random_;
  std::map<VmId, Member> members_;                      // others than this VM
  std::map<std::uint64_t, PendingProbe> pendingProbes_; // by sequence
  std::set<VmId> unhealthy_;          // members that are suspect or dead
  std::vector<VmId> shuffledChoices_; // shuffled, for ChooseRandom
  std::vector<VmId> probeRound_;      // members left to be probed in this round
  std::map<VmId, int> newsSendsLeft_; // VMs to tell of, and how often still
  std::vector<MemberChange> changes_;
  std::uint64_t nextSequence_ = 1;
  Time nextProbeAt_;
  Time nextSeedProbeAt_;
};

} // namespace jaydoor
