#pragma once

// Session tokens: what a caller has seen, signed, and carried by the caller.
//
//   SessionSigner signer(keys);
//   auto state = signer.Read(token);   // forged or unreadable: an error
//   state->Raise("lessons", point);
//   token = signer.Issue(*state);
//
// No VM keeps anything about a session, so any VM can honour any token.

#include "base/Error.h"
#include "base/Types.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydoor {

inline constexpr std::size_t kMaxSessionDatabases = 32;

struct SessionState
{
  std::map<DatabaseId, LogPoint> seenPoints_; // highest point read or written

  LogPoint PointOf(const DatabaseId& aDatabase) const;
  // Keeps the higher of the two points.
  void RaisePoint(const DatabaseId& aDatabase, LogPoint aPoint);
  // True if another database would not fit into the token.
  bool IsFullFor(const DatabaseId& aDatabase) const;
};

class SessionSigner
{
public:
  // Signs with the first key; accepts any of them, so that keys can be
  // rotated without a session being refused.
  explicit SessionSigner(std::span<const std::string> aKeys);

  std::string Issue(const SessionState& aState) const;
  // An empty token is a new session.
  Expected<SessionState> Read(std::string_view aToken) const;

private:
  std::vector<std::string> keys_;
};

} // namespace jaydoor
