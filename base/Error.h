#pragma once

// Typed errors. Functions that can fail return `tl::expected<T, Error>`; the
// message says what was wrong and names the remedy.

#include <string>

#include <tl/expected.hpp>

namespace jaydoor {

enum class ErrorKind
{
  BadSetting,  // a flag or environment variable has an invalid value
  BadRule,     // a line of the rules file is invalid
  BadInput,    // an invalid message from a caller, upstream, operator or VM
  Forged,      // no known key made the signature
  Conflict,    // the change is based on a version no longer in force
  Unavailable, // can't be done now; the message says until when
  Disk,        // the data folder can't be read or written
  Network,     // a socket can't be opened, bound or written
};

struct Error
{
  ErrorKind kind_;
  std::string message_; // what was wrong, what is allowed, the remedy
};

template<typename T>
using Expected = tl::expected<T, Error>;

inline tl::unexpected<Error>
MakeError(ErrorKind aKind, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aKind, std::move(aMessage) });
}

} // namespace jaydoor
