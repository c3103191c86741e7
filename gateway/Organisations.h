#pragma once

// The organisations that may open sessions, with their keys and limits, as the
// operators' configuration lists them.
//
//   OrganisationId id = organisations.FindByKey(HashKey(key));

#include "base/KeyHash.h"
#include "base/Types.h"

#include <map>
#include <optional>

namespace jaydoor {

// How many operations an organisation may run on all VMs together. An operation
// is a single statement or a whole transaction.
struct OperationLimit
{
  double ratePerSecond_ = 0;
  double burst_ = 0; // operations beyond the rate
};

struct Organisation
{
  int priority_ = 1;                    // as configured; 1 is the usual one
  std::optional<OperationLimit> limit_; // none: unlimited
};

class Organisations
{
public:
  // Adds an organisation. Returns false, and adds nothing, if one of that name
  // is listed already.
  bool Add(const OrganisationId& aId, const Organisation& aOrganisation);
  // Adds a key of an organisation. Returns false, and adds nothing, if another
  // organisation has the key.
  bool AddKey(const OrganisationId& aId, const KeyHash& aKey);

  // Returns the organisation that has the key, empty if there is none.
  OrganisationId FindByKey(const KeyHash& aKey) const;
  // Returns null if no organisation has this name.
  const Organisation* Find(const OrganisationId& aId) const;
  const std::map<OrganisationId, Organisation>& All() const { return all_; }

private:
  std::map<OrganisationId, Organisation> all_;
  std::map<KeyHash, OrganisationId> idByKey_;
};

} // namespace jaydoor
