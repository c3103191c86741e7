#pragma once

// Settings of jaydoord: flags, or environment variables named after them
// (--caller-port is JAYDOOR_CALLER_PORT). A flag goes before its variable.

#include "base/Error.h"
#include "base/Log.h"
#include "base/Time.h"
#include "wire/jaydoor.pb.h"

#include <string>
#include <vector>

namespace jaydoor {

struct Settings
{
  std::string vm_;                    // id of this VM in the fleet
  std::string zone_;                  // its availability zone
  std::string host_;                  // IP at which others reach it
  std::string bind_;                  // IP that it binds and connects from
  std::uint16_t callerPort_ = 0;      // HTTP for callers
  std::uint16_t adminPort_ = 0;       // HTTP for operators, upstreams, metrics
  std::uint16_t controlPort_ = 0;     // ZeroMQ, control messages
  std::uint16_t trafficPort_ = 0;     // ZeroMQ, statements
  std::vector<wire::Vm> peers_;       // VMs to join through
  std::vector<std::string> voterVms_; // VMs that have a data folder
  std::string dataFolder_;            // empty: this VM does not vote
  std::size_t targetVoterCount_ = 0; // voters wanted; 0: all with a data folder
  bool mayFoundFleet_ = true;        // a blank fleet may found its state
  bool outsidePromotion_ = false;    // an outside service promotes primaries
  bool idsAreHosts_ = false;         // a VM's id is its IP, on the same ports
  std::vector<std::string> sessionKeys_; // the first one signs
  std::string operatorSecret_;           //
  std::string announceSecret_;           // empty: announcements need none
  std::string linkPublicKey_;            // Z85; empty: plain links
  std::string linkSecretKey_;            //
  std::string traceFile_;                // empty: no traces
  std::string rulesFile_;                // only checked, with --check
  Level logLevel_ = Level::Info;
  Duration drainLimit_ = 30s;       // then a stopping VM ends all the same
  Duration suspectTimeout_ = 300ms; // a silent upstream connection is dropped
  bool checkOnly_ = false;
  bool help_ = false;
  std::string helpText_;
};

// Reads and checks all settings. The error names the flag, its value, what is
// allowed and the remedy.
Expected<Settings>
ReadSettings(int aCount, const char* const* aArguments);

// Reads a whole text file without its last line end.
Expected<std::string>
ReadTextFile(const std::string& aPath);

} // namespace jaydoor
