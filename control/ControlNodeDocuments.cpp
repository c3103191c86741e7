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
ControlNode::Handle(TakeDocument& aEvent, Time aNow, ControlActions&)
{
  const std::string key =
    fmt::format("{}/{}", aEvent.document_.version(), aEvent.document_.body());
  PendingDocument& pending = documents_[key];
  if (pending.operators_.empty()) {
    pending.document_ = std::move(aEvent.document_);
    pending.sendAt_ = aNow;
  }
  pending.until_ = aNow + kDocumentAnswerTimeout;
  pending.operators_.push_back(aEvent.operator_);
}

// Proposes pending configurations and answers the operators. A configuration is
// stored for good once it, or a later one, is applied here: only committed
// changes are applied.
void
ControlNode::TickDocuments(Time aNow, ControlActions& aOut)
{
  EraseWhere(documents_, [&](const std::string&, PendingDocument& aPending) {
    const std::uint64_t version = aPending.document_.version();
    const bool stored = state_.CurrentDocument().version() >= version;
    if (stored || aNow >= aPending.until_) {
      for (const std::uint64_t id : aPending.operators_) {
        aOut.push_back(AnswerDocument{ id, stored });
      }
      return true;
    }
    if (aNow >= aPending.sendAt_) {
      aPending.sendAt_ = aNow + kDocumentProposalInterval;
      wire::Change change;
      *change.mutable_document() = aPending.document_;
      Propose(change, aNow, aOut);
    }
    return false;
  });
}

void
ControlNode::Handle(TakeDocumentRead& aEvent, Time aNow, ControlActions&)
{
  PendingRead& read = reads_[nextRead_++];
  read.operator_ = aEvent.operator_;
  read.until_ = aNow + kDocumentAnswerTimeout;
}

// Answers reads of the configuration once this VM has proof that it has the
// newest one. For the leader, its lease is the proof. The other VMs ask the
// leader for its commit index after the read has arrived, and wait until they
// have applied that index.
void
ControlNode::TickReads(Time aNow, ControlActions& aOut)
{
  EraseWhere(reads_, [&](std::uint64_t aRequestId, PendingRead& aRead) {
    const bool proven =
      MayDecide(aNow) || (aRead.index_ && state_.Index() >= *aRead.index_);
    const bool known = state_.CurrentDocument().version() > 0;
    if ((proven && known) || aNow >= aRead.until_) {
      aOut.push_back(AnswerDocumentRead{
        aRead.operator_, proven && known ? state_.DocumentBody() : nullptr });
      return true;
    }
    if (!aRead.index_ && aNow >= aRead.askAt_) {
      aRead.askAt_ = aNow + kIndexRequestInterval;
      wire::ControlMessage ask;
      ask.mutable_index_request()->set_request(aRequestId);
      SendToLeader(ask, aOut);
    }
    return false;
  });
}

} // namespace jaydoor
