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
StatusProbe::Tick(Time aNow,
                  bool aProofAwaited,
                  IdSource& aIds,
                  TrafficActions& aOut)
{
  const Duration elapsed = aNow - since_;
  if (state_ == State::Waiting && elapsed >= timing_.silentAfter_) {
    Drop(aNow, aOut);
  }
  if (state_ == State::Opening && elapsed >= timing_.connectTimeout_) {
    Drop(aNow, aOut);
  }
  if (state_ == State::Closed && aNow >= notBefore_) {
    connection_ = aIds.Next();
    state_ = State::Opening;
    since_ = aNow;
    fresh_ = true;
    aOut.push_back(OpenConnection{ connection_, host_, port_ });
  }
  const Duration interval = aProofAwaited ? timing_.repeat_ : timing_.interval_;
  if (state_ == State::Idle && (hurry_ || aNow - since_ >= interval)) {
    Ask(aNow, aOut);
  }
}

Time
StatusProbe::NextWake(bool aProofAwaited) const
{
  switch (state_) {
    case State::Closed:
      return notBefore_;
    case State::Opening:
      return since_ + timing_.connectTimeout_;
    case State::Waiting:
      return since_ + timing_.silentAfter_;
    case State::Idle:
      break;
  }
  return hurry_
           ? since_
           : since_ + (aProofAwaited ? timing_.repeat_ : timing_.interval_);
}

void
StatusProbe::Ask(Time aNow, TrafficActions& aOut)
{
  state_ = State::Waiting;
  since_ = aNow;
  hurry_ = false;
  aOut.push_back(
    SendUpstream{ connection_, std::exchange(next_, UpstreamRequest{}) });
}

void
StatusProbe::Opened(Time aNow, TrafficActions& aOut)
{
  Ask(aNow, aOut);
}

void
StatusProbe::Drop(Time aNow, TrafficActions& aOut)
{
  aOut.push_back(CloseConnection{ connection_ });
  Lost(aNow);
}

void
StatusProbe::Lost(Time aNow)
{
  if (fresh_) {
    unreachable_ = true;
    notBefore_ = aNow + timing_.reopenPause_;
  } else {
    notBefore_ = aNow;
  }
  connection_ = 0;
  state_ = State::Closed;
  since_ = aNow;
}

Time
StatusProbe::Answered(Time aNow)
{
  const Time sentAt = since_;
  state_ = State::Idle;
  since_ = aNow;
  fresh_ = false;
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
