#pragma once

// Typed errors. `tl::expected<T, Error>` is the return type of all that can
// fail; the message names what was wrong and the remedy.

#include <string>

#include <tl/expected.hpp>

namespace jaydoor {

enum class ErrorKind
{
  BadSetting,  // a flag or environment variable
  BadRule,     // a line of the rules file
  BadInput,    // a message from a caller, upstream, operator or other VM
  Forged,      // a signature that no known key made
  Conflict,    // a change based on a version that is no longer in force
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
