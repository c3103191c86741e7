#include "control/Rules.h"

#include <charconv>
#include <optional>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr std::string_view kBlanks = " \t\r";

struct Word
{
  std::string_view text_;
  std::size_t column_ = 0; // from 1
};

// One line of the file, split into words, with the positions that error
// messages name.
struct Line
{
  std::vector<Word> words_;
  std::size_t number_ = 0;    // from 1
  std::size_t endColumn_ = 1; // column after the rule, before any comment
};

tl::unexpected<Error>
MakeRuleError(const Line& aLine,
              std::size_t aColumn,
              std::string_view aExpected,
              std::string_view aFound)
{
  return MakeError(
    ErrorKind::BadRule,
    fmt::format("line {}, column {}: expected {}, found '{}'; correct the line "
                "and apply the file again (nothing was changed)",
                aLine.number_,
                aColumn,
                aExpected,
                aFound));
}

std::vector<Word>
SplitWords(std::string_view aText)
{
  std::vector<Word> words;
  std::size_t at = aText.find_first_not_of(kBlanks);
  while (at != std::string_view::npos) {
    std::size_t end = aText.find_first_of(kBlanks, at);
    if (end == std::string_view::npos) {
      end = aText.size();
    }
    words.push_back({ aText.substr(at, end - at), at + 1 });
    at = aText.find_first_not_of(kBlanks, end);
  }
  return words;
}

std::optional<double>
ParseNumber(std::string_view aText)
{
  double number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isComplete = end == aText.data() + aText.size();
  if (error != std::errc{} || !isComplete || !(number >= 0) || number > 1e9) {
    return std::nullopt;
  }
  return number;
}

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  struct Unit
  {
    std::string_view text_;
    double us_;
  };
  constexpr std::array kUnits = { Unit{ "ms", 1e3 },
                                  Unit{ "s", 1e6 },
                                  Unit{ "min", 60e6 } };
  for (const auto& unit : kUnits) {
    if (!aText.ends_with(unit.text_)) {
      continue;
    }
    const auto number =
      ParseNumber(aText.substr(0, aText.size() - unit.text_.size()));
    if (number) {
      return Duration(static_cast<Duration::rep>(*number * unit.us_));
    }
  }
  return std::nullopt;
}

bool
MatchesLabel(std::string_view aPattern, std::string_view aLabel)
{
  if (aPattern.ends_with('*')) {
    return aLabel.starts_with(aPattern.substr(0, aPattern.size() - 1));
  }
  return aPattern.empty() || aPattern == aLabel;
}

bool
Matches(const RuleMatch& aMatch,
        std::string_view aDatabase,
        std::string_view aWork)
{
  const bool database =
    aMatch.database_.empty() || aMatch.database_ == aDatabase;
  return database && MatchesLabel(aMatch.work_, aWork);
}

// Reads the words of one line, from the second one on: the first one is the
// rule's verb.
class LineReader
{
public:
  explicit LineReader(const Line& aLine)
    : line_(aLine)
  {
  }

  // Null at the end of the line.
  const Word* ReadWord()
  {
    return next_ < line_.words_.size() ? &line_.words_[next_++] : nullptr;
  }

  // Reads `database=` and `work=` words up to the first other word.
  Expected<RuleMatch> ReadMatch()
  {
    RuleMatch match;
    while (next_ < line_.words_.size()) {
      const Word& word = line_.words_[next_];
      if (word.text_.starts_with("database=")) {
        match.database_ = word.text_.substr(9);
      } else if (word.text_.starts_with("work=")) {
        match.work_ = word.text_.substr(5);
      } else {
        break;
      }
      if (word.text_.ends_with('=')) {
        return MakeWordError("a name after '='", &word);
      }
      next_++;
    }
    return match;
  }

  // Reads a word that starts with `aPrefix`, and returns the rest of it. The
  // rest must not be empty.
  Expected<std::string_view> ReadValue(std::string_view aPrefix,
                                       std::string_view aExpected)
  {
    const Word* word = ReadWord();
    const bool found = word != nullptr && word->text_.starts_with(aPrefix) &&
                       word->text_.size() > aPrefix.size();
    if (!found) {
      return MakeWordError(aExpected, word);
    }
    return word->text_.substr(aPrefix.size());
  }

  // The error for a word other than the expected one. Null: a word is missing.
  tl::unexpected<Error> MakeWordError(std::string_view aExpected,
                                      const Word* aWord)
  {
    if (aWord == nullptr) {
      return MakeRuleError(line_, line_.endColumn_, aExpected, "end of rule");
    }
    return MakeRuleError(line_, aWord->column_, aExpected, aWord->text_);
  }

  const Word* LastWord() const { return &line_.words_[next_ - 1]; }

  // Returns an error unless all words have been read.
  Expected<bool> ReadEnd()
  {
    if (next_ < line_.words_.size()) {
      return MakeWordError("the end of the rule or '#'", &line_.words_[next_]);
    }
    return true;
  }

private:
  const Line& line_;
  std::size_t next_ = 1;
};

Expected<bool>
ReadStale(LineReader& aReader, Rules& aRules)
{
  auto match = aReader.ReadMatch();
  if (!match) {
    return tl::unexpected(match.error());
  }
  const auto value = aReader.ReadValue("max_age=", "max_age=TIME");
  if (!value) {
    return tl::unexpected(value.error());
  }
  const auto age = ParseDuration(*value);
  if (!age) {
    return aReader.MakeWordError("max_age=TIME, a number with ms, s or min",
                                 aReader.LastWord());
  }
  aRules.staleRules_.push_back({ std::move(*match), *age });
  return true;
}

Expected<bool>
ReadRank(LineReader& aReader, Rules& aRules)
{
  auto match = aReader.ReadMatch();
  if (!match) {
    return tl::unexpected(match.error());
  }
  const Word* word = aReader.ReadWord();
  const auto rank = ParseRank(word == nullptr ? "" : word->text_);
  if (!rank) {
    return aReader.MakeWordError("urgent, normal or low", word);
  }
  aRules.rankRules_.push_back({ std::move(*match), *rank });
  return true;
}

Expected<bool>
ReadDeadline(LineReader& aReader, Rules& aRules)
{
  auto match = aReader.ReadMatch();
  if (!match) {
    return tl::unexpected(match.error());
  }
  const Word* word = aReader.ReadWord();
  const auto time = ParseDuration(word == nullptr ? "" : word->text_);
  if (!time || *time <= Duration::zero()) {
    return aReader.MakeWordError("a time above zero with ms, s or min", word);
  }
  aRules.deadlineRules_.push_back({ std::move(*match), *time });
  return true;
}

Expected<bool>
ReadFloor(LineReader& aReader, Rules& aRules)
{
  const Word* word = aReader.ReadWord();
  const auto rank = ParseRank(word == nullptr ? "" : word->text_);
  if (!rank || *rank == Rank::Urgent) {
    return aReader.MakeWordError("normal or low", word);
  }
  const Word* share = aReader.ReadWord();
  const bool isPercent = share != nullptr && share->text_.ends_with('%');
  const auto number =
    isPercent ? ParseNumber(share->text_.substr(0, share->text_.size() - 1))
              : std::nullopt;
  if (!number) {
    return aReader.MakeWordError("a share like 20%", share);
  }
  aRules.floors_[static_cast<std::size_t>(*rank)] = *number / 100;
  double sum = 0;
  for (const double floor : aRules.floors_) {
    sum += floor;
  }
  if (sum > kMaxFloorSum) {
    return aReader.MakeWordError("floors that add up to at most 80%", share);
  }
  return true;
}

Expected<bool>
ReadTraffic(LineReader& aReader, Rules& aRules)
{
  const auto server = aReader.ReadValue("server=", "server=NAME");
  if (!server) {
    return tl::unexpected(server.error());
  }
  const Word* word = aReader.ReadWord();
  const bool known =
    word != nullptr && (word->text_ == "on" || word->text_ == "off");
  if (!known) {
    return aReader.MakeWordError("on or off", word);
  }
  aRules.trafficRules_.push_back({ std::string(*server), word->text_ == "on" });
  return true;
}

Expected<bool>
ReadShare(LineReader& aReader, Rules& aRules)
{
  const auto customer = aReader.ReadValue("customer=", "customer=NAME");
  if (!customer) {
    return tl::unexpected(customer.error());
  }
  const Word* word = aReader.ReadWord();
  const auto weight = ParseNumber(word == nullptr ? "" : word->text_);
  if (!weight || *weight <= 0) {
    return aReader.MakeWordError("a weight above zero", word);
  }
  aRules.shareRules_.push_back({ std::string(*customer), *weight });
  return true;
}

using RuleReader = Expected<bool> (*)(LineReader&, Rules&);

struct RuleKind
{
  std::string_view text_;
  RuleReader read_;
};

constexpr std::array kRuleKinds = {
  RuleKind{ "stale", ReadStale },       RuleKind{ "rank", ReadRank },
  RuleKind{ "deadline", ReadDeadline }, RuleKind{ "floor", ReadFloor },
  RuleKind{ "traffic", ReadTraffic },   RuleKind{ "share", ReadShare }
};

Expected<bool>
ReadLine(std::string_view aText, std::size_t aNumber, Rules& aRules)
{
  const std::size_t hash = aText.find('#');
  Line line;
  line.number_ = aNumber;
  line.words_ = SplitWords(aText.substr(0, hash));
  line.endColumn_ = std::min(hash, aText.size()) + 1;
  if (line.words_.empty()) {
    return true; // the line is blank or holds only a comment
  }
  const bool hasAuthor =
    hash != std::string_view::npos &&
    aText.find_first_not_of(kBlanks, hash + 1) != std::string_view::npos;
  if (!hasAuthor) {
    return MakeRuleError(
      line, line.endColumn_, "a comment '# who asked for it'", "end of line");
  }
  const Word& first = line.words_.front();
  for (const auto& kind : kRuleKinds) {
    if (kind.text_ == first.text_) {
      LineReader reader(line);
      const auto read = kind.read_(reader, aRules);
      return read ? reader.ReadEnd() : read;
    }
  }
  return MakeRuleError(line,
                       first.column_,
                       "stale, rank, deadline, floor, traffic or share",
                       first.text_);
}

} // namespace

Duration
Rules::MaxAge(std::string_view aDatabase, std::string_view aWork) const
{
  for (const auto& rule : staleRules_) {
    if (Matches(rule.match_, aDatabase, aWork)) {
      return rule.maxAge_;
    }
  }
  return Duration::zero();
}

Rank
Rules::RankOf(std::string_view aDatabase,
              std::string_view aWork,
              std::optional<Rank> aRequested) const
{
  for (const auto& rule : rankRules_) {
    if (Matches(rule.match_, aDatabase, aWork)) {
      return rule.rank_;
    }
  }
  return aRequested.value_or(kDefaultRank);
}

Duration
Rules::Deadline(std::string_view aDatabase,
                std::string_view aWork,
                Duration aRequested) const
{
  for (const auto& rule : deadlineRules_) {
    if (Matches(rule.match_, aDatabase, aWork)) {
      return std::min(rule.deadline_, aRequested);
    }
  }
  return aRequested;
}

bool
Rules::IsTrafficAllowed(std::string_view aServer) const
{
  for (const auto& rule : trafficRules_) {
    if (rule.server_ == aServer) {
      return rule.allowed_;
    }
  }
  return true;
}

double
Rules::WeightOf(std::string_view aCustomer) const
{
  for (const auto& rule : shareRules_) {
    if (rule.customer_ == aCustomer) {
      return rule.weight_;
    }
  }
  return 1;
}

Expected<Rules>
ParseRules(std::string_view aText)
{
  if (aText.size() > kMaxRulesBytes) {
    return MakeError(ErrorKind::BadRule,
                     fmt::format("the rules have {} bytes, {} are allowed; "
                                 "remove rules that no longer apply",
                                 aText.size(),
                                 kMaxRulesBytes));
  }
  Rules rules;
  std::size_t number = 0;
  while (!aText.empty()) {
    number++;
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const auto read = ReadLine(aText.substr(0, end), number, rules);
    if (!read) {
      return tl::unexpected(read.error());
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return rules;
}

} // namespace jaydoor
