#pragma once

// What passes between callers' sessions, the gateway and database servers.
//
// Sections:
//   1. What a caller sends, and is told
//   2. What a server is sent, and answers
//
// A codec turns these into bytes and back: see platform/LineCodec.h.

#include "base/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace jaydoor {

using SessionId = std::uint64_t;
using ServerLinkId = std::uint64_t; // a connection to a server

// ---- 1. What a caller sends, and is told

enum class StatementKind : std::uint8_t
{
  Begin,
  BeginReadOnly, // a transaction that only reads
  Commit,
  Rollback,
  Read,
  Write,
  Set,        // a value of the session
  Prepare,    //
  Execute,    // a prepared statement
  Deallocate, // a prepared statement's name
  Malformed,
};

struct SessionStatement
{
  StatementKind kind_ = StatementKind::Malformed;
  std::string id_;       // the caller's; servers are told the same
  std::string text_;     // as it was sent
  std::string name_;     // of a value or a prepared statement
  std::string argument_; // a value, a prepared shape, or what is executed
  bool writes_ = false;  // Prepare: its statement writes
};

// Errors, with what they prove about the statement.
enum class SessionError : std::uint8_t
{
  Overloaded,      // not run
  Aborted,         // nothing of the transaction is kept
  Behind,          // not run: the server lacks a log position
  ReadOnly,        // not run: the server is not the primary
  WrongServer,     // not run: another server answers at the address
  ConnectionLimit, // not run
  InDoubt,         // may have been committed
  TimedOut,        // may have run
  Failed,          // ran, and the database refused it
  NoStatement,     // not run: no prepared statement of that name
  NoDatabase,      // not run: no such database
  TooLarge,        //
  Malformed,       //
  Other,           // a server's code that is not known here
};

enum class TransactionState : std::uint8_t
{
  Idle,
  Open,
  Failed, // only an end of the transaction is accepted
};

struct SessionReply
{
  std::vector<std::string> rows_;
  std::optional<SessionError> error_;
  std::string errorText_;
  std::string signature_; // the server's; empty: jaydoor answers itself
  TransactionState state_ = TransactionState::Idle;
};

// What a caller's bytes say.
struct CallerMessage
{
  enum class Kind : std::uint8_t
  {
    Open,
    Statement,
    Close,
    TooLarge,   // the session can't go on
    Unreadable, // the session can't go on
  };

  Kind kind_ = Kind::Unreadable;
  std::string database_;       // Open
  SessionStatement statement_; // Statement
};

// ---- 2. What a server is sent, and answers

enum class CommandKind : std::uint8_t
{
  Forward, // a caller's statement
  Execute, // a caller's prepared statement, by its name at the server
  Begin,
  BeginReadOnly,
  Rollback,
  Reset, // values and prepared statements
  Set,
  Prepare,
};

struct ServerCommand
{
  ServerCommand() = default;
  explicit ServerCommand(CommandKind aKind)
    : kind_(aKind)
  {
  }

  CommandKind kind_ = CommandKind::Forward;
  std::string id_;       // Forward, Execute: the caller's
  std::string text_;     // Forward
  std::string name_;     // Set, Prepare, Execute
  std::string argument_; // Set, Prepare, Execute
  bool writes_ = false;  // Prepare
  LogPoint minPoint_;    // refuse unless the log has this; zero: any
};

struct ServerAnswer
{
  std::vector<std::string> rows_;
  std::optional<SessionError> error_;
  std::string errorText_;
  std::string signature_;
  TransactionState state_ = TransactionState::Idle;
  LogPoint point_; // last entry of the server's log; zero: not told
};

// What a server's bytes say.
struct ServerMessage
{
  enum class Kind : std::uint8_t
  {
    Answer,
    Unreadable, // the connection can't go on
  };

  Kind kind_ = Kind::Unreadable;
  ServerAnswer answer_;
};

} // namespace jaydoor
