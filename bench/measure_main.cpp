// jaydoor-measure: the users' measures on the stand-ins, each beside a naive
// version in the same run. Prints one JSON line a figure.
//
// Sections:
//   1. Load: open arrivals at a rate, counted by rank
//   2. Ways to the databases: through jaydoor, or the naive one
//   3. Measures
//
// The naive way sends all to the primary over a fixed number of connections,
// first come first served, without limits, ranks or failover.

#include "daemon/Clock.h"
#include "standin/Fleet.h"

#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace {

using namespace jaydoor;
using standin::Fleet;
namespace asio = boost::asio;

constexpr Duration kUrgentDeadline = 250ms;
constexpr Duration kDeadline = 1s; // of the other ranks
constexpr Duration kCallLimit = 3s;
constexpr std::size_t kMaxPending = 20'000; // of one way, then not sent

struct Deployment
{
  std::string name_;
  unsigned slots_ = 3;
  unsigned connections_ = 20;
  Duration zoneDelay_{}; // one way
};

const std::array kDeployments = { Deployment{ "ishara", 3, 20, 750us },
                                  Deployment{ "tagline", 5, 55, 500us } };

void
PrintFigure(std::string_view aMeasure,
            std::string_view aDeployment,
            std::string_view aCondition,
            double aJaydoor,
            double aNaive,
            std::string_view aUnit)
{
  std::cout << fmt::format(
                 R"({{"measure":"{}","deployment":"{}","condition":"{}",)"
                 R"("jaydoor":{:.4g},"naive":{:.4g},"unit":"{}"}})",
                 aMeasure,
                 aDeployment,
                 aCondition,
                 aJaydoor,
                 aNaive,
                 aUnit)
            << std::endl;
}

// ---- 1. Load

struct Stream
{
  Rank rank_ = Rank::Normal;
  double perSecond_ = 0;
  bool read_ = false;
  std::string work_;
};

struct Tally
{
  std::size_t sent_ = 0;
  std::size_t done_ = 0; // within the deadline
  std::size_t byReplica_ = 0;
  std::vector<double> ms_; // of those done
};

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double at = aShare * static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(at)];
}

// ---- 2. Ways to the databases

// Connections to one port; a request takes a free one or opens one.
class Way
{
public:
  Way(asio::io_context& aContext,
      std::string aHost,
      std::uint16_t aPort,
      std::size_t aLimit)
    : context_(aContext)
    , host_(std::move(aHost))
    , port_(aPort)
    , limit_(aLimit)
  {
  }

  asio::awaitable<HttpCallResult> Call(std::string aPath, std::string aBody)
  {
    while (free_.empty() && open_ >= limit_ && !failed_) {
      if (waiting_.size() >= kMaxPending) {
        co_return HttpCallResult{};
      }
      auto turn = std::make_shared<asio::steady_timer>(
        context_, std::chrono::steady_clock::time_point::max());
      waiting_.push_back(turn);
      boost::system::error_code ignored;
      co_await turn->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    std::shared_ptr<HttpCoroutineClient> caller;
    if (free_.empty()) {
      open_++;
      caller = std::make_shared<HttpCoroutineClient>(context_, host_, port_);
    } else {
      caller = free_.back();
      free_.pop_back();
    }
    HttpCallResult answer =
      co_await caller->Call(std::move(aPath), std::move(aBody), kCallLimit);
    failed_ = answer.status_ == 0;
    free_.push_back(std::move(caller));
    if (!waiting_.empty()) {
      waiting_.front()->cancel();
      waiting_.pop_front();
    }
    co_return answer;
  }

  // The last request had no answer: a balancer would send elsewhere.
  bool HasFailed() const { return failed_; }

private:
  asio::io_context& context_;
  std::string host_;
  std::uint16_t port_;
  std::size_t limit_;
  bool failed_ = false;
  std::size_t open_ = 0;
  std::vector<std::shared_ptr<HttpCoroutineClient>> free_;
  std::deque<std::shared_ptr<asio::steady_timer>> waiting_;
};

class Load
{
public:
  // `aNaive`: straight to the primary.
  Load(Fleet& aFleet, bool aNaive)
    : fleet_(aFleet)
    , naive_(aNaive)
    , random_(7)
  {
    if (naive_) {
      primary_ = fleet_.FindPrimary("lessons");
      const auto status =
        fleet_.Ask(primary_, standin::kServerPort, "/v1/status", "{}", 1s);
      const auto read = ParseUpstreamAnswer(status.body_);
      term_ = read ? read->promisedTerm_ : 0;
      ways_.push_back(std::make_unique<Way>(context_,
                                            fleet_.Get(primary_).host_,
                                            standin::kServerPort,
                                            fleet_.Config().slots_));
      return;
    }
    for (const auto& vm : fleet_.Vms()) {
      ways_.push_back(std::make_unique<Way>(
        context_, fleet_.Get(vm).host_, standin::kCallerPort, kMaxPending));
    }
  }

  std::vector<Tally> Run(const std::vector<Stream>& aStreams, Duration aTime)
  {
    tallies_.assign(aStreams.size(), {});
    const Time until = ReadClock() + aTime;
    for (std::size_t i = 0; i < aStreams.size(); i++) {
      asio::co_spawn(context_, Emit(aStreams[i], i, until), asio::detached);
    }
    context_.restart();
    context_.run_for(aTime + kCallLimit);
    return tallies_;
  }

  const std::vector<Time>& DoneAt() const { return doneAt_; }

private:
  asio::awaitable<void> Emit(Stream aStream, std::size_t aNumber, Time aUntil)
  {
    std::exponential_distribution<double> pause(aStream.perSecond_);
    asio::steady_timer timer(context_);
    Time next = ReadClock();
    while (next < aUntil) {
      next += Duration(static_cast<Duration::rep>(pause(random_) * 1e6));
      timer.expires_after(next - ReadClock());
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(context_, SendOne(aStream, aNumber), asio::detached);
    }
  }

  asio::awaitable<void> SendOne(Stream aStream, std::size_t aNumber)
  {
    tallies_[aNumber].sent_++;
    const Time start = ReadClock();
    const std::string key = fmt::format("key{}", random_() % 50);
    const std::string text =
      aStream.read_ ? "get " + key : fmt::format("put {} v", key);
    Way& way = PickWay();
    const Duration deadline =
      aStream.rank_ == Rank::Urgent ? kUrgentDeadline : kDeadline;
    bool done = false;
    std::string server = primary_;
    if (naive_) {
      UpstreamRequest request;
      request.op_ = UpstreamOp::Execute;
      request.term_ = term_;
      request.statement_ = text;
      request.read_ = aStream.read_;
      request.remainingTime_ = deadline;
      const auto answer =
        co_await way.Call("/v1/execute", WriteUpstreamRequest(request));
      const auto read = ParseUpstreamAnswer(answer.body_);
      done = read && read->result_ == UpstreamResult::Done;
    } else {
      CallerRequest request;
      request.database_ = "lessons";
      request.statement_ = text;
      request.read_ = aStream.read_;
      request.rank_ = aStream.rank_;
      request.workLabel_ = aStream.work_;
      request.deadline_ = deadline;
      const auto answer =
        co_await way.Call("/v1/statement", WriteCallerRequest(request));
      const auto read = ParseCallerAnswer(answer.body_);
      done = read && read->outcome_ == Outcome::Done;
      server = read ? read->server_ : "";
    }
    const Time end = ReadClock();
    const Duration took = end - start;
    Tally& tally = tallies_[aNumber];
    if (!done || took > deadline) {
      co_return; // an answer after the deadline is none
    }
    tally.done_++;
    tally.byReplica_ += server != replicaOf_ && aStream.read_ ? 1U : 0U;
    tally.ms_.push_back(static_cast<double>(took.count()) / 1e3);
    doneAt_.push_back(end);
  }

  Way& PickWay()
  {
    Way* way = ways_[random_() % ways_.size()].get();
    for (std::size_t i = 0; i < ways_.size() && way->HasFailed(); i++) {
      way = ways_[random_() % ways_.size()].get();
    }
    return *way;
  }

public:
  std::string replicaOf_; // the primary, to tell replicas from it

private:
  Fleet& fleet_;
  bool naive_;
  std::mt19937_64 random_;
  asio::io_context context_{ 1 };
  std::vector<std::unique_ptr<Way>> ways_;
  std::vector<Tally> tallies_;
  std::vector<Time> doneAt_;
  ServerId primary_;
  std::uint64_t term_ = 0;
};

// ---- 3. Measures

class Measures
{
public:
  Measures(std::string aBuild, std::string aFolder, bool aQuick)
    : build_(std::move(aBuild))
    , folder_(std::move(aFolder))
    , quick_(aQuick)
  {
  }

  // `aOnly`: one part, or empty for all.
  void Run(const Deployment& aDeployment, const std::string& aOnly)
  {
    deployment_ = &aDeployment;
    const auto wanted = [&aOnly](std::string_view aPart) {
      return aOnly.empty() || aOnly == aPart;
    };
    if (wanted("latency")) {
      MeasureLatency();
    }
    if (wanted("floods")) {
      MeasureFloods();
    }
    if (wanted("replicas")) {
      MeasureReplicas();
    }
    for (const std::string fault : { "killed", "frozen", "cut_off" }) {
      if (wanted("failover")) {
        MeasureFailover(fault);
      }
    }
  }

  void MeasureCosts()
  {
    deployment_ = &kDeployments[0];
    auto fleet = MakeFleet(100, 0us);
    MeasureThroughput(*fleet);
    MeasureConnections(*fleet);
  }

private:
  std::unique_ptr<Fleet> MakeFleet(int aWorkUs, Duration aZoneDelay)
  {
    standin::FleetConfig config;
    config.binaries_ = build_;
    config.folder_ = folder_;
    config.slots_ = deployment_->slots_;
    config.connections_ = deployment_->connections_;
    config.workUs_ = aWorkUs;
    config.lagMs_ = 5;
    config.sync_ = false; // the disk is not what is measured
    config.relay_ = true;
    config.zoneDelay_ = aZoneDelay;
    std::filesystem::remove_all(folder_);
    auto fleet = std::make_unique<Fleet>(std::move(config));
    fleet->Start();
    if (!fleet->WaitUntilReady(20s)) {
      std::cerr << "measure: the fleet did not come up\n";
      std::exit(1);
    }
    return fleet;
  }

  void SetRules(Fleet& aFleet, const std::string& aText)
  {
    const std::string body =
      fmt::format(R"({{"text":"{}","base_version":0,"request":"measure",)"
                  R"("author":"measure"}})",
                  aText);
    const auto answer =
      aFleet.Ask("vm-a1", standin::kAdminPort, "/v1/rules", body, 6s);
    if (answer.status_ != 200) {
      std::cerr << "measure: rules refused: " << answer.body_ << "\n";
      std::exit(1);
    }
    std::this_thread::sleep_for(500ms);
  }

  Duration Span() const { return quick_ ? Duration(2s) : Duration(5s); }

  void Print(std::string_view aMeasure,
             std::string_view aCondition,
             double aJaydoor,
             double aNaive,
             std::string_view aUnit)
  {
    PrintFigure(
      aMeasure, deployment_->name_, aCondition, aJaydoor, aNaive, aUnit);
  }

  // What the primary serves in a second: slots over the time of a statement.
  double Capacity() const { return deployment_->slots_ * 100.0; }

  // Latency at a tenth of the capacity, beside the direct way.
  void MeasureLatency()
  {
    auto fleet = MakeFleet(1000, deployment_->zoneDelay_);
    SetRules(*fleet, "stale work=old max_age=1s # bench\\n");
    const std::vector<Stream> streams = {
      { Rank::Normal, 60, true, "old" },
      { Rank::Normal, 60, true, "new" },
      { Rank::Normal, 30, false, "new" },
    };
    const auto ours = Load(*fleet, false).Run(streams, Span());
    const auto naive = Load(*fleet, true).Run(streams, Span());
    const std::array names = { "stale_read", "fresh_read", "write" };
    for (std::size_t i = 0; i < names.size(); i++) {
      for (const double share : { 0.5, 0.99 }) {
        Print(share < 0.9 ? "latency_p50" : "latency_p99",
              names.at(i),
              Percentile(ours[i].ms_, share),
              Percentile(naive[i].ms_, share),
              "ms");
      }
    }
  }

  // Writes only: all work is for the primary. Capacity: slots / 10 ms.
  void MeasureFloods()
  {
    const double capacity = Capacity();
    const auto run = [&](const std::string& aName,
                         const std::vector<Stream>& aStreams,
                         const std::function<void(Fleet&)>& aFault) {
      auto fleet = MakeFleet(10'000, deployment_->zoneDelay_);
      SetRules(*fleet, "floor normal 20% # bench\\nfloor low 5% # bench\\n");
      std::thread fault([&] {
        std::this_thread::sleep_for(Span() / 2);
        aFault(*fleet);
      });
      const auto ours = Load(*fleet, false).Run(aStreams, Span());
      fault.join();
      auto plain = MakeFleet(10'000, deployment_->zoneDelay_);
      const auto naive = Load(*plain, true).Run(aStreams, Span());
      PrintFlood(aName, aStreams, ours, naive);
    };
    const auto none = [](Fleet&) {};
    const auto flood = [&](Rank aRank, double aTimes) {
      std::vector<Stream> streams = {
        { Rank::Urgent, capacity * 0.3, false, "" },
        { Rank::Normal, capacity * 0.2, false, "" },
        { Rank::Low, capacity * 0.2, false, "" },
      };
      streams[static_cast<std::size_t>(aRank)].perSecond_ = capacity * aTimes;
      return streams;
    };
    if (!quick_) {
      run("low_flood_3x", flood(Rank::Low, 3), none);
      run("urgent_flood_3x", flood(Rank::Urgent, 3), none);
    }
    run("low_flood_10x", flood(Rank::Low, 10), none);
    run("urgent_flood_10x", flood(Rank::Urgent, 10), none);
    run("low_flood_10x_vm_lost", flood(Rank::Low, 10), [](Fleet& aFleet) {
      aFleet.Kill("vm-a2");
    });
  }

  void PrintFlood(const std::string& aName,
                  const std::vector<Stream>& aStreams,
                  const std::vector<Tally>& aOurs,
                  const std::vector<Tally>& aNaive)
  {
    const std::array floors = { 0.0, 0.2, 0.05 };
    const auto countDone = [](const std::vector<Tally>& aTallies) {
      std::size_t done = 0;
      for (const auto& tally : aTallies) {
        done += tally.done_;
      }
      return static_cast<double>(done);
    };
    // A floor is a share of what was served, or all that was asked for.
    const auto floorKept = [&](const std::vector<Tally>& aTallies,
                               std::size_t aRank) {
      const double floor = std::min(floors.at(aRank) * countDone(aTallies),
                                    static_cast<double>(aTallies[aRank].sent_));
      return static_cast<double>(aTallies[aRank].done_) / std::max(1.0, floor);
    };
    for (std::size_t i = 0; i < aStreams.size(); i++) {
      const auto share = [](std::size_t aPart, std::size_t aAll) {
        return aAll == 0
                 ? 0
                 : static_cast<double>(aPart) / static_cast<double>(aAll);
      };
      const std::string rank(ToText(aStreams[i].rank_));
      Print("in_target_" + rank,
            aName,
            share(aOurs[i].done_, aOurs[i].sent_),
            share(aNaive[i].done_, aNaive[i].sent_),
            "share");
      if (floors.at(i) > 0) {
        Print("floor_kept_" + rank,
              aName,
              floorKept(aOurs, i),
              floorKept(aNaive, i),
              "times_floor");
      }
    }
  }

  void MeasureReplicas()
  {
    auto fleet = MakeFleet(2000, deployment_->zoneDelay_);
    SetRules(*fleet, "stale work=old max_age=1s # bench\\n");
    const std::vector<Stream> streams = {
      { Rank::Normal, 300, true, "old" },
      { Rank::Normal, 60, false, "new" },
    };
    Load load(*fleet, false);
    load.replicaOf_ = fleet->FindPrimary("lessons");
    const auto ours = load.Run(streams, Span());
    Print("replica_read_share",
          "reads_with_1s_age",
          static_cast<double>(ours[0].byReplica_) /
            static_cast<double>(std::max<std::size_t>(1, ours[0].done_)),
          0,
          "share");
  }

  // The longest stretch without an acknowledged write around the fault.
  void MeasureFailover(const std::string& aFault)
  {
    std::vector<double> gaps;
    const int repeats = quick_ ? 1 : 3;
    for (int i = 0; i < repeats; i++) {
      auto fleet = MakeFleet(1000, deployment_->zoneDelay_);
      const ServerId primary = fleet->FindPrimary("lessons");
      std::thread fault([&] {
        std::this_thread::sleep_for(1s);
        if (aFault == "killed") {
          fleet->Kill(primary);
        } else if (aFault == "frozen") {
          fleet->Freeze(primary);
        } else {
          fleet->Relay()->CutOff(static_cast<int>(fleet->Get(primary).zone_));
        }
      });
      Load load(*fleet, false);
      load.Run({ { Rank::Urgent, 200, false, "" } }, 4s);
      fault.join();
      auto done = load.DoneAt();
      std::sort(done.begin(), done.end());
      Duration gap{};
      for (std::size_t k = 1; k < done.size(); k++) {
        gap = std::max(gap, done[k] - done[k - 1]);
      }
      gaps.push_back(static_cast<double>(gap.count()) / 1e3);
    }
    // The naive version never comes back: the rest of the run is its gap.
    Print("failover_gap_min", aFault, Percentile(gaps, 0), 3000, "ms");
    Print("failover_gap_median", aFault, Percentile(gaps, 0.5), 3000, "ms");
    Print("failover_gap_max", aFault, Percentile(gaps, 1), 3000, "ms");
  }

  static double CpuSecondsOf(pid_t aPid)
  {
    std::ifstream in(fmt::format("/proc/{}/stat", aPid));
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && in >> word; i++) {
      ticks += i >= 14 ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  static double MemoryKibOf(pid_t aPid)
  {
    std::ifstream in(fmt::format("/proc/{}/statm", aPid));
    double all = 0;
    double resident = 0;
    in >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
  }

  // Stale reads at what one VM takes; all processor time of the four VMs.
  void MeasureThroughput(Fleet& aFleet)
  {
    SetRules(aFleet, "stale work=old max_age=1s # bench\\n");
    const auto cpuOfAll = [&aFleet] {
      double cpu = 0;
      for (const auto& vm : aFleet.Vms()) {
        cpu += CpuSecondsOf(aFleet.Get(vm).process_->Pid());
      }
      return cpu;
    };
    const double before = cpuOfAll();
    const auto tally =
      Load(aFleet, false).Run({ { Rank::Normal, 2000, true, "old" } }, Span());
    const double cpu = cpuOfAll() - before;
    Print("statements_per_core_second",
          "stale_reads_2000_per_s",
          static_cast<double>(tally[0].done_) / cpu,
          0,
          "1/s");
    const double idleBefore = cpuOfAll();
    std::this_thread::sleep_for(Span());
    const double idle = cpuOfAll() - idleBefore;
    Print("idle_cpu_per_vm",
          "no_load",
          100 * idle / 4 / (static_cast<double>(Span().count()) / 1e6),
          0,
          "percent_of_a_core");
  }

  void MeasureConnections(Fleet& aFleet)
  {
    const pid_t pid = aFleet.Get("vm-a1").process_->Pid();
    const std::string host = aFleet.Get("vm-a1").bind_;
    constexpr std::size_t kCount = 4000;
    asio::io_context context(1);
    std::vector<asio::ip::tcp::socket> sockets;
    const double before = MemoryKibOf(pid);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host),
                                           standin::kCallerPort);
    for (std::size_t i = 0; i < kCount; i++) {
      sockets.emplace_back(context);
      boost::system::error_code error;
      sockets.back().connect(endpoint, error);
      if (error) {
        std::cerr << "measure: " << error.message() << "\n";
        return;
      }
    }
    std::this_thread::sleep_for(1s);
    Print("memory_per_idle_connection",
          "4000_connections",
          (MemoryKibOf(pid) - before) / kCount,
          0,
          "KiB");
  }

  std::string build_;
  std::string folder_;
  bool quick_;
  const Deployment* deployment_ = nullptr;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("jaydoor-measure", "The users' measures");
  auto add = options.add_options();
  add("build", "build folder", cxxopts::value<std::string>());
  add("folder", "work folder, emptied", cxxopts::value<std::string>());
  add("quick", "one deployment, short runs");
  add("only",
      "costs, latency, floods, replicas or failover",
      cxxopts::value<std::string>()->default_value(""));
  const auto read = options.parse(aCount, aArguments);
  const bool quick = read.count("quick") > 0;
  Measures measures(
    read["build"].as<std::string>(), read["folder"].as<std::string>(), quick);
  const std::string only = read["only"].as<std::string>();
  if (only.empty() || only == "costs") {
    measures.MeasureCosts();
  }
  for (const auto& deployment : kDeployments) {
    if (!quick || &deployment == kDeployments.data()) {
      measures.Run(deployment, only);
    }
  }
  return 0;
}
