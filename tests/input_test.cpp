// Tests how input from outside the process is read: the rules file, JSON
// bodies, command-line flags and a voter's disk. One more test compares the
// catalogue of log events with the code.

#include "base/Log.h"
#include "control/Rules.h"
#include "daemon/Settings.h"
#include "daemon/VoterDisk.h"
#include "wire/Json.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

// The message of the error in these rules; empty if they are valid.
std::string
GetRulesError(std::string_view aText)
{
  const auto rules = ParseRules(aText);
  return rules ? "" : rules.error().message_;
}

std::string
ReadWholeFile(const std::filesystem::path& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

wire::Change
MakeNoopChange(std::uint64_t aIndex)
{
  wire::Change change;
  change.set_index(aIndex);
  change.set_term(1);
  change.set_noop(true);
  return change;
}

} // namespace

TEST_CASE("The rules file is parsed and its errors are located")
{
  SECTION("each line is one rule and the first matching rule applies")
  {
    const auto rules =
      ParseRules("# lines of comment are free\n"
                 "\n"
                 "stale database=db work=drill* max_age=1.5s  # front desk\n"
                 "stale work=drill* max_age=100ms  # tutors\n"
                 "rank work=enrol* urgent  # bursar\n"
                 "floor normal 20%  # both\n"
                 "traffic server=db-3 off  # operations\n"
                 "share customer=acme 2  # owners\n"
                 "deadline work=report 1min  # head office\n");
    REQUIRE(rules);
    CHECK(rules->MaxAge("db", "drills") == 1500ms);
    CHECK(rules->MaxAge("other", "drills") == 100ms);
    CHECK(rules->MaxAge("db", "notes") == 0ms);
    CHECK(rules->RankOf("db", "enrolment", Rank::Low) == Rank::Urgent);
    CHECK(rules->RankOf("db", "notes", Rank::Low) == Rank::Low);
    CHECK(rules->floors_[1] == Approx(0.2));
    CHECK(!rules->IsTrafficAllowed("db-3"));
    CHECK(rules->IsTrafficAllowed("db-1"));
    CHECK(rules->WeightOf("acme") == 2);
    CHECK(rules->Deadline("db", "report", 90s) == 60s);
  }

  SECTION("an error names the line, the column, what was expected and the "
          "remedy")
  {
    CHECK(GetRulesError("rank work=a urgent")
            .find("line 1, column 19: expected a "
                  "comment '# who asked") == 0);
    CHECK(
      GetRulesError("\nrank work=a soon # me")
        .find(
          "line 2, column 13: expected urgent, normal or low, found 'soon'; "
          "correct") == 0);
    CHECK(GetRulesError("stale max_age=5 # me").find("column 7") !=
          std::string::npos);
    CHECK(GetRulesError("floor urgent 5% # me").find("normal or low") !=
          std::string::npos);
    CHECK(
      GetRulesError("floor normal 50% # a\nfloor low 40% # b").find("line 2") ==
      0);
    CHECK(GetRulesError("open sesame # me").find("stale, rank") !=
          std::string::npos);
    CHECK(
      GetRulesError("rank work=a urgent now # me").find("end of the rule") !=
      std::string::npos);
  }
}

TEST_CASE("JSON bodies are checked when they are parsed")
{
  SECTION("a request that is written and parsed keeps its fields")
  {
    CallerRequest request;
    request.database_ = "db";
    request.statement_ = "add k \"v\"\n";
    request.rank_ = Rank::Low;
    request.deadline_ = 1234ms;
    request.repeatable_ = true;
    const auto read = ParseCallerRequest(WriteCallerRequest(request));
    REQUIRE(read);
    CHECK(read->statement_ == request.statement_);
    CHECK(read->rank_ == Rank::Low);
    CHECK(read->deadline_ == 1234ms);
    CHECK(read->repeatable_);
  }

  SECTION("an invalid body is refused with the name of the invalid field")
  {
    const auto getError = [](std::string_view aBody) {
      const auto read = ParseCallerRequest(aBody);
      return read ? "" : read.error().message_;
    };
    CHECK(getError("").find("'body'") != std::string::npos);
    CHECK(getError("[]").find("'body'") != std::string::npos);
    CHECK(getError(R"({"database":7})").find("'database'") !=
          std::string::npos);
    CHECK(getError(R"({"database":"d","statement":"s","deadline_ms":-1})")
            .find("'deadline_ms'") != std::string::npos);
    CHECK(getError(R"({"database":"d","statement":"s","rank":"vip"})")
            .find("'rank'") != std::string::npos);
    CHECK(
      getError(R"({"database":"d","step":"commit"})").find("'transaction'") !=
      std::string::npos);
    CHECK(getError(std::string(100'000, '[')).find("'body'") !=
          std::string::npos);
  }

  SECTION("truncated and randomly changed bodies crash no parser")
  {
    std::mt19937 random(11);
    const std::string valid =
      R"({"database":"d","statement":"s","rank":"low","deadline_ms":5,)"
      R"("result":"done","rows":["a"],"term":1,"position":2,"promised":3})";
    for (int i = 0; i < 20'000; i++) {
      std::string body = valid.substr(0, random() % (valid.size() + 1));
      for (std::size_t j = 0; j < 3 && !body.empty(); j++) {
        body[random() % body.size()] = static_cast<char>(random());
      }
      static_cast<void>(ParseCallerRequest(body));
      static_cast<void>(ParseUpstreamAnswer(body));
      static_cast<void>(ParseAnnouncement(body));
      static_cast<void>(ParseRules(body));
    }
  }
}

TEST_CASE("A voter's disk is read back after a restart")
{
  const auto folder =
    std::filesystem::temp_directory_path() /
    ("jaydoor-disk-" + std::to_string(std::random_device{}()));
  const std::string log = (folder / "log").string();
  std::string id;
  {
    VoterDisk disk;
    REQUIRE(disk.Open(folder.string()));
    id = disk.Id();
    wire::HardState hard;
    hard.set_term(4);
    hard.set_voted_for("b/1");
    disk.Save(SaveHardState{ hard });
    disk.Save(SaveEntries{
      { MakeNoopChange(1), MakeNoopChange(2), MakeNoopChange(3) } });
    disk.Save(SaveEntries{ { MakeNoopChange(3) } });
    REQUIRE(disk.Sync());
  }
  const std::string intactLog = ReadWholeFile(log);

  SECTION("an intact disk returns the synced state under the same id")
  {
    VoterDisk disk;
    const auto read = disk.Open(folder.string());
    REQUIRE(read);
    CHECK(disk.Id() == id);
    CHECK(read->hardState_.term() == 4);
    CHECK(read->hardState_.voted_for() == "b/1");
    CHECK(read->entries_.size() == 3);
  }

  SECTION("a torn tail of the log is cut off and the records before it are "
          "kept")
  {
    for (std::size_t size = intactLog.size() - 1; size > intactLog.size() - 20;
         size--) {
      std::ofstream(log, std::ios::binary) << intactLog.substr(0, size);
      VoterDisk disk;
      const auto read = disk.Open(folder.string());
      REQUIRE(read);
      CHECK(read->hardState_.term() == 4);
      CHECK(read->entries_.size() == 3);
      CHECK(disk.TornBytes() > 0);
    }
  }

  SECTION("a disk without its log gets a new id")
  {
    std::filesystem::remove(log);
    VoterDisk disk;
    REQUIRE(disk.Open(folder.string()));
    CHECK(disk.Id() != id);
  }

  SECTION("a disk with damage inside its log gets a new id")
  {
    std::string damaged = intactLog;
    damaged[20] = static_cast<char>(damaged[20] ^ 1);
    std::ofstream(log, std::ios::binary) << damaged;
    VoterDisk disk;
    const auto read = disk.Open(folder.string());
    REQUIRE(read);
    CHECK(disk.Id() != id);
    CHECK(read->hardState_.term() == 0);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("A port out of range is refused as a bad setting")
{
  const std::array<const char*, 5> arguments = {
    "jaydoord", "--vm", "a", "--caller-port", "70000"
  };
  const auto settings =
    ReadSettings(static_cast<int>(arguments.size()), arguments.data());
  REQUIRE(!settings);
  CHECK(settings.error().kind_ == ErrorKind::BadSetting);
}

TEST_CASE("A secret that no HTTP header can hold is refused as a bad setting")
{
  const auto path =
    (std::filesystem::temp_directory_path() /
     ("jaydoor-secret-" + std::to_string(std::random_device{}())))
      .string();
  const auto getError = [&path](const char* aFlag, std::string_view aSecret) {
    std::ofstream(path, std::ios::binary) << aSecret;
    const std::string keys = path + "-keys";
    std::ofstream(keys, std::ios::binary) << "0123456789abcdef\n";
    std::vector<const char*> arguments = { "jaydoord",   "--vm",
                                           "a",          "--zone",
                                           "z",          "--session-key-file",
                                           keys.c_str(), "--plain-links",
                                           "on",         "--voters",
                                           "b",          aFlag,
                                           path.c_str() };
    if (aFlag != std::string_view("--operator-secret-file")) {
      arguments.insert(arguments.end(),
                       { "--operator-secret-file", keys.c_str() });
    }
    const auto settings =
      ReadSettings(static_cast<int>(arguments.size()), arguments.data());
    std::filesystem::remove(path);
    std::filesystem::remove(keys);
    return settings ? "" : settings.error().message_;
  };
  for (const char* flag :
       { "--operator-secret-file", "--announce-secret-file" }) {
    INFO(flag);
    CHECK(getError(flag, "a secret of enough bytes").empty());
    CHECK(getError(flag, "a secret\twith a tab inside\n").empty());
    for (const std::string_view secret :
         { "a secret of enough bytes\r\n",
           "a secret of one\nand another line\n",
           "a secret of enough bytes \n",
           "a secret with\x01 inside it" }) {
      CHECK(getError(flag, secret).find(std::string(flag) + " is '") == 0);
    }
  }
}

TEST_CASE("The catalogue of log events lists exactly the events of the code")
{
  const std::string catalogue =
    ReadWholeFile(std::filesystem::path(JAYDOOR_DOCS) / "EVENTS.md");
  std::size_t rows = 0;
  std::istringstream in(catalogue);
  for (std::string line; std::getline(in, line);) {
    rows += line.starts_with("| J") ? 1U : 0U;
  }
  CHECK(rows == ListEvents().size());
  for (const auto& event : ListEvents()) {
    const std::string row = "| J" +
                            std::to_string(static_cast<int>(event.event_)) +
                            " | " + std::string(event.name_) + " |";
    INFO(row);
    CHECK(catalogue.find(row) != std::string::npos);
  }
}

} // namespace jaydoor::tests
