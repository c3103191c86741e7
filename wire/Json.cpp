#include "wire/Json.h"

#include <algorithm>
#include <limits>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace jaydoor {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxTokenBytes = 8UL * 1024;         // of a session
constexpr std::size_t kMaxHandleBytes = 4 * kMaxNameBytes; // of a transaction
constexpr std::size_t kMaxRows = 10000;
constexpr std::size_t kMaxNestingDepth = 8;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxCount = 1'000'000; // slots, connections, servers

// Texts of TransactionStep, UpstreamOp and UpstreamResult, in the order of
// their values.
constexpr std::array<std::string_view, 5> kStepTexts = { "",
                                                         "begin",
                                                         "inside",
                                                         "commit",
                                                         "rollback" };
constexpr std::array<std::string_view, 5> kPaths = { "/v1/execute",
                                                     "/v1/status",
                                                     "/v1/seal",
                                                     "/v1/promote",
                                                     "/v1/follow" };
constexpr std::array<std::string_view, 3> kResultTexts = { "done",
                                                           "refused",
                                                           "failed" };

// Reads the fields of one JSON object. A field that is absent yields an empty
// or default value. The first error is kept, and Finish() returns it.
class FieldReader
{
public:
  explicit FieldReader(std::string_view aBody)
  {
    boost::system::error_code error;
    json::parse_options options;
    options.max_depth = kMaxNestingDepth;
    value_ = json::parse(aBody, error, {}, options);
    if (error || !value_.is_object()) {
      Fail("body", "a JSON object");
    }
  }

  std::string ReadText(std::string_view aName, std::size_t aMax)
  {
    const json::value* field = FindField(aName);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_string() || field->get_string().size() > aMax) {
      Fail(aName, fmt::format("a string of at most {} bytes", aMax));
      return {};
    }
    return std::string(field->get_string());
  }

  std::string ReadName(std::string_view aName)
  {
    std::string text = ReadText(aName, kMaxNameBytes);
    if (!error_ && !IsValidName(text)) {
      Fail(aName, "1 to 64 letters, digits, '_', '-' or '.'");
    }
    return text;
  }

  bool ReadFlag(std::string_view aName)
  {
    const json::value* field = FindField(aName);
    if (field == nullptr) {
      return false;
    }
    if (!field->is_bool()) {
      Fail(aName, "true or false");
      return false;
    }
    return field->get_bool();
  }

  std::int64_t ReadNumber(std::string_view aName,
                          std::int64_t aMin,
                          std::int64_t aMax,
                          std::int64_t aDefault)
  {
    const json::value* field = FindField(aName);
    if (field == nullptr) {
      return aDefault;
    }
    boost::system::error_code error;
    const auto number = field->to_number<std::int64_t>(error);
    if (error || number < aMin || number > aMax) {
      Fail(aName, fmt::format("a whole number from {} to {}", aMin, aMax));
      return aDefault;
    }
    return number;
  }

  std::uint64_t ReadCount(std::string_view aName)
  {
    return static_cast<std::uint64_t>(
      ReadNumber(aName, 0, std::numeric_limits<std::int64_t>::max(), 0));
  }

  std::vector<std::string> ReadTexts(std::string_view aName)
  {
    const json::value* field = FindField(aName);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_array() || field->get_array().size() > kMaxRows) {
      Fail(aName, fmt::format("an array of at most {} strings", kMaxRows));
      return {};
    }
    std::vector<std::string> texts;
    texts.reserve(field->get_array().size());
    for (const auto& item : field->get_array()) {
      if (!item.is_string()) {
        Fail(aName, "an array of strings only");
        return {};
      }
      texts.emplace_back(item.get_string());
    }
    return texts;
  }

  LogPoint ReadPoint(std::string_view aTerm, std::string_view aPosition)
  {
    return { ReadCount(aTerm), ReadCount(aPosition) };
  }

  template<std::size_t Size>
  std::size_t ReadChoice(std::string_view aName,
                         const std::array<std::string_view, Size>& aChoices)
  {
    const std::string text = ReadText(aName, kMaxNameBytes);
    const auto* found = std::find(aChoices.begin(), aChoices.end(), text);
    if (found == aChoices.end()) {
      Fail(aName, fmt::format("one of {}", fmt::join(aChoices, ", ")));
      return 0;
    }
    return static_cast<std::size_t>(found - aChoices.begin());
  }

  void Fail(std::string_view aName, std::string_view aExpected)
  {
    if (!error_) {
      error_ = Error{ ErrorKind::BadInput,
                      fmt::format("field '{}' is invalid: expected {}; correct "
                                  "it and send the request again",
                                  aName,
                                  aExpected) };
    }
  }

  template<typename T>
  Expected<T> Finish(T aResult)
  {
    if (error_) {
      return tl::unexpected<Error>(*error_);
    }
    return aResult;
  }

private:
  const json::value* FindField(std::string_view aName) const
  {
    return error_ ? nullptr : value_.get_object().if_contains(aName);
  }

  json::value value_;
  std::optional<Error> error_;
};

json::array
ToJsonArray(std::span<const std::string> aTexts)
{
  json::array array;
  array.reserve(aTexts.size());
  for (const auto& text : aTexts) {
    array.emplace_back(text);
  }
  return array;
}

void
SetIfNotEmpty(json::object& aObject,
              std::string_view aName,
              std::string_view aText)
{
  if (!aText.empty()) {
    aObject[aName] = aText;
  }
}

} // namespace

bool
IsValidName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxNameBytes) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '_' || aChar == '-' ||
           aChar == '.';
  });
}

Expected<CallerRequest>
ParseCallerRequest(std::string_view aBody)
{
  FieldReader reader(aBody);
  CallerRequest request;
  request.database_ = reader.ReadName("database");
  request.statement_ = reader.ReadText("statement", kMaxStatementBytes);
  request.workLabel_ = reader.ReadText("work", kMaxNameBytes);
  request.customer_ = reader.ReadText("customer", kMaxNameBytes);
  request.sessionToken_ = reader.ReadText("session", kMaxTokenBytes);
  request.transaction_ = reader.ReadText("transaction", kMaxHandleBytes);
  request.deadline_ = std::chrono::milliseconds(reader.ReadNumber(
    "deadline_ms", 1, CountMs(kMaxDeadline), CountMs(kDefaultDeadline)));
  request.step_ =
    static_cast<TransactionStep>(reader.ReadChoice("step", kStepTexts));
  request.read_ = reader.ReadFlag("read");
  request.repeatable_ = reader.ReadFlag("repeatable");
  const std::string rank = reader.ReadText("rank", kMaxNameBytes);
  request.rank_ = ParseRank(rank);
  if (!rank.empty() && !request.rank_) {
    reader.Fail("rank", "urgent, normal or low");
  }
  const bool needsStatement = request.step_ == TransactionStep::None ||
                              request.step_ == TransactionStep::Inside;
  if (needsStatement && request.statement_.empty()) {
    reader.Fail("statement", "a statement that is not empty");
  }
  const bool needsHandle = request.step_ > TransactionStep::Begin;
  if (needsHandle && request.transaction_.empty()) {
    reader.Fail("transaction", "the handle that step begin returned");
  }
  return reader.Finish(std::move(request));
}

std::string
WriteCallerRequest(const CallerRequest& aRequest)
{
  json::object object;
  object["database"] = aRequest.database_;
  SetIfNotEmpty(object, "statement", aRequest.statement_);
  SetIfNotEmpty(object, "work", aRequest.workLabel_);
  SetIfNotEmpty(object, "customer", aRequest.customer_);
  SetIfNotEmpty(object, "session", aRequest.sessionToken_);
  SetIfNotEmpty(object, "transaction", aRequest.transaction_);
  SetIfNotEmpty(
    object, "step", kStepTexts[static_cast<std::size_t>(aRequest.step_)]);
  if (aRequest.rank_) {
    object["rank"] = ToText(*aRequest.rank_);
  }
  object["deadline_ms"] = CountMs(aRequest.deadline_);
  object["read"] = aRequest.read_;
  object["repeatable"] = aRequest.repeatable_;
  return json::serialize(object);
}

std::string
WriteCallerAnswer(const CallerAnswer& aAnswer)
{
  json::object object;
  object["outcome"] = ToText(aAnswer.outcome_);
  if (aAnswer.reason_ != Reason::None) {
    object["reason"] = ToText(aAnswer.reason_);
    object["remedy"] = RemedyOf(aAnswer.reason_);
  }
  if (aAnswer.outcome_ == Outcome::Done) {
    object["rows"] = ToJsonArray(aAnswer.rows_);
    object["term"] = aAnswer.point_.term_;
    object["position"] = aAnswer.point_.position_;
  }
  SetIfNotEmpty(object, "session", aAnswer.sessionToken_);
  SetIfNotEmpty(object, "transaction", aAnswer.transaction_);
  SetIfNotEmpty(object, "detail", aAnswer.detail_);
  SetIfNotEmpty(object, "server", aAnswer.server_);
  return json::serialize(object);
}

Expected<CallerAnswer>
ParseCallerAnswer(std::string_view aBody)
{
  FieldReader reader(aBody);
  CallerAnswer answer;
  const auto outcome = ParseOutcome(reader.ReadText("outcome", kMaxNameBytes));
  if (!outcome) {
    reader.Fail("outcome", "done, not_run, failed or unknown");
  }
  answer.outcome_ = outcome.value_or(Outcome::Unknown);
  answer.reason_ = ParseReason(reader.ReadText("reason", kMaxNameBytes))
                     .value_or(Reason::None);
  answer.rows_ = reader.ReadTexts("rows");
  answer.sessionToken_ = reader.ReadText("session", kMaxTokenBytes);
  answer.transaction_ = reader.ReadText("transaction", kMaxHandleBytes);
  answer.detail_ = reader.ReadText("detail", kMaxStatementBytes);
  answer.server_ = reader.ReadText("server", kMaxNameBytes);
  answer.point_ = reader.ReadPoint("term", "position");
  return reader.Finish(std::move(answer));
}

std::string_view
PathOf(UpstreamOp aOp)
{
  return kPaths[static_cast<std::size_t>(aOp)];
}

std::optional<UpstreamOp>
ParseUpstreamPath(std::string_view aPath)
{
  for (std::size_t i = 0; i < kPaths.size(); i++) {
    if (kPaths[i] == aPath) {
      return static_cast<UpstreamOp>(i);
    }
  }
  return std::nullopt;
}

std::string
WriteUpstreamRequest(const UpstreamRequest& aRequest)
{
  json::object object;
  object["term"] = aRequest.term_;
  if (aRequest.op_ == UpstreamOp::Execute) {
    object["statement"] = aRequest.statement_;
    object["read"] = aRequest.read_;
    object["min_term"] = aRequest.minPoint_.term_;
    object["min_position"] = aRequest.minPoint_.position_;
    object["remaining_ms"] = CountMs(aRequest.remainingTime_);
    SetIfNotEmpty(
      object, "step", kStepTexts[static_cast<std::size_t>(aRequest.step_)]);
  }
  if (aRequest.op_ == UpstreamOp::Follow) {
    object["primary_host"] = aRequest.primaryHost_;
    object["primary_port"] = aRequest.primaryPort_;
  }
  return json::serialize(object);
}

Expected<UpstreamRequest>
ParseUpstreamRequest(UpstreamOp aOp, std::string_view aBody)
{
  FieldReader reader(aBody);
  UpstreamRequest request;
  request.op_ = aOp;
  request.term_ = reader.ReadCount("term");
  if (aOp == UpstreamOp::Execute) {
    request.statement_ = reader.ReadText("statement", kMaxStatementBytes);
    request.read_ = reader.ReadFlag("read");
    request.minPoint_ = reader.ReadPoint("min_term", "min_position");
    request.remainingTime_ = std::chrono::milliseconds(
      reader.ReadNumber("remaining_ms", 0, CountMs(kMaxDeadline), 0));
    request.step_ =
      static_cast<TransactionStep>(reader.ReadChoice("step", kStepTexts));
  }
  if (aOp == UpstreamOp::Follow) {
    request.primaryHost_ = reader.ReadText("primary_host", kMaxNameBytes);
    request.primaryPort_ = static_cast<std::uint16_t>(
      reader.ReadNumber("primary_port", 1, kMaxPort, 1));
  }
  return reader.Finish(std::move(request));
}

std::string
WriteUpstreamAnswer(const UpstreamAnswer& aAnswer)
{
  json::object object;
  object["result"] = kResultTexts[static_cast<std::size_t>(aAnswer.result_)];
  if (aAnswer.reason_ != Reason::None) {
    object["reason"] = ToText(aAnswer.reason_);
  }
  SetIfNotEmpty(object, "detail", aAnswer.detail_);
  if (!aAnswer.rows_.empty()) {
    object["rows"] = ToJsonArray(aAnswer.rows_);
  }
  object["term"] = aAnswer.point_.term_;
  object["position"] = aAnswer.point_.position_;
  object["promised"] = aAnswer.promisedTerm_;
  object["primary"] = aAnswer.claimsPrimary_;
  object["following"] = aAnswer.followsPrimary_;
  return json::serialize(object);
}

Expected<UpstreamAnswer>
ParseUpstreamAnswer(std::string_view aBody)
{
  FieldReader reader(aBody);
  UpstreamAnswer answer;
  answer.result_ =
    static_cast<UpstreamResult>(reader.ReadChoice("result", kResultTexts));
  const std::string reason = reader.ReadText("reason", kMaxNameBytes);
  answer.reason_ = ParseReason(reason).value_or(Reason::DatabaseError);
  if (reason.empty()) {
    answer.reason_ = Reason::None;
  }
  answer.detail_ = reader.ReadText("detail", kMaxStatementBytes);
  answer.rows_ = reader.ReadTexts("rows");
  answer.point_ = reader.ReadPoint("term", "position");
  answer.promisedTerm_ = reader.ReadCount("promised");
  answer.claimsPrimary_ = reader.ReadFlag("primary");
  answer.followsPrimary_ = reader.ReadFlag("following");
  return reader.Finish(std::move(answer));
}

std::string
WriteAnnouncement(const wire::Upstream& aUpstream)
{
  json::object object;
  object["server"] = aUpstream.server();
  object["database"] = aUpstream.database();
  object["zone"] = aUpstream.zone();
  object["host"] = aUpstream.host();
  object["port"] = aUpstream.port();
  object["slots"] = aUpstream.slots();
  object["connection_limit"] = aUpstream.connection_limit();
  object["group_size"] = aUpstream.group_size();
  object["leaving"] = aUpstream.leaving();
  return json::serialize(object);
}

Expected<wire::Upstream>
ParseAnnouncement(std::string_view aBody)
{
  FieldReader reader(aBody);
  wire::Upstream upstream;
  upstream.set_server(reader.ReadName("server"));
  upstream.set_database(reader.ReadName("database"));
  upstream.set_zone(reader.ReadName("zone"));
  upstream.set_host(reader.ReadName("host"));
  const auto number = [&reader](std::string_view aName, std::int64_t aMax) {
    return static_cast<std::uint32_t>(reader.ReadNumber(aName, 1, aMax, 1));
  };
  upstream.set_port(number("port", kMaxPort));
  upstream.set_slots(number("slots", kMaxCount));
  upstream.set_connection_limit(number("connection_limit", kMaxCount));
  upstream.set_group_size(number("group_size", kMaxCount));
  upstream.set_leaving(reader.ReadFlag("leaving"));
  return reader.Finish(std::move(upstream));
}

} // namespace jaydoor
