#pragma once

// Writes and parses the JSON bodies exchanged with callers and upstreams.
//
// Sections:
//   1. Callers:   POST /v1/statement
//   2. Upstreams: POST /v1/execute, /v1/status, /v1/seal, /v1/promote,
//                 /v1/follow, and the upstream's own POST /v1/announce
//
// Every parser bounds the sizes and numbers that it accepts. On invalid input
// it returns a BadInput error that names the field, what was expected and the
// remedy.

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

// Deadlines are sent as the time left, counted from the arrival of a request.
inline constexpr Duration kMaxDeadline = 60s;
inline constexpr Duration kDefaultDeadline = 2s;

// What a statement does to its transaction.
enum class TransactionStep : std::uint8_t
{
  None, // the statement belongs to no transaction
  Begin,
  Inside, // the statement runs in a transaction that stays open
  Commit,
  Rollback,
};

struct CallerRequest
{
  DatabaseId database_;      // the database to run the statement on
  std::string statement_;    // passed to the upstream unchanged
  std::string workLabel_;    // label of the kind of work, matched by rules
  std::string customer_;     // on whose behalf it runs, for fair queuing
  std::string sessionToken_; // token from the session's last answer, or empty
  std::string transaction_;  // handle; set for all steps after Begin
  std::string traceParent_;  // W3C traceparent, or empty
  std::optional<Rank> rank_; // requested by the caller; a rule overrides it
  Duration deadline_{ kDefaultDeadline }; // counted from arrival
  TransactionStep step_{ TransactionStep::None };
  bool read_ = false;       // the caller promises that it writes nothing
  bool repeatable_ = false; // the statement may run more than once
};

struct CallerAnswer
{
  Outcome outcome_ = Outcome::NotRun;
  Reason reason_ = Reason::None;
  std::vector<std::string> rows_;
  std::string sessionToken_; // token to send with the session's next request
  std::string transaction_;  // handle, while the transaction is open
  std::string detail_;       // the database's error message on a failure
  ServerId server_;          // upstream that ran the statement
  LogPoint point_;           // log point that was read or written
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
  Execute, // run a statement
  Status,  // report the log point, the promised term and the role
  Seal,    // promise a term: accept no writes of lower terms from now on
  Promote, // become the primary of the promised term
  Follow,  // replicate from the given primary at its term
};

struct UpstreamRequest
{
  UpstreamOp op_ = UpstreamOp::Status;
  std::uint64_t term_ = 0;
  std::string statement_;    // Execute
  LogPoint minPoint_;        // Execute: a read is refused as Behind if the log
                             // ends before it
  Duration remainingTime_{}; // Execute: time left; refused once it is over
  TransactionStep step_ = TransactionStep::None;
  bool read_ = false;
  std::string primaryHost_;       // Follow
  std::uint16_t primaryPort_ = 0; // Follow
};

enum class UpstreamResult : std::uint8_t
{
  Done,    // ran
  Refused, // proves that nothing ran
  Failed,  // ran and changed nothing
};

struct UpstreamAnswer
{
  UpstreamResult result_ = UpstreamResult::Refused;
  Reason reason_ = Reason::None;
  std::string detail_;
  std::vector<std::string> rows_;
  // Execute: log point that was read or written; Status, Seal: last durable
  // entry.
  LogPoint point_;
  std::uint64_t promisedTerm_ = 0; // highest term that the server has promised
  bool claimsPrimary_ = false;  // Status: the server believes it is the primary
  bool followsPrimary_ = false; // Status: the server replicates from a primary
};

// Returns the HTTP path of an operation.
std::string_view
PathOf(UpstreamOp aOp);

// Returns the operation that a path stands for; nothing for an unknown path.
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

// Body of POST /v1/announce, with which an upstream describes itself.
std::string
WriteAnnouncement(const wire::Upstream& aUpstream);
Expected<wire::Upstream>
ParseAnnouncement(std::string_view aBody);

// True if the name is 1 to 64 letters, digits, '_', '-' or '.'.
bool
IsValidName(std::string_view aText);

} // namespace jaydoor
