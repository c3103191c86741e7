#include "gateway/LinkPolicy.h"

#include <algorithm>

namespace jaydoor {

LinkVerdict
DecideLink(const LinkSituation& aSituation)
{
  if (aSituation.hasOwnIdle_) {
    return LinkVerdict::Use;
  }
  if (!aSituation.canOpen_ ||
      aSituation.ownOpening_ >= aSituation.ownWaiting_) {
    return LinkVerdict::Wait;
  }
  if (aSituation.hasPlace_) {
    return LinkVerdict::Open;
  }
  const bool waitsForOwn =
    aSituation.hasOwnRunning_ && aSituation.waited_ < kMaxOwnLinkWait;
  return aSituation.hasReplaceable_ && !waitsForOwn ? LinkVerdict::Replace
                                                    : LinkVerdict::Wait;
}

std::size_t
DivideLinks(std::size_t aBudget, std::size_t aHolders, double aDraw)
{
  const std::size_t holders = std::max<std::size_t>(1, aHolders);
  const std::size_t share = aBudget / holders;
  const double rest =
    static_cast<double>(aBudget % holders) / static_cast<double>(holders);
  return std::max<std::size_t>(1, share + (aDraw < rest ? 1U : 0U));
}

bool
IsReplaceable(bool aHasWaitingStatements, Duration aAge)
{
  return !aHasWaitingStatements || aAge >= kMinLinkTurn;
}

} // namespace jaydoor
