#pragma once

// Limits on what one caller's connection may do, and the judgement of a
// connection by them. It does no I/O and reads no clock.
//
//   CallerProgress progress{ .connectedAt_ = now };
//   if (const auto verdict = JudgeCaller(progress, limits, now)) { ... close }
//
// The load pattern: crowds of connections that open nothing, send part of a
// message, or take no responses. A session that has no partial message and no
// untaken response may be idle without limit. The defaults are several times
// what a client needs that is cut off for 7 s or shares a link of 1.4 Mbit/s
// (6 s for a message of 1 MiB).
//
// Times are of a clock that stops while the process does not run, so that bytes
// which arrived meanwhile are read before their sender is judged.

#include "base/Time.h"
#include "daemon/MemoryBudget.h"

#include <optional>

namespace jaydoor {

struct ClientLimits
{
  std::size_t maxConnections_ = 1024; // of callers
  Duration openTimeout_ = 30s;        // from connecting to the opening message
  Duration partialTimeout_ = 60s;     // from first to last byte of a message
  Duration unreadTimeout_ = 30s;      // without any byte of responses taken
};

struct CallerProgress
{
  Time connectedAt_;
  std::optional<Time> partialSince_; // a message has begun and not ended
  std::optional<Time> unreadSince_;  // the last of its unsent bytes was taken
  Time progressAt_; // last message completed, or bytes of a response taken
  bool opened_ = false;
};

// Returns why the connection has to be closed, or nothing.
inline std::optional<ClientVerdict>
JudgeCaller(const CallerProgress& aProgress,
            const ClientLimits& aLimits,
            Time aNow)
{
  if (aProgress.unreadSince_ &&
      aNow - *aProgress.unreadSince_ >= aLimits.unreadTimeout_) {
    return ClientVerdict::ClosedUnread;
  }
  if (!aProgress.opened_ &&
      aNow - aProgress.connectedAt_ >= aLimits.openTimeout_) {
    return ClientVerdict::ClosedUnopened;
  }
  if (aProgress.partialSince_ &&
      aNow - *aProgress.partialSince_ >= aLimits.partialTimeout_) {
    return ClientVerdict::ClosedPartial;
  }
  return std::nullopt;
}

} // namespace jaydoor
