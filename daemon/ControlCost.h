#pragma once

// Attributes the processor time of the control thread to kinds of events.
//
//   cost.Start(kind);
//   node.Step(...);
//   cost.Finish();
//   cost.AppendTo(text);
//
// Reading the processor time of a thread is a system call, and a control VM
// with 0.3 of a core handles thousands of events per second. So one event of
// kSampleEvery of its kind is measured, and counts for all of them.

#include "control/ControlNode.h"

#include <array>
#include <cstdint>
#include <string>

namespace jaydoor {

class ControlCost
{
public:
  // Kinds: one for each kind of message, then one for each other event of a
  // ControlNode, then the publishing of a view.
  static constexpr std::size_t kEventKinds = std::variant_size_v<ControlEvent>;
  static constexpr std::size_t kViewKind = kMessageKinds + kEventKinds;
  static constexpr std::size_t kKinds = kViewKind + 1;
  static constexpr std::uint64_t kSampleEvery = 16;

  static std::size_t KindOf(const ControlEvent& aEvent);
  static std::string_view NameOf(std::size_t aKind);

  void Start(std::size_t aKind);
  void Finish();
  // Appends the counts and the estimated processor time in the Prometheus text
  // format.
  void AppendTo(std::string& aText) const;

private:
  struct Kind
  {
    std::uint64_t count_ = 0;
    std::uint64_t sampled_ = 0;
    double sampledSeconds_ = 0;
  };

  std::array<Kind, kKinds> kinds_{};
  std::size_t current_ = 0;
  bool isSampled_ = false;
  double startedAt_ = 0;
};

} // namespace jaydoor
