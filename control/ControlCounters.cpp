#include "control/ControlCounters.h"

namespace jaydoor {

static_assert(wire::ControlMessage::kLeaderTransfer < kMessageKinds);

std::string_view
NameMessageKind(std::size_t aKind)
{
  switch (static_cast<wire::ControlMessage::BodyCase>(aKind)) {
    case wire::ControlMessage::kVote:
      return "vote";
    case wire::ControlMessage::kVoteReply:
      return "vote_reply";
    case wire::ControlMessage::kAppend:
      return "append";
    case wire::ControlMessage::kAppendReply:
      return "append_reply";
    case wire::ControlMessage::kSnapshot:
      return "snapshot";
    case wire::ControlMessage::kFounding:
      return "founding";
    case wire::ControlMessage::kProbe:
      return "probe";
    case wire::ControlMessage::kProbeReply:
      return "probe_reply";
    case wire::ControlMessage::kDelta:
      return "delta";
    case wire::ControlMessage::kDeltaRequest:
      return "delta_request";
    case wire::ControlMessage::kIndexRequest:
      return "index_request";
    case wire::ControlMessage::kIndexReply:
      return "index_reply";
    case wire::ControlMessage::kPropose:
      return "propose";
    case wire::ControlMessage::kSuspicion:
      return "suspicion";
    case wire::ControlMessage::kLeaseRequest:
      return "lease_request";
    case wire::ControlMessage::kLeaseGrant:
      return "lease_grant";
    case wire::ControlMessage::kLeaseRevoke:
      return "lease_revoke";
    case wire::ControlMessage::kLeaseRelease:
      return "lease_release";
    case wire::ControlMessage::kLeaderTransfer:
      return "leader_transfer";
    case wire::ControlMessage::BODY_NOT_SET:
      return "";
  }
  return "";
}

} // namespace jaydoor
