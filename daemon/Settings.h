#pragma once

// Settings of jaydoord: flags, or environment variables named after them
// (--caller-port is JAYDOOR_CALLER_PORT). A flag takes precedence
// over its variable.

#include "base/Error.h"
#include "base/Log.h"
#include "base/Time.h"
#include "daemon/Http.h"
#include "wire/jaydoor.pb.h"

#include <string>
#include <vector>

namespace jaydoor {

struct Settings
{
  std::string vm_;                    // id of this VM in the fleet
  std::string zone_;                  // its availability zone
  std::string host_;                  // IP at which others reach it
  std::string bind_;                  // IP to bind to and to connect from
  std::uint16_t callerPort_ = 0;      // HTTP for callers
  std::uint16_t adminPort_ = 0;       // HTTP for operators, upstreams, metrics
  HttpLimits adminLimits_;            // of that port
  std::uint16_t controlPort_ = 0;     // ZeroMQ and UDP, control messages
  std::uint16_t trafficPort_ = 0;     // ZeroMQ, statements
  std::vector<wire::Vm> peers_;       // VMs to join through
  std::vector<std::string> voterVms_; // VMs that have a data folder
  std::string dataFolder_;            // empty: this VM does not vote
  std::size_t minVoterCount_ = 0;     // needed; 0: all with a data folder
  bool mayFoundFleet_ = true;         // may create the state of a new fleet
  bool outsidePromotion_ = false;     // external service promotes primaries
  bool idsAreHosts_ = false;          // a VM's id is its IP, on the same ports
  std::vector<std::string> sessionKeys_; // the first one signs
  std::string operatorSecret_;           // operators send it to the admin port
  std::string announceSecret_;           // empty: announcements need none
  std::string linkPublicKey_;            // Z85; empty: plain links
  std::string linkSecretKey_;            // Z85; empty: plain links
  std::string traceFile_;                // empty: no traces
  std::string rulesFile_;                // read only with --check
  Level logLevel_ = Level::Info;
  Duration drainLimit_ = 30s;       // then a draining VM stops anyway
  Duration suspectTimeout_ = 300ms; // then a silent upstream link is dropped
  bool checkOnly_ = false;
  bool help_ = false;
  std::string helpText_;
};

// Reads and checks all settings. The error names the flag, its value, what is
// allowed and the remedy.
Expected<Settings>
ReadSettings(int aCount, const char* const* aArguments);

// Reads a text file and removes the newline at its end. Returns an error if the
// file can't be read.
Expected<std::string>
ReadTextFile(const std::string& aPath);

} // namespace jaydoor
