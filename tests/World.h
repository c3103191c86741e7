#pragma once

// Many nodes of the decision code in one process under virtual time, with
// small fakes for links, disks and database servers.
//
//   World world(config);
//   world.Run(2s);
//   auto id = world.Send("vm-a1", request);
//   world.Run(500ms);
//   world.AnswerOf(id);
//
// The same seed gives the same run. Faults: kill, freeze, cut, silence, wipe.

#include "control/ControlNode.h"
#include "tests/FakeServer.h"
#include "traffic/TrafficNode.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace jaydoor::tests {

struct WorldConfig
{
  std::uint64_t seed_ = 1;
  std::vector<std::size_t> vmsPerZone_{ 2, 1, 1 };
  std::size_t databases_ = 1; // named db1, db2, ... with three servers each
  unsigned slots_ = 3;
  unsigned connections_ = 20;
  Duration work_ = 1ms;
  Duration lag_ = 5ms;
  Duration zoneDelay_ = 750us; // one way; within a zone a tenth of it
  Duration connect_ = 10ms;
};

class World
{
public:
  explicit World(WorldConfig aConfig);

  void Run(Duration aTime);
  Time Now() const { return now_; }

  // A caller's statement; its answer comes with time.
  RequestId Send(const VmId& aVm, const CallerRequest& aRequest);
  // None: no answer yet, or the VM died.
  std::optional<CallerAnswer> AnswerOf(RequestId aId) const;
  // Runs until the answer is there, or the VM is dead, or the time is over.
  CallerAnswer Execute(const VmId& aVm, const CallerRequest& aRequest);
  std::optional<wire::RuleOutcome> ChangeRules(const VmId& aVm,
                                               const wire::RuleChange& aChange);

  void Kill(const std::string& aName);
  void Start(const std::string& aName);
  void Freeze(const std::string& aName);
  void Thaw(const std::string& aName);
  void Wipe(const std::string& aName);
  void Leave(const std::string& aName);
  void Drain(const std::string& aName);
  void CutOff(const ZoneId& aZone);
  void Cut(const ZoneId& aZone, const ZoneId& aOther);
  void Heal();
  // Connections open now swallow everything; new ones work.
  void Silence(const ServerId& aServer);
  // Connections open now are reset; what they carried may run all the same.
  void Reset(const ServerId& aServer);

  ServerId FindPrimary(const DatabaseId& aDatabase) const;
  const FakeServer& Server(const ServerId& aServer) const;
  const ControlNode& Control(const VmId& aVm) const;
  const TrafficNode& Traffic(const VmId& aVm) const;
  FleetViewPtr ViewOf(const VmId& aVm) const;
  std::vector<VmId> Vms() const;
  std::vector<ServerId> Servers() const;
  bool IsUp(const std::string& aName) const;
  // Versions of the rules that went back on some VM, since the start.
  std::size_t RulesWentBack() const { return rulesWentBack_; }
  // All actions so far, folded into one number.
  std::uint64_t Fingerprint() const { return fingerprint_; }

private:
  struct Connection
  {
    ConnectionId id_ = 0;
    VmId vm_;
    ServerId server_;
    std::uint64_t life_ = 0; // of the VM that opened it
    bool silent_ = false;
  };

  struct VmState
  {
    wire::Vm info_;
    ZoneId zone_;
    bool votes_ = false;
    bool up_ = false;
    bool frozen_ = false;
    std::uint64_t life_ = 0; // starts so far
    std::uint64_t disk_ = 1; // number of its disk
    RaftDisk saved_;
    std::unique_ptr<ControlNode> control_;
    std::unique_ptr<TrafficNode> traffic_;
    FleetViewPtr view_;
    std::uint64_t rulesSeen_ = 0;
    std::vector<std::function<void()>> held_; // events while frozen
  };

  struct Event
  {
    Time at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at_, aOther.order_) < std::tie(at_, order_);
    }
  };

  void At(Duration aAfter, std::function<void()> aRun);
  void Boot(VmState& aVm);
  void StepControl(VmState& aVm, ControlEvent aEvent);
  void StepTraffic(VmState& aVm, TrafficEvent aEvent);
  void Deliver(VmState& aVm, std::uint64_t aLife, std::function<void()> aRun);
  void TickControl(const VmId& aVm, std::uint64_t aLife);
  void TickTraffic(const VmId& aVm, std::uint64_t aLife);
  void Perform(VmState& aVm, ControlAction& aAction);
  void Perform(VmState& aVm, TrafficAction& aAction);
  void Ask(VmState& aVm, ConnectionId aId, const UpstreamRequest& aRequest);
  void Lose(std::uint64_t aKey, Duration aAfter);
  void TickServer(const ServerId& aServer);
  static void DeliverServer(FakeServer& aServer,
                            std::uint64_t aLife,
                            std::function<void()> aRun);
  bool Reaches(const ZoneId& aFrom, const ZoneId& aTo) const;
  Duration DelayBetween(const ZoneId& aFrom, const ZoneId& aTo) const;
  static std::uint64_t KeyOf(const VmState& aVm, ConnectionId aId);
  void Fold(std::uint64_t aValue);

  WorldConfig config_;
  Time now_{ 1s };
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<VmId, VmState> vms_;
  std::map<ServerId, FakeServer> servers_;
  std::map<std::uint64_t, Connection> connections_; // by KeyOf
  std::map<RequestId, CallerAnswer> answers_;
  std::map<RequestId, VmId> askedAt_;
  std::map<std::uint64_t, std::optional<wire::RuleOutcome>> operators_;
  RequestId nextRequest_ = 1;
  std::set<std::pair<ZoneId, ZoneId>> cuts_;
  std::size_t rulesWentBack_ = 0;
  std::uint64_t fingerprint_ = 0;
};

} // namespace jaydoor::tests
