#include "gateway/SessionTypes.h"

namespace jaydoor {

std::string_view
GetErrorName(SessionError aError)
{
  switch (aError) {
    case SessionError::Overloaded:
      return "overloaded";
    case SessionError::Aborted:
      return "aborted";
    case SessionError::Behind:
      return "behind";
    case SessionError::ReadOnly:
      return "read_only";
    case SessionError::WrongServer:
      return "wrong_server";
    case SessionError::ConnectionLimit:
      return "connection_limit";
    case SessionError::InDoubt:
      return "in_doubt";
    case SessionError::TimedOut:
      return "timed_out";
    case SessionError::Failed:
      return "failed";
    case SessionError::NoStatement:
      return "no_statement";
    case SessionError::NoDatabase:
      return "no_database";
    case SessionError::UnknownKey:
      return "unknown_key";
    default:
      return "other";
  }
}

bool
IsNotRun(SessionError aError)
{
  return aError == SessionError::Overloaded || aError == SessionError::Behind ||
         aError == SessionError::ReadOnly ||
         aError == SessionError::NoStatement ||
         aError == SessionError::WrongServer ||
         aError == SessionError::ConnectionLimit;
}

bool
RunsStatement(CommandKind aKind)
{
  return aKind == CommandKind::Forward || aKind == CommandKind::Execute;
}

bool
BeginsTransaction(CommandKind aKind)
{
  return aKind == CommandKind::Begin || aKind == CommandKind::BeginReadOnly;
}

} // namespace jaydoor
