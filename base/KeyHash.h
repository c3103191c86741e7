#pragma once

// Hashes of the keys by which organisations identify themselves. Keys are kept
// and compared as hashes, so that no message, log line or memory image of a
// catalog contains one.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jaydoor {

using KeyHash = std::array<std::uint8_t, 32>; // SHA-256

// Returns the hash of a key.
KeyHash
HashKey(std::string_view aKey);

// Returns the first 8 hexadecimal digits of the hash, for logs.
std::string
MakeFingerprint(const KeyHash& aHash);

} // namespace jaydoor
