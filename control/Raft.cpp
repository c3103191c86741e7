#include "control/Raft.h"

#include <algorithm>
#include <functional>

namespace jaydoor {
namespace {

constexpr std::uint64_t kMaxBatch = 64;    // entries in one message
constexpr Duration kSnapshotPause = 500ms; // before it is sent again

std::int64_t
ToUs(Time aTime)
{
  return aTime.time_since_epoch().count();
}

Time
FromUs(std::int64_t aUs)
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

// The latest set of voters in the log counts from its append on.
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
  return std::find(voters_.voters().begin(), voters_.voters().end(), aId) !=
         voters_.voters().end();
}

bool
Raft::IsQuorum(std::size_t aCount) const
{
  return aCount > static_cast<std::size_t>(voters_.voters_size()) / 2;
}

std::vector<VoterId>
Raft::ListPeers() const
{
  std::vector<VoterId> others(voters_.voters().begin(), voters_.voters().end());
  others.insert(
    others.end(), voters_.learners().begin(), voters_.learners().end());
  std::erase(others, self_);
  return others;
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
  // Those that founded the fleet stand in no entry.
  *aSnapshot.mutable_voters() = snapshot_.voters();
  for (const auto& entry : log_) {
    if (entry.index() <= aSnapshot.index() && entry.has_voters()) {
      *aSnapshot.mutable_voters() = entry.voters();
    }
  }
  const std::uint64_t drop = aSnapshot.index() - snapshot_.index();
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(drop));
  snapshot_ = std::move(aSnapshot);
  UpdateVoters();
  aOut.push_back(SaveSnapshot{ snapshot_, { log_.begin(), log_.end() } });
}

// ---- Time

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
    // It may have acknowledged a leader just before it was restarted; beyond
    // that leader's lease nothing speaks against an election.
    // Where all voters were restarted, no leader is left, and they need not
    // wait: they ask each other at once.
    stickyUntil_ = aNow + timing_.voteDelayAfterStart_;
    const auto spread =
      static_cast<std::uint64_t>(timing_.firstElectionWindow_.count());
    electionAt_ =
      aNow + Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
  }
  if (role_ == Role::Leader) {
    leaderHeardAt_ = aNow;
    const bool alone =
      aNow - leaderSince_ >= timing_.minElectionTimeout_ &&
      aNow - QuorumReachedAt(aNow) >= timing_.minElectionTimeout_;
    if (alone) {
      StepDown(hardState_.term(), aNow, aOut);
      return;
    }
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

// The latest time at which a quorum, with this voter, was still reached.
Time
Raft::QuorumReachedAt(Time aNow) const
{
  std::vector<Time> heard;
  for (const auto& id : voters_.voters()) {
    const auto found = peers_.find(id);
    if (id == self_) {
      heard.push_back(aNow);
    } else {
      heard.push_back(found == peers_.end() ? Time{}
                                            : found->second.answeredSentAt_);
    }
  }
  if (heard.empty()) {
    return Time{};
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  return heard[heard.size() / 2];
}

bool
Raft::HasLease(Time aNow) const
{
  return role_ == Role::Leader &&
         aNow - QuorumReachedAt(aNow) < timing_.leaderLeaseDuration_;
}

// ---- Elections

void
Raft::StartElection(bool aPre, Time aNow, RaftActions& aOut)
{
  role_ = Role::Candidate;
  preVote_ = aPre;
  leader_.clear();
  votes_ = { self_ };
  ResetElectionTimer(aNow);
  if (noLeaderSinceStart_ && aPre) {
    // The next try comes soon: others may have been started a little later.
    votersWithoutLeader_.clear();
    const auto spread =
      static_cast<std::uint64_t>(timing_.firstElectionWindow_.count());
    electionAt_ = aNow + timing_.firstElectionWindow_ +
                  Duration(static_cast<Duration::rep>(random_() % spread));
  }
  allWithoutLeader_ = !aPre && IsEveryVoterWithoutLeader();
  if (!aPre) {
    noLeaderSinceStart_ = false;
    hardState_.set_term(hardState_.term() + 1);
    hardState_.set_voted_for(self_);
    aOut.push_back(SaveHardState{ hardState_ });
  }
  if (IsQuorum(votes_.size())) {
    if (aPre) {
      StartElection(false, aNow, aOut);
    } else {
      BecomeLeader(aNow, aOut);
    }
    return;
  }
  for (const auto& id : voters_.voters()) {
    if (id == self_) {
      continue;
    }
    auto message = MakeMessage(id);
    auto& vote = *message.mutable_vote();
    vote.set_term(aPre ? hardState_.term() + 1 : hardState_.term());
    vote.set_last_index(LastIndex());
    vote.set_last_term(TermAt(LastIndex()));
    vote.set_pre(aPre);
    vote.set_all_fresh(allWithoutLeader_);
    aOut.push_back(SendToVoter{ id, std::move(message) });
  }
}

// True if this voter and all others have said that they know of no leader. One
// that had been elected meanwhile would have had a vote of theirs.
bool
Raft::IsEveryVoterWithoutLeader() const
{
  const auto others = voters_.voters_size() - 1;
  return noLeaderSinceStart_ &&
         static_cast<int>(votersWithoutLeader_.size()) == others;
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
  // While a leader is heard, nobody else gets a vote.
  const bool sticky = role_ == Role::Leader
                        ? HasLease(aNow)
                        : !electionTimerStarted_ ||
                            (aNow < stickyUntil_ &&
                             !(noLeaderSinceStart_ && aRequest.all_fresh()));
  const bool mayVote = IsVoter(self_) && IsVoter(aFrom) && !sticky;
  auto message = MakeMessage(aFrom);
  auto& reply = *message.mutable_vote_reply();
  reply.set_pre(aRequest.pre());
  // One with a shorter log would stand in vain, and make the others wait.
  reply.set_fresh(noLeaderSinceStart_ && electionTimerStarted_ &&
                  IsUpToDate(aRequest));
  if (aRequest.pre()) {
    reply.set_granted(mayVote && aRequest.term() > hardState_.term() &&
                      IsUpToDate(aRequest));
    reply.set_term(reply.granted() ? aRequest.term() : hardState_.term());
    aOut.push_back(SendToVoter{ aFrom, std::move(message) });
    return;
  }
  if (mayVote && aRequest.term() > hardState_.term()) {
    StepDown(aRequest.term(), aNow, aOut);
  }
  const bool free =
    hardState_.voted_for().empty() || hardState_.voted_for() == aFrom;
  const bool granted = mayVote && aRequest.term() == hardState_.term() &&
                       free && role_ == Role::Follower && IsUpToDate(aRequest);
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
  const bool asked = role_ == Role::Candidate && preVote_ && aReply.pre();
  if (asked && aReply.fresh() && IsVoter(aFrom)) {
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
  const std::uint64_t wanted =
    preVote_ ? hardState_.term() + 1 : hardState_.term();
  const bool ours = role_ == Role::Candidate && aReply.pre() == preVote_ &&
                    aReply.term() == wanted && IsVoter(aFrom);
  if (!ours) {
    return;
  }
  votes_.insert(aFrom);
  if (!IsQuorum(votes_.size())) {
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
  peers_.clear();
  for (const auto& id : ListPeers()) {
    peers_[id].nextIndex_ = LastIndex() + 1;
  }
  // An entry of the own term commits what earlier terms have left.
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

// ---- Replication, leader's side

std::optional<std::uint64_t>
Raft::Propose(wire::Change aChange, Time aNow, RaftActions& aOut)
{
  if (role_ != Role::Leader) {
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
  SendAppendToAll(aNow, aOut);
  return LastIndex();
}

void
Raft::SendAppendToAll(Time aNow, RaftActions& aOut)
{
  for (const auto& id : ListPeers()) {
    SendAppend(id, aNow, aOut);
  }
}

void
Raft::SendAppend(const VoterId& aTo, Time aNow, RaftActions& aOut)
{
  Peer& peer = peers_[aTo];
  peer.sentAt_ = aNow;
  auto message = MakeMessage(aTo);
  if (peer.nextIndex_ <= snapshot_.index()) {
    // It has to take the snapshot first.
    if (aNow - peer.snapshotSentAt_ < kSnapshotPause) {
      return;
    }
    peer.snapshotSentAt_ = aNow;
    auto& request = *message.mutable_snapshot();
    request.set_term(hardState_.term());
    *request.mutable_snapshot() = snapshot_;
    request.set_sent_us(ToUs(aNow));
    aOut.push_back(SendToVoter{ aTo, std::move(message) });
    return;
  }
  auto& request = *message.mutable_append();
  request.set_term(hardState_.term());
  request.set_prev_index(peer.nextIndex_ - 1);
  request.set_prev_term(TermAt(peer.nextIndex_ - 1));
  request.set_commit(commitIndex_);
  request.set_sent_us(ToUs(aNow));
  const std::uint64_t end =
    std::min(LastIndex() + 1, peer.nextIndex_ + kMaxBatch);
  for (std::uint64_t index = peer.nextIndex_; index < end; index++) {
    *request.add_entries() = EntryAt(index);
  }
  // Assumes that it arrives; a mismatch sets it back.
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
    std::max(peer.answeredSentAt_, FromUs(aReply.sent_us()));
  if (!aReply.matched()) {
    peer.nextIndex_ = std::min(LastIndex(), aReply.match_index()) + 1;
    SendAppend(aFrom, aNow, aOut);
    return;
  }
  peer.matchIndex_ = std::max(peer.matchIndex_, aReply.match_index());
  peer.nextIndex_ = std::max(peer.nextIndex_, peer.matchIndex_ + 1);
  CommitQuorumEntries(aOut);
  if (peer.nextIndex_ <= LastIndex()) {
    SendAppend(aFrom, aNow, aOut);
  }
}

// Commits what a quorum has on disk, if an entry of the own term is among it.
void
Raft::CommitQuorumEntries(RaftActions& aOut)
{
  std::vector<std::uint64_t> matches;
  for (const auto& id : voters_.voters()) {
    const auto found = peers_.find(id);
    if (id == self_) {
      matches.push_back(LastIndex());
    } else {
      matches.push_back(found == peers_.end() ? 0 : found->second.matchIndex_);
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const std::uint64_t index = matches[matches.size() / 2];
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

std::vector<VoterId>
Raft::ListReadyLearners() const
{
  std::vector<VoterId> ready;
  for (const auto& id : voters_.learners()) {
    const auto found = peers_.find(id);
    if (found != peers_.end() && found->second.matchIndex_ >= commitIndex_ &&
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
  return HasCommittedInOwnTerm() && commitIndex_ >= votersIndex_;
}

// ---- Replication, follower's side

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
      // Committed entries never differ, so that it can go on from there.
      reply.set_match_index(
        std::min(commitIndex_,
                 aRequest.prev_index() == 0 ? 0 : aRequest.prev_index() - 1));
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

// False if the log does not contain the entry before the new ones.
bool
Raft::StoreEntries(const wire::AppendRequest& aRequest, RaftActions& aOut)
{
  const std::uint64_t prev = aRequest.prev_index();
  if (prev > LastIndex()) {
    return false;
  }
  if (prev >= snapshot_.index() && TermAt(prev) != aRequest.prev_term()) {
    return false;
  }
  std::vector<wire::Change> fresh;
  for (const auto& entry : aRequest.entries()) {
    const bool known =
      entry.index() <= snapshot_.index() ||
      (entry.index() <= LastIndex() && TermAt(entry.index()) == entry.term());
    if (known && fresh.empty()) {
      continue;
    }
    if (fresh.empty()) {
      log_.resize(entry.index() - snapshot_.index() - 1);
    }
    log_.push_back(entry);
    fresh.push_back(entry);
  }
  if (!fresh.empty()) {
    UpdateVoters();
    aOut.push_back(SaveEntries{ std::move(fresh) });
  }
  return true;
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
    const bool newer = snapshot.index() > commitIndex_ || IsBlank();
    if (newer) {
      snapshot_ = snapshot;
      log_.clear();
      commitIndex_ = snapshot.index();
      UpdateVoters();
      aOut.push_back(SaveSnapshot{ snapshot_, {} });
      aOut.push_back(ApplySnapshot{ snapshot_ });
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
  // What is meant for the disk that this VM had before must not pass for a
  // word from a leader: this one would never ask to be admitted.
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
    case wire::ControlMessage::kSnapshot:
      HandleSnapshotRequest(from, aMessage.snapshot(), aNow, aOut);
      break;
    default:
      break;
  }
}

} // namespace jaydoor
