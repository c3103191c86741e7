#include "tests/VoterWorld.h"

#include "base/Compress.h"
#include "tests/DiskModel.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

constexpr std::size_t kMaxQueuedMessages = 64; // per link

// Time that a VM is given to catch up after a start, a freeze or an isolation.
constexpr Duration kCatchUpTime = 4s;

constexpr Duration kLeaseRequestInterval = 400ms;
constexpr const char* kZones[] = { "zone-a", "zone-b", "zone-c" };

} // namespace

VoterWorld::VoterWorld(std::uint64_t aSeed, std::size_t aDataFolderCount)
  : Timeline(Time(1000s))
  , disks_(aDataFolderCount)
  , random_(aSeed)
{
  for (std::size_t i = 0; i < disks_ + 2; i++) {
    Vm vm;
    vm.info_.set_id(fmt::format("10.0.0.{}", i + 1));
    vm.info_.set_host(vm.info_.id());
    vm.info_.set_zone(kZones[i % 3]);
    vm.info_.set_control_port(1);
    vm.votes_ = i < disks_;
    vm.seed_ = i < 3;
    vms_[vm.info_.id()] = std::move(vm);
  }
  for (auto& [id, vm] : vms_) {
    At(now_ + Between(0ms, 300ms), [this, id = id] { Start(id); });
  }
  At(now_ + 1s, [this] { Operate(); });
  At(now_ + 2s, [this] { Disturb(); });
}

// ---- Randomness, failed checks and voters

Duration
VoterWorld::Between(Duration aMin, Duration aMax)
{
  const auto spread = static_cast<std::uint64_t>((aMax - aMin).count());
  return aMin + Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
}

void
VoterWorld::Fail(const std::string& aWhat)
{
  failures_.push_back(fmt::format(
    "{} ms: {}", CountMs(now_.time_since_epoch()) - 1'000'000, aWhat));
}

std::vector<VmId>
VoterWorld::Voters() const
{
  for (const auto& [id, vm] : vms_) {
    if (vm.up_ && vm.votes_) {
      std::vector<VmId> voters;
      for (const auto& voter : vm.node_->Consensus()->Voters().voters()) {
        voters.push_back(VmOfVoter(voter));
      }
      std::sort(voters.begin(), voters.end());
      return voters;
    }
  }
  return {};
}

// ---- VMs

void
VoterWorld::Start(const VmId& aVm)
{
  Vm& vm = vms_.at(aVm);
  if (vm.up_) {
    return;
  }
  vm.up_ = true;
  vm.life_++;
  vm.upSince_ = now_;
  vm.frozenUntil_ = Time{};
  vm.info_.set_incarnation(
    static_cast<std::uint64_t>(CountMs(now_.time_since_epoch())));
  const bool isFirstStart = vm.life_ == 1;
  ControlConfig config;
  config.seed_ = random_();
  config.voterCount_ = disks_;
  config.mayFound_ = isFirstStart;
  config.outsidePromotion_ = true;
  config.idsAreHosts_ = true;
  for (const auto& [id, other] : vms_) {
    if (other.seed_ && (isFirstStart || namesSeeds_)) {
      config.seeds_.push_back(other.info_);
      config.voterVms_.push_back(id);
    }
    links_.erase({ aVm, id });
    Queue& from = links_[{ id, aVm }];
    from.openFrom_ = now_ + Between(1ms, 450ms);
    At(from.openFrom_, [this, key = LinkKey{ id, aVm }] { Flush(key); });
  }
  std::optional<RaftDisk> disk;
  if (vm.votes_) {
    if (vm.disk_ == 0) {
      vm.disk_ = nextDisk_++;
    }
    vm.info_.set_voter(fmt::format("{}/{}", aVm, vm.disk_));
    disk = vm.saved_;
  }
  config.self_ = vm.info_;
  vm.node_ = std::make_unique<ControlNode>(config, std::move(disk));
  const std::uint64_t startCount = vm.life_;
  At(now_, [this, aVm, startCount] { Tick(aVm, startCount); });
  if (!vm.votes_) {
    AskLeases(aVm, startCount);
  }
}

void
VoterWorld::Kill(const VmId& aVm)
{
  vms_.at(aVm).up_ = false;
  for (const auto& [id, vm] : vms_) {
    links_.erase({ aVm, id });
    links_[{ id, aVm }].openFrom_ = Time::max();
  }
}

void
VoterWorld::Wipe(const VmId& aVm)
{
  vms_.at(aVm).saved_ = RaftDisk{};
  vms_.at(aVm).disk_ = 0;
}

void
VoterWorld::RestartAll(Duration aDownTime)
{
  for (auto& [id, vm] : vms_) {
    Kill(id);
    At(now_ + aDownTime + Between(0ms, 300ms), [this, id = id] { Start(id); });
  }
}

void
VoterWorld::Tick(const VmId& aVm, std::uint64_t aStartCount)
{
  Vm& vm = vms_.at(aVm);
  if (!vm.up_ || vm.life_ != aStartCount) {
    return;
  }
  if (now_ < vm.frozenUntil_) {
    At(vm.frozenUntil_, [this, aVm, aStartCount] { Tick(aVm, aStartCount); });
    return;
  }
  Step(vm, TakeControlTick{});
  At(vm.node_->NextWake(now_),
     [this, aVm, aStartCount] { Tick(aVm, aStartCount); });
}

// Requests leases at regular intervals, as the traffic thread of a VM with
// callers does.
void
VoterWorld::AskLeases(const VmId& aVm, std::uint64_t aStartCount)
{
  Vm& vm = vms_.at(aVm);
  if (!vm.up_ || vm.life_ != aStartCount) {
    return;
  }
  if (now_ >= vm.frozenUntil_) {
    wire::LeaseRequest request;
    request.set_sent_us(now_.time_since_epoch().count());
    request.set_incarnation(aStartCount);
    Step(vm, TakeLeaseRequest{ request });
  }
  At(now_ + kLeaseRequestInterval,
     [this, aVm, aStartCount] { AskLeases(aVm, aStartCount); });
}

void
VoterWorld::Step(Vm& aVm, ControlEvent aEvent)
{
  ControlActions actions;
  aVm.node_->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    SaveTo(aVm.saved_, action);
    Perform(aVm, action);
  }
}

void
VoterWorld::Perform(Vm& aVm, ControlAction& aAction)
{
  const VmId id = aVm.info_.id();
  if (auto* send = std::get_if<SendVm>(&aAction)) {
    Send(id, send->to_, std::move(send->message_));
  } else if (auto* answer = std::get_if<AnswerDocument>(&aAction)) {
    const auto found = stores_.find(answer->operator_);
    if (answer->stored_ && found != stores_.end()) {
      stored_ = std::max(stored_, found->second);
      storedCount_++;
    }
  } else if (auto* read = std::get_if<AnswerDocumentRead>(&aAction)) {
    const auto found = reads_.find(read->operator_);
    if (read->body_ && found != reads_.end()) {
      readCount_++;
      const std::uint64_t version = std::stoull(*read->body_);
      if (version < found->second) {
        Fail(fmt::format(
          "{} read version {} after {}", id, version, found->second));
      }
    }
  }
}

// ---- Links

bool
VoterWorld::Reaches(const VmId& aFrom, const VmId& aTo) const
{
  return !cut_.contains(aFrom) && !cut_.contains(aTo);
}

void
VoterWorld::Send(const VmId& aFrom,
                 const VmId& aTo,
                 wire::ControlMessage aMessage)
{
  Queue& queue = links_[{ aFrom, aTo }];
  if (queue.kept_.size() < kMaxQueuedMessages) {
    queue.kept_.push_back(std::move(aMessage));
  }
  Flush({ aFrom, aTo });
}

void
VoterWorld::Flush(const LinkKey& aKey)
{
  const auto& [from, to] = aKey;
  Queue& queue = links_[aKey];
  if (!vms_.at(to).up_ || now_ < queue.openFrom_ || !Reaches(from, to)) {
    return;
  }
  for (auto& message : queue.kept_) {
    queue.lastAt_ = std::max(queue.lastAt_, now_ + Between(200us, 2ms));
    const std::uint64_t startCount = vms_.at(to).life_;
    const auto deliver = std::make_shared<Task>();
    *deliver = [this,
                id = to,
                startCount,
                deliver = std::weak_ptr<Task>(deliver),
                message = std::move(message)] {
      Vm& vm = vms_.at(id);
      if (!vm.up_ || vm.life_ != startCount) {
        return;
      }
      if (now_ < vm.frozenUntil_) {
        At(vm.frozenUntil_, [task = deliver.lock()] { (*task)(); });
        return;
      }
      Step(vm, TakeControlMessage{ message });
    };
    At(queue.lastAt_, [deliver] { (*deliver)(); });
  }
  queue.kept_.clear();
}

// ---- The operator

VmId
VoterWorld::AnyVm(bool aVoter)
{
  std::vector<VmId> candidates;
  for (const auto& [id, vm] : vms_) {
    if (!aVoter || vm.votes_) {
      candidates.push_back(id);
    }
  }
  return candidates[random_() % candidates.size()];
}

void
VoterWorld::Operate()
{
  At(now_ + Between(20ms, 300ms), [this] { Operate(); });
  Vm& vm = vms_.at(AnyVm(true));
  if (!vm.up_ || now_ < vm.frozenUntil_) {
    return;
  }
  const std::uint64_t id = nextOperator_++;
  if (random_() % 2 == 0) {
    stores_[id] = nextVersion_++;
    wire::Document document;
    document.set_version(stores_[id]);
    document.set_body(Compress(std::to_string(stores_[id])));
    Step(vm, TakeDocument{ id, std::move(document) });
  } else {
    reads_[id] = stored_;
    Step(vm, TakeDocumentRead{ id });
  }
}

void
VoterWorld::CheckServing()
{
  for (auto& [id, vm] : vms_) {
    const std::size_t readsBefore = readCount_;
    const std::uint64_t call = nextOperator_++;
    reads_[call] = stored_;
    Step(vm, TakeDocumentRead{ call });
    Run(1s);
    if (readCount_ == readsBefore) {
      Fail(fmt::format("{} can't read the configuration", id));
    }
  }
}

// ---- Faults

// True if all other voters are up and have had time to catch up, so that at
// most one of them is missing at a time.
bool
VoterWorld::MayLose(const VmId& aVm) const
{
  return std::all_of(vms_.begin(), vms_.end(), [&](const auto& aEntry) {
    const auto& [id, vm] = aEntry;
    const bool isCaughtUp =
      vm.up_ && !cut_.contains(id) &&
      now_ - std::max(vm.upSince_, vm.frozenUntil_) >= kCatchUpTime;
    return !vm.votes_ || id == aVm || isCaughtUp;
  });
}

void
VoterWorld::Disturb()
{
  At(now_ + Between(200ms, 3s), [this] { Disturb(); });
  if (!faults_) {
    return;
  }
  const VmId id = AnyVm(random_() % 4 != 0);
  const std::uint64_t kind = random_() % 10;
  if (kind == 0) {
    RestartAll(Between(100ms, 2s));
    return;
  }
  if (!vms_.at(id).up_ || !MayLose(id)) {
    return;
  }
  if (kind < 4) {
    Kill(id);
    At(now_ + Between(50ms, 4s), [this, id] { Start(id); });
  } else if (kind < 7) {
    Kill(id);
    Wipe(id);
    At(now_ + Between(50ms, 4s), [this, id] { Start(id); });
  } else if (kind < 8) {
    vms_.at(id).frozenUntil_ = now_ + Between(50ms, 3s);
  } else {
    cut_.insert(id); // from all others
    At(now_ + Between(100ms, 4s), [this, id] {
      cut_.erase(id);
      vms_.at(id).upSince_ = now_;
      for (const auto& [other, vm] : vms_) {
        Flush({ id, other });
        Flush({ other, id });
      }
    });
  }
}

} // namespace jaydoor::tests
