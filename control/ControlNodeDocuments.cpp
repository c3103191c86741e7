// The part of ControlNode that stores and reads the operators' configuration.

#include "control/ControlNode.h"

#include "base/Erase.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kDocumentProposalInterval = 500ms; // bodies can be large
// Shorter than 1 s, after which the operator's side gives up.
constexpr Duration kDocumentAnswerTimeout = 900ms;
constexpr Duration kIndexRequestInterval = 150ms;

} // namespace

// If the same configuration is sent again before the first call is answered,
// both calls wait for the same proposal.
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
  pending.answerUntil_ = aNow + kDocumentAnswerTimeout;
  pending.operatorCalls_.push_back(aEvent.operatorCall_);
}

// Proposes pending configurations and answers the operators. A configuration is
// stored for good once it, or a later one, is applied here: only committed
// changes are applied.
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
                 aPending.nextProposalAt_ = aNow + kDocumentProposalInterval;
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
  read.answerUntil_ = aNow + kDocumentAnswerTimeout;
}

// Answers reads of the configuration once this VM has proof that it has the
// newest one. For the leader, its lease is the proof. The other VMs ask the
// leader for its commit index after the read has arrived, and wait until they
// have applied that index.
void
ControlNode::TickDocumentReads(Time aNow, ControlActions& aOut)
{
  EraseWhere(
    pendingDocumentReads_,
    [&](std::uint64_t aRequestId, PendingDocumentRead& aRead) {
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
        aRead.nextIndexRequestAt_ = aNow + kIndexRequestInterval;
        wire::ControlMessage request;
        request.mutable_index_request()->set_request(aRequestId);
        SendToLeader(request, aOut);
      }
      return false;
    });
}

} // namespace jaydoor
