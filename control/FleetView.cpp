#include "control/FleetView.h"

#include <xxhash.h>

namespace jaydoor {

OwnerMap::OwnerMap(std::span<const VmView> aVms)
{
  for (const auto& vm : aVms) {
    if (!vm.leaving_) {
      const Candidate candidate{ vm.id_,
                                 XXH3_64bits(vm.id_.data(), vm.id_.size()) };
      candidatesByZone_[vm.zone_].push_back(candidate);
      allCandidates_.push_back(candidate);
    }
  }
}

VmId
OwnerMap::FindOwner(const wire::Upstream& aServer) const
{
  const auto local = candidatesByZone_.find(aServer.zone());
  const auto& candidates =
    local == candidatesByZone_.end() ? allCandidates_ : local->second;
  const std::string& server = aServer.server();
  const Candidate* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& candidate : candidates) {
    const std::uint64_t weight =
      XXH3_64bits_withSeed(server.data(), server.size(), candidate.idHash_);
    const bool better = best == nullptr || weight > bestWeight ||
                        (weight == bestWeight && candidate.id_ < best->id_);
    if (better) {
      best = &candidate;
      bestWeight = weight;
    }
  }
  return best == nullptr ? VmId() : best->id_;
}

} // namespace jaydoor
