#include "base/Compress.h"

#include <algorithm>

#include <fmt/format.h>
#include <zlib.h>

namespace jaydoor {
namespace {

constexpr int kLevel = 3; // quick; the texts repeat themselves a lot
constexpr std::size_t kChunk = 64UL * 1024;

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
            kLevel);
  bytes.resize(size);
  return bytes;
}

Expected<std::string>
Decompress(std::string_view aBytes, std::size_t aMost)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return MakeError(ErrorKind::Unavailable,
                     "no memory to decompress; give the process more");
  }
  stream.next_in =
    const_cast<Bytef*>(reinterpret_cast<const Bytef*>(aBytes.data()));
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && text.size() <= aMost) {
    const std::size_t before = text.size();
    text.resize(before + kChunk);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
    stream.avail_out = static_cast<uInt>(kChunk);
    result = inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || text.size() > aMost) {
    return MakeError(
      ErrorKind::BadInput,
      fmt::format("compressed text of {} bytes is damaged or longer than {} "
                  "bytes; send it again",
                  aBytes.size(),
                  aMost));
  }
  return text;
}

} // namespace jaydoor
