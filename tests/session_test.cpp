// Tests gateways in front of fake servers under random faults.

#include "tests/SessionWorld.h"

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr std::uint64_t kSeedCount = 60;
constexpr std::uint64_t kRepeatSeedCount = 30; // in each section

// Joins the lines until the text is longer than 2000 characters.
std::string
JoinLines(const std::vector<std::string>& aLines)
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

TEST_CASE("Sessions through gateways in front of fake servers")
{
  SECTION("no statement is refused while there are no faults")
  {
    SessionWorldConfig config;
    config.faults_ = false;
    SessionWorld world(config);
    world.Run(5s);
    INFO(JoinLines(world.Failures()));
    CHECK(world.Failures().empty());
    CHECK(world.Done() > 1000);
    CHECK(world.Refused() == 0);
  }

  SECTION("all guarantees to callers hold under random faults")
  {
    for (std::uint64_t seed = 1; seed <= kSeedCount; seed++) {
      SessionWorldConfig config;
      config.seed_ = seed;
      SessionWorld world(config);
      world.Run(12s);
      INFO("seed " << seed << "\n" << JoinLines(world.Failures()));
      CHECK(world.Failures().empty());
      CHECK(world.Done() > 1000);
    }
  }
}

TEST_CASE("An answer that comes twice is not taken for that of a later command")
{
  SessionWorldConfig config;
  config.repeats_ = 0.05;
  config.refusals_ = 0.03;

  SECTION("while all else goes well")
  {
    config.faults_ = false;
  }
  SECTION("under random faults")
  {
    config.faults_ = true;
  }

  for (std::uint64_t seed = 1; seed <= kRepeatSeedCount; seed++) {
    config.seed_ = seed;
    SessionWorld world(config);
    world.Run(12s);
    INFO("seed " << seed << "\n" << JoinLines(world.Failures()));
    CHECK(world.Failures().empty());
    CHECK(world.Done() > 1000);
    CHECK(world.Repeats() > 100);
  }
}

} // namespace jaydoor::tests
