#pragma once

// Simulates a fleet of control nodes, voters and non-voters, with their disks
// and links in virtual time. An operator stores and reads configurations at
// random, and the answers it gets are checked.
//
//   VoterWorld world(seed);
//   world.Run(5s);               // with random faults
//   world.RestartAll(1s);
//   world.Run(10s);
//   world.CheckEveryNodeReads();
//   world.Failures();            // empty if all checks have passed
//
// As in the daemon, a link queues a limited number of messages that it can't
// deliver until the receiver is back, and messages that tolerate loss are sent
// as datagrams, some of which are lost. Faults: one VM or all are killed, a
// disk is lost, a VM is frozen or isolated from all others. The same seed gives
// the same run.

#include "control/ControlNode.h"
#include "tests/Timeline.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace jaydoor::tests {

class VoterWorld : private Timeline
{
public:
  // The VMs with a data folder are to become voters; the first three of them
  // are seeds. The others have no data folder.
  explicit VoterWorld(std::uint64_t aSeed,
                      std::size_t aDataFolderCount = 3,
                      std::size_t aOtherCount = 2);

  using Timeline::Run;
  void StopFaults() { injectsFaults_ = false; }
  void StopOperator() { operatorStopped_ = true; }
  // The clocks of VMs that start later are set back by this time.
  void SetClocksBack(Duration aTime) { clockSetBack_ = aTime; }

  void Kill(const VmId& aVm);
  void Start(const VmId& aVm);
  // Erases the disk of a VM, which must be down.
  void WipeDisk(const VmId& aVm);
  // Kills all VMs, and starts each one again after `aDownTime` and up to
  // 300 ms more.
  void RestartAll(Duration aDownTime);
  // Starts a new VM with an empty data folder.
  void AddVm(const VmId& aVm, const ZoneId& aZone);
  // The VM is gone for good, with its disk.
  void Remove(const VmId& aVm);
  // The VM leaves for good: it is asked to stop, and is removed once it does.
  void Leave(const VmId& aVm);
  // Keeps all others from reaching the VM for a while.
  void IsolateFor(const VmId& aVm, Duration aTime);
  // The VM that leads and holds the lease; empty: none does.
  VmId LeaderVm() const;
  ZoneId ZoneOf(const VmId& aVm) const { return vms_.at(aVm).info_.zone(); }
  bool IsUp(const VmId& aVm) const { return vms_.at(aVm).up_; }
  const Raft& Consensus(const VmId& aVm) const
  {
    return *vms_.at(aVm).node_->Consensus();
  }
  // Delivers a message at once, as a link does that has kept it.
  void DeliverLate(const wire::ControlMessage& aMessage);
  // VMs that start later are given no seeds.
  void OmitSeeds() { givesSeeds_ = false; }

  // Checks that every node can read the newest configuration now. Runs the
  // simulation for 1 s per node.
  void CheckEveryNodeReads();
  const std::vector<std::string>& Failures() const { return failures_; }
  // The voters in the log of the first node that has a data folder and is up.
  std::vector<VmId> ListVoters() const;
  // Number of configurations that were reported as stored.
  std::size_t CountStored() const { return storedCount_; }
  // Calls the function with each message that is sent over a link or as a
  // datagram: sender, receiver, message.
  void SetObserver(std::function<void(const wire::Vm&,
                                      const wire::Vm&,
                                      const wire::ControlMessage&)> aObserver)
  {
    observer_ = std::move(aObserver);
  }
  // The highest version of the configuration on the VM.
  std::uint64_t DocumentVersion(const VmId& aVm) const
  {
    return vms_.at(aVm).node_->State().CurrentDocument().version();
  }
  // The highest version that was reported as stored.
  std::uint64_t HighestStored() const { return highestStored_; }
  std::vector<VmId> ListVms() const;
  // Number of VMs that are up, whose state is proven and that know of at least
  // one other live VM.
  std::size_t CountJoined() const;
  // Sets the size of the configurations that the operator stores.
  void SetDocumentBytes(std::size_t aBytes) { documentBytes_ = aBytes; }
  // Two servers of the database announce themselves, the first as its primary.
  void AnnounceDatabase(const DatabaseId& aDatabase);
  // A server of the database says to the VM that it leaves, or deregisters.
  // Returns the number of the call.
  std::uint64_t SayLeaving(const VmId& aVm, const ServerId& aServer);
  std::uint64_t Deregister(const VmId& aVm, const ServerId& aServer);
  // What the VM answered to such a call: whether it is recorded. None: no
  // answer yet.
  std::optional<bool> FindAnswer(std::uint64_t aCall) const;
  // Whether the server is in the control state of the VM.
  bool IsKnownAt(const VmId& aVm, const ServerId& aServer) const;
  // Whether the server is leaving by the control state of the VM.
  bool IsLeavingAt(const VmId& aVm, const ServerId& aServer) const;
  void Isolate(const VmId& aVm) { isolated_.insert(aVm); }
  void Rejoin(const VmId& aVm) { isolated_.erase(aVm); }
  // The primary of each announced database fails, and all VMs without a data
  // folder suspect it.
  void LosePrimaries();
  // The VM gives leases back that are revoked.
  void ReleaseLeases(const VmId& aVm) { releasingVms_.insert(aVm); }
  // Loses all messages with changes that are not an answer to a request.
  void LosePushes() { losesPushes_ = true; }

private:
  struct Vm
  {
    wire::Vm info_;
    bool hasDataFolder_ = false; // true: it is to become a voter
    bool isSeed_ = false;
    bool isFounder_ = true; // it may found the control state at its first start
    bool up_ = false;
    bool removed_ = false; // it will not come back
    Time frozenUntil_;
    std::uint64_t startCount_ = 0;
    std::uint64_t diskNumber_ = 0; // 0: it has no disk yet
    Time upSince_;                 // last start, or end of the last isolation
    RaftDisk savedState_;
    std::unique_ptr<ControlNode> node_;
  };

  // Messages from one VM to another; dropped when the sender is killed.
  struct MessageQueue
  {
    std::deque<wire::ControlMessage> messages_;
    Time openAt_;         // when the connection to the receiver is established
    Time lastDeliveryAt_; // of the last message; later ones don't overtake it
  };

  using LinkKey = std::pair<VmId, VmId>; // sender, receiver

  void RecordFailure(const std::string& aWhat);
  void StepNode(Vm& aVm, ControlEvent aEvent);
  void Perform(Vm& aVm, ControlAction& aAction);
  void Send(const VmId& aFrom, const VmId& aTo, wire::ControlMessage aMessage);
  void DeliverQueued(const LinkKey& aKey);
  void Deliver(const VmId& aTo, Time aTime, wire::ControlMessage aMessage);
  bool CanReach(const VmId& aFrom, const VmId& aTo) const;
  void TickNode(const VmId& aVm, std::uint64_t aStartCount);
  void AwaitStop(const VmId& aVm, Time aUntil);
  void EndIsolation(const VmId& aVm);
  void SendLeaseRequests(const VmId& aVm, std::uint64_t aStartCount);
  void RunOperator();
  void InjectFault();
  bool CanFail(const VmId& aVm) const;
  VmId ChooseRandomVm(bool aNeedsDataFolder);
  Duration RandomDuration(Duration aMin, Duration aMax);

  std::size_t dataFolderCount_ = 3;
  std::uint64_t nextDiskNumber_ = 1;
  std::mt19937_64 random_;
  std::map<VmId, Vm> vms_;
  std::map<LinkKey, MessageQueue> links_;
  std::set<VmId> isolated_;
  bool injectsFaults_ = true;
  bool operatorStopped_ = false;
  Duration clockSetBack_{};
  bool givesSeeds_ = true;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t nextOperatorCall_ = 1;
  // By operator call: the version that it stores, and the lowest version that
  // its read may return.
  std::map<std::uint64_t, std::uint64_t> storeVersions_;
  std::map<std::uint64_t, std::uint64_t> readMinVersions_;
  std::uint64_t highestStored_ = 0; // highest version reported as stored
  std::size_t storedCount_ = 0;
  std::size_t readCount_ = 0;
  std::vector<std::string> failures_;
  std::function<
    void(const wire::Vm&, const wire::Vm&, const wire::ControlMessage&)>
    observer_;
  bool losesPushes_ = false;
  std::set<DatabaseId> databases_;
  std::map<std::uint64_t, bool> announcementAnswers_; // by call
  bool primariesLost_ = false;
  std::set<VmId> releasingVms_;
  std::size_t documentBytes_ = 0;
  std::set<LinkKey> requestedDeltas_; // sender and receiver of the request
};

} // namespace jaydoor::tests
