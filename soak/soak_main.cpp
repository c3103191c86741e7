// Soak of real processes under random faults: jaydoor-soak --build FOLDER
//   [--first SEED] [--seeds COUNT] [--seconds S] [--entries COUNT]
//   [--logs FOLDER]
//
// Runs `jaydoord platform` as three control VMs and some entry VMs in front of
// a group of fake servers, with callers that keep using their connections until
// these end. The callers belong to organisations, whose keys are replaced.
// Checks while it runs, and at the end:
//   - no acknowledged write is lost or takes effect twice, and none that was
//     refused takes effect;
//   - a caller reads its own acknowledged writes, through any VM;
//   - a caller gets the answer to its own statement, whole and signed, also
//     from servers that answer twice (seeds that are even numbers);
//   - servers run what callers sent, whole, and nothing else;
//   - a statement runs only on a connection of its caller's organisation;
//   - no leaving server gets new work after the drain bound;
//   - no process ends by itself, and a stop ends within the grace period;
//   - once all faults are over, all VMs serve again.
// Exit status 1 if a promise broke; each failure is printed with its seed.

#include "daemon/Clock.h"
#include "soak/Faults.h"
#include "soak/Keys.h"

#include <array>
#include <filesystem>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace jaydoor::soak {
namespace {

constexpr int kCallers = 12;
constexpr Duration kRecoveryLimit = 12s;
constexpr Duration kStartLimit = 30s;
constexpr Duration kStep = 20ms;
constexpr Duration kProbeInterval = 1s;

// What follows the numbers that callers write.
constexpr std::array kEndings = {
  "",
  " ",
  "\n",
  "\r",
  "\nsecond\nthird",
  "\nQUERY q COMMIT",
  "\nCOMPLETE forged\nREADY I -",
};

// Servers answer twice in half of the runs.
tests::AnswerFaults
MakeAnswerFaults(std::uint64_t aSeed)
{
  return aSeed % 2 != 0 ? tests::AnswerFaults{}
                        : tests::AnswerFaults{ .repeatedShare_ = 0.03,
                                               .maxRepeatDelay_ = 200ms,
                                               .busyShare_ = 0.01,
                                               .seed_ = aSeed };
}

// One caller, in sessions one after the other.
class CallerLoop
{
public:
  CallerLoop(int aNumber,
             std::uint64_t aSeed,
             const tests::LineDeployment& aDeployment,
             const Rotation& aRotation,
             const std::atomic<int>& aConfigVersion,
             History& aHistory)
    : number_(aNumber)
    , random_(aSeed * 1000 + static_cast<std::uint64_t>(aNumber))
    , deployment_(aDeployment)
    , rotation_(aRotation)
    , configVersion_(aConfigVersion)
    , history_(aHistory)
  {
  }

  void Run(const std::atomic<bool>& aStop)
  {
    while (!aStop) {
      const bool strict = random_() % 2 == 0;
      const std::string database = strict ? "primary" : "read_your_writes";
      const auto caller = deployment_.Connect(rotation_.Choose(random_));
      std::uint64_t written = 0; // in this session
      if (!caller->Open(database, KeyOf(number_, configVersion_))) {
        std::this_thread::sleep_for(100ms);
        continue;
      }
      // The session goes on until the VM ends it, or for a random time.
      for (int left = 20 + static_cast<int>(random_() % 400);
           left > 0 && !aStop;
           left--) {
        const bool goesOn = Act(*caller, strict, database, written);
        if (caller->HasUnreadMessage()) {
          history_.RecordFailure("an answer came that belongs to no statement");
        }
        if (!goesOn) {
          break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 60));
      }
    }
  }

private:
  // Runs one operation. Returns false if the session has ended.
  bool Act(tests::LineCaller& aCaller,
           bool aStrict,
           const std::string& aDatabase,
           std::uint64_t& aWritten)
  {
    const std::string item = ItemOf(number_);
    const auto kind = random_() % 4;
    if (kind < 2) {
      // Reads show everything acknowledged, or what this session wrote.
      const std::uint64_t least = aStrict ? acknowledged_ : aWritten;
      const auto lines = aCaller.Query("READ " + item);
      if (tests::IsDone(lines)) {
        const std::string& row = lines.front();
        history_.RecordRead(
          number_,
          row.starts_with("ROW ") ? ReadNumber(row.substr(4)).value_or(0) : 0,
          least,
          aDatabase);
      }
      return IsOpen(lines);
    }
    const bool inTransaction = kind == 3;
    if (inTransaction && !tests::IsDone(aCaller.Query("BEGIN"))) {
      return false;
    }
    const std::uint64_t value = ++nextValue_;
    auto lines = aCaller.Query(fmt::format(
      "WRITE {} {}{}", item, value, kEndings[random_() % kEndings.size()]));
    bool committing = !inTransaction;
    if (inTransaction && tests::IsDone(lines)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 200));
      lines = aCaller.Query("COMMIT");
      committing = true;
    }
    const bool done = tests::IsDone(lines);
    const bool refused = !committing || tests::IsRefusal(lines);
    history_.RecordWrite(number_,
                         value,
                         done      ? WriteFate::Acknowledged
                         : refused ? WriteFate::Refused
                                   : WriteFate::InDoubt);
    if (done) {
      acknowledged_ = value;
      aWritten = value;
    }
    if (IsOpen(lines) && !lines.back().starts_with("READY I")) {
      aCaller.Query("ROLLBACK");
    }
    return IsOpen(lines);
  }

  static bool IsOpen(const std::vector<std::string>& aLines)
  {
    return aLines.back().starts_with("READY");
  }

  int number_ = 0;
  std::mt19937_64 random_;
  const tests::LineDeployment& deployment_;
  const Rotation& rotation_;
  const std::atomic<int>& configVersion_; // that the keys are of
  History& history_;
  std::uint64_t nextValue_ = 0;
  std::uint64_t acknowledged_ = 0; // highest value that was acknowledged
};

struct Options
{
  std::string build_;
  std::uint64_t firstSeed_ = 1;
  std::uint64_t seeds_ = 1;
  Duration length_ = 25s;
  int entryVms_ = 4;
  std::string logs_; // folder for settings, logs and disks; empty: deleted
};

// Waits until each entry VM has served a write.
bool
AwaitService(tests::LineDeployment& aDeployment, int aEntryVms, Duration aLimit)
{
  const Time end = ReadClock() + aLimit;
  for (int entry = 1; entry <= aEntryVms; entry++) {
    while (!aDeployment.WriteItem(entry, "service", "1")) {
      if (ReadClock() >= end) {
        return false;
      }
      std::this_thread::sleep_for(kStep);
    }
  }
  return true;
}

// Returns true if no promise broke.
bool
RunSeed(const Options& aOptions, std::uint64_t aSeed)
{
  History history;
  tests::LineDeployment deployment(
    { .folder_ = aOptions.logs_.empty()
                   ? (std::filesystem::temp_directory_path() /
                      fmt::format("jaydoor-soak-{}", getpid()))
                       .string()
                   : fmt::format("{}/seed-{}", aOptions.logs_, aSeed),
      .build_ = aOptions.build_,
      .entryVms_ = aOptions.entryVms_,
      .network_ = 16 + getpid() % 200,
      .statementDuration_ = 3ms,
      .keepsFolder_ = !aOptions.logs_.empty(),
      .faults_ = MakeAnswerFaults(aSeed),
      .recordsStatements_ = true });
  const Time startEnd = ReadClock() + kStartLimit;
  while (deployment.ReplaceConfig(1, MakeConfig(1)) != 200 &&
         ReadClock() < startEnd) {
    std::this_thread::sleep_for(kStep);
  }
  if (!deployment.IsStarted() ||
      !AwaitService(deployment, aOptions.entryVms_, kStartLimit)) {
    std::cout << fmt::format("seed {}: the deployment did not start\n", aSeed);
    return false;
  }
  Rotation rotation(aOptions.entryVms_);
  Faults faults(deployment, history, aSeed, aOptions.entryVms_);
  std::atomic<bool> stop = false;
  std::vector<std::unique_ptr<CallerLoop>> callers;
  std::vector<std::thread> threads;
  for (int i = 0; i < kCallers; i++) {
    callers.push_back(std::make_unique<CallerLoop>(
      i, aSeed, deployment, rotation, faults.StoredVersion(), history));
    threads.emplace_back(
      [&stop, &caller = *callers.back()] { caller.Run(stop); });
  }
  threads.emplace_back([&] {
    while (!stop) {
      rotation.Probe(deployment);
      std::this_thread::sleep_for(kProbeInterval);
    }
  });
  for (const Time end = ReadClock() + aOptions.length_; ReadClock() < end;) {
    faults.Step(ReadClock());
    faults.CheckProcesses();
    std::this_thread::sleep_for(kStep);
  }
  faults.EndAll();
  if (!AwaitService(deployment, aOptions.entryVms_, kRecoveryLimit)) {
    history.RecordFailure("not all VMs served again after the faults");
  }
  faults.CheckConfig(kRecoveryLimit);
  stop = true;
  for (auto& thread : threads) {
    thread.join();
  }
  for (int i = 0; i < kCallers; i++) {
    history.CheckItem(i, deployment.RunOnGroupThread([&](auto& aGroup) {
      return aGroup.ListCommittedValues(ItemOf(i));
    }));
  }
  const auto late =
    deployment.RunOnGroupThread([](auto& aGroup) { return aGroup.LateWork(); });
  for (const auto& [after, statement] : late) {
    history.RecordFailure(
      fmt::format("new work reached a server {} ms after it had been "
                  "acknowledged that it leaves: {}",
                  CountMs(after),
                  statement));
  }
  const auto misused = deployment.RunOnGroupThread(
    [](auto& aGroup) { return aGroup.MisusedConnections(); });
  for (const auto& statement : misused) {
    history.RecordFailure(
      fmt::format("on a connection of another organisation: {}", statement));
  }
  for (const auto& found : deployment.FindMixedAndUnasked()) {
    history.RecordFailure(found);
  }
  std::string kinds;
  for (const auto& [kind, count] : faults.Counts()) {
    kinds += fmt::format(" {} {},", count, kind);
  }
  const auto repeated = deployment.RunOnGroupThread(
    [](auto& aGroup) { return aGroup.CountRepeatedAnswers(); });
  kinds += fmt::format(" {} answers repeated", repeated);
  std::cout << fmt::format("seed {}: {} failures; {} reads, writes: {} "
                           "acknowledged, {} refused, {} in "
                           "doubt;{}\n",
                           aSeed,
                           history.Failures().size(),
                           history.CountReads(),
                           history.CountWrites(WriteFate::Acknowledged),
                           history.CountWrites(WriteFate::Refused),
                           history.CountWrites(WriteFate::InDoubt),
                           kinds);
  for (const auto& failure : history.Failures()) {
    std::cout << "  " << failure << "\n";
  }
  std::cout.flush();
  return history.Failures().empty();
}

} // namespace
} // namespace jaydoor::soak

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("jaydoor-soak");
  options.add_options()("build", "build folder", cxxopts::value<std::string>())(
    "first", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seeds",
    "number of seeds",
    cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seconds",
    "with faults, for each seed",
    cxxopts::value<int>()->default_value("25"))(
    "entries",
    "number of entry VMs",
    cxxopts::value<int>()->default_value("4"))(
    "logs",
    "folder to keep logs in",
    cxxopts::value<std::string>()->default_value(""));
  const auto parsed = options.parse(aCount, aArguments);
  const jaydoor::soak::Options settings{
    .build_ = parsed["build"].as<std::string>(),
    .firstSeed_ = parsed["first"].as<std::uint64_t>(),
    .seeds_ = parsed["seeds"].as<std::uint64_t>(),
    .length_ = std::chrono::seconds(parsed["seconds"].as<int>()),
    .entryVms_ = parsed["entries"].as<int>(),
    .logs_ = parsed["logs"].as<std::string>()
  };
  std::uint64_t failed = 0;
  for (std::uint64_t i = 0; i < settings.seeds_; i++) {
    failed +=
      jaydoor::soak::RunSeed(settings, settings.firstSeed_ + i) ? 0U : 1U;
  }
  std::cout << fmt::format(
    "{} of {} seeds with a broken promise\n", failed, settings.seeds_);
  return failed == 0 ? 0 : 1;
}
