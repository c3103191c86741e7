// Sessions before fake servers: promises under faults, and single decisions.

#include "tests/SessionWorld.h"

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr std::uint64_t kSeeds = 60;

std::string
Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const auto& line : aLines) {
    text += line + "\n";
    if (text.size() > 2000) {
      break;
    }
  }
  return text;
}

} // namespace

TEST_CASE("Sessions through gateways")
{
  SECTION("without faults nothing is refused")
  {
    SessionWorldConfig config;
    config.faults_ = false;
    SessionWorld world(config);
    world.Run(5s);
    INFO(Join(world.Failures()));
    CHECK(world.Failures().empty());
    CHECK(world.Done() > 1000);
    CHECK(world.Refused() == 0);
  }

  SECTION("promises hold under random faults")
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; seed++) {
      SessionWorldConfig config;
      config.seed_ = seed;
      SessionWorld world(config);
      world.Run(12s);
      INFO("seed " << seed << "\n" << Join(world.Failures()));
      CHECK(world.Failures().empty());
      CHECK(world.Done() > 1000);
    }
  }
}

} // namespace jaydoor::tests
