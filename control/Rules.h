#pragma once

// The rules file: plain text, one rule a line, each with a comment that names
// who asked for it.
//
//   stale   database=lessons work=drill* max_age=5s     # front desk
//   rank    work=enrol* urgent                          # bursar
//   floor   normal 20%                                  # both teams
//   traffic server=lessons-3 off                        # operations
//   share   customer=acme 2                             # platform owners
//   deadline work=report* 10s                           # head office
//
// Sections:
//   1. One rule of each kind
//   2. The set of rules, and what it answers
//   3. Reading the text
//
// Of several rules of a kind that match a statement, the first one counts.
// A text with one bad line is refused whole.

#include "base/Error.h"
#include "base/Types.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace jaydoor {

// ---- 1. One rule of each kind

// What a rule applies to. An empty field matches all; a '*' at the end of
// `work_` matches any rest.
struct RuleMatch
{
  DatabaseId database_; //
  std::string work_;    // label that the caller gives its statement
};

struct StaleRule
{
  RuleMatch match_;
  Duration maxAge_{}; // largest age that a read may have
};

struct RankRule
{
  RuleMatch match_;
  Rank rank_ = Rank::Normal;
};

struct DeadlineRule
{
  RuleMatch match_;
  Duration deadline_{}; // longest time that a statement may take
};

struct TrafficRule
{
  ServerId server_;
  bool allowed_ = true; // off: the server gets no statements
};

struct ShareRule
{
  std::string customer_;
  double weight_ = 1; // against 1 for customers without a rule
};

// ---- 2. The set of rules, and what it answers

inline constexpr Rank kDefaultRank = Rank::Normal;
inline constexpr double kMaxFloorSum = 0.8; // share kept for urgent work: 20%

struct Rules
{
  std::vector<StaleRule> staleRules_;
  std::vector<RankRule> rankRules_;
  std::vector<DeadlineRule> deadlineRules_;
  std::vector<TrafficRule> trafficRules_;
  std::vector<ShareRule> shareRules_;
  std::array<double, kRankCount> floors_{}; // share of service, 0 to 1

  // Largest age allowed; zero where no rule matches.
  Duration MaxAge(std::string_view aDatabase, std::string_view aWork) const;
  // The rule's rank, else the caller's wish, else normal.
  Rank RankOf(std::string_view aDatabase,
              std::string_view aWork,
              std::optional<Rank> aWish) const;
  // The rule's deadline if it is sooner than the caller's.
  Duration Deadline(std::string_view aDatabase,
                    std::string_view aWork,
                    Duration aWish) const;
  bool IsTrafficAllowed(std::string_view aServer) const;
  double WeightOf(std::string_view aCustomer) const;
};

// ---- 3. Reading the text

inline constexpr std::size_t kMaxRulesBytes = 256UL * 1024;

// Reads the whole text. The error names line, column, what was expected and
// the remedy.
Expected<Rules>
ParseRules(std::string_view aText);

} // namespace jaydoor
