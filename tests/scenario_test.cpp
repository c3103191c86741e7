// Each scenario runs on the decision code under virtual time.

#include "tests/Scenario.h"
#include "tests/World.h"

#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

class WorldStage
{
public:
  explicit WorldStage(World& aWorld)
    : world_(aWorld)
  {
  }

  void Run(Duration aTime) { world_.Run(aTime); }
  CallerAnswer Execute(const std::string& aVm, const CallerRequest& aRequest)
  {
    return world_.Execute(aVm, aRequest);
  }
  std::optional<wire::RuleOutcome> ChangeRules(const std::string& aVm,
                                               const wire::RuleChange& aChange)
  {
    return world_.ChangeRules(aVm, aChange);
  }
  std::string FindPrimary(const std::string& aDatabase)
  {
    return world_.FindPrimary(aDatabase);
  }
  std::vector<std::string> Servers() { return world_.Servers(); }

  void Fault(const std::string& aVerb,
             const std::string& aName,
             const std::string& aOther)
  {
    if (aVerb == "kill") {
      world_.Kill(aName);
    } else if (aVerb == "start") {
      world_.Start(aName);
    } else if (aVerb == "freeze") {
      world_.Freeze(aName);
    } else if (aVerb == "thaw") {
      world_.Thaw(aName);
    } else if (aVerb == "wipe") {
      world_.Wipe(aName);
    } else if (aVerb == "leave") {
      world_.Leave(aName);
    } else if (aVerb == "drain") {
      world_.Drain(aName);
    } else if (aVerb == "silence") {
      world_.Silence(aName);
    } else if (aVerb == "reset") {
      world_.Reset(aName);
    } else if (aVerb == "cutoff") {
      world_.CutOff(aName);
    } else if (aVerb == "cut") {
      world_.Cut(aName, aOther);
    } else if (aVerb == "heal") {
      world_.Heal();
    } else {
      FAIL("unknown step " << aVerb);
    }
  }

private:
  World& world_;
};

} // namespace

TEST_CASE("Scenarios hold under virtual time")
{
  for (const auto& entry :
       std::filesystem::directory_iterator(JAYDOOR_SCENARIOS)) {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      DYNAMIC_SECTION(entry.path().filename().string() << " seed " << seed)
      {
        std::ifstream in(entry.path());
        std::ostringstream text;
        text << in.rdbuf();
        WorldConfig config;
        config.seed_ = seed;
        World world(config);
        WorldStage stage(world);
        const std::string problem = ScenarioRunner(stage).RunText(text.str());
        INFO(problem);
        CHECK(problem.empty());
        CHECK(world.RulesWentBack() == 0);
      }
    }
  }
}

TEST_CASE("The same events and seed give the same actions")
{
  const auto run = [](std::uint64_t aSeed) {
    WorldConfig config;
    config.seed_ = aSeed;
    World world(config);
    world.Run(5s);
    return world.Fingerprint();
  };
  CHECK(run(7) == run(7));
  CHECK(run(7) != run(8));
}

} // namespace jaydoor::tests
