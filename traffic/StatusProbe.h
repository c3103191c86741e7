#pragma once

// Requests the status of one upstream over one connection, and distinguishes a
// silent connection from an unreachable server.
//
// A connection that does not answer in time is closed, and the status is
// requested again on a new connection. The server counts as unreachable only if
// the new connection fails, too.

#include "traffic/Actions.h"

namespace jaydoor {

struct ProbeTiming
{
  Duration idleInterval_ = 100ms;  // to the next request if no proof is awaited
  Duration urgentInterval_ = 1ms;  // to the next request if a proof is awaited
  Duration answerTimeout_ = 300ms; // after which a connection counts as silent
  Duration connectTimeout_ = 300ms;
  Duration reopenDelay_ = 100ms; // after a new connection has failed
};

class StatusProbe
{
public:
  StatusProbe(std::string aHost, std::uint16_t aPort, ProbeTiming aTiming);

  // Sends this request next, instead of a status request.
  void SetNextRequest(UpstreamRequest aRequest)
  {
    requestToSend_ = std::move(aRequest);
  }

  // Sets the time between status requests while no statement waits for a proof.
  void SetIdleInterval(Duration aInterval)
  {
    timing_.idleInterval_ = aInterval;
  }
  // Makes the next request due at once.
  void MakeDue() { dueNow_ = true; }

  // Opens or drops the connection and sends the request, as far as they are
  // due. `aProofAwaited`: a statement waits for a proof.
  void Tick(Time aNow,
            bool aProofAwaited,
            IdSource& aIds,
            TrafficActions& aOut);

  // The connection is open: sends the first request.
  void HandleOpened(Time aNow, TrafficActions& aOut);
  // The connection failed or was closed by the other side.
  void HandleLost(Time aNow);
  // The request was answered. Returns the time at which it was sent.
  Time HandleAnswer(Time aNow);
  void Close(TrafficActions& aOut);

  // The next time at which Tick has something to do.
  Time NextWake(bool aProofAwaited) const;

  ConnectionId Connection() const { return connection_; }
  // True if a new connection has failed and none has answered since.
  bool IsUnreachable() const { return unreachable_; }

private:
  enum class State : std::uint8_t
  {
    Closed,
    Opening,
    Idle,
    Waiting, // for the answer to a request
  };

  void SendRequest(Time aNow, TrafficActions& aOut);
  void DropConnection(Time aNow, TrafficActions& aOut);

  std::string host_;
  std::uint16_t port_;
  ProbeTiming timing_;
  UpstreamRequest requestToSend_; // status request, unless replaced
  State state_ = State::Closed;
  ConnectionId connection_ = 0; // 0: none
  Time stateSince_;             // when the state was entered
  Time reopenAt_;               // when the next connection may be opened
  bool dueNow_ = false;         // the next request is due at once
  bool newConnection_ = false;  // the connection has answered nothing yet
  bool unreachable_ = false;    // a new connection failed, none answered since
};

} // namespace jaydoor
