#include "base/Log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>

#include <fmt/chrono.h>

namespace jaydoor {
namespace {

std::atomic<Level> gLevel{ Level::Info };

constexpr std::array kLevelNames = { "debug", "info", "warning", "error" };

constexpr std::array kEvents = {
  EventInfo{ Event::Started, Level::Info, "started" },
  EventInfo{ Event::Stopping, Level::Info, "stopping" },
  EventInfo{ Event::Stopped, Level::Info, "stopped" },
  EventInfo{ Event::SettingRefused, Level::Error, "setting_refused" },
  EventInfo{ Event::RulesFileRefused, Level::Error, "rules_file_refused" },
  EventInfo{ Event::DiskFailed, Level::Error, "disk_failed" },
  EventInfo{ Event::DiskTailTorn, Level::Warning, "disk_tail_torn" },
  EventInfo{ Event::DiskFounded, Level::Info, "disk_founded" },
  EventInfo{ Event::LeaderElected, Level::Info, "leader_elected" },
  EventInfo{ Event::LeaderLost, Level::Warning, "leader_lost" },
  EventInfo{ Event::VoterReplaced, Level::Warning, "voter_replaced" },
  EventInfo{ Event::SnapshotTaken, Level::Info, "snapshot_taken" },
  EventInfo{ Event::RulesInForce, Level::Info, "rules_in_force" },
  EventInfo{ Event::RulesConflict, Level::Warning, "rules_conflict" },
  EventInfo{ Event::VmJoined, Level::Info, "vm_joined" },
  EventInfo{ Event::VmSuspected, Level::Warning, "vm_suspected" },
  EventInfo{ Event::VmDead, Level::Warning, "vm_dead" },
  EventInfo{ Event::UpstreamCame, Level::Info, "upstream_came" },
  EventInfo{ Event::UpstreamLeaving, Level::Info, "upstream_leaving" },
  EventInfo{ Event::UpstreamGone, Level::Warning, "upstream_gone" },
  EventInfo{ Event::PrimarySuspected, Level::Warning, "primary_suspected" },
  EventInfo{ Event::PromotionStarted, Level::Warning, "promotion_started" },
  EventInfo{ Event::PrimaryChanged, Level::Info, "primary_changed" },
  EventInfo{ Event::PromotionStalled, Level::Warning, "promotion_stalled" },
  EventInfo{ Event::ConnectionSilent, Level::Warning, "connection_silent" },
  EventInfo{ Event::LinkRefused, Level::Warning, "link_refused" },
  EventInfo{ Event::RequestRefused, Level::Debug, "request_refused" },
  EventInfo{ Event::TokenForged, Level::Warning, "token_forged" },
  EventInfo{ Event::OperatorRefused, Level::Warning, "operator_refused" },
};

const EventInfo&
FindEvent(Event aEvent)
{
  for (const auto& info : kEvents) {
    if (info.event_ == aEvent) {
      return info;
    }
  }
  return kEvents.front();
}

} // namespace

std::span<const EventInfo>
ListEvents()
{
  return kEvents;
}

void
SetLogLevel(Level aLevel)
{
  gLevel = aLevel;
}

void
WriteEvent(Event aEvent, std::string_view aText)
{
  const EventInfo& info = FindEvent(aEvent);
  if (info.level_ < gLevel.load()) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                    now.time_since_epoch())
                    .count() %
                  1000;
  const auto line =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} J{:03} {} {}\n",
                fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                ms,
                kLevelNames.at(static_cast<std::size_t>(info.level_)),
                static_cast<unsigned>(info.event_),
                info.name_,
                aText);
  // One write a line keeps lines of several threads whole.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace jaydoor
