// jaydoor-demo: starts a fleet, runs a booking through it, kills the primary
// and shows that writes and reads go on.

#include "daemon/Clock.h"
#include "standin/Fleet.h"

#include <filesystem>
#include <iostream>

#include <fmt/format.h>

namespace {

using namespace jaydoor;
using standin::Fleet;

// Ends the demo where something was not seen as it has to be.
void
Require(bool aSeen, const std::string& aWhat)
{
  if (!aSeen) {
    std::cout << "demo: FAILED: " << aWhat << std::endl;
    std::exit(1);
  }
  std::cout << "demo: " << aWhat << std::endl;
}

CallerAnswer
Write(const Fleet& aFleet, const std::string& aVm, const std::string& aText)
{
  CallerRequest request;
  request.database_ = "lessons";
  request.statement_ = aText;
  request.workLabel_ = "enrolment";
  request.rank_ = Rank::Urgent;
  request.repeatable_ = true; // putting it twice is the same as once
  request.deadline_ = 10s;
  return aFleet.Execute(aVm, request);
}

// Reads the booking through each VM with the session's token.
void
ReadEverywhere(const Fleet& aFleet,
               const std::string& aSession,
               const std::vector<std::string>& aRows)
{
  for (const auto& vm : aFleet.Vms()) {
    CallerRequest request;
    request.database_ = "lessons";
    request.statement_ = "get booking-7";
    request.read_ = true;
    request.sessionToken_ = aSession;
    request.deadline_ = 10s;
    const CallerAnswer answer = aFleet.Execute(vm, request);
    Require(answer.outcome_ == Outcome::Done && answer.rows_ == aRows,
            fmt::format("read through {}: {} from {}",
                        vm,
                        fmt::join(answer.rows_, ", "),
                        answer.server_));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: jaydoor-demo BUILD-FOLDER WORK-FOLDER\n";
    return 2;
  }
  std::filesystem::remove_all(aArguments[2]);
  standin::FleetConfig config;
  config.binaries_ = aArguments[1];
  config.folder_ = aArguments[2];
  Fleet fleet(std::move(config));
  std::cout << "demo: starting 4 entry VMs in 3 zones and 3 servers of the "
               "database 'lessons'"
            << std::endl;
  fleet.Start();
  Require(fleet.WaitUntilReady(20s), "every entry VM takes writes");

  const auto first = Write(fleet, "vm-a1", "put booking-7 paid-once");
  Require(first.outcome_ == Outcome::Done,
          fmt::format("wrote booking-7 through vm-a1, {} has it at term {} "
                      "position {}",
                      first.server_,
                      first.point_.term_,
                      first.point_.position_));
  ReadEverywhere(fleet, first.sessionToken_, { "paid-once" });

  const ServerId primary = fleet.FindPrimary("lessons");
  Require(!primary.empty(), "the primary is " + primary + "; killing it");
  fleet.Kill(primary);
  const Time killed = ReadClock();
  const auto second = Write(fleet, "vm-b1", "put booking-7 paid-and-confirmed");
  Require(second.outcome_ == Outcome::Done,
          fmt::format("wrote again through vm-b1 {} ms later, {} has it at "
                      "term {} position {}",
                      CountMs(ReadClock() - killed),
                      second.server_,
                      second.point_.term_,
                      second.point_.position_));
  ReadEverywhere(fleet, second.sessionToken_, { "paid-and-confirmed" });
  std::cout << "demo: ok" << std::endl;
  return 0;
}
