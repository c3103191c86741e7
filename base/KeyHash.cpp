#include "base/KeyHash.h"

#include <fmt/format.h>
#include <openssl/sha.h>

namespace jaydoor {

KeyHash
HashKey(std::string_view aKey)
{
  KeyHash hash{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         hash.data());
  return hash;
}

std::string
MakeFingerprint(const KeyHash& aHash)
{
  return fmt::format(
    "{:02x}{:02x}{:02x}{:02x}", aHash[0], aHash[1], aHash[2], aHash[3]);
}

} // namespace jaydoor
