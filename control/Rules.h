#pragma once

// The rules file: plain text with one rule per line. Each rule needs a comment
// that names who asked for it.
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
//   2. The set of rules and its queries
//   3. Parsing
//
// If several rules of a kind match a statement, the first one applies. A text
// with a malformed line is refused as a whole.

#include "base/Error.h"
#include "base/Types.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace jaydoor {

// ---- 1. One rule of each kind

// The statements that a rule applies to. An empty field matches all of them. A
// '*' at the end of `work_` matches any rest of the label.
struct RuleMatch
{
  DatabaseId database_;
  std::string work_; // label that the caller gives its statement
};

struct StaleRule
{
  RuleMatch match_;
  Duration maxAge_{}; // largest age of the data that a read may return
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
  bool allowed_ = true; // false: the server gets no statements
};

struct ShareRule
{
  std::string customer_;
  double weight_ = 1; // share of service; 1 for customers without a rule
};

// ---- 2. The set of rules and its queries

inline constexpr Rank kDefaultRank = Rank::Normal;
inline constexpr double kMaxFloorSum = 0.8; // leaves 20% for urgent work

struct Rules
{
  std::vector<StaleRule> staleRules_;
  std::vector<RankRule> rankRules_;
  std::vector<DeadlineRule> deadlineRules_;
  std::vector<TrafficRule> trafficRules_;
  std::vector<ShareRule> shareRules_;
  // Least share of service for each rank, from 0 to 1.
  std::array<double, kRankCount> floors_{};

  // Largest age allowed of the data that a read returns; zero if no rule
  // matches.
  Duration MaxAge(std::string_view aDatabase, std::string_view aWork) const;
  // The rank of the rule that matches, else the one that the caller asked for,
  // else kDefaultRank.
  Rank RankOf(std::string_view aDatabase,
              std::string_view aWork,
              std::optional<Rank> aRequested) const;
  // The time that a statement may take from now on: what the caller asked for,
  // or the matching rule's deadline if that is shorter.
  Duration Deadline(std::string_view aDatabase,
                    std::string_view aWork,
                    Duration aRequested) const;
  // False if a rule keeps statements off the server.
  bool IsTrafficAllowed(std::string_view aServer) const;
  // The customer's share of service, relative to 1 for customers without a
  // rule.
  double WeightOf(std::string_view aCustomer) const;
};

// ---- 3. Parsing

inline constexpr std::size_t kMaxRulesBytes = 256UL * 1024;

// Parses the whole text. The error of a malformed line names the line, the
// column, what was expected there and the remedy. A text of more than
// kMaxRulesBytes is an error too.
Expected<Rules>
ParseRules(std::string_view aText);

} // namespace jaydoor
