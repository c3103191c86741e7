#pragma once

// Numbered log events, one line each on standard error.
//
//   LogEvent(Event::PrimaryChanged, "database={} server={}", db, server);
//
// The numbers are stable: docs/EVENTS.md is their catalogue, and a test keeps
// the two equal. Decision code does not log; it returns notes that the shell
// logs.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace jaydoor {

enum class Level : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class Event : std::uint16_t
{
  Started = 100,
  Stopping = 101,
  Stopped = 102,
  SettingRefused = 103,
  RulesFileRefused = 104,
  DiskFailed = 110,
  DiskTailTorn = 111,
  DiskFounded = 112,
  LeaderElected = 200,
  LeaderLost = 201,
  VoterReplaced = 202,
  SnapshotTaken = 203,
  RulesInForce = 210,
  RulesConflict = 211,
  VmJoined = 300,
  VmSuspected = 301,
  VmDead = 302,
  UpstreamCame = 310,
  UpstreamLeaving = 311,
  UpstreamGone = 312,
  PrimarySuspected = 320,
  PromotionStarted = 321,
  PrimaryChanged = 322,
  PromotionStalled = 323,
  ConnectionSilent = 400,
  LinkRefused = 401,
  RequestRefused = 402,
  TokenForged = 403,
  OperatorRefused = 404,
};

struct EventInfo
{
  Event event_;
  Level level_;
  std::string_view name_;
};

// All events with their level and name, in the order of their numbers.
std::span<const EventInfo>
ListEvents();

// The lowest level that is written; set once at start.
void
SetLogLevel(Level aLevel);

// Writes one line: time, level, number, name, text.
void
WriteEvent(Event aEvent, std::string_view aText);

template<typename... Args>
void
LogEvent(Event aEvent, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  WriteEvent(aEvent, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

} // namespace jaydoor
