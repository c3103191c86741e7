#include "daemon/TraceWriter.h"

#include "daemon/Clock.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace jaydoor {
namespace {

namespace json = boost::json;

// Converts to the wall-clock time in nanoseconds that spans carry.
std::string
ToUnixNanos(Time aTime)
{
  const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
  const auto age = ReadClock() - aTime;
  const auto nanos =
    std::chrono::duration_cast<std::chrono::nanoseconds>(wallClock);
  return fmt::format(
    "{}",
    (nanos - std::chrono::duration_cast<std::chrono::nanoseconds>(age))
      .count());
}

json::object
MakeAttribute(std::string_view aKey, std::string_view aValue)
{
  return { { "key", aKey },
           { "value", json::object{ { "stringValue", aValue } } } };
}

} // namespace

TraceWriter::TraceWriter(const std::string& aPath, std::string aVm)
  : vm_(std::move(aVm))
{
  if (!aPath.empty()) {
    file_ = std::fopen(aPath.c_str(), "ae");
  }
}

TraceWriter::~TraceWriter()
{
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void
TraceWriter::Write(const EmitSpan& aSpan)
{
  if (file_ == nullptr) {
    return;
  }
  json::object span;
  span["traceId"] = aSpan.traceParent_.substr(3, 32);
  span["spanId"] = aSpan.traceParent_.substr(36, 16);
  span["parentSpanId"] = aSpan.parentSpanId_;
  span["name"] = aSpan.name_;
  span["kind"] = 2;
  span["startTimeUnixNano"] = ToUnixNanos(aSpan.start_);
  span["endTimeUnixNano"] = ToUnixNanos(aSpan.end_);
  span["attributes"] = json::array{ MakeAttribute("detail", aSpan.detail_) };
  const json::object scope{ { "scope", json::object{ { "name", "jaydoor" } } },
                            { "spans", json::array{ span } } };
  const json::object resource{ { "attributes",
                                 json::array{
                                   MakeAttribute("service.name", "jaydoord"),
                                   MakeAttribute("host.name", vm_) } } };
  const json::object request{
    { "resourceSpans",
      json::array{ json::object{ { "resource", resource },
                                 { "scopeSpans", json::array{ scope } } } } }
  };
  const std::string line = json::serialize(request) + "\n";
  std::fwrite(line.data(), 1, line.size(), file_);
  std::fflush(file_);
}

} // namespace jaydoor
