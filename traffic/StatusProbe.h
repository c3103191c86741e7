#pragma once

// Asks one upstream for its status over one connection, and tells silence of
// the connection from silence of the server.
//
// A connection that does not answer is dropped and the question is asked
// again on a fresh one; only if that fails too is the server unreachable.

#include "traffic/Actions.h"

namespace jaydoor {

struct ProbeTiming
{
  Duration idleInterval_ = 100ms;  // between questions when nobody waits
  Duration urgentInterval_ = 1ms;  // between questions when somebody waits
  Duration answerTimeout_ = 300ms; // no answer: the connection is silent
  Duration connectTimeout_ = 300ms;
  Duration reopenDelay_ = 100ms; // after a failed connection
};

class StatusProbe
{
public:
  StatusProbe(std::string aHost, std::uint16_t aPort, ProbeTiming aTiming);

  // The next question is this one instead of a plain status.
  void SetNextRequest(UpstreamRequest aRequest)
  {
    requestToSend_ = std::move(aRequest);
  }

  // The time between questions when nobody waits.
  void SetIdleInterval(Duration aInterval)
  {
    timing_.idleInterval_ = aInterval;
  }
  // The next question is due at once.
  void MakeDue() { dueNow_ = true; }

  // Sends what is due. `aWanted`: somebody waits for the answer.
  void Tick(Time aNow, bool aWanted, IdSource& aIds, TrafficActions& aOut);

  void HandleOpened(Time aNow, TrafficActions& aOut);
  // The connection failed or was closed by the other side.
  void HandleLost(Time aNow);
  // Returns when the answered question was sent.
  Time HandleAnswer(Time aNow);
  void Close(TrafficActions& aOut);

  // The next time at which Tick has something to do.
  Time NextWake(bool aWanted) const;

  ConnectionId Connection() const { return connection_; }
  bool IsUnreachable() const { return unreachable_; }

private:
  enum class State : std::uint8_t
  {
    Closed,
    Opening,
    Idle,
    Waiting,
  };

  void SendRequest(Time aNow, TrafficActions& aOut);
  void DropConnection(Time aNow, TrafficActions& aOut);

  std::string host_;
  std::uint16_t port_;
  ProbeTiming timing_;
  UpstreamRequest requestToSend_; // a status, or what SetNext gave
  State state_ = State::Closed;
  ConnectionId connection_ = 0; // 0: none
  Time stateSince_;             // when the state was entered
  Time reopenAt_;               // when a connection may be opened
  bool dueNow_ = false;         // ask at the next Tick
  bool newConnection_ = false;  // the connection has answered nothing yet
  bool unreachable_ = false;    // a fresh connection failed as well
};

} // namespace jaydoor
