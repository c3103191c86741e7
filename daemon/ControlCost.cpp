#include "daemon/ControlCost.h"

#include "daemon/TimeSeries.h"

#include <ctime>

#include <fmt/format.h>

namespace jaydoor {
namespace {

double
ReadThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

// In the order of the alternatives of ControlEvent.
constexpr std::array<std::string_view, ControlCost::kEventKinds> kEventNames{
  "message_other",       "server_announced",
  "server_deregistered", "suspicion_reported",
  "promoter_answer",     "rule_change",
  "document_write",      "document_read",
  "leases_requested",    "leases_released",
  "server_status",       "promotion_answer",
  "leaving_changed",     "tick"
};

} // namespace

std::size_t
ControlCost::KindOf(const ControlEvent& aEvent)
{
  if (const auto* received = std::get_if<ControlMessageReceived>(&aEvent)) {
    const auto kind = static_cast<std::size_t>(received->message_.body_case());
    if (!NameMessageKind(kind).empty()) {
      return kind;
    }
  }
  return kMessageKinds + aEvent.index();
}

std::string_view
ControlCost::NameOf(std::size_t aKind)
{
  return aKind == kViewKind       ? "publish_view"
         : aKind >= kMessageKinds ? kEventNames.at(aKind - kMessageKinds)
                                  : NameMessageKind(aKind);
}

void
ControlCost::Start(std::size_t aKind)
{
  current_ = aKind;
  isSampled_ = kinds_.at(aKind).count_++ % kSampleEvery == 0;
  if (isSampled_) {
    startedAt_ = ReadThreadSeconds();
  }
}

void
ControlCost::Finish()
{
  if (isSampled_) {
    Kind& kind = kinds_.at(current_);
    kind.sampled_++;
    kind.sampledSeconds_ += ReadThreadSeconds() - startedAt_;
  }
}

void
ControlCost::AppendTo(std::string& aText) const
{
  for (std::size_t i = 0; i < kKinds; i++) {
    const Kind& kind = kinds_.at(i);
    if (kind.sampled_ == 0) {
      continue;
    }
    const auto count = static_cast<double>(kind.count_);
    const auto labels = fmt::format(R"(kind="{}")", NameOf(i));
    AppendMetric(aText, "jaydoor_control_events_total", labels, count);
    AppendMetric(aText,
                 "jaydoor_control_cpu_seconds_total",
                 labels,
                 kind.sampledSeconds_ * count /
                   static_cast<double>(kind.sampled_));
  }
}

} // namespace jaydoor
