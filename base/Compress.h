#pragma once

// Compression of texts that travel far or often.

#include "base/Error.h"

#include <string>
#include <string_view>

namespace jaydoor {

std::string
Compress(std::string_view aText);

// Refuses what is damaged, or would be longer than `aMost` bytes.
Expected<std::string>
Decompress(std::string_view aBytes, std::size_t aMost);

} // namespace jaydoor
