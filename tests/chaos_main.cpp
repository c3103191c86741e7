// jaydoor-chaos: real processes under random kills, freezes, cuts, silent
// connections, lost disks and operator races, held against the naive version.
//
//   jaydoor-chaos --build DIR --folder DIR --seed N --seconds S
//
// Prints each violation, and at the end "chaos: N operations, M faults,
// K violations"; exit 0 only without violations.

#include "daemon/Clock.h"
#include "standin/Fleet.h"
#include "tests/History.h"

#include <atomic>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

namespace {

using namespace jaydoor;
using standin::Fleet;

constexpr std::size_t kSessions = 6;
constexpr std::size_t kKeys = 4;
constexpr Duration kDeadline = 1s;
constexpr Duration kRecovery = 20s; // longest time to serve after all is mended

class Chaos
{
public:
  Chaos(Fleet& aFleet, std::uint64_t aSeed)
    : fleet_(aFleet)
    , seed_(aSeed)
    , random_(aSeed)
  {
  }

  void Run(Duration aTime)
  {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kSessions; i++) {
      threads.emplace_back([this, i] { RunSession(i); });
    }
    threads.emplace_back([this] { RunOperators(); });
    const Time until = ReadClock() + aTime;
    while (ReadClock() < until) {
      Sleep(std::chrono::milliseconds(200 + random_() % 1000));
      Inject();
    }
    Mend();
    Sleep(2s);
    stop_ = true;
    for (auto& thread : threads) {
      thread.join();
    }
  }

  std::vector<std::string> Check()
  {
    if (!fleet_.WaitUntilReady(kRecovery)) {
      problems_.emplace_back("not every VM serves again after the faults");
    }
    CheckRules();
    auto problems = history_.Check(ReadFinalState());
    problems.insert(problems.end(), problems_.begin(), problems_.end());
    return problems;
  }

  std::size_t Faults() const { return faults_; }
  tests::History& Operations() { return history_; }

private:
  static void Sleep(Duration aTime) { std::this_thread::sleep_for(aTime); }

  void RunSession(std::size_t aNumber)
  {
    std::mt19937_64 random(seed_ * 100 + aNumber);
    const auto vms = fleet_.Vms();
    const std::string session = fmt::format("s{}", aNumber);
    std::string token;
    for (int i = 0; !stop_; i++) {
      CallerRequest request;
      request.database_ = "lessons";
      request.read_ = random() % 2 == 0;
      request.workLabel_ = random() % 2 == 0 ? "old" : "new";
      request.sessionToken_ = token;
      request.deadline_ = kDeadline;
      const std::string key = fmt::format("k{}", random() % kKeys);
      const std::string value = fmt::format("{}v{}", session, i);
      request.statement_ =
        request.read_ ? "get " + key : fmt::format("add {} {}", key, value);
      const CallerAnswer answer =
        fleet_.Execute(vms[random() % vms.size()], request);
      const std::lock_guard lock(mutex_);
      if (request.read_) {
        history_.NoteRead(session, key, answer);
      } else {
        history_.NoteWrite(session, key, value, answer);
      }
      token = answer.sessionToken_.empty() ? token : answer.sessionToken_;
    }
  }

  // Two operators race under one version; each resends until it knows.
  void RunOperators()
  {
    namespace json = boost::json;
    std::uint64_t number = 0;
    while (!stop_) {
      std::array<unsigned, 2> status{};
      std::vector<std::thread> operators;
      const std::uint64_t base = version_;
      for (std::size_t i = 0; i < 2; i++) {
        operators.emplace_back([&, i] {
          const auto vms = fleet_.Vms();
          const json::object body{
            { "text",
              fmt::format("stale work=old max_age={}ms # operator {}\n",
                          200 + number,
                          i) },
            { "base_version", base },
            { "request", fmt::format("r{}-{}", number, i) },
            { "author", "chaos" }
          };
          for (std::size_t turn = 0; status.at(i) == 0; turn++) {
            const auto answer =
              fleet_.Ask(vms[(number + i + turn) % vms.size()],
                         standin::kAdminPort,
                         "/v1/rules",
                         json::serialize(body),
                         6s);
            const bool known = answer.status_ == 200 || answer.status_ == 409;
            status.at(i) = known ? answer.status_ : 0;
            if (stop_ && turn > 20) {
              return;
            }
          }
        });
      }
      for (auto& thread : operators) {
        thread.join();
      }
      NoteRace(status);
      number++;
      Sleep(300ms);
    }
  }

  void NoteRace(const std::array<unsigned, 2>& aStatus)
  {
    const std::lock_guard lock(mutex_);
    const bool known = aStatus[0] != 0 && aStatus[1] != 0;
    const bool one = (aStatus[0] == 200) != (aStatus[1] == 200);
    if (known && !one) {
      problems_.push_back(fmt::format("two operators under version {}: {} {}",
                                      version_.load(),
                                      aStatus[0],
                                      aStatus[1]));
    }
    if (known) {
      version_++;
    }
  }

  // The accepted version is in force everywhere, and it is the only one.
  void CheckRules()
  {
    for (const auto& vm : fleet_.Vms()) {
      std::uint64_t found = 0;
      const Time until = ReadClock() + Duration(3s);
      while (found != version_ && ReadClock() < until) {
        const auto answer =
          fleet_.Ask(vm, standin::kAdminPort, "/v1/rules", "", 1s);
        boost::system::error_code error;
        const auto value = boost::json::parse(answer.body_, error);
        if (!error && answer.status_ == 200) {
          found = value.at("version").to_number<std::uint64_t>();
        }
      }
      if (found != version_) {
        problems_.push_back(
          fmt::format("{} serves rules version {}, accepted was {}",
                      vm,
                      found,
                      version_.load()));
      }
    }
  }

  void Inject()
  {
    faults_++;
    const auto vms = fleet_.Vms();
    const auto servers = fleet_.Servers();
    const std::string& vm = vms[random_() % vms.size()];
    const std::string& server = servers[random_() % servers.size()];
    const std::string& any = random_() % 2 == 0 ? vm : server;
    switch (random_() % 10) {
      case 0:
      case 1:
        Log("kill " + any);
        fleet_.Kill(any);
        break;
      case 2:
        Log("freeze " + any);
        fleet_.Freeze(any);
        break;
      case 3: {
        const int zone = static_cast<int>(random_() % 3);
        Log(fmt::format("cut off zone {}", zone));
        fleet_.Relay()->CutOff(zone);
        break;
      }
      case 4:
        Log("silence " + any);
        fleet_.Relay()->Silence(fleet_.Get(any).bind_);
        break;
      case 5:
        LoseDisk();
        break;
      default:
        Mend();
        break;
    }
  }

  // One disk at a time; the next may go once the fleet had time to replace it.
  void LoseDisk()
  {
    if (ReadClock() - diskLost_ < 8s) {
      return;
    }
    Mend();
    Sleep(3s);
    diskLost_ = ReadClock();
    const std::array<std::string, 3> voters = { "vm-a1", "vm-b1", "vm-c1" };
    const std::string& vm = voters.at(random_() % voters.size());
    Log("lose disk of " + vm);
    fleet_.Kill(vm);
    fleet_.Wipe(vm);
    fleet_.Run(vm);
    Sleep(3s);
  }

  void Mend()
  {
    Log("mend");
    fleet_.Relay()->Heal();
    for (const auto& names : { fleet_.Vms(), fleet_.Servers() }) {
      for (const auto& name : names) {
        fleet_.Thaw(name);
        fleet_.Run(name);
      }
    }
  }

  void Log(const std::string& aText) const
  {
    std::cout << fmt::format(
                   "{:>7} ms  {}", CountMs(ReadClock() - start_), aText)
              << std::endl;
  }

  std::map<std::string, std::vector<std::string>> ReadFinalState()
  {
    std::map<std::string, std::vector<std::string>> state;
    for (std::size_t i = 0; i < kKeys; i++) {
      CallerRequest request;
      request.database_ = "lessons";
      request.read_ = true;
      request.workLabel_ = "new";
      request.deadline_ = 5s;
      const std::string key = fmt::format("k{}", i);
      request.statement_ = "get " + key;
      const CallerAnswer answer = fleet_.Execute("vm-a1", request);
      if (answer.outcome_ != Outcome::Done) {
        problems_.push_back("no final read of " + key);
      }
      state[key] = answer.rows_;
    }
    return state;
  }

  Fleet& fleet_;
  std::uint64_t seed_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  tests::History history_;
  std::vector<std::string> problems_;
  std::atomic<bool> stop_ = false;
  std::atomic<std::uint64_t> version_ = 0; // of the rules, as accepted
  std::size_t faults_ = 0;
  Time start_ = ReadClock();
  Time diskLost_{};
};

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("jaydoor-chaos", "Random faults on real processes");
  auto add = options.add_options();
  add("build", "build folder", cxxopts::value<std::string>());
  add("folder", "work folder, emptied", cxxopts::value<std::string>());
  add("seed", "number", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seconds", "of faults", cxxopts::value<int>()->default_value("20"));
  const auto read = options.parse(aCount, aArguments);
  const auto seed = read["seed"].as<std::uint64_t>();
  standin::FleetConfig config;
  config.binaries_ = read["build"].as<std::string>();
  config.folder_ = read["folder"].as<std::string>();
  config.relay_ = true;
  std::filesystem::remove_all(config.folder_);
  Fleet fleet(std::move(config));
  fleet.Start();
  if (!fleet.WaitUntilReady(20s)) {
    std::cout << "chaos: the fleet did not come up" << std::endl;
    return 1;
  }
  Chaos chaos(fleet, seed);
  chaos.Run(std::chrono::seconds(read["seconds"].as<int>()));
  const auto problems = chaos.Check();
  for (const auto& problem : problems) {
    std::cout << fmt::format("violation, seed {}: {}", seed, problem)
              << std::endl;
  }
  auto& operations = chaos.Operations();
  std::cout << fmt::format("outcomes: {} done, {} not run, {} failed, {} "
                           "unknown\n",
                           operations.Count(Outcome::Done),
                           operations.Count(Outcome::NotRun),
                           operations.Count(Outcome::Failed),
                           operations.Count(Outcome::Unknown));
  std::cout << fmt::format("chaos: {} operations, {} faults, {} violations",
                           operations.Operations(),
                           chaos.Faults(),
                           problems.size())
            << std::endl;
  return problems.empty() ? 0 : 1;
}
