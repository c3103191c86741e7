// A node's part in the operators' configuration: taking it and reading it.

#include "control/ControlNode.h"

#include "base/Erase.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kProposeDocumentEvery = 500ms; // bodies can be large
constexpr Duration kDocumentLimit = 900ms; // callers move on after a second
constexpr Duration kAskIndexEvery = 150ms;

} // namespace

// The same configuration sent again waits together with the first.
void
ControlNode::Handle(DocumentWriteRequested& aEvent, Time aNow, ControlActions&)
{
  const std::string key =
    fmt::format("{}/{}", aEvent.document_.version(), aEvent.document_.body());
  PendingDocumentWrite& pending = pendingDocumentWrites_[key];
  if (pending.operatorCalls_.empty()) {
    pending.document_ = std::move(aEvent.document_);
    pending.nextProposalAt_ = aNow;
  }
  pending.answerUntil_ = aNow + kDocumentLimit;
  pending.operatorCalls_.push_back(aEvent.operatorCall_);
}

// A configuration is stored for good once it, or a later one, is applied here:
// what is applied is committed.
void
ControlNode::TickDocumentWrites(Time aNow, ControlActions& aOut)
{
  EraseWhere(pendingDocumentWrites_,
             [&](const std::string&, PendingDocumentWrite& aPending) {
               const std::uint64_t version = aPending.document_.version();
               const bool stored =
                 state_.CurrentDocument().version() >= version;
               if (stored || aNow >= aPending.answerUntil_) {
                 for (const std::uint64_t id : aPending.operatorCalls_) {
                   aOut.push_back(AnswerDocumentWrite{ id, stored });
                 }
                 return true;
               }
               if (aNow >= aPending.nextProposalAt_) {
                 aPending.nextProposalAt_ = aNow + kProposeDocumentEvery;
                 wire::Change change;
                 *change.mutable_document() = aPending.document_;
                 Propose(change, aNow, aOut);
               }
               return false;
             });
}

void
ControlNode::Handle(DocumentReadRequested& aEvent, Time aNow, ControlActions&)
{
  PendingDocumentRead& read = pendingDocumentReads_[nextIndexRequestId_++];
  read.operatorCall_ = aEvent.operatorCall_;
  read.answerUntil_ = aNow + kDocumentLimit;
}

// The leader proves the newest state by its lease; the others ask it which
// index is committed, after the read has come, and wait until they have it.
void
ControlNode::TickDocumentReads(Time aNow, ControlActions& aOut)
{
  EraseWhere(
    pendingDocumentReads_, [&](std::uint64_t aId, PendingDocumentRead& aRead) {
      const bool proven =
        CanDecideAsLeader(aNow) ||
        (aRead.committedIndex_ && state_.Index() >= *aRead.committedIndex_);
      const bool known = state_.CurrentDocument().version() > 0;
      if ((proven && known) || aNow >= aRead.answerUntil_) {
        aOut.push_back(AnswerDocumentRead{
          aRead.operatorCall_,
          proven && known ? state_.DocumentBody() : nullptr });
        return true;
      }
      if (!aRead.committedIndex_ && aNow >= aRead.nextIndexRequestAt_) {
        aRead.nextIndexRequestAt_ = aNow + kAskIndexEvery;
        wire::ControlMessage ask;
        ask.mutable_index_request()->set_request(aId);
        SendToLeader(ask, aOut);
      }
      return false;
    });
}

} // namespace jaydoor
