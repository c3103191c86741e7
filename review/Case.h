#pragma once

// Helpers for the cases of this review: a record of what was sent, answered and
// run, and the exit status of a case.

#include "tests/LineDeployment.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <unistd.h>

namespace jaydoor::review {

// Exit status of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Values of a small deployment's settings.
inline constexpr Duration kCatchUp = 4s;     // catchUpS
inline constexpr Duration kRecovery = 12s;   // recoveryS
inline constexpr Duration kGracePeriod = 6s; // graceS

// Writes one line an event, with the time since the start. Can be used by
// several threads.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
    , startedAt_(std::chrono::steady_clock::now())
  {
  }

  // Seconds since the start.
  double Elapsed() const
  {
    const std::chrono::duration<double> since =
      std::chrono::steady_clock::now() - startedAt_;
    return since.count();
  }

  template<typename... Args>
  void Write(fmt::format_string<Args...> aFormat, Args&&... aArgs)
  {
    const std::string line =
      fmt::format("{:8.3f} {}",
                  Elapsed(),
                  fmt::format(aFormat, std::forward<Args>(aArgs)...));
    const std::lock_guard lock(mutex_);
    file_ << line << std::endl;
    std::cout << line << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point startedAt_;
};

// False if the case is to run without its disruption.
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// A folder of its own for a run, and loopback addresses that runs at the same
// time do not share.
inline tests::LineDeploymentConfig
MakeDeploymentConfig(int aEntryVms)
{
  constexpr int kFirstNetwork = 32;
  constexpr int kNetworks = 200;
  tests::LineDeploymentConfig config;
  config.folder_ =
    (std::filesystem::temp_directory_path() /
     fmt::format("jaydoor-review-{}", static_cast<long>(getpid())))
      .string();
  config.build_ = "target";
  config.entryVms_ = aEntryVms;
  config.network_ = kFirstNetwork + static_cast<int>(getpid() % kNetworks);
  return config;
}

// Waits until the condition is true. Returns false if it isn't in time.
inline bool
WaitUntil(Duration aLimit, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(50ms);
  }
  return true;
}

// Starts the deployment's service: a configuration is acknowledged, all entry
// VMs are ready, and a write through each of them is acknowledged.
inline bool
WaitUntilServing(tests::LineDeployment& aDeployment,
                 int aEntryVms,
                 const std::string& aConfig,
                 Record& aRecord)
{
  constexpr Duration kStartLimit = 30s;
  if (!aDeployment.IsStarted()) {
    aRecord.Write("the addresses of the servers are in use");
    return false;
  }
  const bool stored = WaitUntil(
    kStartLimit, [&] { return aDeployment.ReplaceConfig(1, aConfig) == 200; });
  aRecord.Write("first configuration acknowledged: {}", stored);
  bool serving = stored;
  for (int entry = 1; entry <= aEntryVms && serving; entry++) {
    serving =
      WaitUntil(kStartLimit, [&] { return aDeployment.IsReady(entry); }) &&
      WaitUntil(kStartLimit,
                [&] { return aDeployment.WriteItem(entry, "first", "x"); });
    aRecord.Write("entry-{} serves: {}", entry, serving);
  }
  return serving;
}

// Records what the status means, and returns it.
inline int
Finish(int aStatus, Record& aRecord)
{
  aRecord.Write("{}",
                aStatus == kRuleHeld     ? "the rule held"
                : aStatus == kRuleBroken ? "the rule was broken"
                                         : "the case could not run");
  return aStatus;
}

} // namespace jaydoor::review
