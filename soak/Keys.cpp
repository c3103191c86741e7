#include "soak/Keys.h"

#include "tests/LineDeployment.h"

#include <fmt/format.h>

namespace jaydoor::soak {
namespace {

constexpr int kOrganisations = 3;

} // namespace

std::string
OrganisationOf(int aCaller)
{
  return fmt::format("o{}", aCaller % kOrganisations);
}

std::string
ItemOf(int aCaller)
{
  return fmt::format("{}.caller-{}", OrganisationOf(aCaller), aCaller);
}

std::string
KeyOf(int aCaller, int aVersion)
{
  const bool changes = aCaller / kOrganisations % 2 == 1;
  return changes
           ? fmt::format("key-of-{}-{}", OrganisationOf(aCaller), aVersion)
           : "key-of-" + OrganisationOf(aCaller);
}

std::string
MakeConfig(int aVersion)
{
  // The callers that test the service open their sessions as "user".
  std::map<std::string, std::vector<std::string>> keys = { { "service",
                                                             { "user" } } };
  for (int i = 0; i < kOrganisations; i++) {
    const int changing = i + kOrganisations;
    keys[OrganisationOf(i)] = { KeyOf(i, aVersion),
                                KeyOf(changing, aVersion),
                                KeyOf(changing, aVersion - 1) };
  }
  return tests::LineDeployment::MakeConfig(
    aVersion, tests::LineDeployment::MakeOrganisations(keys));
}

} // namespace jaydoor::soak
