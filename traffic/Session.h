#pragma once

// Session tokens: the log points that a caller has read or written, signed by
// the fleet and carried by the caller.
//
//   SessionSigner signer(keys);
//   auto state = signer.Read(token);   // forged or unreadable: an error
//   state->RaisePoint("lessons", point);
//   token = signer.Issue(*state);
//
// No VM stores session state, so any VM can process any token.

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

  // Highest point read or written in the database; zero if there is none.
  LogPoint PointOf(const DatabaseId& aDatabase) const;
  // Sets the database's point if it is higher than the present one.
  void RaisePoint(const DatabaseId& aDatabase, LogPoint aPoint);
  // True if the database is not in the session yet and the session already
  // holds kMaxSessionDatabases of them.
  bool IsFullFor(const DatabaseId& aDatabase) const;
};

class SessionSigner
{
public:
  // Signs with the first key. Accepts tokens signed with any of the keys, so
  // that keys can be rotated without refusing the sessions in use.
  explicit SessionSigner(std::span<const std::string> aKeys);

  // Returns the signed token of the session.
  std::string Issue(const SessionState& aState) const;
  // Checks the token's signature and returns its session. An empty token gives
  // a new session. Error Forged: the token is cut short, of another version,
  // unreadable or not signed with one of the keys.
  Expected<SessionState> Read(std::string_view aToken) const;

private:
  std::vector<std::string> keys_;
};

} // namespace jaydoor
