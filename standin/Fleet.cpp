#include "standin/Fleet.h"

#include "daemon/Clock.h"
#include "standin/Process.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <unistd.h>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace jaydoor::standin {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr Duration kPoll = 20ms;
constexpr Duration kKeysLimit = 60s; // far above what it takes, also under load
constexpr std::size_t kRelayOffset = 100;  // third part of a relay's address
constexpr std::size_t kServerOffset = 100; // fourth part of a server's

} // namespace

Fleet::Fleet(FleetConfig aConfig)
  : config_(std::move(aConfig))
{
  // Fleets of several processes, or of one, do not meet.
  static int made = 0;
  net_ = fmt::format("127.{}", 16 + (getpid() * 2 + made++) % 200);
  fs::create_directories(config_.folder_);
  if (config_.relay_) {
    const std::string net = net_;
    network_ = std::make_unique<Network>([net](const std::string& aAddress) {
      if (!aAddress.starts_with(net + ".")) {
        return -1;
      }
      return std::stoi(aAddress.substr(net.size() + 1)) - 1;
    });
    network_->SetDelay(config_.zoneDelay_, Duration::zero());
  }
  AddVms();
  AddServers();
}

Fleet::~Fleet()
{
  for (auto& [name, member] : members_) {
    member.process_.reset();
  }
}

std::string
Fleet::AddressOf(std::size_t aZone, std::size_t aNumber, bool aHost)
{
  const bool relayed = aHost && config_.relay_;
  return fmt::format(
    "{}.{}.{}", net_, aZone + 1 + (relayed ? kRelayOffset : 0), aNumber);
}

std::string
Fleet::WriteFile(const std::string& aName, const std::string& aText)
{
  std::string path = config_.folder_ + "/" + aName;
  std::ofstream(path) << aText << "\n";
  return path;
}

void
Fleet::AddVms()
{
  const std::string secret = WriteFile("operator-secret", secret_);
  const std::string keys =
    WriteFile("session-keys", "session-key-of-the-test-fleet");
  std::vector<std::string> linkFlags{ "--plain-links", "on" };
  if (config_.keys_) {
    const std::string file = config_.folder_ + "/link-keys";
    Process({ config_.binaries_ + "/ctl/jaydoorctl", "keys" }, file)
      .WaitForEnd(kKeysLimit);
    linkFlags = { "--link-key-file", file };
  }
  std::string peers;
  std::string voters;
  for (std::size_t zone = 0; zone < config_.vmsPerZone_.size(); zone++) {
    for (std::size_t i = 0; i < config_.vmsPerZone_[zone]; i++) {
      Member member;
      member.name_ =
        fmt::format("vm-{}{}", static_cast<char>('a' + zone), i + 1);
      member.zone_ = zone;
      member.vm_ = true;
      member.bind_ = AddressOf(zone, i + 1, false);
      member.host_ = AddressOf(zone, i + 1, true);
      peers += fmt::format("{}{}={}:{}:{}",
                           peers.empty() ? "" : ",",
                           member.name_,
                           member.host_,
                           kControlPort,
                           kTrafficPort);
      if (i == 0) {
        voters += (voters.empty() ? "" : ",") + member.name_;
        member.dataPath_ = config_.folder_ + "/" + member.name_ + ".data";
      }
      members_[member.name_] = member;
    }
  }
  for (auto& [name, member] : members_) {
    member.arguments_ = {
      config_.binaries_ + "/daemon/jaydoord",
      "--vm",
      name,
      "--zone",
      fmt::format("zone-{}", static_cast<char>('a' + member.zone_)),
      "--host",
      member.host_,
      "--bind",
      member.bind_,
      "--caller-port",
      std::to_string(kCallerPort),
      "--admin-port",
      std::to_string(kAdminPort),
      "--control-port",
      std::to_string(kControlPort),
      "--traffic-port",
      std::to_string(kTrafficPort),
      "--peers",
      peers,
      "--voters",
      voters,
      "--session-key-file",
      keys,
      "--operator-secret-file",
      secret,
    };
    member.arguments_.insert(
      member.arguments_.end(), linkFlags.begin(), linkFlags.end());
    if (!member.dataPath_.empty()) {
      member.arguments_.insert(member.arguments_.end(),
                               { "--data-folder", member.dataPath_ });
    }
    member.arguments_.insert(member.arguments_.end(),
                             config_.vmFlags_.begin(),
                             config_.vmFlags_.end());
    if (network_) {
      for (const auto port :
           { kCallerPort, kAdminPort, kControlPort, kTrafficPort }) {
        network_->Add(member.host_, member.bind_, port);
      }
    }
  }
}

void
Fleet::AddServers()
{
  const std::size_t zones = config_.vmsPerZone_.size();
  for (std::size_t d = 0; d < config_.databases_.size(); d++) {
    for (std::size_t i = 0; i < 3; i++) {
      Member member;
      member.name_ = fmt::format("{}-{}", config_.databases_[d], i + 1);
      member.zone_ = (i + d) % zones;
      member.bind_ = AddressOf(member.zone_, kServerOffset + 3 * d + i, false);
      member.host_ = AddressOf(member.zone_, kServerOffset + 3 * d + i, true);
      member.dataPath_ = config_.folder_ + "/" + member.name_ + ".log.data";
      std::string announce;
      for (const auto& [name, vm] : members_) {
        if (vm.vm_) {
          announce += fmt::format(
            "{}{}:{}", announce.empty() ? "" : ",", vm.host_, kAdminPort);
        }
      }
      member.arguments_ = {
        config_.binaries_ + "/standin/jaydoor-standin",
        "--server",
        member.name_,
        "--database",
        config_.databases_[d],
        "--zone",
        fmt::format("zone-{}", static_cast<char>('a' + member.zone_)),
        "--host",
        member.host_,
        "--bind",
        member.bind_,
        "--port",
        std::to_string(kServerPort),
        "--slots",
        std::to_string(config_.slots_),
        "--connections",
        std::to_string(config_.connections_),
        "--work-us",
        std::to_string(config_.workUs_),
        "--lag-ms",
        std::to_string(config_.lagMs_),
        "--announce-to",
        announce,
        "--data-file",
        member.dataPath_,
      };
      if (!config_.sync_) {
        member.arguments_.emplace_back("--no-sync");
      }
      if (network_) {
        network_->Add(member.host_, member.bind_, kServerPort);
      }
      members_[member.name_] = member;
    }
  }
}

void
Fleet::Start()
{
  if (network_) {
    network_->Start();
  }
  for (auto& [name, member] : members_) {
    Run(name);
  }
}

bool
Fleet::WaitUntilReady(Duration aLimit)
{
  const Time until = ReadClock() + aLimit;
  for (const auto& vm : Vms()) {
    for (const auto& database : config_.databases_) {
      CallerRequest request;
      request.database_ = database;
      request.statement_ = "put ready " + vm;
      while (Execute(vm, request).outcome_ != Outcome::Done) {
        if (ReadClock() >= until) {
          return false;
        }
        std::this_thread::sleep_for(kPoll);
      }
    }
  }
  return true;
}

// ---- Processes

void
Fleet::Run(const std::string& aName)
{
  Member& member = members_.at(aName);
  if (!member.process_) {
    member.process_ = std::make_shared<Process>(
      member.arguments_, config_.folder_ + "/" + aName + ".log");
    member.frozen_ = false;
  }
}

void
Fleet::Kill(const std::string& aName)
{
  members_.at(aName).process_.reset();
}

void
Fleet::Freeze(const std::string& aName)
{
  Signal(aName, SIGSTOP);
  members_.at(aName).frozen_ = true;
}

void
Fleet::Thaw(const std::string& aName)
{
  Signal(aName, SIGCONT);
  members_.at(aName).frozen_ = false;
}

void
Fleet::Signal(const std::string& aName, int aSignal)
{
  const Member& member = members_.at(aName);
  if (member.process_) {
    member.process_->Signal(aSignal);
  }
}

int
Fleet::WaitForEnd(const std::string& aName, Duration aLimit)
{
  Member& member = members_.at(aName);
  const int status = member.process_->WaitForEnd(aLimit);
  if (member.process_->HasEnded()) {
    member.process_.reset();
  }
  return status;
}

void
Fleet::Wipe(const std::string& aName)
{
  const Member& member = members_.at(aName);
  if (!member.process_ && !member.dataPath_.empty()) {
    fs::remove_all(member.dataPath_);
  }
}

// ---- Requests

HttpCallResult
Fleet::Ask(const std::string& aVm,
           std::uint16_t aPort,
           const std::string& aPath,
           const std::string& aBody,
           Duration aLimit) const
{
  return CallAndWait(Get(aVm).host_, aPort, aPath, aBody, aLimit, secret_);
}

CallerAnswer
Fleet::Execute(const std::string& aVm, const CallerRequest& aRequest) const
{
  const HttpCallResult answer = Ask(aVm,
                                    kCallerPort,
                                    "/v1/statement",
                                    WriteCallerRequest(aRequest),
                                    aRequest.deadline_ + Duration(500ms));
  auto parsed = ParseCallerAnswer(answer.body_);
  if (answer.status_ == 0 || !parsed) {
    CallerAnswer unknown;
    unknown.outcome_ = Outcome::Unknown;
    unknown.reason_ = Reason::Unreachable;
    return unknown;
  }
  return *parsed;
}

ServerId
Fleet::FindPrimary(const DatabaseId& aDatabase) const
{
  for (const auto& vm : Vms()) {
    const HttpCallResult answer = Ask(vm, kAdminPort, "/v1/status", "", 500ms);
    boost::system::error_code error;
    const json::value value = json::parse(answer.body_, error);
    if (answer.status_ != 200 || error) {
      continue;
    }
    for (const auto& database : value.at("databases").as_array()) {
      const std::string primary(database.at("primary").as_string());
      if (database.at("database").as_string() == aDatabase &&
          !primary.empty()) {
        return primary;
      }
    }
  }
  return {};
}

const Member&
Fleet::Get(const std::string& aName) const
{
  return members_.at(aName);
}

std::vector<std::string>
Fleet::Vms() const
{
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    if (member.vm_) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
Fleet::Servers() const
{
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    if (!member.vm_) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace jaydoor::standin
