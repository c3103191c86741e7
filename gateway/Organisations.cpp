#include "gateway/Organisations.h"

namespace jaydoor {

bool
Organisations::Add(const OrganisationId& aId, const Organisation& aOrganisation)
{
  return all_.try_emplace(aId, aOrganisation).second;
}

bool
Organisations::AddKey(const OrganisationId& aId, const KeyHash& aKey)
{
  return idByKey_.try_emplace(aKey, aId).first->second == aId;
}

OrganisationId
Organisations::FindByKey(const KeyHash& aKey) const
{
  const auto found = idByKey_.find(aKey);
  return found == idByKey_.end() ? OrganisationId() : found->second;
}

const Organisation*
Organisations::Find(const OrganisationId& aId) const
{
  const auto found = all_.find(aId);
  return found == all_.end() ? nullptr : &found->second;
}

} // namespace jaydoor
