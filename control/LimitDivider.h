#pragma once

// Divides the operation limits of organisations among the VMs. Runs on the
// leader of the control state; reports and shares travel with lease requests
// and grants. The VM's side is gateway/OrganisationLimiter.h.
//
//   LimitDivider divider;
//   divider.Reset(holders, term, now);            // this VM became the leader
//   divider.Answer(vm, request, grant, now);
//
// The load pattern: a limit holds for all VMs together, the callers of an
// organisation reach a few VMs each, and a small organisation sends about one
// operation per second to one VM after the other. Each VM therefore holds a
// share of the limit that follows its part of the demand. The rest of the limit
// stays here, as a pool of tokens for VMs whose share is too small or has not
// filled yet. A fixed division would refuse most of an organisation that uses a
// few VMs only.
//
// At any moment, the shares that the VMs may use and the pool's own part add up
// to at most the whole limit. A share that is lowered counts as in use until
// the VM has reported a later grant, or until it has expired.
//
// A new leader knows no shares. A VM is confirmed once it has applied a grant
// of this leader; from then on it ignores grants of earlier ones. Until all VMs
// that may hold shares are confirmed, or their shares have expired, only shares
// that confirmed VMs brought along are granted. The new process of a VM is
// confirmed in the same way, which frees the shares of the process before: a
// late message of that one can't confirm anything.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace jaydoor {

class LimitDivider
{
public:
  // Forgets all shares. `aHolders` are the VMs that may hold some.
  void Reset(std::span<const VmId> aHolders, std::uint64_t aTerm, Time aNow);
  // Takes over what a VM reports and adds its shares to the grant. Adds nothing
  // if the VM has never reported shares.
  void Answer(const VmId& aVm,
              const wire::LeaseRequest& aRequest,
              wire::LeaseGrant& aGrant,
              Time aNow);

  // Returns true once the shares of earlier leaders are known or have expired.
  bool KnowsAllShares() const { return unconfirmed_.empty(); }
  // Returns the share of the limit that VMs may use now, in millionths.
  std::uint32_t CountShared(const OrganisationId& aOrganisation) const;

private:
  // Grants of the same share to one process, newest last in a list.
  struct Step
  {
    std::uint64_t incarnation_ = 0;
    std::uint32_t share_ = 0;
    std::uint64_t lastId_ = 0; // of the last of these grants
    Time until_;               // the share has ended on the VM by then
  };

  // What a VM uses of one limit.
  struct Holder
  {
    std::vector<Step> steps_; // that the VM may use; the last is the current
    std::uint32_t demand_ = 0;
    std::uint32_t waiting_ = 0;
    Time reportedAt_;
  };

  struct Limit
  {
    std::map<VmId, Holder> holders_;
    std::uint64_t demand_ = 0;    // sum over the holders
    std::uint64_t reserved_ = 0;  // sum of the shares they may use
    std::uint64_t confirmed_ = 0; // brought along by confirmed VMs
    double rate_ = 0;             // tokens per second of the whole limit
    double capacity_ = 0;         // tokens of the whole limit
    double tokens_ = 0;           // in the pool at tokensAt_
    Time tokensAt_;
    Time checkedAt_; // last check for expired shares
  };

  struct Vm
  {
    std::uint64_t incarnation_ = 0; // of the confirmed process; 0: none
    std::int64_t sentUs_ = 0;       // of its newest request
    std::uint64_t candidate_ = 0;   // process that is not confirmed yet
    std::uint64_t candidateId_ = 0; // first grant to it
    std::set<OrganisationId> organisations_; // reported or granted
  };

  bool Confirm(const VmId& aId,
               Vm& aVm,
               const wire::LeaseRequest& aRequest,
               Time aNow);
  void Record(const VmId& aId,
              Vm& aVm,
              const wire::LeaseRequest& aRequest,
              Time aNow);
  static std::uint32_t Greatest(std::span<const Step> aSteps);
  void Acknowledge(Holder& aHolder,
                   std::uint64_t aGrantId,
                   std::uint32_t aShare) const;
  std::uint32_t Decide(const Limit& aLimit, const Holder& aHolder) const;
  std::uint64_t FreeShare(const Limit& aLimit) const;
  void Reserve(Limit& aLimit,
               Holder& aHolder,
               std::uint64_t aIncarnation,
               std::uint32_t aShare,
               Time aNow);
  void GiveTokens(Limit& aLimit,
                  Holder& aHolder,
                  wire::ShareGrant& aGrant) const;
  void Advance(Limit& aLimit, Time aNow) const;
  void Expire(Limit& aLimit, Time aNow) const;
  void ExpireUnconfirmed(Time aNow);

  std::uint64_t term_ = 0;
  Time resetAt_;
  std::uint64_t grantId_ = 0; // of the last grant
  std::set<VmId> unconfirmed_;
  std::map<VmId, Vm> vms_;
  std::map<OrganisationId, Limit> limits_;
};

} // namespace jaydoor
