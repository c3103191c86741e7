#include "control/FleetView.h"

#include <xxhash.h>

namespace jaydoor {
namespace {

std::uint64_t
WeighOwner(const ServerId& aServer, const VmId& aVm)
{
  const std::string key = aServer + '/' + aVm;
  return XXH3_64bits(key.data(), key.size());
}

template<typename Predicate>
VmId
ChooseAmong(const ServerId& aServer,
            std::span<const VmView> aVms,
            Predicate aPredicate)
{
  VmId best;
  std::uint64_t bestWeight = 0;
  for (const auto& vm : aVms) {
    if (!aPredicate(vm)) {
      continue;
    }
    const std::uint64_t weight = WeighOwner(aServer, vm.id_);
    const bool better = best.empty() || weight > bestWeight ||
                        (weight == bestWeight && vm.id_ < best);
    if (better) {
      best = vm.id_;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace

VmId
ChooseOwner(const wire::Upstream& aServer, std::span<const VmView> aVms)
{
  const VmId local =
    ChooseAmong(aServer.server(), aVms, [&aServer](const VmView& aVm) {
      return !aVm.leaving_ && aVm.zone_ == aServer.zone();
    });
  if (!local.empty()) {
    return local;
  }
  return ChooseAmong(
    aServer.server(), aVms, [](const VmView& aVm) { return !aVm.leaving_; });
}

} // namespace jaydoor
