#include "standin/Server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace jaydoor::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kAnnounceEvery = 500ms;
constexpr Duration kPullPause = 50ms; // after a failed pull
constexpr Duration kPullTimeout = 500ms;
constexpr Duration kLongPoll = 100ms; // wait for new entries
constexpr Duration kLongPollStep = 1ms;
constexpr std::size_t kPullMax = 500; // entries in one answer

// As with a database's keepalive, dead peers do not hold connections for ever.
constexpr Duration kIdleLimit = 5s;

HttpLimits
MakeLimits()
{
  HttpLimits limits;
  limits.idleTimeout_ = kIdleLimit;
  return limits;
}

} // namespace

Server::Server(asio::io_context& aContext, ServerConfig aConfig)
  : context_(aContext)
  , config_(std::move(aConfig))
  , http_(aContext, MakeLimits(), [this](HttpRequest aCall) {
    return Handle(std::move(aCall));
  })
{
  http_.SetClosedCallback([this](std::uint64_t aConnection) {
    // What was not committed is rolled back with its connection.
    transactions_.erase(aConnection);
    accepted_--;
  });
  http_.SetAcceptCallback([this](std::uint64_t) -> asio::awaitable<bool> {
    accepted_++;
    if (accepted_ > config_.info_.connection_limit()) {
      co_return false;
    }
    co_await Sleep(config_.connectTime_);
    co_return true;
  });
}

Expected<std::uint16_t>
Server::Start()
{
  const auto opened = store_.Open(config_.dataFile_, config_.sync_);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  const auto port = http_.Listen(
    config_.bind_, static_cast<std::uint16_t>(config_.info_.port()));
  if (!port) {
    return port;
  }
  config_.info_.set_port(*port);
  for (const auto& [host, announcePort] : config_.announceTo_) {
    asio::co_spawn(context_, Announce(host, announcePort), asio::detached);
  }
  return port;
}

void
Server::Leave()
{
  config_.info_.set_leaving(true);
}

asio::awaitable<void>
Server::Sleep(Duration aTime)
{
  asio::steady_timer timer(context_, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void>
Server::Announce(std::string aHost, std::uint16_t aPort)
{
  HttpCoroutineClient caller(context_, aHost, aPort, config_.bind_);
  while (true) {
    co_await caller.Call("/v1/announce",
                         WriteAnnouncement(config_.info_),
                         kAnnounceEvery,
                         config_.announceSecret_);
    co_await Sleep(kAnnounceEvery);
  }
}

UpstreamAnswer
Server::MakeAnswer(UpstreamResult aResult, Reason aReason) const
{
  UpstreamAnswer answer;
  answer.result_ = aResult;
  answer.reason_ = aReason;
  answer.point_ = store_.Last();
  answer.promisedTerm_ = store_.Promised();
  answer.claimsPrimary_ = role_ == Role::Primary;
  answer.followsPrimary_ = following_;
  return answer;
}

asio::awaitable<HttpResponse>
Server::Handle(HttpRequest aCall)
{
  HttpResponse reply;
  if (aCall.path_ == "/v1/log") {
    co_return co_await SendLog(std::move(aCall.body_));
  }
  const auto op = ParseUpstreamPath(aCall.path_);
  if (!op) {
    reply.status_ = 404;
    co_return reply;
  }
  auto request = ParseUpstreamRequest(*op, aCall.body_);
  if (!request) {
    reply.status_ = 400;
    reply.body_ = request.error().message_;
    co_return reply;
  }
  UpstreamAnswer answer;
  switch (*op) {
    case UpstreamOp::Execute:
      answer = co_await Execute(std::move(*request), aCall.connection_);
      break;
    case UpstreamOp::Status:
      answer = Status();
      break;
    case UpstreamOp::Seal:
      answer = Seal(request->term_);
      break;
    case UpstreamOp::Promote:
      answer = Promote(request->term_);
      break;
    case UpstreamOp::Follow:
      answer = Follow(*request);
      break;
  }
  reply.body_ = WriteUpstreamAnswer(answer);
  co_return reply;
}

// ---- Statements

bool
Server::MayCommit(std::uint64_t aTerm) const
{
  return role_ == Role::Primary && store_.Promised() == aTerm;
}

asio::awaitable<UpstreamAnswer>
Server::Execute(UpstreamRequest aRequest, std::uint64_t aConnection)
{
  if (running_ >= config_.info_.slots()) {
    co_return MakeAnswer(UpstreamResult::Refused, Reason::Overloaded);
  }
  if (aRequest.remainingTime_ <= Duration::zero()) {
    co_return MakeAnswer(UpstreamResult::Refused, Reason::PastDeadline);
  }
  running_++;
  UpstreamAnswer answer = co_await Run(std::move(aRequest), aConnection);
  running_--;
  co_return answer;
}

asio::awaitable<UpstreamAnswer>
Server::Run(UpstreamRequest aRequest, std::uint64_t aConnection)
{
  co_await Sleep(config_.workTime_);
  if (aRequest.step_ != TransactionStep::None) {
    co_return RunInTransaction(aRequest, aConnection);
  }
  co_return RunAlone(aRequest);
}

UpstreamAnswer
Server::RunAlone(const UpstreamRequest& aRequest)
{
  if (aRequest.read_) {
    if (store_.Last() < aRequest.minPoint_) {
      return MakeAnswer(UpstreamResult::Refused, Reason::Behind);
    }
    auto rows = store_.Read(aRequest.statement_);
    if (!rows) {
      auto failed = MakeAnswer(UpstreamResult::Failed, Reason::DatabaseError);
      failed.detail_ = rows.error().message_;
      return failed;
    }
    auto answer = MakeAnswer(UpstreamResult::Done, Reason::None);
    answer.rows_ = std::move(*rows);
    return answer;
  }
  if (!MayCommit(aRequest.term_)) {
    return MakeAnswer(UpstreamResult::Refused,
                      role_ == Role::Primary ? Reason::WrongTerm
                                             : Reason::NotPrimary);
  }
  if (!Store::IsWrite(aRequest.statement_)) {
    auto failed = MakeAnswer(UpstreamResult::Failed, Reason::DatabaseError);
    failed.detail_ = "expected 'put KEY VALUE' or 'add KEY VALUE'";
    return failed;
  }
  store_.Commit(aRequest.term_, { aRequest.statement_ });
  return MakeAnswer(UpstreamResult::Done, Reason::None);
}

UpstreamAnswer
Server::RunInTransaction(const UpstreamRequest& aRequest,
                         std::uint64_t aConnection)
{
  if (!MayCommit(aRequest.term_)) {
    transactions_.erase(aConnection);
    return MakeAnswer(UpstreamResult::Refused, Reason::NotPrimary);
  }
  if (aRequest.step_ == TransactionStep::Begin) {
    transactions_[aConnection] = { aRequest.term_, {} };
  }
  const auto found = transactions_.find(aConnection);
  if (found == transactions_.end() || found->second.term_ != aRequest.term_) {
    return MakeAnswer(UpstreamResult::Refused, Reason::TransactionLost);
  }
  if (aRequest.step_ == TransactionStep::Rollback) {
    transactions_.erase(found);
    return MakeAnswer(UpstreamResult::Done, Reason::None);
  }
  if (aRequest.step_ == TransactionStep::Commit) {
    auto statements = std::move(found->second.statements_);
    transactions_.erase(found);
    if (!statements.empty()) {
      store_.Commit(aRequest.term_, std::move(statements));
    }
    return MakeAnswer(UpstreamResult::Done, Reason::None);
  }
  auto answer = MakeAnswer(UpstreamResult::Done, Reason::None);
  if (aRequest.statement_.empty()) {
    return answer;
  }
  if (Store::IsWrite(aRequest.statement_)) {
    found->second.statements_.push_back(aRequest.statement_);
    return answer;
  }
  auto rows = store_.Read(aRequest.statement_);
  if (!rows) {
    answer = MakeAnswer(UpstreamResult::Failed, Reason::DatabaseError);
    answer.detail_ = rows.error().message_;
  } else {
    answer.rows_ = std::move(*rows);
  }
  return answer;
}

// ---- Terms

UpstreamAnswer
Server::Status() const
{
  return MakeAnswer(UpstreamResult::Done, Reason::None);
}

UpstreamAnswer
Server::Seal(std::uint64_t aTerm)
{
  if (aTerm < store_.Promised()) {
    return MakeAnswer(UpstreamResult::Refused, Reason::WrongTerm);
  }
  if (aTerm > store_.Promised()) {
    store_.Promise(aTerm);
    role_ = Role::Replica;
    following_ = false;
    generation_++;
    transactions_.clear();
  }
  return MakeAnswer(UpstreamResult::Done, Reason::None);
}

UpstreamAnswer
Server::Promote(std::uint64_t aTerm)
{
  if (aTerm != store_.Promised()) {
    return MakeAnswer(UpstreamResult::Refused, Reason::WrongTerm);
  }
  if (role_ != Role::Primary) {
    role_ = Role::Primary;
    following_ = false;
    generation_++;
    // An entry of its own makes the term visible to those that follow.
    store_.Commit(aTerm, {});
  }
  return MakeAnswer(UpstreamResult::Done, Reason::None);
}

UpstreamAnswer
Server::Follow(const UpstreamRequest& aRequest)
{
  const bool late = aRequest.term_ < store_.Promised();
  const bool self =
    role_ == Role::Primary && aRequest.term_ == store_.Promised();
  if (late || self) {
    return MakeAnswer(UpstreamResult::Refused, Reason::WrongTerm);
  }
  const bool same = following_ && aRequest.term_ == store_.Promised() &&
                    primaryHost_ == aRequest.primaryHost_ &&
                    primaryPort_ == aRequest.primaryPort_;
  if (same) {
    return MakeAnswer(UpstreamResult::Done, Reason::None);
  }
  Seal(aRequest.term_);
  primaryHost_ = aRequest.primaryHost_;
  primaryPort_ = aRequest.primaryPort_;
  following_ = true;
  generation_++;
  asio::co_spawn(context_, Pull(generation_), asio::detached);
  return MakeAnswer(UpstreamResult::Done, Reason::None);
}

// ---- Replication: replicas pull

// Request: {"term":T,"last_term":..,"last_position":..}
// Answer:  {"entries":[{"term":..,"statements":[..]}..]} | {"drop":true}
asio::awaitable<HttpResponse>
Server::SendLog(std::string aBody)
{
  HttpResponse reply;
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    reply.status_ = 400;
    co_return reply;
  }
  const json::object& object = value.get_object();
  const auto term = object.at("term").to_number<std::uint64_t>();
  const LogPoint last{ object.at("last_term").to_number<std::uint64_t>(),
                       object.at("last_position").to_number<std::uint64_t>() };
  Duration waited{};
  while (MayCommit(term) && waited < kLongPoll &&
         store_.Last().position_ == last.position_) {
    co_await Sleep(kLongPollStep);
    waited += kLongPollStep;
  }
  if (!MayCommit(term)) {
    reply.status_ = 409;
    co_return reply;
  }
  json::object answer;
  const bool diverged = store_.TermAt(last.position_) != last.term_;
  if (diverged) {
    answer["drop"] = true;
  } else {
    json::array entries;
    for (const auto& entry : store_.After(last.position_, kPullMax)) {
      json::object item;
      item["term"] = entry.point_.term_;
      json::array statements;
      for (const auto& statement : entry.statements_) {
        statements.emplace_back(statement);
      }
      item["statements"] = std::move(statements);
      entries.emplace_back(std::move(item));
    }
    answer["entries"] = std::move(entries);
  }
  reply.body_ = json::serialize(answer);
  co_return reply;
}

asio::awaitable<void>
Server::Pull(std::uint64_t aGeneration)
{
  HttpCoroutineClient caller(
    context_, primaryHost_, primaryPort_, config_.bind_);
  while (generation_ == aGeneration) {
    const LogPoint last = store_.Last();
    json::object request;
    request["term"] = store_.Promised();
    request["last_term"] = last.term_;
    request["last_position"] = last.position_;
    const HttpCallResult answer =
      co_await caller.Call("/v1/log", json::serialize(request), kPullTimeout);
    const std::string body = answer.status_ == 200 ? answer.body_ : "";
    co_await Sleep(body.empty() ? kPullPause : config_.lag_);
    if (generation_ == aGeneration && !body.empty() && !TakeLog(body)) {
      co_await Sleep(kPullPause);
    }
  }
}

bool
Server::TakeLog(const std::string& aBody)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return false;
  }
  const json::object& object = value.get_object();
  if (object.contains("drop")) {
    store_.DropLast();
    return true;
  }
  const auto* entries = object.if_contains("entries");
  if (entries == nullptr) {
    return false;
  }
  for (const auto& item : entries->as_array()) {
    LogEntry entry;
    entry.point_ = { item.at("term").to_number<std::uint64_t>(),
                     store_.Last().position_ + 1 };
    for (const auto& statement : item.at("statements").as_array()) {
      entry.statements_.emplace_back(statement.as_string());
    }
    store_.Replicate(std::move(entry));
  }
  return true;
}

} // namespace jaydoor::standin
