#pragma once

// Control nodes, voters and others, under virtual time with their disks and
// links, an operator that stores and reads configurations at random, and the
// checks of what it is told.
//
//   VoterWorld world(seed);
//   world.Run(5s);         // random faults, a few at a time
//   world.RestartAll(1s);
//   world.Run(10s);
//   world.CheckServing();
//   world.Failures();      // empty if every promise held
//
// Links keep what they can't deliver, a bounded number of messages, until the
// receiver is back, as those of the daemon do. Faults: kills of one or all,
// lost disks, freezes, cuts. The same seed gives the same run.

#include "control/ControlNode.h"
#include "tests/Timeline.h"

#include <deque>
#include <map>
#include <random>

namespace jaydoor::tests {

class VoterWorld : private Timeline
{
public:
  // `aDisks`: VMs with a data folder, three of them seeds; all are to vote.
  explicit VoterWorld(std::uint64_t aSeed, std::size_t aDisks = 3);

  using Timeline::Run;
  void StopFaults() { injectsFaults_ = false; }

  void Kill(const VmId& aVm);
  void Start(const VmId& aVm);
  void WipeDisk(const VmId& aVm); // its disk; it has to be down
  // Kills all, and starts each up to 300 ms after the time is over.
  void RestartAll(Duration aDown);
  void OmitSeeds() { givesSeeds_ = false; } // to those that start later

  // Every node that is up can read the newest configuration now.
  void CheckEveryNodeReads();
  const std::vector<std::string>& Failures() const { return failures_; }
  // As the first node that votes knows them.
  std::vector<VmId> ListVoters() const;
  std::size_t CountStored() const { return storedCount_; }

private:
  struct Vm
  {
    wire::Vm info_;
    bool hasDataFolder_ = false; // has a data folder
    bool isSeed_ = false;
    bool up_ = false;
    Time frozenUntil_;
    std::uint64_t startCount_ = 0; // starts so far
    std::uint64_t diskNumber_ = 0; // number of its disk
    Time upSince_;
    RaftDisk savedState_;
    std::unique_ptr<ControlNode> node_;
  };

  // What one run of a VM has for another VM.
  struct MessageQueue
  {
    std::deque<wire::ControlMessage> messages_;
    Time openAt_;         // the connection is there
    Time lastDeliveryAt_; // messages stay in order
  };

  using LinkKey = std::pair<VmId, VmId>;

  void RecordFailure(const std::string& aWhat);
  void StepNode(Vm& aVm, ControlEvent aEvent);
  void Perform(Vm& aVm, ControlAction& aAction);
  void Send(const VmId& aFrom, const VmId& aTo, wire::ControlMessage aMessage);
  void DeliverQueued(const LinkKey& aKey);
  bool CanReach(const VmId& aFrom, const VmId& aTo) const;
  void TickNode(const VmId& aVm, std::uint64_t aLife);
  void SendLeaseRequests(const VmId& aVm, std::uint64_t aLife);
  void RunOperator();
  void InjectFault();
  bool CanFail(const VmId& aVm) const;
  VmId ChooseRandomVm(bool aVoter);
  Duration RandomDuration(Duration aLeast, Duration aMost);

  std::size_t dataFolderCount_ = 3;
  std::uint64_t nextDiskNumber_ = 1;
  std::mt19937_64 random_;
  std::map<VmId, Vm> vms_;
  std::map<LinkKey, MessageQueue> links_;
  std::set<VmId> isolated_;
  bool injectsFaults_ = true;
  bool givesSeeds_ = true;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t nextOperator_ = 1;
  std::map<std::uint64_t, std::uint64_t> storeVersions_; // version by operator
  std::map<std::uint64_t, std::uint64_t>
    readMinVersions_;               // least version by operator
  std::uint64_t highestStored_ = 0; // highest acknowledged
  std::size_t storedCount_ = 0;
  std::size_t readCount_ = 0;
  std::vector<std::string> failures_;
};

} // namespace jaydoor::tests
