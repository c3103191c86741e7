#pragma once

// Decides how long this VM keeps an idle link to one server.
//
//   IdleLinkPolicy policy;
//   policy.RecordScarcity(now);
//   if (now - idleSince > policy.Timeout(kIdleLinkTimeout, now)) ... // close
//   it
//
// The load pattern: more VMs than the server accepts connections send it
// statements at a low rate each, so that their links together reach its
// connection limit. Closing idle links at once whenever that happens makes each
// statement open a connection, which takes more of the server's slots than many
// statements do. Keeping them longer lets the server refuse connections. Each
// VM therefore shortens the time by a factor at each sign of scarcity and
// lengthens it slowly in between, so that the number of links settles just
// below the limit, whatever the number of VMs.

#include "base/Time.h"

namespace jaydoor {

class IdleLinkPolicy
{
public:
  // The server refused a connection over its limit, to this or another VM.
  void RecordScarcity(Time aNow);
  // Returns true if connections have been scarce lately.
  bool IsScarce(Time aNow) const;
  // Returns how long a link may be idle. `aUsual`: while connections are not
  // scarce.
  Duration Timeout(Duration aUsual, Time aNow) const;

private:
  Time scarceAt_;         // last sign of scarcity that shortened the time
  Duration atScarcity_{}; // the time since then, before it grows again
};

} // namespace jaydoor
