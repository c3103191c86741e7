#pragma once

// Types that all packages share: ids, log points, ranks, outcomes, reasons.

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
using OrganisationId = std::string;

// A position in a database's log. Points of different terms compare by term.
struct LogPoint
{
  std::uint64_t term_ = 0;     // term of the primary that wrote the entry
  std::uint64_t position_ = 0; // 1 for the first entry; 0 means no entry

  auto operator<=>(const LogPoint&) const = default;
};

// How urgent a statement is. Ranks are served in the order of the values.
enum class Rank : std::uint8_t
{
  Urgent,
  Normal,
  Low,
};
inline constexpr std::size_t kRankCount = 3;

// What a caller may rely on once its statement is answered. Each statement gets
// exactly one outcome.
enum class Outcome : std::uint8_t
{
  Done,    // it ran; a write is durable on a majority of the server group
  NotRun,  // it provably has not run and never will
  Failed,  // it ran, but the database refused it; nothing was changed
  Unknown, // it was sent, and nothing proves whether it ran
};

// Why a statement was refused or failed.
enum class Reason : std::uint8_t
{
  None,
  BadRequest,      // malformed, too large or of the wrong type
  BadSession,      // session token is forged, unreadable or full
  NoSuchDatabase,  // no upstream of that name has announced itself
  NoPrimary,       // no primary is known or reachable
  WrongTerm,       // upstream is at another term than the statement names
  NotPrimary,      // upstream is not the primary
  Behind,          // upstream lacks log entries that the session has seen
  Stale,           // data not proven to be as recent as the rule demands
  PastDeadline,    // deadline passed before the statement was sent
  Overloaded,      // queue is full, or the deadline can't be met
  NoConnection,    // no connection to the upstream could be opened
  NotOwner,        // the VM that was asked does not own the upstream
  Leaving,         // the upstream or VM is leaving
  RulesUnproven,   // this VM can't prove that its rules are in force
  RuleForbids,     // a rule keeps traffic off the upstream
  TransactionLost, // transaction is unknown, expired or rolled back
  Unreachable,     // upstream or the VM that owns it didn't answer
  NotDurable,      // write not proven durable on a majority in time
  DatabaseError,   // the database refused the statement
  RetryBudget,     // a retry was possible, but the retry budget is spent
};

// Conversion to and from the texts used in JSON bodies, rules and logs. The
// Parse functions return nothing for an unknown text.
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

// What an operator or caller can do about a refusal; empty for Reason::None.
std::string_view
RemedyOf(Reason aReason);

} // namespace jaydoor
