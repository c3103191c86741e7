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
ControlNode::Handle(TakeDocument& aEvent, Time aNow, ControlActions&)
{
  const std::string key =
    fmt::format("{}/{}", aEvent.document_.version(), aEvent.document_.body());
  PendingDocument& pending = documents_[key];
  if (pending.operators_.empty()) {
    pending.document_ = std::move(aEvent.document_);
    pending.sendAt_ = aNow;
  }
  pending.until_ = aNow + kDocumentLimit;
  pending.operators_.push_back(aEvent.operator_);
}

// A configuration is stored for good once it, or a later one, is applied here:
// what is applied is committed.
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
      aPending.sendAt_ = aNow + kProposeDocumentEvery;
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
  read.until_ = aNow + kDocumentLimit;
}

// The leader proves the newest state by its lease; the others ask it which
// index is committed, after the read has come, and wait until they have it.
void
ControlNode::TickReads(Time aNow, ControlActions& aOut)
{
  EraseWhere(reads_, [&](std::uint64_t aId, PendingRead& aRead) {
    const bool proven =
      MayDecide(aNow) || (aRead.index_ && state_.Index() >= *aRead.index_);
    const bool known = state_.CurrentDocument().version() > 0;
    if ((proven && known) || aNow >= aRead.until_) {
      aOut.push_back(AnswerDocumentRead{
        aRead.operator_, proven && known ? state_.DocumentBody() : nullptr });
      return true;
    }
    if (!aRead.index_ && aNow >= aRead.askAt_) {
      aRead.askAt_ = aNow + kAskIndexEvery;
      wire::ControlMessage ask;
      ask.mutable_index_request()->set_request(aId);
      SendToLeader(ask, aOut);
    }
    return false;
  });
}

} // namespace jaydoor
