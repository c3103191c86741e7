// Tests the platform adapter end to end: processes of `jaydoord platform` and
// simulated database servers that speak the wire protocol, without the bench.

#include "tests/LineDeployment.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace jaydoor::tests {
namespace {

namespace fs = std::filesystem;

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

// The deployment of the tests of this process.
LineDeploymentConfig
MakeDeploymentConfig()
{
  return { .folder_ = (fs::temp_directory_path() /
                       fmt::format("jaydoor-line-{}", getpid()))
                        .string(),
           .build_ = JAYDOOR_BUILD,
           .network_ = 16 + getpid() % 200 };
}

} // namespace

TEST_CASE("A deployment on the platform works end to end")
{
  LineDeployment deployment(MakeDeploymentConfig());
  REQUIRE(deployment.IsStarted());
  REQUIRE(Await([&] {
    return deployment.ReplaceConfig(1, LineDeployment::MakeConfig(3)) == 200;
  }));
  REQUIRE(
    Await([&] { return deployment.IsReady(1) && deployment.IsReady(2); }));
  REQUIRE(Await([&] { return deployment.WriteItem(1, "first", "1"); }));

  SECTION("an invalid configuration is refused, and the one with the highest "
          "version reaches all control VMs")
  {
    CHECK(deployment.ReplaceConfig(2, "{\"version\":4,\"routes\":[") == 400);
    CHECK(deployment.ReplaceConfig(2, LineDeployment::MakeConfig(2)) ==
          200); // older version
    // The name can't be told to a server.
    const auto unspeakable =
      LineDeployment::MakeOrganisations({ { "a b", { "key" } } });
    CHECK(deployment.ReplaceConfig(
            2, LineDeployment::MakeConfig(4, unspeakable)) == 400);
    CHECK(deployment.ReplaceConfig(
            1, LineDeployment::MakeConfig(2, unspeakable)) == 200);
    REQUIRE(Await([&] {
      return deployment.ReplaceConfig(3, LineDeployment::MakeConfig(7)) == 200;
    }));
    for (int zone = 1; zone <= 3; zone++) {
      REQUIRE(
        Await([&] { return deployment.FetchConfig(zone).status_ == 200; }));
      CHECK(deployment.FetchConfig(zone).body_ ==
            LineDeployment::MakeConfig(7));
    }
  }

  SECTION("jaydoorctl explains where a statement would go")
  {
    const std::string folder =
      (fs::temp_directory_path() / fmt::format("jaydoor-ctl-{}", getpid()))
        .string();
    fs::create_directories(folder);
    const auto run = [&](std::vector<std::string> aWords, int aExpectedStatus) {
      std::vector<std::string> arguments = {
        JAYDOOR_BUILD "/ctl/jaydoorctl",
        "--admin",
        fmt::format("{}:{}", deployment.EntryHost(1), kFirstInternalPort + 1)
      };
      arguments.insert(arguments.end(), aWords.begin(), aWords.end());
      const std::string log = folder + "/output";
      fs::remove(log);
      standin::Process process(arguments, log);
      CHECK(process.WaitForEnd(kWaitTimeout) == aExpectedStatus);
      std::ifstream in(log);
      return std::string(std::istreambuf_iterator<char>(in), {});
    };
    const std::string read = run({ "explain", "bounded_staleness", "read" }, 0);
    INFO(read);
    CHECK(read.find("read on bounded_staleness: ") == 0);
    CHECK(read.find("primary") != std::string::npos);
    const std::string write =
      run({ "explain", "primary", "write", "--json" }, 0);
    INFO(write);
    CHECK(write.find("\"needs_primary\":true") != std::string::npos);
    CHECK(write.find("\"obstacle\":\"only the primary") != std::string::npos);
    const std::string begin = run({ "explain", "primary", "begin" }, 0);
    INFO(begin);
    CHECK(begin.find("only the primary can run the statement") !=
          std::string::npos);
    CHECK(run({ "explain", "none", "read" }, 0).find("refused") !=
          std::string::npos);
    CHECK(run({ "explain", "primary", "drop" }, 1).find("begin-read-only") !=
          std::string::npos);
    fs::remove_all(folder);
  }

  SECTION("sessions on shared connections keep their own settings and "
          "prepared statements")
  {
    LineCaller one(deployment.EntryHost(1), kCallerPort);
    LineCaller two(deployment.EntryHost(1), kCallerPort);
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
    LineCaller caller(deployment.EntryHost(2), kCallerPort);
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
      LineCaller disconnecting(deployment.EntryHost(2), kCallerPort);
      REQUIRE(disconnecting.Open("primary"));
      CHECK(IsDone(disconnecting.Query("BEGIN")));
      CHECK(IsDone(disconnecting.Query("WRITE t abandoned")));
    }
    CHECK(caller.Query("READ t")[0] == "ROW kept");
    CHECK(deployment.RunOnGroupThread([](auto& aGroup) {
      return aGroup.ListCommittedValues("t");
    }) == std::vector<std::string>{ "kept" });
  }

  SECTION("sessions need the key of an organisation, and end when it is "
          "withdrawn")
  {
    const auto configure = [&](int aVersion, const std::string& aKeys) {
      return deployment.ReplaceConfig(
               1,
               LineDeployment::MakeConfig(aVersion,
                                          R"([{"name":"north","apiKeys":[)" +
                                            aKeys + "]}]")) == 200;
    };
    REQUIRE(Await([&] { return configure(8, R"("KEY-ONE","KEY-TWO")"); }));
    REQUIRE(Await([&] {
      return deployment.Connect(1)->Open("primary", "KEY-ONE") &&
             !deployment.Connect(1)->Open("primary", "user");
    }));
    const auto stranger = deployment.Connect(1);
    stranger->Write("OPEN primary KEY-WRONG\r\n");
    CHECK(stranger->ReadLine().starts_with("ERROR UNAUTH"));
    CHECK(stranger->ReadLine() == "closed");
    const auto idle = deployment.Connect(1);
    const auto inside = deployment.Connect(1);
    const auto other = deployment.Connect(1);
    REQUIRE(idle->Open("read_your_writes", "KEY-ONE"));
    REQUIRE(inside->Open("primary", "KEY-ONE"));
    REQUIRE(other->Open("primary", "KEY-TWO"));
    CHECK(IsDone(idle->Query("READ first")));
    CHECK(IsDone(inside->Query("BEGIN")));
    CHECK(IsDone(inside->Query("WRITE second 2")));
    CHECK(IsDone(other->Query("READ first")));
    REQUIRE(configure(9, R"("KEY-TWO")"));
    CHECK(idle->ReadLine() == "closed");
    CHECK(inside->ReadLine() == "closed");
    CHECK(IsDone(other->Query("READ first")));
    CHECK(other->Query("READ second").front() != "ROW 2"); // rolled back
    CHECK_FALSE(deployment.Connect(1)->Open("primary", "KEY-ONE"));
    REQUIRE(
      Await([&] { return deployment.CountInLog("entry-1", "J418") > 0; }));
    for (const char* vm :
         { "entry-1", "entry-2", "control-1", "control-2", "control-3" }) {
      CHECK(deployment.CountInLog(vm, "KEY-") == 0);
    }
    CHECK(deployment.FetchMetrics(1).find("KEY-") == std::string::npos);
  }

  SECTION("an unreadable message gets an error or closes the connection")
  {
    LineCaller unknown(deployment.EntryHost(1), kCallerPort);
    unknown.Write("OPEN nowhere user\r\n");
    CHECK(unknown.ReadLine().starts_with("ERROR NODB"));
    CHECK(unknown.ReadLine() == "closed");
    LineCaller malformed(deployment.EntryHost(1), kCallerPort);
    REQUIRE(malformed.Open("primary"));
    CHECK(malformed.Query("DANCE")[0].starts_with("ERROR MALFORMED"));
    LineCaller large(deployment.EntryHost(1), kCallerPort);
    REQUIRE(large.Open("primary"));
    large.Write("QUERY 1 WRITE k " + std::string(3'000'000, 'x') + "\r\n");
    while (large.ReadLine() != "closed") {
    }
    for (const auto port : { kCallerPort, kReadinessPort }) {
      LineCaller(deployment.EntryHost(1), port)
        .Write(std::string(5000, '\xff'));
      LineCaller(deployment.EntryHost(1), port).Write("GET / HTTP/1.1\r\nX");
    }
    for (const int port :
         { int(kControlPort), kFirstInternalPort, kFirstInternalPort + 1 }) {
      LineCaller(deployment.ControlHost(1), static_cast<std::uint16_t>(port))
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
    const std::string good =
      LineDeployment::MakeHeartbeat("127.0.0.9:5000", "1");
    const std::vector<std::pair<std::string, std::string>> odd = {
      { "odd", LineDeployment::MakeHeartbeat("127.0.0.9:70000", "1") },
      { "odd", LineDeployment::MakeHeartbeat("nowhere:5000", "1") },
      { "odd",
        LineDeployment::MakeHeartbeat("127.0.0.9:5000",
                                      "18446744073709551615") },
      { "odd", LineDeployment::MakeHeartbeat("127.0.0.9:5000", "1e400") },
      { "odd",
        LineDeployment::MakeHeartbeat("127.0.0.9:5000",
                                      std::string(100'000, '[')) },
      { "odd\xff\xfe", good },
      { "", good },
    };
    for (int zone = 1; zone <= 3; zone++) {
      for (const auto& [id, body] : odd) {
        INFO(id << " " << body.substr(0, 200));
        CHECK(deployment.SendHeartbeat(zone, id, body) == 400);
      }
    }
    CHECK(deployment.CountInLog("control-1", "server=odd?? ") == 1);
    const auto isServing = [&](int aVersion) {
      REQUIRE(Await([&] {
        return deployment.ReplaceConfig(
                 1, LineDeployment::MakeConfig(aVersion)) == 200;
      }));
      for (int zone = 1; zone <= 3; zone++) {
        REQUIRE(Await([&] {
          return deployment.FetchConfig(zone).body_ ==
                 LineDeployment::MakeConfig(aVersion);
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
    LineCaller idle(deployment.EntryHost(1), kCallerPort);
    REQUIRE(idle.Open("primary"));
    LineCaller inTransaction(deployment.EntryHost(1), kCallerPort);
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
    LineCaller caller(deployment.EntryHost(1), kCallerPort);
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

  // Guards against a quorum that is lost when control VMs are stopped one after
  // the other, although their successors are ready.
  SECTION("control VMs that are stopped as planned leave the quorum behind")
  {
    for (const char* successor : { "control-4", "control-5" }) {
      deployment.Start(successor, false);
    }
    for (int control = 4; control <= 5; control++) {
      REQUIRE(
        Await([&] { return deployment.FetchConfig(control).status_ == 200; }));
    }
    std::this_thread::sleep_for(2s); // they catch up
    for (const char* former : { "control-1", "control-2" }) {
      deployment.GetProcess(former).Signal(SIGTERM);
      CHECK(deployment.GetProcess(former).WaitForEnd(6s) == 0);
    }
    CHECK(Await([&] {
      return deployment.ReplaceConfig(3, LineDeployment::MakeConfig(9)) == 200;
    }));
    CHECK(Await([&] {
      return deployment.FetchConfig(4).body_ == LineDeployment::MakeConfig(9);
    }));
    CHECK(Await([&] { return deployment.WriteItem(1, "later", "1"); }));
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
            LineDeployment::MakeConfig(3));
    }
    REQUIRE(Await([&] { return deployment.WriteItem(2, "again", "1"); }));
  }
}

} // namespace jaydoor::tests
