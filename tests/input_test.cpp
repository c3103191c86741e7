// Input from outside: rules, JSON bodies, settings, the voter's disk, and the
// catalogue of log events.

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

std::string
ProblemOf(std::string_view aText)
{
  const auto rules = ParseRules(aText);
  return rules ? "" : rules.error().message_;
}

std::string
ReadAll(const std::filesystem::path& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

wire::Change
MakeChange(std::uint64_t aIndex)
{
  wire::Change change;
  change.set_index(aIndex);
  change.set_term(1);
  change.set_noop(true);
  return change;
}

} // namespace

TEST_CASE("The rules file")
{
  SECTION("is read line by line, the first match counts")
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

  SECTION("names line, column, what was expected and the remedy")
  {
    CHECK(ProblemOf("rank work=a urgent")
            .find("line 1, column 19: expected a "
                  "comment '# who asked") == 0);
    CHECK(
      ProblemOf("\nrank work=a soon # me")
        .find(
          "line 2, column 13: expected urgent, normal or low, found 'soon'; "
          "mend") == 0);
    CHECK(ProblemOf("stale max_age=5 # me").find("column 7") !=
          std::string::npos);
    CHECK(ProblemOf("floor urgent 5% # me").find("normal or low") !=
          std::string::npos);
    CHECK(ProblemOf("floor normal 50% # a\nfloor low 40% # b").find("line 2") ==
          0);
    CHECK(ProblemOf("open sesame # me").find("stale, rank") !=
          std::string::npos);
    CHECK(ProblemOf("rank work=a urgent now # me").find("end of the rule") !=
          std::string::npos);
  }
}

TEST_CASE("Bodies from outside")
{
  SECTION("keep what was written")
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

  SECTION("are refused with the field that is wrong")
  {
    const auto problem = [](std::string_view aBody) {
      const auto read = ParseCallerRequest(aBody);
      return read ? "" : read.error().message_;
    };
    CHECK(problem("").find("'body'") != std::string::npos);
    CHECK(problem("[]").find("'body'") != std::string::npos);
    CHECK(problem(R"({"database":7})").find("'database'") != std::string::npos);
    CHECK(problem(R"({"database":"d","statement":"s","deadline_ms":-1})")
            .find("'deadline_ms'") != std::string::npos);
    CHECK(problem(R"({"database":"d","statement":"s","rank":"vip"})")
            .find("'rank'") != std::string::npos);
    CHECK(
      problem(R"({"database":"d","step":"commit"})").find("'transaction'") !=
      std::string::npos);
    CHECK(problem(std::string(100'000, '[')).find("'body'") !=
          std::string::npos);
  }

  SECTION("never crash a parser, however they are changed")
  {
    std::mt19937 random(11);
    const std::string good =
      R"({"database":"d","statement":"s","rank":"low","deadline_ms":5,)"
      R"("result":"done","rows":["a"],"term":1,"position":2,"promised":3})";
    for (int i = 0; i < 20'000; i++) {
      std::string body = good.substr(0, random() % (good.size() + 1));
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

TEST_CASE("A voter's disk")
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
    disk.Save(SaveEntries{ { MakeChange(1), MakeChange(2), MakeChange(3) } });
    disk.Save(SaveEntries{ { MakeChange(3) } });
    REQUIRE(disk.Sync());
  }
  const std::string whole = ReadAll(log);

  SECTION("brings back what was synced, under the same id")
  {
    VoterDisk disk;
    const auto read = disk.Open(folder.string());
    REQUIRE(read);
    CHECK(disk.Id() == id);
    CHECK(read->hardState_.term() == 4);
    CHECK(read->hardState_.voted_for() == "b/1");
    CHECK(read->entries_.size() == 3);
  }

  SECTION("cuts off a torn end and keeps what is before it")
  {
    for (std::size_t size = whole.size() - 1; size > whole.size() - 20;
         size--) {
      std::ofstream(log, std::ios::binary) << whole.substr(0, size);
      VoterDisk disk;
      const auto read = disk.Open(folder.string());
      REQUIRE(read);
      CHECK(read->hardState_.term() == 4);
      CHECK(read->entries_.size() == 3);
      CHECK(disk.TornBytes() > 0);
    }
  }

  SECTION("gets another id when its log is lost")
  {
    std::filesystem::remove(log);
    VoterDisk disk;
    REQUIRE(disk.Open(folder.string()));
    CHECK(disk.Id() != id);
  }

  SECTION("gets another id when bytes in the middle are damaged")
  {
    std::string damaged = whole;
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

TEST_CASE("Settings name the flag, the value, what is allowed and the remedy")
{
  const std::array<const char*, 5> arguments = {
    "jaydoord", "--vm", "a", "--caller-port", "70000"
  };
  const auto settings =
    ReadSettings(static_cast<int>(arguments.size()), arguments.data());
  REQUIRE(!settings);
  CHECK(settings.error().kind_ == ErrorKind::BadSetting);
}

TEST_CASE("The catalogue of events is the code's")
{
  const std::string catalogue =
    ReadAll(std::filesystem::path(JAYDOOR_DOCS) / "EVENTS.md");
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
