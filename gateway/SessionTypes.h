#pragma once

// The messages between callers, the gateway and database servers.
//
// Sections:
//   1. Statements of callers and replies to them
//   2. Commands to servers and their answers
//
// A codec converts them to bytes and back: see platform/LineCodec.h.

#include "base/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaydoor {

using SessionId = std::uint64_t;
using ServerLinkId = std::uint64_t; // of a connection to a server

// ---- 1. Statements of callers and replies to them

enum class StatementKind : std::uint8_t
{
  Begin,
  BeginReadOnly, // begins a read-only transaction
  Commit,
  Rollback,
  Read,
  Write,
  Set,        // sets a value of the session
  Prepare,    // defines a prepared statement
  Execute,    // runs a prepared statement
  Deallocate, // removes a prepared statement
  Malformed,
};

struct SessionStatement
{
  StatementKind kind_ = StatementKind::Malformed;
  std::string id_;   // chosen by the caller; passed on to servers
  std::string text_; // as the caller sent it
  std::string name_; // of the session value or the prepared statement
  // Set: the value. Prepare: the statement to prepare. Execute: the argument of
  // the prepared statement.
  std::string argument_;
  bool writes_ = false; // Prepare: the prepared statement writes data
};

// Errors of a statement, each with what it proves about the statement's
// effects.
enum class SessionError : std::uint8_t
{
  Overloaded,      // not run: no capacity
  Aborted,         // nothing of the statement or its transaction is kept
  Behind,          // not run: the server's log is below the required point
  ReadOnly,        // not run: the server is not the primary
  WrongServer,     // not run: another server answers at the address
  ConnectionLimit, // not run: the server accepts no more connections
  InDoubt,         // may have been committed
  TimedOut,        // may have run
  Failed,          // ran, and the database refused it
  NoStatement,     // not run: no prepared statement of that name
  NoDatabase,      // not run: no such database
  UnknownKey,      // not run: the key is of no organisation
  TooLarge,        // a line or a session's state is too large
  Malformed,       // not a statement, or not allowed in this state
  Other,           // an error code of the server that is not known here
};

// Returns the error's name in log lines.
std::string_view
GetErrorName(SessionError aError);

// Returns true if the error proves that the statement has not run.
bool
IsNotRun(SessionError aError);

enum class TransactionState : std::uint8_t
{
  Idle,
  Open,
  Failed, // only a commit or rollback is accepted, and both roll back
};

struct SessionReply
{
  std::vector<std::string> rows_;
  std::optional<SessionError> error_;
  std::string errorText_;
  std::string signature_; // of the server; empty if the gateway answered itself
  TransactionState state_ = TransactionState::Idle;
};

// One message from a caller.
struct CallerMessage
{
  enum class Kind : std::uint8_t
  {
    Open,
    Statement,
    Close,
    TooLarge,   // the session has to be closed
    Unreadable, // the session has to be closed
  };

  Kind kind_ = Kind::Unreadable;
  std::string database_;       // only for Open
  std::string key_;            // only for Open: who the caller says it is
  SessionStatement statement_; // only for Statement
};

// ---- 2. Commands to servers and their answers

enum class CommandKind : std::uint8_t
{
  Forward, // a caller's statement
  Execute, // a caller's prepared statement, by its name on the server
  Begin,
  BeginReadOnly,
  Rollback,
  Reset, // clears the connection's values and prepared statements
  Set,
  Prepare,
};

// Returns true for commands that run a caller's statement.
bool
RunsStatement(CommandKind aKind);

// Returns true for commands that begin a transaction.
bool
BeginsTransaction(CommandKind aKind);

struct ServerCommand
{
  ServerCommand() = default;
  explicit ServerCommand(CommandKind aKind)
    : kind_(aKind)
  {
  }

  CommandKind kind_ = CommandKind::Forward;
  std::string id_;               // Forward, Execute: the caller's statement id
  std::string text_;             // Forward
  std::string name_;             // Set, Prepare, Execute
  std::string argument_;         // Set, Prepare, Execute
  bool writes_ = false;          // Prepare: the statement writes data
  bool endsTransaction_ = false; // Forward: a commit
  // The server refuses the command while its log is below this point. Zero: no
  // minimum.
  LogPoint minPoint_;
};

struct ServerAnswer
{
  std::vector<std::string> rows_;
  std::optional<SessionError> error_;
  std::string errorText_;
  // Unique to each run of a statement; empty for commands of the gateway.
  std::string signature_;
  // The server said whether the command succeeded. Without it, the answer only
  // tells that a connection is open.
  bool hasResult_ = false;
  TransactionState state_ = TransactionState::Idle;
  LogPoint point_; // last entry of the server's log; zero: not stated
};

// One message from a server.
struct ServerMessage
{
  enum class Kind : std::uint8_t
  {
    Answer,
    Unreadable, // the connection has to be closed
  };

  Kind kind_ = Kind::Unreadable;
  ServerAnswer answer_;
};

} // namespace jaydoor
