#include "tests/VoterWorld.h"

#include <catch2/catch.hpp>

using namespace jaydoor;
using namespace jaydoor::tests;
using namespace std::chrono_literals;

TEST_CASE("Voters under random faults")
{
  SECTION("configurations last, and after the restart of all are read back")
  {
    for (std::uint64_t seed = 1; seed <= 60; seed++) {
      VoterWorld world(seed);
      world.Run(seed % 3 == 0 ? 60s : 25s);
      world.StopFaults();
      world.Run(10s);
      world.RestartAll(1s);
      world.WipeDisk("10.0.0.2"); // one disk may be lost
      world.Run(10s);
      world.CheckEveryNodeReads();
      INFO("seed " << seed << ", stored " << world.CountStored());
      for (const auto& failure : world.Failures()) {
        UNSCOPED_INFO(failure);
      }
      CHECK(world.Failures().empty());
      CHECK(world.CountStored() > 20);
    }
  }
}

TEST_CASE("A disk lost after another one was replaced")
{
  VoterWorld world(1);
  world.StopFaults();
  world.Run(40s); // long enough that a VM unseen since the election is given up
  const VmId first = "10.0.0.1";
  world.Kill(first);
  world.WipeDisk(first);

  SECTION("while its VM was still known")
  {
    world.Run(500ms);
  }
  SECTION("after its VM was taken for dead")
  {
    world.Run(2s);
  }
  SECTION("after its VM was forgotten")
  {
    world.Run(50s);
  }
  world.Start(first);
  world.Run(6s);
  world.RestartAll(1s);
  world.WipeDisk("10.0.0.2");
  world.Run(10s);
  world.CheckEveryNodeReads();
  for (const auto& failure : world.Failures()) {
    UNSCOPED_INFO(failure);
  }
  CHECK(world.Failures().empty());
}

TEST_CASE("Five voters in three zones")
{
  for (std::uint64_t seed = 1; seed <= 10; seed++) {
    VoterWorld world(seed, 5);
    world.StopFaults();
    world.Run(10s);
    INFO("seed " << seed);
    // The three seeds founded it, and two more joined.
    REQUIRE(world.ListVoters().size() == 5);
    world.RestartAll(1s);
    world.WipeDisk("10.0.0.1");
    world.WipeDisk("10.0.0.5");
    world.Run(10s);
    world.CheckEveryNodeReads();
    for (const auto& failure : world.Failures()) {
      UNSCOPED_INFO(failure);
    }
    CHECK(world.Failures().empty());
    CHECK(world.ListVoters().size() == 5);
  }
}

TEST_CASE("A start without seeds")
{
  SECTION("voters find each other and the others by their disks")
  {
    for (std::uint64_t seed = 1; seed <= 10; seed++) {
      VoterWorld world(seed);
      world.StopFaults();
      world.Run(5s);
      world.OmitSeeds();
      world.RestartAll(5s);
      world.Run(15s);
      world.CheckEveryNodeReads();
      INFO("seed " << seed);
      for (const auto& failure : world.Failures()) {
        UNSCOPED_INFO(failure);
      }
      CHECK(world.Failures().empty());
    }
  }
}
