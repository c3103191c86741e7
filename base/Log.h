#pragma once

// Numbered log events, one line each: on standard error, or buffered to an
// output of the process's choice that no thread ever waits for.
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
  Reloaded = 105,
  ReloadRefused = 106,
  ReadinessChanged = 107,
  Isolated = 108,
  SettingRefused = 103,
  RulesFileRefused = 104,
  DiskFailed = 110,
  DiskTailTorn = 111,
  DiskFounded = 112,
  LeaderElected = 200,
  LeaderLost = 201,
  VoterReplaced = 202,
  SnapshotTaken = 203,
  VoterRemoved = 204,
  RulesInForce = 210,
  RulesConflict = 211,
  DocumentInForce = 212,
  DocumentRefused = 213,
  DocumentAccepted = 214,
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
  PromotionAnswered = 324,
  PromotionFinished = 325,
  LeaseRevoked = 330,
  LeaseReleased = 331,
  LeaseGained = 332,
  LeaseLost = 333,
  ConnectionSilent = 400,
  LinkRefused = 401,
  RequestRefused = 402,
  TokenForged = 403,
  OperatorRefused = 404,
  StatementRouted = 410,
  StatementRefused = 411,
  StatementRetried = 412,
  StatementDone = 413,
  StatementInDoubt = 414,
  TransactionLost = 415,
  SessionRefused = 416,
  ServerReached = 420,
  ServerUnreachable = 421,
  ServerMoved = 422,
  ServerFull = 423,
  AnnounceRefused = 430,
  LinesDropped = 440,
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

// From now on lines are buffered, bounded in number, and written to this
// descriptor by FlushLog, at once if they are warnings. What its reader does
// not take in time is dropped and counted.
void
EnableLogBuffering(int aOutput);
void
FlushLog();
std::uint64_t
CountDroppedLines();

// Writes one line: time, level, number, name, text.
void
WriteLogLine(Event aEvent, std::string_view aText);

template<typename... Args>
void
LogEvent(Event aEvent, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  WriteLogLine(aEvent, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

} // namespace jaydoor
