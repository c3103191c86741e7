#include "base/Log.h"

#include "base/Characters.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <mutex>
#include <string>
#include <utility>

#include <fmt/chrono.h>

namespace jaydoor {
namespace {

using Clock = std::chrono::steady_clock;

// Rate limit of buffered lines: one token bucket for each class of events.
constexpr double kLinesPerSecond = 400;                 // refill of a bucket
constexpr double kMaxLineBurst = 800;                   // capacity of a bucket
constexpr std::size_t kMaxBufferedBytes = 256UL * 1024; // not yet written
constexpr auto kDropReportInterval = std::chrono::seconds(1);

std::atomic<Level> gLevel{ Level::Info };

// Lines that have not been written yet, and the count of dropped lines. No
// thread waits for the reader of the log: a line that finds the buffer full is
// dropped.
struct LogBuffer
{
  std::mutex mutex_;
  int output_ = STDERR_FILENO;
  bool buffered_ = false;
  std::string bytes_;
  std::array<double, 2> tokens_{ kMaxLineBurst,
                                 kMaxLineBurst }; // by class of events
  Clock::time_point refilledAt_ = Clock::now();
  std::uint64_t unreportedDrops_ = 0; // lines dropped since the last report
  std::uint64_t totalDrops_ = 0;      // lines dropped since the start
  Clock::time_point reportedAt_ = Clock::now(); // last LinesDropped event
};

LogBuffer&
GetLogBuffer()
{
  static LogBuffer buffer;
  return buffer;
}

// Index of the token bucket of an event. The events logged for every statement
// have a bucket of their own, so that they can't use up the tokens of other
// events.
std::size_t
GetBucketIndex(Event aEvent)
{
  return aEvent == Event::StatementDone || aEvent == Event::StatementRouted ? 1
                                                                            : 0;
}

// Refills the buckets and consumes one token for a line of this event. Returns
// false if the bucket of the event is empty.
bool
ConsumeToken(LogBuffer& aBuffer, Event aEvent, Clock::time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aBuffer.refilledAt_).count();
  aBuffer.refilledAt_ = aNow;
  for (double& tokens : aBuffer.tokens_) {
    tokens = std::min(kMaxLineBurst, tokens + seconds * kLinesPerSecond);
  }
  double& tokens = aBuffer.tokens_.at(GetBucketIndex(aEvent));
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

// Writes as many buffered bytes as the output accepts without blocking.
void
WriteBuffered(LogBuffer& aBuffer)
{
  std::size_t written = 0;
  while (written < aBuffer.bytes_.size()) {
    const ssize_t count = write(aBuffer.output_,
                                aBuffer.bytes_.data() + written,
                                aBuffer.bytes_.size() - written);
    if (count <= 0) {
      break; // the rest stays buffered for the next write
    }
    written += static_cast<std::size_t>(count);
  }
  aBuffer.bytes_.erase(0, written);
}

// Appends the text with its control characters escaped: a line end in a value
// would begin a line of its own.
void
AppendEscaped(std::string& aOut, std::string_view aText)
{
  if (std::none_of(aText.begin(), aText.end(), IsControlCharacter)) {
    aOut += aText;
    return;
  }
  for (const char c : aText) {
    if (c == '\n') {
      aOut += "\\n";
    } else if (c == '\r') {
      aOut += "\\r";
    } else if (c == '\t') {
      aOut += "\\t";
    } else if (IsControlCharacter(c)) {
      fmt::format_to(
        std::back_inserter(aOut), "\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      aOut += c;
    }
  }
}

constexpr std::array kLevelNames = { "debug", "info", "warning", "error" };

constexpr std::array kEvents = {
  EventInfo{ Event::Started, Level::Info, "started" },
  EventInfo{ Event::Stopping, Level::Info, "stopping" },
  EventInfo{ Event::Stopped, Level::Info, "stopped" },
  EventInfo{ Event::Reloaded, Level::Info, "reloaded" },
  EventInfo{ Event::ReloadRefused, Level::Error, "reload_refused" },
  EventInfo{ Event::ReadinessChanged, Level::Info, "readiness_changed" },
  EventInfo{ Event::Isolated, Level::Warning, "isolated" },
  EventInfo{ Event::SettingRefused, Level::Error, "setting_refused" },
  EventInfo{ Event::RulesFileRefused, Level::Error, "rules_file_refused" },
  EventInfo{ Event::DiskFailed, Level::Error, "disk_failed" },
  EventInfo{ Event::DiskTailTorn, Level::Warning, "disk_tail_torn" },
  EventInfo{ Event::DiskFounded, Level::Info, "disk_founded" },
  EventInfo{ Event::LeaderElected, Level::Info, "leader_elected" },
  EventInfo{ Event::LeaderLost, Level::Warning, "leader_lost" },
  EventInfo{ Event::VoterReplaced, Level::Warning, "voter_replaced" },
  EventInfo{ Event::SnapshotTaken, Level::Info, "snapshot_taken" },
  EventInfo{ Event::VoterRemoved, Level::Warning, "voter_removed" },
  EventInfo{ Event::VoterFaulty, Level::Warning, "voter_faulty" },
  EventInfo{ Event::SnapshotInstalled, Level::Info, "snapshot_installed" },
  EventInfo{ Event::RulesInForce, Level::Info, "rules_in_force" },
  EventInfo{ Event::RulesConflict, Level::Warning, "rules_conflict" },
  EventInfo{ Event::DocumentInForce, Level::Info, "document_in_force" },
  EventInfo{ Event::DocumentRefused, Level::Warning, "document_refused" },
  EventInfo{ Event::DocumentAccepted, Level::Info, "document_accepted" },
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
  EventInfo{ Event::PromotionAnswered, Level::Info, "promotion_answered" },
  EventInfo{ Event::PromotionFinished, Level::Info, "promotion_finished" },
  EventInfo{ Event::LeaseRevoked, Level::Info, "lease_revoked" },
  EventInfo{ Event::LeaseReleased, Level::Info, "lease_released" },
  EventInfo{ Event::LeaseGained, Level::Info, "lease_gained" },
  EventInfo{ Event::LeaseLost, Level::Warning, "lease_lost" },
  EventInfo{ Event::ShareGranted, Level::Info, "share_granted" },
  EventInfo{ Event::ShareUsedUp, Level::Info, "share_used_up" },
  EventInfo{ Event::ShareExpired, Level::Warning, "share_expired" },
  EventInfo{ Event::ConnectionSilent, Level::Warning, "connection_silent" },
  EventInfo{ Event::LinkRefused, Level::Warning, "link_refused" },
  EventInfo{ Event::RequestRefused, Level::Debug, "request_refused" },
  EventInfo{ Event::TokenForged, Level::Warning, "token_forged" },
  EventInfo{ Event::OperatorRefused, Level::Warning, "operator_refused" },
  EventInfo{ Event::StatementRouted, Level::Debug, "statement_routed" },
  EventInfo{ Event::StatementRefused, Level::Info, "statement_refused" },
  EventInfo{ Event::StatementRetried, Level::Info, "statement_retried" },
  EventInfo{ Event::StatementDone, Level::Info, "statement_done" },
  EventInfo{ Event::StatementInDoubt, Level::Warning, "statement_in_doubt" },
  EventInfo{ Event::TransactionLost, Level::Info, "transaction_lost" },
  EventInfo{ Event::SessionRefused, Level::Info, "session_refused" },
  EventInfo{ Event::ClientsLimited, Level::Warning, "clients_limited" },
  EventInfo{ Event::KeyRevoked, Level::Info, "key_revoked" },
  EventInfo{ Event::ServerReached, Level::Info, "server_reached" },
  EventInfo{ Event::ServerUnreachable, Level::Warning, "server_unreachable" },
  EventInfo{ Event::ServerMoved, Level::Info, "server_moved" },
  EventInfo{ Event::ServerFull, Level::Info, "server_full" },
  EventInfo{ Event::ServerOverloaded, Level::Info, "server_overloaded" },
  EventInfo{ Event::ServerRetired, Level::Info, "server_retired" },
  EventInfo{ Event::ServerAvoided, Level::Info, "server_avoided" },
  EventInfo{ Event::AnswerUnmatched, Level::Warning, "answer_unmatched" },
  EventInfo{ Event::ServerUnreadable, Level::Warning, "server_unreadable" },
  EventInfo{ Event::AnnounceRefused, Level::Warning, "announce_refused" },
  EventInfo{ Event::AnnounceUnrecorded, Level::Warning, "announce_unrecorded" },
  EventInfo{ Event::LinesDropped, Level::Warning, "lines_dropped" },
};

const EventInfo&
GetEventInfo(Event aEvent)
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
WriteLogLine(Event aEvent, std::string_view aText)
{
  const EventInfo& info = GetEventInfo(aEvent);
  if (info.level_ < gLevel.load()) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                    now.time_since_epoch())
                    .count() %
                  1000;
  auto line =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} J{:03} {} ",
                fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                ms,
                kLevelNames.at(static_cast<std::size_t>(info.level_)),
                static_cast<unsigned>(info.event_),
                info.name_);
  AppendEscaped(line, aText);
  line += '\n';
  LogBuffer& buffer = GetLogBuffer();
  const std::scoped_lock lock(buffer.mutex_);
  const auto steady = Clock::now();
  const bool fits = !buffer.buffered_ ||
                    (buffer.bytes_.size() + line.size() <= kMaxBufferedBytes &&
                     ConsumeToken(buffer, aEvent, steady));
  if (!fits) {
    buffer.unreportedDrops_++;
    buffer.totalDrops_++;
    return;
  }
  buffer.bytes_ += line;
  if (!buffer.buffered_ || info.level_ >= Level::Warning) {
    WriteBuffered(buffer);
  }
}

void
EnableLogBuffering(int aOutput)
{
  LogBuffer& buffer = GetLogBuffer();
  const std::scoped_lock lock(buffer.mutex_);
  buffer.output_ = aOutput;
  buffer.buffered_ = true;
  const int flags = fcntl(aOutput, F_GETFL);
  if (flags >= 0) {
    fcntl(aOutput, F_SETFL, flags | O_NONBLOCK);
  }
}

void
FlushLog()
{
  LogBuffer& buffer = GetLogBuffer();
  std::uint64_t dropped = 0;
  {
    const std::scoped_lock lock(buffer.mutex_);
    const auto now = Clock::now();
    if (buffer.unreportedDrops_ > 0 &&
        now - buffer.reportedAt_ >= kDropReportInterval) {
      dropped = std::exchange(buffer.unreportedDrops_, 0);
      buffer.reportedAt_ = now;
    }
    WriteBuffered(buffer);
  }
  if (dropped > 0) {
    LogEvent(Event::LinesDropped, "lines={}", dropped);
  }
}

std::uint64_t
CountDroppedLines()
{
  LogBuffer& buffer = GetLogBuffer();
  const std::scoped_lock lock(buffer.mutex_);
  return buffer.totalDrops_;
}

} // namespace jaydoor
