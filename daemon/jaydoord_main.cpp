// jaydoord: the proxy daemon that runs on each entry VM.
//
// The main thread runs control, a second one traffic, a third one waits for
// signals. They share no state; they post functions to each other.

#include "control/Rules.h"
#include "daemon/ControlShell.h"
#include "daemon/Settings.h"
#include "daemon/TrafficShell.h"
#include "platform/PlatformNode.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace {

using namespace jaydoor;

constexpr int kExitBadSetting = 2;

int
LogRefusal(Event aEvent, const Error& aError)
{
  LogEvent(aEvent, "{}", aError.message_);
  return kExitBadSetting;
}

// Checks the rules file for --check; the settings were checked before.
int
Check(const Settings& aSettings)
{
  if (!aSettings.rulesFile_.empty()) {
    const auto text = ReadTextFile(aSettings.rulesFile_);
    if (!text) {
      return LogRefusal(Event::RulesFileRefused, text.error());
    }
    const auto rules = ParseRules(*text);
    if (!rules) {
      return LogRefusal(Event::RulesFileRefused, rules.error());
    }
  }
  std::cout << "check: ok\n";
  return 0;
}

int
Serve(const Settings& aSettings)
{
  std::unique_ptr<ControlShell> control;
  TrafficShell traffic(aSettings, [&control](wire::Suspicion aSuspicion) {
    control->ReportSuspicion(std::move(aSuspicion));
  });
  control = std::make_unique<ControlShell>(aSettings, traffic.MakeInterface());
  for (const auto& started : { traffic.Start(), control->Start() }) {
    if (!started) {
      return LogRefusal(Event::SettingRefused, started.error());
    }
  }
  LogEvent(Event::Started,
           "vm={} zone={} host={} caller_port={} admin_port={}",
           aSettings.vm_,
           aSettings.zone_,
           aSettings.host_,
           aSettings.callerPort_,
           aSettings.adminPort_);
  boost::asio::io_context signals(1);
  boost::asio::signal_set stop(signals, SIGTERM, SIGINT);
  stop.async_wait([&control](auto aError, int) {
    if (!aError) {
      LogEvent(Event::Stopping, "finishing the statements in flight");
      control->DrainAndStop();
    }
  });
  std::thread trafficThread([&traffic] { traffic.Run(); });
  std::thread signalThread([&signals] { signals.run(); });
  control->Run();
  traffic.Stop();
  signals.stop();
  trafficThread.join();
  signalThread.join();
  LogEvent(Event::Stopped, "vm={}", aSettings.vm_);
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // With "jaydoord platform [check]" the settings come from the platform's
  // file.
  if (aCount >= 2 && std::string_view(aArguments[1]) == "platform") {
    const bool check =
      aCount >= 3 && std::string_view(aArguments[2]) == "check";
    return platform::RunNode(check);
  }
  const auto settings = ReadSettings(aCount, aArguments);
  if (!settings) {
    return LogRefusal(Event::SettingRefused, settings.error());
  }
  if (settings->help_) {
    std::cout << settings->helpText_;
    return 0;
  }
  SetLogLevel(settings->logLevel_);
  std::signal(SIGPIPE, SIG_IGN);
  return settings->checkOnly_ ? Check(*settings) : Serve(*settings);
}
