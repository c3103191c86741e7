// Tests the platform adapter end to end: processes of `jaydoord platform` and
// simulated database servers that speak the wire protocol, without the bench.

#include "standin/Process.h"
#include "tests/LineGroup.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

namespace jaydoor::tests {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using Tcp = asio::ip::tcp;

constexpr std::uint16_t kCallerPort = 8784;
constexpr std::uint16_t kReadinessPort = 8785;
constexpr std::uint16_t kControlPort = 8782;
constexpr std::uint16_t kServerPort = 9001;
constexpr std::uint16_t kPromotionPort = 8783;
constexpr int kFirstInternalPort = 7440;
constexpr Duration kWaitTimeout = 30s; // enough on a busy machine

// Waits until the condition is true; returns false after kWaitTimeout.
template<typename Condition>
bool
Await(const Condition& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

// A connection for the session of one caller, or for raw bytes to any port.
class Caller
{
public:
  Caller(const std::string& aHost, std::uint16_t aPort)
    : socket_(context_)
  {
    boost::system::error_code error;
    socket_.connect({ asio::ip::make_address(aHost), aPort }, error);
    connected_ = !error;
    const timeval limit{ 10, 0 };
    setsockopt(
      socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  void Write(const std::string& aBytes)
  {
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(aBytes), error);
  }

  // Returns the next line without its line ending, or "closed" if the
  // connection has ended.
  std::string ReadLine()
  {
    boost::system::error_code error;
    const std::size_t size =
      asio::read_until(socket_, asio::dynamic_buffer(bytes_), "\r\n", error);
    if (error) {
      return "closed";
    }
    std::string line = bytes_.substr(0, size - 2);
    bytes_.erase(0, size);
    return line;
  }

  // Sends a statement and returns the lines of its answer up to READY.
  std::vector<std::string> Query(const std::string& aText)
  {
    static int number = 0;
    Write(fmt::format("QUERY {:016x} {}\r\n", ++number, aText));
    std::vector<std::string> lines;
    do {
      lines.push_back(ReadLine());
    } while (!lines.back().starts_with("READY") && lines.back() != "closed");
    return lines;
  }

  bool Open(const std::string& aDatabase)
  {
    Write(fmt::format("OPEN {} user\r\n", aDatabase));
    return connected_ && ReadLine().starts_with("READY I");
  }

private:
  asio::io_context context_;
  Tcp::socket socket_;
  std::string bytes_;
  bool connected_ = false;
};

bool
IsDone(const std::vector<std::string>& aLines)
{
  return aLines.size() >= 2 &&
         aLines[aLines.size() - 2].starts_with("COMPLETE");
}

// Runs three control VMs, two entry VMs (which serve callers) and a group of
// three database servers, each at its own loopback address.
class TestDeployment
{
public:
  TestDeployment()
    : folder_(
        (fs::temp_directory_path() / fmt::format("jaydoor-line-{}", getpid()))
          .string())
    , networkPrefix_(fmt::format("127.{}", 16 + getpid() % 200))
  {
    fs::create_directories(folder_);
    LineGroupConfig config;
    config.service_ = "db";
    for (int i = 1; i <= 3; i++) {
      config.serverAddresses_.push_back({ MakeAddress(i, 100), kServerPort });
      config.zones_.push_back(fmt::format("zone-{}", i));
      config.controlAddresses_.push_back({ ControlHost(i), kControlPort });
    }
    config.promotionAddress_ = { MakeAddress(1, 200), kPromotionPort };
    group_ = std::make_unique<LineGroup>(context_, std::move(config));
    const auto started = group_->Start();
    REQUIRE(started.has_value());
    thread_ = std::thread([this] { context_.run(); });
    for (int i = 1; i <= 3; i++) {
      Start(fmt::format("control-{}", i), true);
    }
    for (int i = 1; i <= 2; i++) {
      Start(fmt::format("entry-{}", i), true);
    }
  }

  ~TestDeployment()
  {
    processes_.clear();
    asio::post(context_, [this] {
      group_.reset();
      context_.stop();
    });
    thread_.join();
    if (unreadLog_ >= 0) {
      close(unreadLog_);
    }
    fs::remove_all(folder_);
  }

  // Starts a VM. The name ends in the number of its zone: "control-1" is in
  // zone-1.
  void Start(const std::string& aName, bool aFirstStart)
  {
    const bool control = aName.starts_with("control");
    const int zone = aName.back() - '0';
    const std::string host = control ? ControlHost(zone) : EntryHost(zone);
    const std::string path = folder_ + "/" + aName + ".yaml";
    std::ofstream file(path);
    file << fmt::format("nodeName: \"{}\"\nzone: \"zone-{}\"\nip: \"{}\"\n"
                        "internalPortRange: [{}, {}]\nbootstrap: {}\n"
                        "seeds: [\"{}:{}\", \"{}:{}\", \"{}:{}\"]\n"
                        "limits: {{maxFds: 1024}}\n"
                        "faultTolerance: {{machines: 1}}\n"
                        "bounds: {{graceS: 6}}\n"
                        "cloudApi: {{address: \"{}:{}\"}}\n",
                        aName,
                        zone,
                        host,
                        kFirstInternalPort,
                        kFirstInternalPort + 15,
                        aFirstStart,
                        ControlHost(1),
                        kControlPort,
                        ControlHost(2),
                        kControlPort,
                        ControlHost(3),
                        kControlPort,
                        MakeAddress(1, 200),
                        kPromotionPort);
    if (control) {
      file << fmt::format(
        "listen: {{control: \"{}:{}\"}}\ndataDir: \"{}/{}\"\n",
        host,
        kControlPort,
        folder_,
        aName);
    } else {
      file << fmt::format(
        "listen: {{front: \"{}:{}\", ready: \"{}:{}\"}}\ndataDir: null\n",
        host,
        kCallerPort,
        host,
        kReadinessPort);
    }
    file.close();
    processes_[aName] = std::make_unique<standin::Process>(
      std::vector<std::string>{ JAYDOOR_BUILD "/daemon/jaydoord", "platform" },
      folder_ + "/" + aName + ".log",
      std::vector<std::string>{ "JAYDOOR_NODE_FILE=" + path });
  }

  // Starts a stopped VM again, with a pipe as its log that nobody reads.
  void StartWithUnreadLog(const std::string& aName)
  {
    const std::string path = folder_ + "/" + aName + ".log";
    fs::remove(path);
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    unreadLog_ = open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    Start(aName, false);
  }

  void WriteNodeFile(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(folder_ + "/" + aName + ".yaml") << aText;
  }

  std::size_t CountInLog(const std::string& aName,
                         const std::string& aText) const
  {
    std::ifstream log(folder_ + "/" + aName + ".log");
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find(aText) != std::string::npos ? 1U : 0U;
    }
    return count;
  }

  // Deletes the disk of a control VM, which must not be running.
  void DeleteDisk(const std::string& aName) const
  {
    fs::remove_all(folder_ + "/" + aName);
  }

  standin::Process& GetProcess(const std::string& aName)
  {
    return *processes_.at(aName);
  }

  std::string ControlHost(int aZone) const { return MakeAddress(aZone, 1); }
  std::string EntryHost(int aZone) const { return MakeAddress(aZone, 2); }

  // Makes a configuration body with one database for each kind of route.
  static std::string MakeConfig(int aVersion,
                                const std::string& aMoreRoutes = "")
  {
    std::string routes;
    for (const char* kind :
         { "primary", "read_your_writes", "bounded_staleness" }) {
      routes += fmt::format(
        R"({}{{"name":"r-{}","host":"{}","pathPrefix":"/","routeType":"{}",)"
        R"("timeoutMs":5000,"targetLatencyMs":2000,"priority":1,)"
        R"("service":"db","maxAttempts":2,"maxStalenessMs":5000}})",
        routes.empty() ? "" : ",",
        kind,
        kind,
        kind);
    }
    return fmt::format(
      R"({{"version":{},"routes":[{}{}],"services":[{{"name":"db",)"
      R"("maxConns":40,"syncReplicas":0}}],"limits":{{"txIdleMs":3000}}}})",
      aVersion,
      routes,
      aMoreRoutes);
  }

  unsigned ReplaceConfig(int aZone, const std::string& aBody) const
  {
    return CallAndWait(
             ControlHost(aZone), kControlPort, "/Config.Replace", aBody, 2s, "")
      .status_;
  }

  // Returns the HTTP status; 0: no answer.
  unsigned SendHeartbeat(int aZone,
                         const std::string& aServer,
                         const std::string& aBody) const
  {
    return CallAndWait(ControlHost(aZone),
                       kControlPort,
                       "/Instances.Heartbeat/" + aServer,
                       aBody,
                       2s,
                       "")
      .status_;
  }

  HttpCallResult FetchConfig(int aZone) const
  {
    return CallAndWait(
      ControlHost(aZone), kControlPort, "/Config.Fetch", "", 2s, "");
  }

  std::string FetchMetrics(int aZone) const
  {
    return CallAndWait(
             EntryHost(aZone), kFirstInternalPort + 1, "/metrics", "", 2s, "")
      .body_;
  }

  bool IsReady(int aZone) const
  {
    return CallAndWait(
             EntryHost(aZone), kReadinessPort, "/readiness", "", 2s, "")
             .status_ == 200;
  }

  // Runs the function on the group's thread and returns its result.
  template<typename Read>
  auto RunOnGroupThread(const Read& aRead)
  {
    std::promise<decltype(aRead(*group_))> done;
    asio::post(context_, [&] { done.set_value(aRead(*group_)); });
    return done.get_future().get();
  }

  // Writes one value in a session of its own; returns true if the write was
  // acknowledged.
  bool WriteItem(int aZone, const std::string& aItem, const std::string& aData)
  {
    Caller caller(EntryHost(aZone), kCallerPort);
    return caller.Open("primary") &&
           IsDone(caller.Query(fmt::format("WRITE {} {}", aItem, aData)));
  }

private:
  std::string MakeAddress(int aZone, int aHostNumber) const
  {
    return fmt::format("{}.{}.{}", networkPrefix_, aZone, aHostNumber);
  }

  std::string folder_;
  std::string networkPrefix_;
  int unreadLog_ = -1; // read end of the pipe of StartWithUnreadLog
  asio::io_context context_{ 1 };
  std::unique_ptr<LineGroup> group_;
  std::thread thread_;
  std::map<std::string, std::unique_ptr<standin::Process>> processes_;
};

} // namespace

TEST_CASE("A deployment on the platform works end to end")
{
  TestDeployment deployment;
  REQUIRE(Await([&] {
    return deployment.ReplaceConfig(1, TestDeployment::MakeConfig(3)) == 200;
  }));
  REQUIRE(
    Await([&] { return deployment.IsReady(1) && deployment.IsReady(2); }));
  REQUIRE(Await([&] { return deployment.WriteItem(1, "first", "1"); }));

  SECTION("an invalid configuration is refused, and the one with the highest "
          "version reaches all control VMs")
  {
    CHECK(deployment.ReplaceConfig(2, "{\"version\":4,\"routes\":[") == 400);
    CHECK(deployment.ReplaceConfig(2, TestDeployment::MakeConfig(2)) ==
          200); // older version
    REQUIRE(Await([&] {
      return deployment.ReplaceConfig(3, TestDeployment::MakeConfig(7)) == 200;
    }));
    for (int zone = 1; zone <= 3; zone++) {
      REQUIRE(
        Await([&] { return deployment.FetchConfig(zone).status_ == 200; }));
      CHECK(deployment.FetchConfig(zone).body_ ==
            TestDeployment::MakeConfig(7));
    }
  }

  SECTION("sessions on shared connections keep their own settings and "
          "prepared statements")
  {
    Caller one(deployment.EntryHost(1), kCallerPort);
    Caller two(deployment.EntryHost(1), kCallerPort);
    REQUIRE(one.Open("read_your_writes"));
    REQUIRE(two.Open("read_your_writes"));
    CHECK(IsDone(one.Query("SET colour red")));
    CHECK(IsDone(one.Query("PREPARE p WRITE shape")));
    CHECK(IsDone(two.Query("PREPARE p READ shape")));
    CHECK(IsDone(one.Query("EXECUTE p key value")));
    for (int i = 0; i < 5; i++) {
      const auto own = one.Query("READ key");
      REQUIRE(own.size() == 4);
      CHECK(own[0] == "ROW value");
      CHECK(own[1] == "ROW colour=red");
      const auto other = two.Query("EXECUTE p first");
      REQUIRE(other.size() == 3);
      CHECK(other[0] == "ROW 1");
    }
    CHECK(one.Query("EXECUTE q key")[0].starts_with("ERROR NOSTMT"));
  }

  SECTION("a transaction takes effect as a whole or not at all")
  {
    Caller caller(deployment.EntryHost(2), kCallerPort);
    REQUIRE(caller.Open("primary"));
    CHECK(IsDone(caller.Query("BEGIN")));
    CHECK(IsDone(caller.Query("WRITE t kept")));
    std::this_thread::sleep_for(100ms);
    CHECK(caller.Query("READ t")[0] == "ROW kept");
    CHECK(IsDone(caller.Query("COMMIT")));
    CHECK(IsDone(caller.Query("BEGIN")));
    CHECK(IsDone(caller.Query("WRITE t dropped")));
    CHECK(caller.Query("ROLLBACK").back() == "READY I -");
    {
      Caller disconnecting(deployment.EntryHost(2), kCallerPort);
      REQUIRE(disconnecting.Open("primary"));
      CHECK(IsDone(disconnecting.Query("BEGIN")));
      CHECK(IsDone(disconnecting.Query("WRITE t abandoned")));
    }
    CHECK(caller.Query("READ t")[0] == "ROW kept");
    CHECK(deployment.RunOnGroupThread([](auto& aGroup) {
      return aGroup.ListCommittedValues("t");
    }) == std::vector<std::string>{ "kept" });
  }

  SECTION("an unreadable message gets an error or closes the connection")
  {
    Caller unknown(deployment.EntryHost(1), kCallerPort);
    unknown.Write("OPEN nowhere user\r\n");
    CHECK(unknown.ReadLine().starts_with("ERROR NODB"));
    CHECK(unknown.ReadLine() == "closed");
    Caller malformed(deployment.EntryHost(1), kCallerPort);
    REQUIRE(malformed.Open("primary"));
    CHECK(malformed.Query("DANCE")[0].starts_with("ERROR MALFORMED"));
    Caller large(deployment.EntryHost(1), kCallerPort);
    REQUIRE(large.Open("primary"));
    large.Write("QUERY 1 WRITE k " + std::string(3'000'000, 'x') + "\r\n");
    while (large.ReadLine() != "closed") {
    }
    for (const auto port : { kCallerPort, kReadinessPort }) {
      Caller(deployment.EntryHost(1), port).Write(std::string(5000, '\xff'));
      Caller(deployment.EntryHost(1), port).Write("GET / HTTP/1.1\r\nX");
    }
    for (const int port :
         { int(kControlPort), kFirstInternalPort, kFirstInternalPort + 1 }) {
      Caller(deployment.ControlHost(1), static_cast<std::uint16_t>(port))
        .Write(std::string(5000, '\xff'));
    }
    CHECK(deployment.WriteItem(1, "after", "1"));
    CHECK(deployment.FetchConfig(1).status_ == 200);
  }

  SECTION("a crashed primary is replaced and no acknowledged write is lost")
  {
    REQUIRE(deployment.WriteItem(1, "k", "before"));
    std::this_thread::sleep_for(50ms);
    const auto formerPrimary = deployment.RunOnGroupThread([](auto& aGroup) {
      const std::size_t primary = aGroup.Primary();
      aGroup.Crash(primary);
      return primary;
    });
    REQUIRE(Await([&] { return deployment.WriteItem(2, "k", "after"); }));
    const auto commits = deployment.RunOnGroupThread(
      [](auto& aGroup) { return aGroup.ListCommittedValues("k"); });
    CHECK(commits.front() == "before");
    CHECK(std::count(commits.begin(), commits.end(), "after") >= 1);
    CHECK(deployment.RunOnGroupThread(
            [](auto& aGroup) { return aGroup.Primary(); }) != formerPrimary);
  }

  SECTION("odd entries among the announcements of servers change nothing")
  {
    const auto makeBody = [](const std::string& aAddress,
                             const std::string& aNumber) {
      return fmt::format(
        R"({{"service":"db","address":"{}","zone":"zone-1","version":"v1",)"
        R"("slots":5,"state":"ready","coldRemainingMs":0,)"
        R"("dbRole":"replica","seqNo":{},"born":1700000000000}})",
        aAddress,
        aNumber);
    };
    const std::string good = makeBody("127.0.0.9:5000", "1");
    const std::vector<std::pair<std::string, std::string>> odd = {
      { "odd", makeBody("127.0.0.9:70000", "1") },
      { "odd", makeBody("nowhere:5000", "1") },
      { "odd", makeBody("127.0.0.9:5000", "18446744073709551615") },
      { "odd", makeBody("127.0.0.9:5000", "1e400") },
      { "odd", makeBody("127.0.0.9:5000", std::string(100'000, '[')) },
      { "odd\xff\xfe", good },
      { "", good },
    };
    for (int zone = 1; zone <= 3; zone++) {
      for (const auto& [id, body] : odd) {
        INFO(id << " " << body.substr(0, 200));
        CHECK(deployment.SendHeartbeat(zone, id, body) == 400);
      }
    }
    const auto isServing = [&](int aVersion) {
      REQUIRE(Await([&] {
        return deployment.ReplaceConfig(
                 1, TestDeployment::MakeConfig(aVersion)) == 200;
      }));
      for (int zone = 1; zone <= 3; zone++) {
        REQUIRE(Await([&] {
          return deployment.FetchConfig(zone).body_ ==
                 TestDeployment::MakeConfig(aVersion);
        }));
      }
      CHECK(Await([&] { return deployment.WriteItem(1, "odd", "1"); }));
      CHECK(Await([&] { return deployment.WriteItem(2, "odd", "2"); }));
    };
    isServing(10);
    // The control VMs can read what they have written.
    for (int zone = 1; zone <= 3; zone++) {
      const std::string name = fmt::format("control-{}", zone);
      CHECK_FALSE(deployment.GetProcess(name).HasEnded());
      deployment.GetProcess(name).Signal(SIGKILL);
      deployment.GetProcess(name).WaitForEnd(kWaitTimeout);
      deployment.Start(name, false);
    }
    isServing(11);
  }

  SECTION("SIGHUP with an invalid settings file changes nothing")
  {
    for (const char* text : { "nodeName: [", "" }) {
      deployment.WriteNodeFile("entry-1", text);
      deployment.GetProcess("entry-1").Signal(SIGHUP);
      std::this_thread::sleep_for(100ms);
      CHECK(deployment.WriteItem(1, "hup", "1"));
    }
    CHECK(Await([&] { return deployment.CountInLog("entry-1", "J106") == 2; }));
    CHECK(deployment.IsReady(1));
  }

  SECTION("a VM that is told to stop finishes its open transactions")
  {
    Caller idle(deployment.EntryHost(1), kCallerPort);
    REQUIRE(idle.Open("primary"));
    Caller inTransaction(deployment.EntryHost(1), kCallerPort);
    REQUIRE(inTransaction.Open("primary"));
    CHECK(IsDone(inTransaction.Query("BEGIN")));
    CHECK(IsDone(inTransaction.Query("WRITE s one")));
    deployment.GetProcess("entry-1").Signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    CHECK_FALSE(deployment.IsReady(1));
    CHECK(IsDone(inTransaction.Query("WRITE s two")));
    CHECK(IsDone(inTransaction.Query("COMMIT")));
    CHECK(idle.ReadLine() == "closed");
    CHECK(inTransaction.ReadLine() == "closed");
    CHECK(deployment.GetProcess("entry-1").WaitForEnd(kWaitTimeout) == 0);
    CHECK(deployment.RunOnGroupThread([](auto& aGroup) {
      return aGroup.ListCommittedValues("s");
    }) == std::vector<std::string>{ "one", "two" });
  }

  SECTION("no statement fails while nobody reads the log")
  {
    deployment.GetProcess("entry-1").Signal(SIGKILL);
    deployment.GetProcess("entry-1").WaitForEnd(kWaitTimeout);
    deployment.StartWithUnreadLog("entry-1");
    REQUIRE(Await([&] { return deployment.IsReady(1); }));
    REQUIRE(Await([&] { return deployment.WriteItem(1, "log", "1"); }));
    Caller caller(deployment.EntryHost(1), kCallerPort);
    REQUIRE(caller.Open("read_your_writes"));
    const auto dropped = [&] {
      const std::string text = deployment.FetchMetrics(1);
      const std::string name = "\njaydoor_log_lines_dropped_total ";
      const std::size_t at = text.find(name);
      return at == std::string::npos ? -1
                                     : std::stoi(text.substr(at + name.size()));
    };
    REQUIRE(Await([&] {
      for (int i = 0; i < 100; i++) {
        REQUIRE(IsDone(caller.Query("READ log")));
      }
      return dropped() > 0;
    }));
    CHECK(IsDone(caller.Query("READ log")));
  }

  SECTION("the configuration survives the kill of all control VMs and the loss "
          "of one disk")
  {
    for (int zone = 1; zone <= 3; zone++) {
      deployment.GetProcess(fmt::format("control-{}", zone)).Signal(SIGKILL);
      deployment.GetProcess(fmt::format("control-{}", zone))
        .WaitForEnd(kWaitTimeout);
    }
    deployment.DeleteDisk("control-2");
    for (int zone = 1; zone <= 3; zone++) {
      deployment.Start(fmt::format("control-{}", zone), false);
    }
    for (int zone = 1; zone <= 3; zone++) {
      REQUIRE(
        Await([&] { return deployment.FetchConfig(zone).status_ == 200; }));
      CHECK(deployment.FetchConfig(zone).body_ ==
            TestDeployment::MakeConfig(3));
    }
    REQUIRE(Await([&] { return deployment.WriteItem(2, "again", "1"); }));
  }
}

} // namespace jaydoor::tests
