#include "tests/FakeServer.h"

#include <utility>

namespace jaydoor::tests {
namespace {

constexpr std::size_t kPullBatch = 100; // entries copied at once

} // namespace

FakeServer::FakeServer(wire::Upstream aInfo)
  : info_(std::move(aInfo))
{
}

UpstreamAnswer
FakeServer::Answer(UpstreamResult aResult, Reason aReason) const
{
  UpstreamAnswer answer;
  answer.result_ = aResult;
  answer.reason_ = aReason;
  answer.point_ = store_.Last();
  answer.promisedTerm_ = store_.Promised();
  answer.claimsPrimary_ = primary_;
  answer.followsPrimary_ = !primaryHost_.empty();
  return answer;
}

UpstreamAnswer
FakeServer::Handle(const UpstreamRequest& aRequest, std::uint64_t aConnection)
{
  const std::uint64_t term = aRequest.term_;
  switch (aRequest.op_) {
    case UpstreamOp::Execute:
      return Execute(aRequest, aConnection);
    case UpstreamOp::Status:
      break;
    case UpstreamOp::Promote:
      if (term != store_.Promised()) {
        return Answer(UpstreamResult::Refused, Reason::WrongTerm);
      }
      if (!primary_) {
        primary_ = true;
        primaryHost_.clear();
        store_.Commit(term, {});
      }
      break;
    case UpstreamOp::Seal:
    case UpstreamOp::Follow: {
      const bool self = aRequest.op_ == UpstreamOp::Follow && primary_ &&
                        term == store_.Promised();
      if (term < store_.Promised() || self) {
        return Answer(UpstreamResult::Refused, Reason::WrongTerm);
      }
      if (term > store_.Promised()) {
        store_.Promise(term);
        primary_ = false;
        primaryHost_.clear();
        transactions_.clear();
      }
      if (aRequest.op_ == UpstreamOp::Follow) {
        primaryHost_ = aRequest.primaryHost_;
      }
      break;
    }
  }
  return Answer(UpstreamResult::Done, Reason::None);
}

UpstreamAnswer
FakeServer::Execute(const UpstreamRequest& aRequest, std::uint64_t aConnection)
{
  if (aRequest.read_) {
    if (store_.Last() < aRequest.minPoint_) {
      return Answer(UpstreamResult::Refused, Reason::Behind);
    }
    auto answer = Answer(UpstreamResult::Done, Reason::None);
    answer.rows_ = store_.Read(aRequest.statement_).value();
    return answer;
  }
  if (!primary_ || store_.Promised() != aRequest.term_) {
    return Answer(UpstreamResult::Refused, Reason::NotPrimary);
  }
  auto& buffered = transactions_[aConnection];
  if (aRequest.step_ == TransactionStep::Begin) {
    buffered.clear();
  }
  if (aRequest.step_ != TransactionStep::None &&
      aRequest.step_ != TransactionStep::Commit) {
    if (!aRequest.statement_.empty()) {
      buffered.push_back(aRequest.statement_);
    }
    return Answer(UpstreamResult::Done, Reason::None);
  }
  if (aRequest.step_ == TransactionStep::Commit) {
    store_.Commit(aRequest.term_, std::exchange(buffered, {}));
  } else {
    store_.Commit(aRequest.term_, { aRequest.statement_ });
  }
  return Answer(UpstreamResult::Done, Reason::None);
}

void
FakeServer::CloseConnection(std::uint64_t aConnection)
{
  transactions_.erase(aConnection);
}

void
FakeServer::PullFrom(const FakeServer& aPrimary)
{
  const bool valid =
    aPrimary.primary_ && aPrimary.store_.Promised() == store_.Promised();
  if (!valid) {
    return;
  }
  while (aPrimary.store_.TermAt(store_.Last().position_) !=
         store_.Last().term_) {
    store_.DropLast();
  }
  for (auto& entry :
       aPrimary.store_.After(store_.Last().position_, kPullBatch)) {
    store_.Replicate(std::move(entry));
  }
}

void
FakeServer::Restart()
{
  up_ = true;
  life_++;
  frozen_ = false;
  held_.clear();
  primary_ = false;
  primaryHost_.clear();
  transactions_.clear();
  running_ = 0;
}

} // namespace jaydoor::tests
