#include "gateway/Catalog.h"

namespace jaydoor {

const CatalogDatabase*
Catalog::Find(std::string_view aDatabase) const
{
  const auto found = databases_.find(aDatabase);
  return found == databases_.end() ? nullptr : &found->second;
}

std::size_t
Catalog::ConnectionLimit(const DatabaseId& aGroup) const
{
  const auto found = connectionLimits_.find(aGroup);
  return found == connectionLimits_.end() ? 0 : found->second;
}

} // namespace jaydoor
