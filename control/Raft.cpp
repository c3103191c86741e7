#include "control/Raft.h"

#include <algorithm>
#include <functional>

namespace jaydoor {
namespace {

constexpr std::uint64_t kMaxEntriesPerMessage = 64;
constexpr Duration kSnapshotResendInterval = 500ms;

using VoterIds = google::protobuf::RepeatedPtrField<std::string>;

bool
Contains(const VoterIds& aIds, const VoterId& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

bool
HasMajority(const VoterIds& aVoters, const std::set<VoterId>& aIds)
{
  const auto count =
    std::count_if(aVoters.begin(), aVoters.end(), [&](const auto& aVoter) {
      return aIds.contains(aVoter);
    });
  return count > aVoters.size() / 2;
}

// Returns the highest value that a majority of each set of voters has reached.
// The former set is empty unless the voters are being changed.
template<typename GetValue>
auto
FindQuorumValue(const wire::VoterSet& aVoters, const GetValue& aGetValue)
{
  const auto findMajorityValue = [&](const VoterIds& aIds) {
    std::vector<decltype(aGetValue(VoterId()))> values;
    for (const auto& id : aIds) {
      values.push_back(aGetValue(id));
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
  };
  const auto value = findMajorityValue(aVoters.voters());
  return aVoters.outgoing().empty()
           ? value
           : std::min(value, findMajorityValue(aVoters.outgoing()));
}

std::int64_t
ToMicroseconds(Time aTime)
{
  return aTime.time_since_epoch().count();
}

Time
FromMicroseconds(std::int64_t aUs)
{
  return Time(Duration(aUs));
}

} // namespace

Raft::Raft(VoterId aSelf,
           RaftTiming aTiming,
           std::uint64_t aSeed,
           RaftDisk aDisk)
  : self_(std::move(aSelf))
  , timing_(aTiming)
  , random_(aSeed)
  , hardState_(std::move(aDisk.hardState_))
  , snapshot_(std::move(aDisk.snapshot_))
  , log_(aDisk.entries_.begin(), aDisk.entries_.end())
  , commitIndex_(snapshot_.index())
{
  UpdateVoters();
}

// ---- The log

std::uint64_t
Raft::LastIndex() const
{
  return snapshot_.index() + log_.size();
}

std::uint64_t
Raft::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == snapshot_.index()) {
    return snapshot_.term();
  }
  return EntryAt(aIndex).term();
}

const wire::Change&
Raft::EntryAt(std::uint64_t aIndex) const
{
  return log_[aIndex - snapshot_.index() - 1];
}

// The latest set of voters in the log is in force from the time at which it is
// appended, before it is committed.
void
Raft::UpdateVoters()
{
  for (auto at = log_.rbegin(); at != log_.rend(); ++at) {
    if (at->has_voters()) {
      voters_ = at->voters();
      votersIndex_ = at->index();
      return;
    }
  }
  voters_ = snapshot_.voters();
  votersIndex_ = snapshot_.index();
}

bool
Raft::IsVoter(const VoterId& aId) const
{
  return Contains(voters_.voters(), aId) || Contains(voters_.outgoing(), aId);
}

bool
Raft::IsQuorum(const std::set<VoterId>& aIds) const
{
  return HasMajority(voters_.voters(), aIds) &&
         (voters_.outgoing().empty() || HasMajority(voters_.outgoing(), aIds));
}

// The voters, former ones that still vote included.
std::vector<VoterId>
Raft::ListVoters() const
{
  std::set<VoterId> ids(voters_.voters().begin(), voters_.voters().end());
  ids.insert(voters_.outgoing().begin(), voters_.outgoing().end());
  return { ids.begin(), ids.end() };
}

// The other voters, and the learners.
std::vector<VoterId>
Raft::ListPeers() const
{
  std::vector<VoterId> peers = ListVoters();
  for (const auto& id : voters_.learners()) {
    if (!IsVoter(id)) {
      peers.push_back(id);
    }
  }
  std::erase(peers, self_);
  return peers;
}

wire::ControlMessage
Raft::MakeMessage(const VoterId& aTo) const
{
  wire::ControlMessage message;
  message.set_from_voter(self_);
  message.set_to_voter(aTo);
  return message;
}

void
Raft::FoundControlState(const wire::VoterSet& aVoters, RaftActions& aOut)
{
  *snapshot_.mutable_voters() = aVoters;
  UpdateVoters();
  aOut.push_back(SaveSnapshot{ snapshot_, { log_.begin(), log_.end() } });
}

void
Raft::Compact(wire::ControlSnapshot aSnapshot, RaftActions& aOut)
{
  if (aSnapshot.index() <= snapshot_.index()) {
    return;
  }
  // No entry contains the voters that founded the control state: they stand in
  // the first snapshot alone.
  *aSnapshot.mutable_voters() = snapshot_.voters();
  for (const auto& entry : log_) {
    if (entry.index() <= aSnapshot.index() && entry.has_voters()) {
      *aSnapshot.mutable_voters() = entry.voters();
    }
  }
  const std::uint64_t dropCount = aSnapshot.index() - snapshot_.index();
  log_.erase(log_.begin(),
             log_.begin() + static_cast<std::ptrdiff_t>(dropCount));
  snapshot_ = std::move(aSnapshot);
  UpdateVoters();
  aOut.push_back(SaveSnapshot{ snapshot_, { log_.begin(), log_.end() } });
}

// ---- Timers and the leader lease

void
Raft::ResetElectionTimer(Time aNow)
{
  const auto spread = static_cast<std::uint64_t>(
    (timing_.maxElectionTimeout_ - timing_.minElectionTimeout_).count());
  electionAt_ = aNow + timing_.minElectionTimeout_ +
                Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
}

void
Raft::Tick(Time aNow, RaftActions& aOut)
{
  if (!electionTimerStarted_) {
    electionTimerStarted_ = true;
    // This voter may have acknowledged a leader just before it was restarted,
    // so it refuses votes until that leader's lease has expired. If all voters
    // were restarted, there is no leader and no need to wait. Therefore this
    // voter asks the others at once, within a short random time.
    stickyUntil_ = aNow + timing_.voteDelayAfterStart_;
    const auto spread =
      static_cast<std::uint64_t>(timing_.firstElectionWindow_.count());
    electionAt_ =
      aNow + Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
  }
  if (role_ == Role::Leader) {
    leaderHeardAt_ = aNow;
    const bool transferFailed =
      transferAt_ && aNow - *transferAt_ >= timing_.minElectionTimeout_;
    const bool hasLostQuorum =
      aNow - leaderSince_ >= timing_.minElectionTimeout_ &&
      aNow - QuorumReachedAt(aNow) >= timing_.minElectionTimeout_;
    if (hasLostQuorum || transferFailed) {
      StepDown(hardState_.term(), aNow, aOut);
      return;
    }
    CompleteVoterChange(aNow, aOut);
    for (const auto& id : ListPeers()) {
      if (aNow - peers_[id].sentAt_ >= timing_.heartbeatInterval_) {
        SendAppend(id, aNow, aOut);
      }
    }
    return;
  }
  if (aNow >= electionAt_ && IsVoter(self_)) {
    StartElection(true, aNow, aOut);
  }
}

// When a voter was last reached: it has answered a message that was sent then.
Time
Raft::ReachedAt(const VoterId& aId, Time aNow) const
{
  const auto found = peers_.find(aId);
  return aId == self_            ? aNow
         : found == peers_.end() ? Time{}
                                 : found->second.answeredSentAt_;
}

// The latest time at which a quorum, this voter included, was reached.
Time
Raft::QuorumReachedAt(Time aNow) const
{
  return IsBlank() ? Time{} : FindQuorumValue(voters_, [&](const auto& aId) {
    return ReachedAt(aId, aNow);
  });
}

bool
Raft::HasLease(Time aNow) const
{
  return role_ == Role::Leader && !transferAt_ &&
         aNow - QuorumReachedAt(aNow) < timing_.leaderLeaseDuration_;
}

// ---- Elections

void
Raft::StartElection(bool aPreVote, Time aNow, RaftActions& aOut)
{
  role_ = Role::Candidate;
  preVote_ = aPreVote;
  transferred_ = transferred_ && !aPreVote;
  leader_.clear();
  votes_ = { self_ };
  ResetElectionTimer(aNow);
  if (noLeaderSinceStart_ && aPreVote) {
    // Tries again soon, as other voters may have been started a little later.
    votersWithoutLeader_.clear();
    const auto spread =
      static_cast<std::uint64_t>(timing_.firstElectionWindow_.count());
    electionAt_ = aNow + timing_.firstElectionWindow_ +
                  Duration(static_cast<Duration::rep>(random_() % spread));
  }
  allWithoutLeader_ = !aPreVote && IsEveryVoterWithoutLeader();
  if (!aPreVote) {
    noLeaderSinceStart_ = false;
    hardState_.set_term(hardState_.term() + 1);
    hardState_.set_voted_for(self_);
    aOut.push_back(SaveHardState{ hardState_ });
  }
  if (IsQuorum(votes_)) {
    if (aPreVote) {
      StartElection(false, aNow, aOut);
    } else {
      BecomeLeader(aNow, aOut);
    }
    return;
  }
  for (const auto& id : ListVoters()) {
    if (id == self_) {
      continue;
    }
    auto message = MakeMessage(id);
    auto& vote = *message.mutable_vote();
    vote.set_term(aPreVote ? hardState_.term() + 1 : hardState_.term());
    vote.set_last_index(LastIndex());
    vote.set_last_term(TermAt(LastIndex()));
    vote.set_pre(aPreVote);
    vote.set_all_fresh(allWithoutLeader_);
    vote.set_transfer(transferred_);
    aOut.push_back(SendToVoter{ id, std::move(message) });
  }
}

// True if neither this voter nor any other has heard of a leader or voted for
// one since its start. Then there is none: a leader elected meanwhile would
// have had the vote of one of them.
bool
Raft::IsEveryVoterWithoutLeader() const
{
  const std::vector<VoterId> voters = ListVoters();
  return noLeaderSinceStart_ &&
         std::all_of(voters.begin(), voters.end(), [&](const auto& aId) {
           return aId == self_ || votersWithoutLeader_.contains(aId);
         });
}

bool
Raft::IsUpToDate(const wire::VoteRequest& aRequest) const
{
  const std::uint64_t lastTerm = TermAt(LastIndex());
  if (aRequest.last_term() != lastTerm) {
    return aRequest.last_term() > lastTerm;
  }
  return aRequest.last_index() >= LastIndex();
}

void
Raft::HandleVoteRequest(const VoterId& aFrom,
                        const wire::VoteRequest& aRequest,
                        Time aNow,
                        RaftActions& aOut)
{
  // Leader stickiness: as long as there may be a leader, no vote is granted. It
  // does not apply if all voters have said that they know of no leader, or if
  // the leader has given up its lease.
  const bool isFree =
    aRequest.transfer() || (noLeaderSinceStart_ && aRequest.all_fresh());
  const bool mustRefuse =
    role_ == Role::Leader
      ? HasLease(aNow)
      : !electionTimerStarted_ || (aNow < stickyUntil_ && !isFree);
  // The log of this voter may lack the change by which it or the candidate
  // became a voter. The candidate counts the votes of the voters that it knows.
  const bool canVote = !mustRefuse;
  auto message = MakeMessage(aFrom);
  auto& reply = *message.mutable_vote_reply();
  reply.set_pre(aRequest.pre());
  // True: this voter knows of no leader. If all others reply so, the candidate
  // need not wait for the lease of an earlier leader. A candidate with a
  // shorter log is not told so: its election would fail, and the others would
  // have to wait.
  reply.set_fresh(noLeaderSinceStart_ && electionTimerStarted_ &&
                  IsUpToDate(aRequest));
  if (aRequest.pre()) {
    reply.set_granted(canVote && aRequest.term() > hardState_.term() &&
                      IsUpToDate(aRequest));
    reply.set_term(reply.granted() ? aRequest.term() : hardState_.term());
    aOut.push_back(SendToVoter{ aFrom, std::move(message) });
    return;
  }
  if (canVote && aRequest.term() > hardState_.term()) {
    StepDown(aRequest.term(), aNow, aOut);
  }
  const bool isVoteFree =
    hardState_.voted_for().empty() || hardState_.voted_for() == aFrom;
  const bool granted = canVote && aRequest.term() == hardState_.term() &&
                       isVoteFree && role_ == Role::Follower &&
                       IsUpToDate(aRequest);
  if (granted) {
    noLeaderSinceStart_ = false;
    hardState_.set_voted_for(aFrom);
    aOut.push_back(SaveHardState{ hardState_ });
    ResetElectionTimer(aNow);
  }
  reply.set_granted(granted);
  reply.set_term(hardState_.term());
  aOut.push_back(SendToVoter{ aFrom, std::move(message) });
}

void
Raft::HandleVoteReply(const VoterId& aFrom,
                      const wire::VoteReply& aReply,
                      Time aNow,
                      RaftActions& aOut)
{
  const bool isPreVoteReply =
    role_ == Role::Candidate && preVote_ && aReply.pre();
  if (isPreVoteReply && aReply.fresh() && IsVoter(aFrom)) {
    votersWithoutLeader_.insert(aFrom);
    if (IsEveryVoterWithoutLeader()) {
      StartElection(false, aNow, aOut);
      return;
    }
  }
  if (!aReply.granted()) {
    if (aReply.term() > hardState_.term()) {
      StepDown(aReply.term(), aNow, aOut);
    }
    return;
  }
  const std::uint64_t expectedTerm =
    preVote_ ? hardState_.term() + 1 : hardState_.term();
  const bool isForThisRound = role_ == Role::Candidate &&
                              aReply.pre() == preVote_ &&
                              aReply.term() == expectedTerm && IsVoter(aFrom);
  if (!isForThisRound) {
    return;
  }
  votes_.insert(aFrom);
  if (!IsQuorum(votes_)) {
    return;
  }
  if (preVote_) {
    StartElection(false, aNow, aOut);
  } else {
    BecomeLeader(aNow, aOut);
  }
}

void
Raft::BecomeLeader(Time aNow, RaftActions& aOut)
{
  role_ = Role::Leader;
  leader_ = self_;
  leaderSince_ = aNow;
  transferAt_.reset();
  peers_.clear();
  for (const auto& id : ListPeers()) {
    peers_[id].nextIndex_ = LastIndex() + 1;
  }
  // Entries of earlier terms are committed together with the first entry of the
  // leader's own term.
  wire::Change noop;
  noop.set_noop(true);
  Propose(std::move(noop), aNow, aOut);
}

void
Raft::StepDown(std::uint64_t aTerm, Time aNow, RaftActions& aOut)
{
  if (aTerm > hardState_.term()) {
    hardState_.set_term(aTerm);
    hardState_.clear_voted_for();
    aOut.push_back(SaveHardState{ hardState_ });
  }
  if (role_ == Role::Leader) {
    leader_.clear();
  }
  role_ = Role::Follower;
  ResetElectionTimer(aNow);
}

// ---- Replication on the leader

std::optional<std::uint64_t>
Raft::Propose(wire::Change aChange, Time aNow, RaftActions& aOut)
{
  if (role_ != Role::Leader || transferAt_) {
    return std::nullopt;
  }
  aChange.set_index(LastIndex() + 1);
  aChange.set_term(hardState_.term());
  log_.push_back(aChange);
  aOut.push_back(SaveEntries{ { std::move(aChange) } });
  if (log_.back().has_voters()) {
    UpdateVoters();
  }
  CommitQuorumEntries(aOut);
  // While a peer has not answered earlier entries, new ones wait for its answer
  // or the next heartbeat, and are sent together.
  for (const auto& id : ListPeers()) {
    if (!IsAnswerAwaited(peers_[id], aNow)) {
      SendAppend(id, aNow, aOut);
    }
  }
  return LastIndex();
}

// True if entries were sent to the peer within the heartbeat interval that it
// has not acknowledged yet.
bool
Raft::IsAnswerAwaited(const Peer& aPeer, Time aNow) const
{
  return aPeer.nextIndex_ > aPeer.matchIndex_ + 1 &&
         aNow - aPeer.entriesSentAt_ < timing_.heartbeatInterval_;
}

void
Raft::SendAppend(const VoterId& aTo, Time aNow, RaftActions& aOut)
{
  Peer& peer = peers_[aTo];
  peer.sentAt_ = aNow;
  auto message = MakeMessage(aTo);
  if (peer.nextIndex_ <= snapshot_.index()) {
    // The entries that the peer lacks are no longer in the log, so that it
    // needs the snapshot first.
    if (aNow - peer.snapshotSentAt_ < kSnapshotResendInterval) {
      return;
    }
    peer.snapshotSentAt_ = aNow;
    auto& request = *message.mutable_snapshot();
    request.set_term(hardState_.term());
    *request.mutable_snapshot() = snapshot_;
    request.set_sent_us(ToMicroseconds(aNow));
    aOut.push_back(SendToVoter{ aTo, std::move(message) });
    return;
  }
  auto& request = *message.mutable_append();
  request.set_term(hardState_.term());
  request.set_prev_index(peer.nextIndex_ - 1);
  request.set_prev_term(TermAt(peer.nextIndex_ - 1));
  request.set_commit(commitIndex_);
  request.set_sent_us(ToMicroseconds(aNow));
  const std::uint64_t end =
    std::min(LastIndex() + 1, peer.nextIndex_ + kMaxEntriesPerMessage);
  for (std::uint64_t index = peer.nextIndex_; index < end; index++) {
    *request.add_entries() = EntryAt(index);
  }
  peer.commitSent_ = commitIndex_;
  if (end > peer.nextIndex_) {
    peer.entriesSentAt_ = aNow;
  }
  // Assumes that the entries arrive; a reply that reports a mismatch sets the
  // index back.
  peer.nextIndex_ = end;
  aOut.push_back(SendToVoter{ aTo, std::move(message) });
}

void
Raft::HandleAppendReply(const VoterId& aFrom,
                        const wire::AppendReply& aReply,
                        Time aNow,
                        RaftActions& aOut)
{
  if (aReply.term() > hardState_.term()) {
    StepDown(aReply.term(), aNow, aOut);
    return;
  }
  if (role_ != Role::Leader || aReply.term() != hardState_.term()) {
    return;
  }
  Peer& peer = peers_[aFrom];
  peer.answeredSentAt_ =
    std::max(peer.answeredSentAt_, FromMicroseconds(aReply.sent_us()));
  if (!aReply.matched()) {
    peer.nextIndex_ = std::min(LastIndex(), aReply.match_index()) + 1;
    SendAppend(aFrom, aNow, aOut);
    return;
  }
  peer.matchIndex_ = std::max(peer.matchIndex_, aReply.match_index());
  peer.nextIndex_ = std::max(peer.nextIndex_, peer.matchIndex_ + 1);
  const std::uint64_t committedBefore = commitIndex_;
  CommitQuorumEntries(aOut);
  CompleteVoterChange(aNow, aOut);
  if (role_ != Role::Leader) {
    return;
  }
  if (commitIndex_ > committedBefore) {
    // The followers pass on what is committed. A peer from which an answer is
    // awaited is told after it.
    for (const auto& id : ListPeers()) {
      if (id == aFrom || !IsAnswerAwaited(peers_[id], aNow)) {
        SendAppend(id, aNow, aOut);
      }
    }
  } else if (peer.nextIndex_ <= LastIndex() ||
             (peer.commitSent_ < commitIndex_ &&
              !IsAnswerAwaited(peer, aNow))) {
    SendAppend(aFrom, aNow, aOut);
  }
}

// The highest index that is known to be on the voter's disk.
std::uint64_t
Raft::MatchIndexOf(const VoterId& aId) const
{
  const auto found = peers_.find(aId);
  return aId == self_            ? LastIndex()
         : found == peers_.end() ? 0
                                 : found->second.matchIndex_;
}

// Commits the entries that a quorum has on disk, if the last one of them is of
// the leader's own term.
void
Raft::CommitQuorumEntries(RaftActions& aOut)
{
  if (IsBlank()) {
    return;
  }
  const std::uint64_t index = FindQuorumValue(
    voters_, [&](const auto& aId) { return MatchIndexOf(aId); });
  if (index > commitIndex_ && TermAt(index) == hardState_.term()) {
    AdvanceCommit(index, aOut);
  }
}

void
Raft::AdvanceCommit(std::uint64_t aIndex, RaftActions& aOut)
{
  while (commitIndex_ < std::min(aIndex, LastIndex())) {
    commitIndex_++;
    aOut.push_back(ApplyChange{ EntryAt(commitIndex_) });
  }
}

std::size_t
Raft::LogBytes() const
{
  std::size_t bytes = 0;
  for (const auto& entry : log_) {
    bytes += entry.ByteSizeLong();
  }
  return bytes;
}

bool
Raft::IsReachable(const VoterId& aId, Time aNow) const
{
  return aNow - ReachedAt(aId, aNow) < timing_.minElectionTimeout_;
}

bool
Raft::ReachesQuorumOf(const wire::VoterSet& aVoters, Time aNow) const
{
  std::set<VoterId> reachable;
  for (const auto& id : aVoters.voters()) {
    if (IsReachable(id, aNow)) {
      reachable.insert(id);
    }
  }
  return HasMajority(aVoters.voters(), reachable);
}

std::vector<VoterId>
Raft::ListReadyLearners(Time aNow) const
{
  std::vector<VoterId> ready;
  for (const auto& id : voters_.learners()) {
    if (IsReachable(id, aNow) && MatchIndexOf(id) >= commitIndex_ &&
        commitIndex_ > 0) {
      ready.push_back(id);
    }
  }
  return ready;
}

bool
Raft::HasCommittedInOwnTerm() const
{
  return role_ == Role::Leader && commitIndex_ > 0 &&
         TermAt(commitIndex_) == hardState_.term();
}

bool
Raft::CanChangeVoters() const
{
  return HasCommittedInOwnTerm() && commitIndex_ >= votersIndex_ &&
         voters_.outgoing().empty();
}

// ---- Changes of the voters

void
Raft::ProposeVoters(wire::VoterSet aNext, Time aNow, RaftActions& aOut)
{
  const std::set<VoterId> next(aNext.voters().begin(), aNext.voters().end());
  const std::vector<VoterId> present = ListVoters();
  const bool isSame = next == std::set<VoterId>(present.begin(), present.end());
  if (!isSame) {
    *aNext.mutable_outgoing() = voters_.voters();
  }
  wire::Change change;
  *change.mutable_voters() = std::move(aNext);
  Propose(std::move(change), aNow, aOut);
}

// Ends the vote of the former voters once the former and the new ones have
// committed the change. A leader that is none of the new ones steps down when
// that is committed too.
void
Raft::CompleteVoterChange(Time aNow, RaftActions& aOut)
{
  if (!HasCommittedInOwnTerm() || commitIndex_ < votersIndex_) {
    return;
  }
  if (!voters_.outgoing().empty()) {
    wire::Change change;
    *change.mutable_voters() = voters_;
    change.mutable_voters()->clear_outgoing();
    Propose(std::move(change), aNow, aOut);
  } else if (!IsVoter(self_)) {
    StepDown(hardState_.term(), aNow, aOut);
  }
}

// ---- Transfer of the leadership

void
Raft::TransferLeadership(std::span<const VoterId> aTo,
                         Time aNow,
                         RaftActions& aOut)
{
  if (role_ != Role::Leader || transferAt_) {
    return;
  }
  const auto successor =
    std::find_if(aTo.begin(), aTo.end(), [&](const auto& aId) {
      return aId != self_ && IsVoter(aId) && IsReachable(aId, aNow) &&
             MatchIndexOf(aId) == LastIndex();
    });
  if (successor == aTo.end()) {
    return;
  }
  transferAt_ = aNow;
  auto message = MakeMessage(*successor);
  message.mutable_leader_transfer()->set_term(hardState_.term());
  aOut.push_back(SendToVoter{ *successor, std::move(message) });
}

void
Raft::HandleLeaderTransfer(const VoterId& aFrom,
                           const wire::LeaderTransfer& aTransfer,
                           Time aNow,
                           RaftActions& aOut)
{
  const bool isFromLeader = role_ == Role::Follower && leader_ == aFrom &&
                            aTransfer.term() == hardState_.term();
  if (isFromLeader && IsVoter(self_)) {
    transferred_ = true;
    StartElection(false, aNow, aOut);
  }
}

// ---- Replication on the followers

bool
Raft::AcceptLeader(const VoterId& aFrom,
                   std::uint64_t aTerm,
                   Time aNow,
                   RaftActions& aOut)
{
  if (aTerm < hardState_.term()) {
    return false;
  }
  if (aTerm > hardState_.term() || role_ != Role::Follower) {
    StepDown(aTerm, aNow, aOut);
  }
  noLeaderSinceStart_ = false;
  leader_ = aFrom;
  leaderHeardAt_ = aNow;
  stickyUntil_ = aNow + timing_.minElectionTimeout_;
  ResetElectionTimer(aNow);
  return true;
}

void
Raft::HandleAppendRequest(const VoterId& aFrom,
                          const wire::AppendRequest& aRequest,
                          Time aNow,
                          RaftActions& aOut)
{
  wire::AppendReply reply;
  if (AcceptLeader(aFrom, aRequest.term(), aNow, aOut)) {
    const bool matched = StoreEntries(aRequest, aOut);
    reply.set_matched(matched);
    if (matched) {
      const std::uint64_t last =
        aRequest.prev_index() +
        static_cast<std::uint64_t>(aRequest.entries_size());
      reply.set_match_index(last);
      AdvanceCommit(std::min(aRequest.commit(), last), aOut);
    } else {
      reply.set_match_index(FindLastPossibleMatch(aRequest.prev_index()));
    }
  }
  SendAppendReply(aFrom, reply, aRequest.sent_us(), aOut);
}

void
Raft::SendAppendReply(const VoterId& aTo,
                      wire::AppendReply aReply,
                      std::int64_t aSentUs,
                      RaftActions& aOut) const
{
  aReply.set_term(hardState_.term());
  aReply.set_sent_us(aSentUs);
  auto message = MakeMessage(aTo);
  *message.mutable_append_reply() = std::move(aReply);
  aOut.push_back(SendToVoter{ aTo, std::move(message) });
}

// Returns the last index up to which the log may agree with that of a leader
// whose entry at `aPrevIndex` is missing here or differs. Committed entries
// never differ. After a restart this voter does not know which of its entries
// are committed, so that it also reports those that it only has.
std::uint64_t
Raft::FindLastPossibleMatch(std::uint64_t aPrevIndex) const
{
  if (aPrevIndex > LastIndex()) {
    return LastIndex();
  }
  std::uint64_t index = aPrevIndex;
  while (index > commitIndex_ && TermAt(index) == TermAt(aPrevIndex)) {
    index--;
  }
  return index;
}

// False if the log does not contain the entry before the new ones.
bool
Raft::StoreEntries(const wire::AppendRequest& aRequest, RaftActions& aOut)
{
  const std::uint64_t prevIndex = aRequest.prev_index();
  if (prevIndex > LastIndex()) {
    return false;
  }
  if (prevIndex >= snapshot_.index() &&
      TermAt(prevIndex) != aRequest.prev_term()) {
    return false;
  }
  std::vector<wire::Change> newEntries;
  for (const auto& entry : aRequest.entries()) {
    const bool known =
      entry.index() <= snapshot_.index() ||
      (entry.index() <= LastIndex() && TermAt(entry.index()) == entry.term());
    if (known && newEntries.empty()) {
      continue;
    }
    if (newEntries.empty()) {
      log_.resize(entry.index() - snapshot_.index() - 1);
    }
    log_.push_back(entry);
    newEntries.push_back(entry);
  }
  if (!newEntries.empty()) {
    UpdateVoters();
    aOut.push_back(SaveEntries{ std::move(newEntries) });
  }
  return true;
}

// Replaces the entries that the snapshot contains. Entries after it stay if the
// log agrees with the snapshot: this voter may have acknowledged them, and they
// may be committed by its acknowledgement.
void
Raft::InstallSnapshot(const wire::ControlSnapshot& aSnapshot, RaftActions& aOut)
{
  const std::uint64_t laterEntries =
    LastIndex() - std::min(LastIndex(), aSnapshot.index());
  const bool agrees = aSnapshot.index() <= LastIndex() &&
                      TermAt(aSnapshot.index()) == aSnapshot.term();
  const std::uint64_t keptEntries = agrees ? laterEntries : 0;
  log_.erase(log_.begin(),
             log_.end() - static_cast<std::ptrdiff_t>(keptEntries));
  snapshot_ = aSnapshot;
  commitIndex_ = aSnapshot.index();
  UpdateVoters();
  aOut.push_back(SaveSnapshot{ snapshot_, { log_.begin(), log_.end() } });
  aOut.push_back(ApplySnapshot{ snapshot_, laterEntries - keptEntries });
}

void
Raft::HandleSnapshotRequest(const VoterId& aFrom,
                            const wire::SnapshotRequest& aRequest,
                            Time aNow,
                            RaftActions& aOut)
{
  wire::AppendReply reply;
  if (AcceptLeader(aFrom, aRequest.term(), aNow, aOut)) {
    const auto& snapshot = aRequest.snapshot();
    if (snapshot.index() > commitIndex_) {
      InstallSnapshot(snapshot, aOut);
    } else if (IsBlank()) {
      // No entry of its log names voters, so that these are still in force.
      FoundControlState(snapshot.voters(), aOut);
    }
    reply.set_matched(true);
    reply.set_match_index(std::min(commitIndex_, snapshot.index()));
  }
  SendAppendReply(aFrom, reply, aRequest.sent_us(), aOut);
}

void
Raft::HandleMessage(const wire::ControlMessage& aMessage,
                    Time aNow,
                    RaftActions& aOut)
{
  const VoterId& from = aMessage.from_voter();
  // A message for the disk that this VM had before it lost it must not count as
  // contact with a leader. Otherwise the present disk's voter would never ask
  // to be admitted.
  if (from.empty() || from == self_ || aMessage.to_voter() != self_) {
    return;
  }
  switch (aMessage.body_case()) {
    case wire::ControlMessage::kVote:
      HandleVoteRequest(from, aMessage.vote(), aNow, aOut);
      break;
    case wire::ControlMessage::kVoteReply:
      HandleVoteReply(from, aMessage.vote_reply(), aNow, aOut);
      break;
    case wire::ControlMessage::kAppend:
      HandleAppendRequest(from, aMessage.append(), aNow, aOut);
      break;
    case wire::ControlMessage::kAppendReply:
      HandleAppendReply(from, aMessage.append_reply(), aNow, aOut);
      break;
    case wire::ControlMessage::kLeaderTransfer:
      HandleLeaderTransfer(from, aMessage.leader_transfer(), aNow, aOut);
      break;
    case wire::ControlMessage::kSnapshot:
      HandleSnapshotRequest(from, aMessage.snapshot(), aNow, aOut);
      break;
    default:
      break;
  }
}

} // namespace jaydoor
