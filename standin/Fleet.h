#pragma once

// A small fleet of real processes on loopback addresses: entry VMs and
// database servers in zones, for the demo, the chaos runs and the measures.
//
//   Fleet fleet(config);
//   fleet.Start();
//   fleet.Kill("lessons-1");
//
// Every process has an address of its own; with a relay (see Network.h) it is
// reached under another one, so that zones can be cut off from each other.

#include "base/Error.h"
#include "base/Types.h"
#include "daemon/Http.h"
#include "standin/Network.h"
#include "standin/Process.h"
#include "wire/Json.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaydoor::standin {

struct FleetConfig
{
  std::string binaries_; // folder of the build
  std::string folder_;   // for data, secrets and logs
  std::vector<std::size_t> vmsPerZone_{ 2, 1, 1 };
  std::vector<DatabaseId> databases_{ "lessons" };
  unsigned slots_ = 3;
  unsigned connections_ = 20;
  int workUs_ = 1000;                // time of a statement
  int lagMs_ = 5;                    // of replication
  bool sync_ = true;                 // database logs are synced
  bool keys_ = false;                // links between VMs prove the fleet's key
  bool relay_ = false;               // zones can be cut off
  Duration zoneDelay_{};             // between zones, one way, with a relay
  std::vector<std::string> vmFlags_; // added to each jaydoord
};

struct Member
{
  std::string name_;
  std::size_t zone_ = 0;
  bool vm_ = false;  // else a database server
  std::string bind_; // IP that it binds
  std::string host_; // IP at which others reach it
  std::vector<std::string> arguments_;
  std::string dataPath_;             // what Wipe removes; empty: nothing
  std::shared_ptr<Process> process_; // none: not running
  bool frozen_ = false;
};

inline constexpr std::uint16_t kCallerPort = 7000;
inline constexpr std::uint16_t kAdminPort = 7001;
inline constexpr std::uint16_t kControlPort = 7002;
inline constexpr std::uint16_t kTrafficPort = 7003;
inline constexpr std::uint16_t kServerPort = 7100;

class Fleet
{
public:
  explicit Fleet(FleetConfig aConfig);
  // Ends all processes that it started.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void Start();
  // True once a write has been acknowledged for every database by every VM.
  bool WaitUntilReady(Duration aLimit);

  void Run(const std::string& aName);
  void Kill(const std::string& aName);
  void Freeze(const std::string& aName);
  void Thaw(const std::string& aName);
  void Signal(const std::string& aName, int aSignal);
  // Waits for the process to end; its exit status, or -1 on a time-out.
  int WaitForEnd(const std::string& aName, Duration aLimit);
  // Removes a stopped process's data.
  void Wipe(const std::string& aName);

  // One request on a connection of its own; no answer: status 0.
  HttpCallResult Ask(const std::string& aVm,
                     std::uint16_t aPort,
                     const std::string& aPath,
                     const std::string& aBody,
                     Duration aLimit) const;
  CallerAnswer Execute(const std::string& aVm,
                       const CallerRequest& aRequest) const;
  // The primary by the word of the first VM that knows; empty: none.
  ServerId FindPrimary(const DatabaseId& aDatabase) const;

  const Member& Get(const std::string& aName) const;
  std::vector<std::string> Vms() const;
  std::vector<std::string> Servers() const;
  const std::string& Secret() const { return secret_; }
  const FleetConfig& Config() const { return config_; }
  Network* Relay() { return network_.get(); }

private:
  void AddVms();
  void AddServers();
  std::string AddressOf(std::size_t aZone, std::size_t aNumber, bool aHost);
  std::string WriteFile(const std::string& aName, const std::string& aText);

  FleetConfig config_;
  std::string secret_ = "operators-secret-of-the-test-fleet";
  std::string net_; // "127.N"
  std::map<std::string, Member> members_;
  std::unique_ptr<Network> network_;
};

} // namespace jaydoor::standin
