#pragma once

// Parses a message that was received over a link.

#include "base/Log.h"
#include "base/Types.h"

#include <optional>
#include <string_view>

#include <google/protobuf/io/coded_stream.h>

namespace jaydoor {

// Returns true if the bytes begin like a message to this VM: the fields `from`
// (1) and `to` (2), which every VM writes first. Junk is recognised by it at
// the cost of a few bytes, so that it is dropped faster than it can arrive;
// parsing it would take long and several times its size in memory.
inline bool
IsAddressedTo(std::string_view aBytes, std::string_view aSelf)
{
  constexpr std::uint32_t kFromTag = 1U << 3U | 2U;
  constexpr std::uint32_t kToTag = 2U << 3U | 2U;
  constexpr std::size_t kMaxHeadBytes = 1024;
  const auto head = aBytes.substr(0, kMaxHeadBytes);
  google::protobuf::io::CodedInputStream input(
    reinterpret_cast<const std::uint8_t*>(head.data()),
    static_cast<int>(head.size()));
  std::uint32_t tag = input.ReadTag();
  std::uint32_t size = 0;
  if (tag == kFromTag) {
    if (!input.ReadVarint32(&size) || size > kMaxHeadBytes ||
        !input.Skip(static_cast<int>(size))) {
      return false;
    }
    tag = input.ReadTag();
  }
  std::string to;
  return tag == kToTag && input.ReadVarint32(&size) && size == aSelf.size() &&
         input.ReadString(&to, static_cast<int>(size)) && to == aSelf;
}

// Returns nothing, and logs it, if the bytes are not a message for this VM.
template<typename Message>
std::optional<Message>
ReadLinkMessage(std::string_view aBytes, const VmId& aSelf)
{
  Message message;
  const bool read =
    IsAddressedTo(aBytes, aSelf) &&
    message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (read && message.to() == aSelf) {
    return message;
  }
  LogEvent(Event::LinkRefused,
           "bytes={} from={}; check that both VMs run the same version",
           aBytes.size(),
           message.from());
  return std::nullopt;
}

} // namespace jaydoor
