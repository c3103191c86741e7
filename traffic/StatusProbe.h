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
  Duration interval_ = 100ms;    // between questions when nobody waits
  Duration repeat_ = 1ms;        // between questions when somebody waits
  Duration silentAfter_ = 300ms; // no answer: the connection is silent
  Duration connectTimeout_ = 300ms;
  Duration reopenPause_ = 100ms; // after a failed connection
};

class StatusProbe
{
public:
  StatusProbe(std::string aHost, std::uint16_t aPort, ProbeTiming aTiming);

  // The next question is this one instead of a plain status.
  void SetNext(UpstreamRequest aRequest) { next_ = std::move(aRequest); }

  // The time between questions when nobody waits.
  void SetInterval(Duration aInterval) { timing_.interval_ = aInterval; }
  // The next question is due at once.
  void Hurry() { hurry_ = true; }

  // Sends what is due. `aWanted`: somebody waits for the answer.
  void Tick(Time aNow, bool aWanted, IdSource& aIds, TrafficActions& aOut);

  void Opened(Time aNow, TrafficActions& aOut);
  // The connection failed or was closed by the other side.
  void Lost(Time aNow);
  // Returns when the answered question was sent.
  Time Answered(Time aNow);
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

  void Ask(Time aNow, TrafficActions& aOut);
  void Drop(Time aNow, TrafficActions& aOut);

  std::string host_;
  std::uint16_t port_;
  ProbeTiming timing_;
  UpstreamRequest next_; // a status, or what SetNext gave
  State state_ = State::Closed;
  ConnectionId connection_ = 0; // 0: none
  Time since_;                  // when the state was entered
  Time notBefore_;              // when a connection may be opened
  bool hurry_ = false;          // ask at the next Tick
  bool fresh_ = false;          // the connection has answered nothing yet
  bool unreachable_ = false;    // a fresh connection failed as well
};

} // namespace jaydoor
