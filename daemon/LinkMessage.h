#pragma once

// Parses a message that was received over a link.

#include "base/Log.h"
#include "base/Types.h"

#include <optional>
#include <string_view>

namespace jaydoor {

// Returns nothing, and logs it, if the bytes are not a message for this VM.
template<typename Message>
std::optional<Message>
ReadLinkMessage(std::string_view aBytes, const VmId& aSelf)
{
  Message message;
  const bool read =
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
