#pragma once

// What the traffic decisions ask of the shell that drives them.
//
// The shell performs the actions in order and brings back what came of them
// as events: see TrafficNode.h.

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

// Goes to the control thread, which passes it on to the leader.
struct ReportSuspicion
{
  wire::Suspicion suspicion_;
};

struct WriteLogEvent
{
  Event event_ = Event::RequestRefused;
  std::string text_;
};

// One hop of one statement, for the trace exporter.
struct EmitSpan
{
  std::string traceParent_;  // W3C traceparent of this span
  std::string parentSpanId_; // span id of the parent, 16 hex digits, or empty
  std::string name_;
  Time start_;
  Time end_;
  std::string detail_; // outcome or reason
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

// The first of a row of ids that other processes hold on to. It is random, so
// that what was meant for a former run of this process never fits this one.
inline std::uint64_t
MakeFirstId(std::mt19937_64& aRandom)
{
  return (aRandom() >> 2) + 1;
}

// Hands out ids that no former run of the process has handed out.
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
