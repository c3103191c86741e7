#pragma once

// Actions: what the traffic code asks of the shell that drives it.
//
// The shell does the input and output. It performs the actions in order and
// reports their results as events (see TrafficNode.h).

#include "base/Log.h"
#include "base/Types.h"
#include "wire/Json.h"
#include "wire/jaydoor.pb.h"

#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jaydoor {

using ConnectionId = std::uint64_t;
using RequestId = std::uint64_t;

struct OpenConnection
{
  ConnectionId id_ = 0;
  std::string host_;
  std::uint16_t port_ = 0;
};

struct CloseConnection
{
  ConnectionId id_ = 0;
};

struct SendUpstreamRequest
{
  ConnectionId id_ = 0;
  UpstreamRequest request_;
};

struct AnswerCaller
{
  RequestId request_ = 0;
  CallerAnswer answer_;
};

struct SendTrafficMessage
{
  VmId to_;
  wire::TrafficMessage message_;
};

// The shell passes the suspicion to the control thread, which sends it to the
// control leader.
struct ReportSuspicion
{
  wire::Suspicion suspicion_;
};

struct WriteLogEvent
{
  Event event_ = Event::RequestRefused;
  std::string text_;
};

// A span of a statement's trace, for the trace exporter.
struct EmitSpan
{
  std::string traceParent_;  // W3C traceparent of this span
  std::string parentSpanId_; // span id of the parent, 16 hex digits, or empty
  std::string name_;         // "entry", "owner" or "upstream"
  Time start_;
  Time end_;
  // By name: "entry" outcome and reason, "owner" reason, "upstream" server id.
  std::string detail_;
};

using TrafficAction = std::variant<OpenConnection,
                                   CloseConnection,
                                   SendUpstreamRequest,
                                   AnswerCaller,
                                   SendTrafficMessage,
                                   ReportSuspicion,
                                   WriteLogEvent,
                                   EmitSpan>;
using TrafficActions = std::vector<TrafficAction>;

// Returns a random first id for a sequence of ids that other processes keep.
// It is random so that a late message meant for an earlier run of this process
// does not match an id of this run.
inline std::uint64_t
MakeFirstId(std::mt19937_64& aRandom)
{
  return (aRandom() >> 2) + 1;
}

// Generates consecutive ids. With a first id from MakeFirstId they differ from
// those of all earlier runs of the process.
class IdSource
{
public:
  explicit IdSource(std::uint64_t aFirst)
    : next_(aFirst)
  {
  }

  std::uint64_t Next() { return next_++; }

private:
  std::uint64_t next_;
};

} // namespace jaydoor
