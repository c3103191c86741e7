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
  void StopFaults() { faults_ = false; }

  void Kill(const VmId& aVm);
  void Start(const VmId& aVm);
  void Wipe(const VmId& aVm); // its disk; it has to be down
  // Kills all, and starts each up to 300 ms after the time is over.
  void RestartAll(Duration aDown);
  void NameNoSeeds() { namesSeeds_ = false; } // to those that start later

  // Every node that is up can read the newest configuration now.
  void CheckServing();
  const std::vector<std::string>& Failures() const { return failures_; }
  // As the first node that votes knows them.
  std::vector<VmId> Voters() const;
  std::size_t Stored() const { return storedCount_; }

private:
  struct Vm
  {
    wire::Vm info_;
    bool votes_ = false; // has a data folder
    bool seed_ = false;
    bool up_ = false;
    Time frozenUntil_;
    std::uint64_t life_ = 0; // starts so far
    std::uint64_t disk_ = 0; // number of its disk
    Time upSince_;
    RaftDisk saved_;
    std::unique_ptr<ControlNode> node_;
  };

  // What one run of a VM has for another VM.
  struct Queue
  {
    std::deque<wire::ControlMessage> kept_;
    Time openFrom_; // the connection is there
    Time lastAt_;   // messages stay in order
  };

  using LinkKey = std::pair<VmId, VmId>;

  void Fail(const std::string& aWhat);
  void Step(Vm& aVm, ControlEvent aEvent);
  void Perform(Vm& aVm, ControlAction& aAction);
  void Send(const VmId& aFrom, const VmId& aTo, wire::ControlMessage aMessage);
  void Flush(const LinkKey& aKey);
  bool Reaches(const VmId& aFrom, const VmId& aTo) const;
  void Tick(const VmId& aVm, std::uint64_t aLife);
  void AskLeases(const VmId& aVm, std::uint64_t aLife);
  void Operate();
  void Disturb();
  bool MayLose(const VmId& aVm) const;
  VmId AnyVm(bool aVoter);
  Duration Between(Duration aLeast, Duration aMost);

  std::size_t disks_ = 3;
  std::uint64_t nextDisk_ = 1;
  std::mt19937_64 random_;
  std::map<VmId, Vm> vms_;
  std::map<LinkKey, Queue> links_;
  std::set<VmId> cut_;
  bool faults_ = true;
  bool namesSeeds_ = true;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t nextOperator_ = 1;
  std::map<std::uint64_t, std::uint64_t> stores_; // version by operator
  std::map<std::uint64_t, std::uint64_t> reads_;  // least version by operator
  std::uint64_t stored_ = 0;                      // highest acknowledged
  std::size_t storedCount_ = 0;
  std::size_t readCount_ = 0;
  std::vector<std::string> failures_;
};

} // namespace jaydoor::tests
