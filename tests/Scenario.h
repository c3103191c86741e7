#pragma once

// A small test language: one step a line, the same file for the decision code
// under virtual time and for real processes.
//
//   run 500ms                          lets time pass
//   write SESSION VM KEY VALUE [once]  'once': not repeatable
//   read SESSION VM KEY                within the rules' age
//   begin|inside|commit|rollback SESSION VM [KEY VALUE]
//   expect done|not_run|failed|unknown the last statement's outcome
//   expect rows A,B                    the last read's rows ('-' for none)
//   expect reason NAME
//   expect primary [not] SERVER
//   expect accepted|conflict           the last rule change
//   rules VM BASE REQUEST TEXT         '/' in TEXT ends a line
//   kill|start|freeze|thaw|wipe|drain|leave|silence NAME
//   cutoff ZONE | cut ZONE ZONE | heal
//
// A name may be written @primary (of db1) or @replica (the first that is no
// primary). '#' starts a comment.

#include "base/Types.h"
#include "wire/Json.h"

#include <concepts>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace jaydoor::tests {

template<typename T>
concept StageLike = requires(T aStage,
                             std::string aName,
                             CallerRequest aRequest,
                             wire::RuleChange aChange)
{
  aStage.Run(Duration{});
  {
    aStage.Execute(aName, aRequest)
    } -> std::same_as<CallerAnswer>;
  aStage.ChangeRules(aName, aChange);
  aStage.Fault(aName, aName, aName);
  {
    aStage.FindPrimary(aName)
    } -> std::convertible_to<std::string>;
  {
    aStage.Servers()
    } -> std::convertible_to<std::vector<std::string>>;
};

// Runs one scenario; returns what was not as expected, or nothing.
template<StageLike Stage>
class ScenarioRunner
{
public:
  explicit ScenarioRunner(Stage& aStage)
    : stage_(aStage)
  {
  }

  std::string RunText(const std::string& aText)
  {
    std::istringstream in(aText);
    std::string line;
    for (int number = 1; std::getline(in, line); number++) {
      const std::string problem = RunLine(line.substr(0, line.find('#')));
      if (!problem.empty()) {
        return fmt::format("line {}: {}: {}", number, line, problem);
      }
    }
    return {};
  }

private:
  std::string RunLine(const std::string& aLine)
  {
    std::istringstream in(aLine);
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
      words.push_back(Resolve(word));
    }
    if (words.empty()) {
      return {};
    }
    words.resize(std::max<std::size_t>(words.size(), 6));
    const std::string& verb = words[0];
    if (verb == "run") {
      stage_.Run(std::chrono::milliseconds(std::stoi(words[1])));
    } else if (verb == "write" || verb == "read") {
      RunStatement(words, verb == "read");
    } else if (verb == "begin" || verb == "inside" || verb == "commit" ||
               verb == "rollback") {
      RunStep(words);
    } else if (verb == "expect") {
      return Expect(words);
    } else if (verb == "rules") {
      RunRules(words, aLine);
    } else {
      stage_.Fault(verb, words[1], words[2]);
    }
    return {};
  }

  std::string Resolve(const std::string& aWord)
  {
    const std::string primary =
      aWord.starts_with('@') ? stage_.FindPrimary("db1") : "";
    if (aWord == "@primary") {
      return primary;
    }
    if (aWord == "@replica") {
      for (const auto& server : stage_.Servers()) {
        if (server != primary && server.starts_with("db1-")) {
          return server;
        }
      }
    }
    return aWord;
  }

  CallerRequest MakeRequest(const std::string& aSession)
  {
    CallerRequest request;
    request.database_ = "db1";
    request.sessionToken_ = sessions_[aSession];
    request.deadline_ = 3s;
    return request;
  }

  void Finish(const std::string& aSession)
  {
    if (!last_.sessionToken_.empty()) {
      sessions_[aSession] = last_.sessionToken_;
    }
  }

  void RunStatement(const std::vector<std::string>& aWords, bool aRead)
  {
    CallerRequest request = MakeRequest(aWords[1]);
    request.read_ = aRead;
    request.statement_ =
      aRead ? "get " + aWords[3] : "add " + aWords[3] + " " + aWords[4];
    last_ = stage_.Execute(aWords[2], request);
    Finish(aWords[1]);
  }

  void RunStep(const std::vector<std::string>& aWords)
  {
    static const std::map<std::string, TransactionStep> kSteps = {
      { "begin", TransactionStep::Begin },
      { "inside", TransactionStep::Inside },
      { "commit", TransactionStep::Commit },
      { "rollback", TransactionStep::Rollback }
    };
    CallerRequest request = MakeRequest(aWords[1]);
    request.step_ = kSteps.at(aWords[0]);
    request.transaction_ = transactions_[aWords[1]];
    if (!aWords[3].empty()) {
      request.statement_ = "add " + aWords[3] + " " + aWords[4];
    }
    last_ = stage_.Execute(aWords[2], request);
    if (!last_.transaction_.empty()) {
      transactions_[aWords[1]] = last_.transaction_;
    }
    Finish(aWords[1]);
  }

  void RunRules(const std::vector<std::string>& aWords,
                const std::string& aLine)
  {
    wire::RuleChange change;
    change.set_base_version(std::stoull(aWords[2]));
    change.set_request(aWords[3]);
    const std::size_t at = aLine.find(aWords[3]) + aWords[3].size();
    std::string text = aLine.substr(at);
    std::replace(text.begin(), text.end(), '/', '\n');
    std::replace(text.begin(), text.end(), ';', '#');
    change.set_text(text);
    rules_ = stage_.ChangeRules(aWords[1], change);
  }

  std::string Expect(const std::vector<std::string>& aWords)
  {
    const std::string& what = aWords[1];
    const std::string found = fmt::format(
      "{} {} rows={}", ToText(last_.outcome_), ToText(last_.reason_), Rows());
    if (what == "rows") {
      return Rows() == aWords[2] ? "" : found;
    }
    if (what == "reason") {
      return ToText(last_.reason_) == aWords[2] ? "" : found;
    }
    if (what == "primary") {
      const bool negated = aWords[2] == "not";
      const std::string primary = stage_.FindPrimary("db1");
      const bool same = primary == aWords[negated ? 3 : 2];
      return same != negated ? "" : "primary is " + primary;
    }
    if (what == "accepted" || what == "conflict") {
      const bool accepted = rules_ && rules_->accepted();
      const bool known = rules_.has_value();
      return known && accepted == (what == "accepted") ? "" : "other outcome";
    }
    return ToText(last_.outcome_) == what ? "" : found;
  }

  std::string Rows() const
  {
    return last_.rows_.empty() ? "-"
                               : fmt::format("{}", fmt::join(last_.rows_, ","));
  }

  Stage& stage_;
  std::map<std::string, std::string> sessions_;
  std::map<std::string, std::string> transactions_;
  CallerAnswer last_;
  std::optional<wire::RuleOutcome> rules_;
};

} // namespace jaydoor::tests
