#include "traffic/Session.h"

#include <charconv>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace jaydoor {
namespace {

constexpr std::string_view kTokenVersion = "s1";
constexpr std::size_t kMacBytes = 16; // kept of the 32 of HMAC-SHA-256

// Returns the text's signature in hexadecimal digits.
std::string
SignText(const std::string& aKey, std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       mac.data(),
       &size);
  std::string hex;
  hex.reserve(2 * kMacBytes);
  for (std::size_t i = 0; i < kMacBytes; i++) {
    fmt::format_to(std::back_inserter(hex), "{:02x}", mac[i]);
  }
  return hex;
}

// Takes the same time wherever the texts differ, so that a forger can't guess a
// signature byte by byte.
bool
IsEqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

// Removes the text up to and including `aEnd` from the front of `aText`, and
// returns it without `aEnd`.
std::string_view
ExtractUntil(std::string_view& aText, char aEnd)
{
  const std::size_t at = std::min(aText.find(aEnd), aText.size());
  const std::string_view part = aText.substr(0, at);
  aText.remove_prefix(std::min(at + 1, aText.size()));
  return part;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

tl::unexpected<Error>
MakeTokenError(std::string_view aProblem)
{
  return MakeError(ErrorKind::Forged,
                   fmt::format("the session token {}; send the token of the "
                               "last answer unchanged, or none",
                               aProblem));
}

} // namespace

LogPoint
SessionState::PointOf(const DatabaseId& aDatabase) const
{
  const auto found = seenPoints_.find(aDatabase);
  return found == seenPoints_.end() ? LogPoint{} : found->second;
}

void
SessionState::RaisePoint(const DatabaseId& aDatabase, LogPoint aPoint)
{
  LogPoint& point = seenPoints_[aDatabase];
  point = std::max(point, aPoint);
}

bool
SessionState::IsFullFor(const DatabaseId& aDatabase) const
{
  return seenPoints_.size() >= kMaxSessionDatabases &&
         !seenPoints_.contains(aDatabase);
}

SessionSigner::SessionSigner(std::span<const std::string> aKeys)
  : keys_(aKeys.begin(), aKeys.end())
{
}

// Format of a token: s1!database:term:position!...!mac
std::string
SessionSigner::Issue(const SessionState& aState) const
{
  std::string text(kTokenVersion);
  for (const auto& [database, point] : aState.seenPoints_) {
    fmt::format_to(std::back_inserter(text),
                   "!{}:{}:{}",
                   database,
                   point.term_,
                   point.position_);
  }
  return text + '!' + SignText(keys_.front(), text);
}

Expected<SessionState>
SessionSigner::Read(std::string_view aToken) const
{
  if (aToken.empty()) {
    return SessionState{};
  }
  const std::size_t end = aToken.rfind('!');
  if (end == std::string_view::npos) {
    return MakeTokenError("is cut short");
  }
  std::string_view text = aToken.substr(0, end);
  const std::string_view mac = aToken.substr(end + 1);
  bool knownKey = false;
  for (const auto& key : keys_) {
    knownKey = knownKey || IsEqualInConstantTime(SignText(key, text), mac);
  }
  if (!knownKey) {
    return MakeTokenError("was not signed by this fleet");
  }
  if (ExtractUntil(text, '!') != kTokenVersion) {
    return MakeTokenError("is of another version");
  }
  SessionState state;
  while (!text.empty()) {
    std::string_view entry = ExtractUntil(text, '!');
    const DatabaseId database(ExtractUntil(entry, ':'));
    const auto term = ParseNumber(ExtractUntil(entry, ':'));
    const auto position = ParseNumber(entry);
    if (!term || !position || state.IsFullFor(database)) {
      return MakeTokenError("is unreadable");
    }
    state.RaisePoint(database, { *term, *position });
  }
  return state;
}

} // namespace jaydoor
