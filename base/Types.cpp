#include "base/Types.h"

namespace jaydoor {
namespace {

struct ReasonText
{
  Reason reason_;
  std::string_view text_;
  std::string_view remedy_;
};

// Indexed by Reason.
constexpr std::array kReasons = {
  ReasonText{ Reason::None, "none", "" },
  ReasonText{ Reason::BadRequest, "bad_request", "correct the request" },
  ReasonText{ Reason::BadSession,
              "bad_session",
              "send the session token unchanged, or none" },
  ReasonText{ Reason::NoSuchDatabase,
              "no_such_database",
              "check the name; its upstreams must announce themselves" },
  ReasonText{ Reason::NoPrimary,
              "no_primary",
              "retry in a second; a promotion is under way or the zone is cut "
              "off" },
  ReasonText{ Reason::WrongTerm, "wrong_term", "retry; a promotion happened" },
  ReasonText{ Reason::NotPrimary,
              "not_primary",
              "retry; a promotion happened" },
  ReasonText{ Reason::Behind,
              "behind",
              "retry, or allow traffic to the primary by rule" },
  ReasonText{ Reason::Stale,
              "stale",
              "allow a larger max_age by rule, or retry once the zone is "
              "reachable" },
  ReasonText{ Reason::PastDeadline, "past_deadline", "allow a later deadline" },
  ReasonText{ Reason::Overloaded,
              "overloaded",
              "retry later, with a later deadline or a more urgent rank" },
  ReasonText{ Reason::NoConnection,
              "no_connection",
              "check that the upstream runs and accepts connections" },
  ReasonText{ Reason::NotOwner,
              "not_owner",
              "retry; another VM now owns the upstream" },
  ReasonText{ Reason::Leaving, "leaving", "retry at another entry VM" },
  ReasonText{ Reason::RulesUnproven,
              "rules_unproven",
              "retry; this VM is still fetching the rules in force" },
  ReasonText{ Reason::RuleForbids,
              "rule_forbids",
              "change the traffic rule of the upstream" },
  ReasonText{ Reason::TransactionLost,
              "transaction_lost",
              "begin the transaction again" },
  ReasonText{ Reason::Unreachable,
              "unreachable",
              "look the change up before repeating it" },
  ReasonText{ Reason::NotDurable,
              "not_durable",
              "look the change up before repeating it" },
  ReasonText{ Reason::DatabaseError,
              "database_error",
              "correct the statement" },
  ReasonText{ Reason::RetryBudget,
              "retry_budget",
              "retry later; this VM has spent its retry budget" },
};

// Indexed by the enums' values.
constexpr std::array<std::string_view, kRankCount> kRanks = { "urgent",
                                                              "normal",
                                                              "low" };
constexpr std::array<std::string_view, 4> kOutcomes = { "done",
                                                        "not_run",
                                                        "failed",
                                                        "unknown" };

template<typename Enum, std::size_t Size>
std::optional<Enum>
ParseEnum(const std::array<std::string_view, Size>& aTexts,
          std::string_view aText)
{
  for (std::size_t i = 0; i < Size; i++) {
    if (aTexts[i] == aText) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view
ToText(Rank aRank)
{
  return kRanks[static_cast<std::size_t>(aRank)];
}

std::string_view
ToText(Outcome aOutcome)
{
  return kOutcomes[static_cast<std::size_t>(aOutcome)];
}

std::string_view
ToText(Reason aReason)
{
  return kReasons[static_cast<std::size_t>(aReason)].text_;
}

std::string_view
RemedyOf(Reason aReason)
{
  return kReasons[static_cast<std::size_t>(aReason)].remedy_;
}

std::optional<Rank>
ParseRank(std::string_view aText)
{
  return ParseEnum<Rank>(kRanks, aText);
}

std::optional<Outcome>
ParseOutcome(std::string_view aText)
{
  return ParseEnum<Outcome>(kOutcomes, aText);
}

std::optional<Reason>
ParseReason(std::string_view aText)
{
  for (const auto& entry : kReasons) {
    if (entry.text_ == aText) {
      return entry.reason_;
    }
  }
  return std::nullopt;
}

} // namespace jaydoor
