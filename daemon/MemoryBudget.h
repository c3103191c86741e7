#pragma once

// The byte budget of the process for what clients make it hold, and the
// verdicts on a single connection that follow from its use. It does no I/O and
// reads no clock; several threads may use one budget.
//
//   MemoryBudget budget(ComputeBudget(memoryBytes, maxConnections));
//   budget.Change(MemoryPlace::Received, oldBytes, newBytes);
//   if (!budget.MayRead(heldBytes)) { ... stop reading from the connection }
//
// The load pattern: a few clients send messages of legal size, many at once and
// unfinished, or take no responses, and each single connection stays within its
// limits. The sum decides: above kPauseShare of the budget, connections that
// hold more than kSmallBytes are not read from; above kRefuseShare, statements
// that are not small and have not run are refused; above kCloseShare, the
// largest connections are closed. A client whose messages are small is served
// throughout.

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jaydoor {

// Where bytes are held.
enum class MemoryPlace : std::uint8_t
{
  Received,     // partial messages of callers, and messages not yet processed
  Statements,   // waiting or running statements
  SessionState, // values and prepared statements of sessions
  Responses,    // not yet taken by callers
  Servers,      // partial answers of servers, and commands not yet sent
  Http,         // requests and responses of the HTTP ports
};

inline constexpr std::array<std::string_view, 6> kMemoryPlaceNames = {
  "received", "statements", "session_state", "responses", "servers", "http"
};

// Verdicts on clients, counted by reason.
enum class ClientVerdict : std::uint8_t
{
  PausedByBudget,     // no longer read from, until others hold less
  PausedByResponses,  // no longer read from, until it takes its responses
  RefusedByBudget,    // a statement or request was refused
  ClosedByBudget,     // closed for what it held
  ClosedUnopened,     // sent no opening message in time
  ClosedPartial,      // sent only part of a message
  ClosedUnread,       // took no responses
  ClosedTooManyBytes, // more unsent bytes than one connection may hold
  AcceptPaused,       // the number of connections was at its limit
  AcceptFailed,       // the system had no descriptor left
};

inline constexpr std::array<std::string_view, 10> kClientVerdictNames = {
  "paused_by_budget", "paused_by_responses", "refused_by_budget",
  "closed_by_budget", "closed_unopened",     "closed_partial",
  "closed_unread",    "closed_too_many",     "accept_paused",
  "accept_failed"
};

class MemoryBudget
{
public:
  // A connection that holds no more is neither paused nor closed by the budget,
  // and a statement of this size is not refused by it.
  static constexpr std::size_t kSmallBytes = 8UL * 1024;

  explicit MemoryBudget(std::size_t aLimitBytes);

  void Change(MemoryPlace aPlace, std::size_t aOldBytes, std::size_t aNewBytes);
  void Count(ClientVerdict aVerdict);

  // May more be read from a connection that holds this much?
  bool MayRead(std::size_t aHeldBytes) const;
  // May work start that will hold this much?
  bool MayTake(std::size_t aBytes) const;
  // Number of bytes that connections without progress have to give back.
  std::size_t ExcessOverPause() const;
  // Number of bytes that have to be given back at once; 0 below kCloseShare.
  std::size_t ExcessOverClose() const;

  std::size_t Limit() const { return limit_; }
  std::size_t Used() const;
  std::size_t Used(MemoryPlace aPlace) const;
  std::uint64_t Counted(ClientVerdict aVerdict) const;

private:
  static constexpr double kPauseShare = 0.5;
  static constexpr double kRefuseShare = 0.7;
  static constexpr double kCloseShare = 0.85;

  std::size_t Mark(double aShare) const;

  std::size_t limit_;
  std::atomic<std::int64_t> used_ = 0;
  std::array<std::atomic<std::int64_t>, kMemoryPlaceNames.size()> places_{};
  std::array<std::atomic<std::uint64_t>, kClientVerdictNames.size()> counts_{};
};

// The bytes that one owner holds at one place; given back when it is destroyed.
class MemoryCharge
{
public:
  MemoryCharge(MemoryBudget* aBudget, MemoryPlace aPlace)
    : budget_(aBudget)
    , place_(aPlace)
  {
  }
  ~MemoryCharge() { Set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void Set(std::size_t aBytes)
  {
    if (budget_ != nullptr && aBytes != bytes_) {
      budget_->Change(place_, bytes_, aBytes);
      bytes_ = aBytes;
    }
  }
  std::size_t Bytes() const { return bytes_; }

private:
  MemoryBudget* budget_; // null: nothing is accounted
  MemoryPlace place_;
  std::size_t bytes_ = 0;
};

// Returns the budget of a process with this memory that may have this many
// connections.
std::size_t
ComputeBudget(std::size_t aMemoryBytes, std::size_t aMaxConnections);

} // namespace jaydoor
