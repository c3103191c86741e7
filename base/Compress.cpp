#include "base/Compress.h"

#include <algorithm>

#include <fmt/format.h>
#include <zlib.h>

namespace jaydoor {
namespace {

// A fast zlib level is enough, because the texts are highly repetitive.
constexpr int kCompressionLevel = 3;
constexpr std::size_t kChunkBytes = 64UL * 1024; // output grows by this much

} // namespace

std::string
Compress(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(size, '\0');
  compress2(reinterpret_cast<Bytef*>(bytes.data()),
            &size,
            reinterpret_cast<const Bytef*>(aText.data()),
            aText.size(),
            kCompressionLevel);
  bytes.resize(size);
  return bytes;
}

Expected<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return MakeError(ErrorKind::Unavailable,
                     "not enough memory to decompress a text; raise the memory "
                     "limit of the process");
  }
  stream.next_in =
    const_cast<Bytef*>(reinterpret_cast<const Bytef*>(aBytes.data()));
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && text.size() <= aMaxBytes) {
    const std::size_t before = text.size();
    text.resize(before + kChunkBytes);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
    stream.avail_out = static_cast<uInt>(kChunkBytes);
    result = inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || text.size() > aMaxBytes) {
    return MakeError(
      ErrorKind::BadInput,
      fmt::format("compressed text of {} bytes is damaged or decompresses "
                  "to more than {} bytes; send it again",
                  aBytes.size(),
                  aMaxBytes));
  }
  return text;
}

} // namespace jaydoor
