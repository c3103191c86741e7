// A leader of the core is frozen while its call to the platform is still
// connecting. Another one takes the duty over and promotes with its higher
// token. Does the first one still act when it wakes?

#include "../Bed.h"

int
main()
{
  using namespace bed;
  Bed bed({ .fronts_ = 3, .workMs_ = 8, .promoteMs_ = 1000 });
  bed.Start();
  Sleep(1500);
  const int leader = bed.FindLeader();
  if (leader == 0) {
    GiveUp("no leader was found");
  }
  GetRecord().Write("%s leads", Bed::CoreName(leader).c_str());
  if (HasTrouble()) {
    bed.GetPlatform().SetSlow(true);
  }
  bed.GetDatabase().Leave(bed.GetDatabase().Primary());
  if (HasTrouble()) {
    // The leader asks for the promotion as soon as the former primary has
    // stepped down.
    bed.Await("the primary was not made to step down",
              [&] { return bed.GetDatabase().CountStepDowns() > 0; });
    Sleep(150);
    GetRecord().Write("%s freezes", Bed::CoreName(leader).c_str());
    bed.GetProcess(Bed::CoreName(leader)).Signal(SIGSTOP);
    bed.GetPlatform().SetSlow(false);
    Sleep(2000);
    GetRecord().Write("%s wakes", Bed::CoreName(leader).c_str());
    bed.GetProcess(Bed::CoreName(leader)).Signal(SIGCONT);
  }
  Sleep(6000);
  std::uint64_t highest = 0;
  bool broken = false;
  for (const auto& call : bed.GetPlatform().Calls()) {
    broken = broken || call.token_ < highest;
    highest = std::max(highest, call.token_);
  }
  if (bed.GetPlatform().Calls().empty()) {
    GiveUp("no promotion was asked for");
  }
  Finish(bed, broken);
}
