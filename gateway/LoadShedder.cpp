#include "gateway/LoadShedder.h"

#include <algorithm>

namespace jaydoor {
namespace {

// Steps of the pressure at an answer.
constexpr double kSlowStep = 0.2;
constexpr double kFastStep = 0.04;
// The pressure also falls with time: a VM that sheds most of its statements
// gets few answers.
constexpr double kDecayPerSecond = 0.05;
// Pressure up to which nothing is shed: single slow answers are usual.
constexpr double kToleratedPressure = 0.2;
// What the leader said counts for this long: a few lease grants.
constexpr Duration kSharedWindow = 600ms;

} // namespace

double
LoadShedder::PressureAt(Time aNow) const
{
  const auto seconds = std::chrono::duration<double>(aNow - updatedAt_).count();
  return std::max(0.0, pressure_ - kDecayPerSecond * seconds);
}

void
LoadShedder::RecordResponse(bool aIsSlow, std::size_t aLevelCount, Time aNow)
{
  const double highest =
    kToleratedPressure +
    static_cast<double>(std::max<std::size_t>(aLevelCount, 1) - 1);
  pressure_ = std::clamp(
    PressureAt(aNow) + (aIsSlow ? kSlowStep : -kFastStep), 0.0, highest);
  updatedAt_ = aNow;
}

void
LoadShedder::SetSharedPressure(double aShare,
                               std::size_t aLevelCount,
                               Time aNow)
{
  sharedLevels_ =
    aShare * static_cast<double>(std::max<std::size_t>(aLevelCount, 1) - 1);
  sharedAt_ = aNow;
}

double
LoadShedder::ShedLevelsAt(Time aNow) const
{
  return aNow - sharedAt_ < kSharedWindow
           ? sharedLevels_
           : std::max(0.0, PressureAt(aNow) - kToleratedPressure);
}

bool
LoadShedder::Sheds(std::size_t aLevel, double aTicket, Time aNow) const
{
  return aTicket < ShedLevelsAt(aNow) - static_cast<double>(aLevel);
}

bool
LoadShedder::IsShedding(Time aNow) const
{
  return ShedLevelsAt(aNow) > 0;
}

} // namespace jaydoor
