#pragma once

// zlib compression of texts that are sent between zones or sent often.

#include "base/Error.h"

#include <string>
#include <string_view>

namespace jaydoor {

std::string
Compress(std::string_view aText);

// Returns BadInput if `aBytes` is damaged or decompresses to more than
// `aMaxBytes` bytes, and Unavailable if there is not enough memory.
Expected<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace jaydoor
