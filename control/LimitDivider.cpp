#include "control/LimitDivider.h"

#include <algorithm>
#include <cmath>

namespace jaydoor {
namespace {

constexpr std::uint32_t kWholePpm = 1'000'000;
// A VM that is cut off from the leader for this long keeps its shares.
constexpr Duration kShareDuration = 7s;
// Added on the leader, for clocks that run at different rates.
constexpr Duration kClockMargin = 50ms;
// Part of a limit that stays in the pool, for VMs that have no share yet.
constexpr double kLeastPooledPart = 0.1;
// A small limit is mostly in the pool: its demand moves from VM to VM with each
// operation. With this many operations per second in the pool, all VMs together
// rarely need more than it has.
constexpr double kPooledRate = 5;
constexpr double kGreatestPooledPart = 0.5;
// Smaller changes of a share are not made.
constexpr double kLeastChange = 0.15;
// This part of the rate counts as demand that is spread evenly over the VMs
// with sessions, so that a VM has a share before its first operation.
constexpr double kBaseDemand = 0.05;
// A VM without a share that has not reported for this long needs none.
constexpr Duration kDemandTimeout = 2s;
// Between checks of a limit for expired shares.
constexpr Duration kExpiryInterval = 100ms;
// Longest time without tokens that is announced; demand changes by then.
constexpr double kMaxEmptyMs = 500;

double
PooledPart(double aRate)
{
  return std::clamp(kPooledRate / aRate, kLeastPooledPart, kGreatestPooledPart);
}

} // namespace

void
LimitDivider::Reset(std::span<const VmId> aHolders,
                    std::uint64_t aTerm,
                    Time aNow)
{
  term_ = aTerm;
  resetAt_ = aNow;
  grantId_ = 0;
  unconfirmed_ = { aHolders.begin(), aHolders.end() };
  vms_.clear();
  limits_.clear();
}

std::uint32_t
LimitDivider::CountShared(const OrganisationId& aOrganisation) const
{
  const auto found = limits_.find(aOrganisation);
  return found == limits_.end()
           ? 0
           : static_cast<std::uint32_t>(found->second.reserved_);
}

// Returns the part of the limit that no VM may use and that can be given away.
std::uint64_t
LimitDivider::FreeShare(const Limit& aLimit) const
{
  const std::uint64_t known = KnowsAllShares() ? kWholePpm : aLimit.confirmed_;
  return known > aLimit.reserved_ ? known - aLimit.reserved_ : 0;
}

// Fills the pool. Call before the free share or the limit changes.
void
LimitDivider::Advance(Limit& aLimit, Time aNow) const
{
  const double free =
    static_cast<double>(FreeShare(aLimit)) / static_cast<double>(kWholePpm);
  const double seconds =
    std::chrono::duration<double>(aNow - aLimit.tokensAt_).count();
  aLimit.tokensAt_ = aNow;
  aLimit.tokens_ = std::min(aLimit.tokens_ + free * aLimit.rate_ * seconds,
                            free * aLimit.capacity_);
}

// Returns the greatest share that the VM may use.
std::uint32_t
LimitDivider::Greatest(std::span<const Step> aSteps)
{
  std::uint32_t greatest = 0;
  for (const auto& step : aSteps) {
    greatest = std::max(greatest, step.share_);
  }
  return greatest;
}

// Ends shares whose time has passed, and forgets VMs that need none.
void
LimitDivider::Expire(Limit& aLimit, Time aNow) const
{
  if (aNow < aLimit.checkedAt_ + kExpiryInterval) {
    return;
  }
  aLimit.checkedAt_ = aNow;
  for (auto at = aLimit.holders_.begin(); at != aLimit.holders_.end();) {
    Holder& holder = at->second;
    auto& steps = holder.steps_;
    aLimit.reserved_ -= Greatest(steps);
    std::erase_if(steps,
                  [&](const Step& aStep) { return aNow >= aStep.until_; });
    aLimit.reserved_ += Greatest(steps);
    if (steps.empty() && aNow - holder.reportedAt_ >= kDemandTimeout) {
      aLimit.demand_ -= holder.demand_;
      at = aLimit.holders_.erase(at);
    } else {
      ++at;
    }
  }
}

void
LimitDivider::ExpireUnconfirmed(Time aNow)
{
  if (KnowsAllShares() || aNow < resetAt_ + kShareDuration + kClockMargin) {
    return;
  }
  for (auto& [id, limit] : limits_) {
    Advance(limit, aNow); // with the free share until now
  }
  unconfirmed_.clear();
}

// Returns true if the request comes from the confirmed process of the VM, or
// confirms its process.
bool
LimitDivider::Confirm(const VmId& aId,
                      Vm& aVm,
                      const wire::LeaseRequest& aRequest,
                      Time aNow)
{
  if (aRequest.incarnation() == aVm.incarnation_) {
    return true;
  }
  if (aRequest.incarnation() != aVm.candidate_) {
    aVm.candidate_ = aRequest.incarnation();
    aVm.candidateId_ = grantId_ + 1;
    return false;
  }
  const bool confirms =
    aRequest.shares_term() == term_ && aRequest.shares_id() >= aVm.candidateId_;
  if (!confirms) {
    return false;
  }
  const bool isFirst = aVm.incarnation_ == 0;
  aVm.incarnation_ = aRequest.incarnation();
  aVm.candidate_ = 0;
  aVm.sentUs_ = 0;
  for (auto& [organisation, limit] : limits_) {
    const auto found = limit.holders_.find(aId);
    if (found == limit.holders_.end() || found->second.steps_.empty()) {
      continue;
    }
    Advance(limit, aNow);
    auto& steps = found->second.steps_;
    limit.reserved_ -= Greatest(steps);
    std::erase_if(steps, [&](const Step& aStep) {
      return aStep.incarnation_ != aVm.incarnation_;
    });
    limit.reserved_ += Greatest(steps);
  }
  if (isFirst && !KnowsAllShares()) {
    for (auto& [organisation, limit] : limits_) {
      Advance(limit, aNow);
    }
    for (const auto& report : aRequest.shares()) {
      limits_[report.organisation()].confirmed_ += report.share_ppm();
    }
    unconfirmed_.erase(aId);
  }
  return true;
}

// The VM has applied the grant, by which it holds the share, and uses no
// earlier one.
void
LimitDivider::Acknowledge(Holder& aHolder,
                          std::uint64_t aGrantId,
                          std::uint32_t aShare) const
{
  auto& steps = aHolder.steps_;
  std::erase_if(steps,
                [&](const Step& aStep) { return aStep.lastId_ < aGrantId; });
  if (!steps.empty() && steps.back().lastId_ == aGrantId) {
    Step& step = steps.back();
    step.share_ = std::min(step.share_, aShare);
    if (step.share_ == 0) {
      steps.pop_back();
    }
  }
}

void
LimitDivider::Record(const VmId& aId,
                     Vm& aVm,
                     const wire::LeaseRequest& aRequest,
                     Time aNow)
{
  std::map<std::string_view, const wire::ShareReport*> reports;
  for (const auto& report : aRequest.shares()) {
    reports[report.organisation()] = &report;
    aVm.organisations_.insert(report.organisation());
  }
  for (auto at = aVm.organisations_.begin(); at != aVm.organisations_.end();) {
    Limit& limit = limits_[*at];
    const auto found = reports.find(*at);
    const wire::ShareReport& report = found == reports.end()
                                        ? wire::ShareReport::default_instance()
                                        : *found->second;
    if (limit.tokensAt_ == Time{}) {
      limit.tokensAt_ = aNow;
    }
    Advance(limit, aNow);
    Holder& holder = limit.holders_[aId];
    limit.demand_ -= holder.demand_;
    holder.demand_ = report.demand_milli();
    limit.demand_ += holder.demand_;
    holder.waiting_ = report.waiting();
    holder.reportedAt_ = aNow;
    if (aRequest.shares_term() == term_) {
      limit.reserved_ -= Greatest(holder.steps_);
      Acknowledge(holder, aRequest.shares_id(), report.share_ppm());
      limit.reserved_ += Greatest(holder.steps_);
    }
    if (found != reports.end()) {
      limit.rate_ = report.rate_milli() / 1000.0;
      limit.capacity_ = report.capacity_milli() / 1000.0;
      limit.tokens_ += report.returned_milli() / 1000.0;
      Advance(limit, aNow); // trims the pool
    }
    const bool isUnused = found == reports.end() && holder.steps_.empty();
    if (isUnused) {
      limit.holders_.erase(aId);
    }
    at = isUnused ? aVm.organisations_.erase(at) : std::next(at);
  }
}

// Returns the share that a VM gets of a limit.
std::uint32_t
LimitDivider::Decide(const Limit& aLimit, const Holder& aHolder) const
{
  const double base = aLimit.rate_ * 1000 * kBaseDemand;
  const double weight =
    aHolder.demand_ + base / static_cast<double>(aLimit.holders_.size());
  const double sum = static_cast<double>(aLimit.demand_) + base;
  const double part =
    sum > 0 ? (1 - PooledPart(aLimit.rate_)) * weight / sum : 0;
  // The bucket of a smaller share would never hold a token. The VM is served
  // from the pool.
  const double least = 1 / std::max(aLimit.capacity_, 1e-6);
  const double reserved = Greatest(aHolder.steps_);
  const double current =
    aHolder.steps_.empty() ? 0 : aHolder.steps_.back().share_;
  const double most = reserved + static_cast<double>(FreeShare(aLimit));
  const double share = std::min(part * kWholePpm, most);
  if (std::abs(share - current) < kLeastChange * current &&
      current >= least * kWholePpm) {
    return static_cast<std::uint32_t>(current);
  }
  return share < least * kWholePpm ? 0 : static_cast<std::uint32_t>(share);
}

// Records that the VM may use the share until it expires.
void
LimitDivider::Reserve(Limit& aLimit,
                      Holder& aHolder,
                      std::uint64_t aIncarnation,
                      std::uint32_t aShare,
                      Time aNow)
{
  Advance(aLimit, aNow);
  auto& steps = aHolder.steps_;
  aLimit.reserved_ -= Greatest(steps);
  // Until the VM reports this grant, it may use this share or an earlier,
  // larger one.
  while (!steps.empty() && steps.back().share_ <= aShare &&
         steps.back().incarnation_ == aIncarnation) {
    steps.pop_back();
  }
  if (aShare > 0 || !steps.empty()) {
    steps.push_back(
      { aIncarnation, aShare, grantId_, aNow + kShareDuration + kClockMargin });
  }
  aLimit.reserved_ += Greatest(steps);
}

// Gives tokens of the pool for the operations that wait on the VM.
void
LimitDivider::GiveTokens(Limit& aLimit,
                         Holder& aHolder,
                         wire::ShareGrant& aGrant) const
{
  if (aHolder.waiting_ == 0) {
    return;
  }
  const double given =
    std::min(std::floor(aLimit.tokens_), static_cast<double>(aHolder.waiting_));
  aLimit.tokens_ -= given;
  aGrant.set_tokens(static_cast<std::uint32_t>(given));
  if (given < aHolder.waiting_ && KnowsAllShares()) {
    const double rate =
      aLimit.rate_ * static_cast<double>(FreeShare(aLimit)) / kWholePpm;
    const double ms =
      rate > 0 ? 1000 * (1 - aLimit.tokens_) / rate : kMaxEmptyMs;
    aGrant.set_empty_ms(
      static_cast<std::uint32_t>(std::clamp(ms, 1.0, kMaxEmptyMs)));
  }
  aHolder.waiting_ = 0;
}

void
LimitDivider::Answer(const VmId& aVm,
                     const wire::LeaseRequest& aRequest,
                     wire::LeaseGrant& aGrant,
                     Time aNow)
{
  const bool reports = aRequest.shares_complete();
  if (!reports && !vms_.contains(aVm)) {
    return;
  }
  ExpireUnconfirmed(aNow);
  Vm& vm = vms_[aVm];
  if (!reports && aRequest.incarnation() != vm.incarnation_) {
    return;
  }
  const bool isConfirmed = Confirm(aVm, vm, aRequest, aNow);
  if (isConfirmed) {
    if (aRequest.sent_us() <= vm.sentUs_) {
      return; // sent twice, or overtaken by a later request
    }
    vm.sentUs_ = aRequest.sent_us();
    if (reports) {
      Record(aVm, vm, aRequest, aNow);
    }
  }
  bool hasChanges = reports;
  std::vector<std::pair<Limit*, wire::ShareGrant>> shares;
  if (isConfirmed) {
    for (const auto& organisation : vm.organisations_) {
      Limit& limit = limits_[organisation];
      Advance(limit, aNow);
      Expire(limit, aNow);
      const auto found = limit.holders_.find(aVm);
      if (found == limit.holders_.end()) {
        continue;
      }
      const Holder& holder = found->second;
      wire::ShareGrant& share =
        shares.emplace_back(&limit, wire::ShareGrant{}).second;
      share.set_organisation(organisation);
      share.set_share_ppm(Decide(limit, holder));
      const std::uint32_t current =
        holder.steps_.empty() ? 0 : holder.steps_.back().share_;
      hasChanges |= share.share_ppm() != current;
    }
  } else if (vm.incarnation_ == 0) {
    // Shares of an earlier leader go on.
    for (const auto& report : aRequest.shares()) {
      if (report.share_ppm() > 0) {
        Limit& limit = limits_[report.organisation()];
        limit.tokensAt_ = limit.tokensAt_ == Time{} ? aNow : limit.tokensAt_;
        vm.organisations_.insert(report.organisation());
        limit.holders_[aVm].reportedAt_ = aNow;
        wire::ShareGrant& share =
          shares.emplace_back(&limit, wire::ShareGrant{}).second;
        share.set_organisation(report.organisation());
        share.set_share_ppm(report.share_ppm());
      }
    }
  }
  if (!hasChanges) {
    return;
  }
  grantId_++;
  for (auto& [limit, share] : shares) {
    Holder& holder = limit->holders_[aVm];
    Reserve(*limit, holder, aRequest.incarnation(), share.share_ppm(), aNow);
    if (isConfirmed && reports) {
      GiveTokens(*limit, holder, share);
    }
    if (share.share_ppm() > 0 || share.tokens() > 0 || share.empty_ms() > 0) {
      *aGrant.add_shares() = std::move(share);
    }
  }
  aGrant.set_leader_term(term_);
  aGrant.set_shares_id(grantId_);
  aGrant.set_shares_duration_ms(
    static_cast<std::uint32_t>(CountMs(kShareDuration)));
  aGrant.set_shares_unconfirmed(!isConfirmed);
}

} // namespace jaydoor
