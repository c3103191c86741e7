#pragma once

// Counts what a ControlNode does, by kind of message and of event, so that the
// growth of the control path with the size of the fleet can be attributed.
//
//   counters.messagesIn_[message.body_case()].Add(bytes);
//   for (std::size_t kind = 0; kind < kMessageKinds; kind++) ...
//     NameMessageKind(kind)
//
// The counters are part of the decision code, so the virtual-time simulations
// read the same figures as the metrics page of a control VM. Processor time is
// measured by the shell, since the decision code reads no clock.

#include "wire/jaydoor.pb.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace jaydoor {

// One more than the highest field number of a body in wire::ControlMessage.
inline constexpr std::size_t kMessageKinds = 32;

struct MessageCount
{
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;

  void Add(std::size_t aBytes)
  {
    messages_++;
    bytes_ += aBytes;
  }
};

using MessageCounts = std::array<MessageCount, kMessageKinds>;

// Totals since the start of a node.
struct ControlCounters
{
  std::uint64_t messagesOut_ = 0;
  std::uint64_t bytesOut_ = 0;
  std::uint64_t messagesIn_ = 0;
  std::uint64_t bytesIn_ = 0;
  std::uint64_t changesApplied_ = 0;
  MessageCounts outByKind_{}; // index: wire::ControlMessage::BodyCase
  MessageCounts inByKind_{};
  std::uint64_t views_ = 0;           // published
  std::uint64_t proposals_ = 0;       // appended to the log by this leader
  std::uint64_t proposalsMerged_ = 0; // not appended: in the log already
  std::uint64_t snapshotsRefused_ = 0;
};

// Name of a kind of message for metrics; empty if there is no such kind.
std::string_view
NameMessageKind(std::size_t aKind);

} // namespace jaydoor
