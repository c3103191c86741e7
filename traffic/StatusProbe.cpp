#include "traffic/StatusProbe.h"

#include <utility>

namespace jaydoor {

StatusProbe::StatusProbe(std::string aHost,
                         std::uint16_t aPort,
                         ProbeTiming aTiming)
  : host_(std::move(aHost))
  , port_(aPort)
  , timing_(aTiming)
{
}

void
StatusProbe::Tick(Time aNow, bool aWanted, IdSource& aIds, TrafficActions& aOut)
{
  const Duration spent = aNow - stateSince_;
  if (state_ == State::Waiting && spent >= timing_.answerTimeout_) {
    DropConnection(aNow, aOut);
  }
  if (state_ == State::Opening && spent >= timing_.connectTimeout_) {
    DropConnection(aNow, aOut);
  }
  if (state_ == State::Closed && aNow >= reopenAt_) {
    connection_ = aIds.Next();
    state_ = State::Opening;
    stateSince_ = aNow;
    newConnection_ = true;
    aOut.push_back(OpenConnection{ connection_, host_, port_ });
  }
  const Duration pause =
    aWanted ? timing_.urgentInterval_ : timing_.idleInterval_;
  if (state_ == State::Idle && (dueNow_ || aNow - stateSince_ >= pause)) {
    SendRequest(aNow, aOut);
  }
}

Time
StatusProbe::NextWake(bool aWanted) const
{
  switch (state_) {
    case State::Closed:
      return reopenAt_;
    case State::Opening:
      return stateSince_ + timing_.connectTimeout_;
    case State::Waiting:
      return stateSince_ + timing_.answerTimeout_;
    case State::Idle:
      break;
  }
  return dueNow_ ? stateSince_
                 : stateSince_ + (aWanted ? timing_.urgentInterval_
                                          : timing_.idleInterval_);
}

void
StatusProbe::SendRequest(Time aNow, TrafficActions& aOut)
{
  state_ = State::Waiting;
  stateSince_ = aNow;
  dueNow_ = false;
  aOut.push_back(SendUpstreamRequest{
    connection_, std::exchange(requestToSend_, UpstreamRequest{}) });
}

void
StatusProbe::HandleOpened(Time aNow, TrafficActions& aOut)
{
  SendRequest(aNow, aOut);
}

void
StatusProbe::DropConnection(Time aNow, TrafficActions& aOut)
{
  aOut.push_back(CloseConnection{ connection_ });
  HandleLost(aNow);
}

void
StatusProbe::HandleLost(Time aNow)
{
  if (newConnection_) {
    unreachable_ = true;
    reopenAt_ = aNow + timing_.reopenDelay_;
  } else {
    reopenAt_ = aNow;
  }
  connection_ = 0;
  state_ = State::Closed;
  stateSince_ = aNow;
}

Time
StatusProbe::HandleAnswer(Time aNow)
{
  const Time sentAt = stateSince_;
  state_ = State::Idle;
  stateSince_ = aNow;
  newConnection_ = false;
  unreachable_ = false;
  return sentAt;
}

void
StatusProbe::Close(TrafficActions& aOut)
{
  if (connection_ != 0) {
    aOut.push_back(CloseConnection{ connection_ });
  }
  connection_ = 0;
  state_ = State::Closed;
}

} // namespace jaydoor
