#pragma once

// The words that all packages share: log points, ranks, outcomes, reasons.

#include "base/Time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaydoor {

// Ids name VMs, servers and databases in messages, rules and logs.
using VmId = std::string;
using ServerId = std::string;
using DatabaseId = std::string;
using ZoneId = std::string;

// A place in a database's log. Points of different terms compare by term.
struct LogPoint
{
  std::uint64_t term_ = 0;     // term of the primary that wrote the entry
  std::uint64_t position_ = 0; // 1 for the first entry; 0 means none

  auto operator<=>(const LogPoint&) const = default;
};

// How urgent a statement is. The order of the values is the order of service.
enum class Rank : std::uint8_t
{
  Urgent,
  Normal,
  Low,
};
inline constexpr std::size_t kRankCount = 3;

// What a caller may rely on after its statement. Each gets exactly one.
enum class Outcome : std::uint8_t
{
  Done,    // ran, and a write is durable on a majority of its group
  NotRun,  // proven not to have run, and never will
  Failed,  // ran, and the database refused it; nothing was changed
  Unknown, // sent, and there is no proof either way
};

// Why a statement was refused or failed.
enum class Reason : std::uint8_t
{
  None,
  BadRequest,      // malformed, oversized or of the wrong type
  BadSession,      // forged or unreadable session token
  NoSuchDatabase,  // no upstream of that name has announced itself
  NoPrimary,       // no primary is known or reachable
  WrongTerm,       // upstream is at another term
  NotPrimary,      // upstream is not the primary
  Behind,          // upstream is behind what the session has seen
  Stale,           // no upstream can prove the age that the rule allows
  PastDeadline,    // deadline passed before the statement was sent
  Overloaded,      // queue full, or the deadline can't be met
  NoConnection,    // no connection to the upstream could be opened
  NotOwner,        // the VM asked does not own the upstream
  Leaving,         // the upstream or VM is leaving
  RulesUnproven,   // this VM can't prove that its rules are in force
  RuleForbids,     // a rule keeps traffic off the upstream
  TransactionLost, // transaction unknown, expired or rolled back
  Unreachable,     // the VM that owns the upstream didn't answer
  NotDurable,      // no majority proved the write durable in time
  DatabaseError,   // the database's own refusal
  RetryBudget,     // a retry was possible, but the retry budget is spent
};

// Text forms, as they stand in JSON bodies, rules and logs.
std::string_view
ToText(Rank aRank);
std::string_view
ToText(Outcome aOutcome);
std::string_view
ToText(Reason aReason);
std::optional<Rank>
ParseRank(std::string_view aText);
std::optional<Outcome>
ParseOutcome(std::string_view aText);
std::optional<Reason>
ParseReason(std::string_view aText);

// What an operator or caller can do about a refusal.
std::string_view
RemedyOf(Reason aReason);

} // namespace jaydoor
