#pragma once

// Numbered log events, one line each. Lines go to standard error, or, once
// EnableLogBuffering() has been called, through a bounded buffer to a file
// descriptor. No thread ever waits for the reader of that descriptor.
//
//   LogEvent(Event::PrimaryChanged, "database={} server={}", db, server);
//
// The numbers are stable: docs/EVENTS.md lists them, and a test checks that the
// list and this file agree. Decision code does not log: it returns actions that
// hold an event and its text, and the shell logs them.

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
  VoterFaulty = 205,
  SnapshotInstalled = 206,
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
  ShareGranted = 340,
  ShareUsedUp = 341,
  ShareExpired = 342,
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
  ClientsLimited = 417,
  KeyRevoked = 418,
  ServerReached = 420,
  ServerUnreachable = 421,
  ServerMoved = 422,
  ServerFull = 423,
  ServerOverloaded = 424,
  ServerRetired = 425,
  ServerAvoided = 426,
  AnswerUnmatched = 427,
  ServerUnreadable = 428,
  AnnounceRefused = 430,
  AnnounceUnrecorded = 431,
  LinesDropped = 440,
};

struct EventInfo
{
  Event event_;
  Level level_;
  std::string_view name_; // as it is written in the log
};

// All events with their level and name.
std::span<const EventInfo>
ListEvents();

// Sets the lowest level that is written. Called once at start.
void
SetLogLevel(Level aLevel);

// Buffers all lines from now on and makes the descriptor `aOutput`
// non-blocking. Lines are written to it by FlushLog(), warnings and errors at
// once. Lines are dropped and counted if they exceed the rate limit or if the
// reader is so slow that the buffer is full.
void
EnableLogBuffering(int aOutput);

// Writes the buffered lines that the output accepts without blocking, and logs
// the number of dropped lines at most once a second.
void
FlushLog();

// Lines dropped since the process started.
std::uint64_t
CountDroppedLines();

// Writes one line: time, level, number and name of the event, then `aText`.
void
WriteLogLine(Event aEvent, std::string_view aText);

// Formats the text of an event and writes its line.
template<typename... Args>
void
LogEvent(Event aEvent, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  WriteLogLine(aEvent, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

} // namespace jaydoor
