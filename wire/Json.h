#pragma once

// JSON bodies towards callers and upstreams, checked on the way in.
//
// Sections:
//   1. Callers:   POST /v1/statement
//   2. Upstreams: POST /v1/execute, /v1/status, /v1/seal, /v1/promote,
//                 /v1/follow, and the upstream's own POST /v1/announce
//
// Every parser bounds what it accepts and returns an error that names the
// field, what was expected and the remedy.

#include "base/Error.h"
#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydoor {

// ---- 1. Callers

inline constexpr std::size_t kMaxStatementBytes = 64UL * 1024;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr Duration kMaxDeadline = 60s;
inline constexpr Duration kDefaultDeadline = 2s;

enum class TransactionStep : std::uint8_t
{
  None,
  Begin,
  Inside,
  Commit,
  Rollback,
};

struct CallerRequest
{
  DatabaseId database_;      //
  std::string statement_;    // passed to the upstream as it is
  std::string workLabel_;    // label that rules match
  std::string customer_;     // whose work it is, for fairness
  std::string sessionToken_; // token of the last answer, or empty
  std::string transaction_;  // handle, from step Inside on
  std::string traceParent_;  // W3C traceparent, or empty
  std::optional<Rank> rank_; // the caller's wish; a rule goes before it
  Duration deadline_{ kDefaultDeadline }; // from arrival
  TransactionStep step_{ TransactionStep::None };
  bool read_ = false;       // the caller promises that it writes nothing
  bool repeatable_ = false; // may run more than once
};

struct CallerAnswer
{
  Outcome outcome_ = Outcome::NotRun;
  Reason reason_ = Reason::None;
  std::vector<std::string> rows_;
  std::string sessionToken_; // to be sent with the next request
  std::string transaction_;  // handle, after step Begin
  std::string detail_;       // the database's own words on a failure
  ServerId server_;          // upstream that ran it
  LogPoint point_;           // where it was read or written
};

Expected<CallerRequest>
ParseCallerRequest(std::string_view aBody);
std::string
WriteCallerAnswer(const CallerAnswer& aAnswer);
std::string
WriteCallerRequest(const CallerRequest& aRequest);
Expected<CallerAnswer>
ParseCallerAnswer(std::string_view aBody);

// ---- 2. Upstreams

enum class UpstreamOp : std::uint8_t
{
  Execute,
  Status,
  Seal,
  Promote,
  Follow,
};

struct UpstreamRequest
{
  UpstreamOp op_ = UpstreamOp::Status;
  std::uint64_t term_ = 0;
  std::string statement_;    // Execute
  LogPoint minPoint_;        // Execute: refused as behind below it
  Duration remainingTime_{}; // Execute: refused once it has passed
  TransactionStep step_ = TransactionStep::None;
  bool read_ = false;
  std::string primaryHost_; // Follow
  std::uint16_t primaryPort_ = 0;
};

enum class UpstreamResult : std::uint8_t
{
  Done,
  Refused, // proof that nothing ran
  Failed,  // ran and changed nothing
};

struct UpstreamAnswer
{
  UpstreamResult result_ = UpstreamResult::Refused;
  Reason reason_ = Reason::None;
  std::string detail_;
  std::vector<std::string> rows_;
  LogPoint point_; // Execute: where; Status, Seal: last durable entry
  std::uint64_t promisedTerm_ = 0; // highest term promised
  bool claimsPrimary_ =
    false; // Status: the server takes itself for the primary
  bool followsPrimary_ = false; // Status: it replicates from a primary
};

std::string_view
PathOf(UpstreamOp aOp);
std::optional<UpstreamOp>
ParseUpstreamPath(std::string_view aPath);
std::string
WriteUpstreamRequest(const UpstreamRequest& aRequest);
Expected<UpstreamRequest>
ParseUpstreamRequest(UpstreamOp aOp, std::string_view aBody);
std::string
WriteUpstreamAnswer(const UpstreamAnswer& aAnswer);
Expected<UpstreamAnswer>
ParseUpstreamAnswer(std::string_view aBody);

std::string
WriteAnnouncement(const wire::Upstream& aUpstream);
Expected<wire::Upstream>
ParseAnnouncement(std::string_view aBody);

// True if the name is 1 to 64 letters, digits, '_', '-' or '.'.
bool
IsValidName(std::string_view aText);

} // namespace jaydoor
