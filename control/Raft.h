#pragma once

// Consensus among the voters: the Raft algorithm without I/O.
//
//   Raft raft(self, timing, seed, disk);
//   raft.HandleMessage(message, now, actions);
//   raft.Tick(now, actions);
//   raft.Propose(change, now, actions);
//
// Sections:
//   1. Actions and persistent state
//   2. The algorithm
//
// The shell performs the actions in order, and syncs what is to be saved before
// it sends a later message. Because of pre-votes and leader stickiness, an
// isolated voter does not disturb the others when it returns. Because of the
// leader lease, an isolated leader makes no decisions.
//
// A voter id is "vm/disk". A VM that has lost its disk returns under another id
// and as a learner, so that it never votes twice in a term.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace jaydoor {

using VoterId = std::string;

// ---- 1. Actions and persistent state

struct SaveHardState
{
  wire::HardState state_;
};

// Appends entries to the log on disk. They replace all entries that are there
// from the first one's index on.
struct SaveEntries
{
  std::vector<wire::Change> entries_;
};

// Replaces the snapshot on disk, and all entries there by those that follow it.
struct SaveSnapshot
{
  wire::ControlSnapshot snapshot_;
  std::vector<wire::Change> entries_; // after the snapshot
};

struct SendToVoter
{
  VoterId to_;
  wire::ControlMessage message_;
};

// Applies a committed change to the control state. The changes come in the
// order of their indexes.
struct ApplyChange
{
  wire::Change change_;
};

// Replaces the control state by a snapshot.
struct ApplySnapshot
{
  wire::ControlSnapshot snapshot_;
  // Entries after the snapshot that this voter had and that were removed.
  std::uint64_t droppedEntries_ = 0;
};

using RaftAction = std::variant<SaveHardState,
                                SaveEntries,
                                SaveSnapshot,
                                SendToVoter,
                                ApplyChange,
                                ApplySnapshot>;
using RaftActions = std::vector<RaftAction>;

// What was read from disk at the start. All fields are empty on a blank disk.
struct RaftDisk
{
  wire::HardState hardState_;
  wire::ControlSnapshot snapshot_;
  std::vector<wire::Change> entries_; // after the snapshot
};

struct RaftTiming
{
  Duration heartbeatInterval_ = 50ms;
  // A voter that has not heard from a leader for a random time between these
  // limits starts an election.
  Duration minElectionTimeout_ = 250ms;
  Duration maxElectionTimeout_ = 450ms;
  // Shorter than the minimum election timeout, for clocks that run at different
  // rates.
  Duration leaderLeaseDuration_ = 180ms;
  // Time after its start in which a voter grants no vote, unless all voters
  // have just been started. It is longer than the lease of a leader that the
  // voter may have acknowledged before the start.
  Duration voteDelayAfterStart_ = 200ms;
  // After a start, a voter first asks for votes at a random time within this
  // window.
  Duration firstElectionWindow_ = 60ms;
};

// ---- 2. The algorithm

class Raft
{
public:
  Raft(VoterId aSelf, RaftTiming aTiming, std::uint64_t aSeed, RaftDisk aDisk);

  // Ignores messages that are not for this voter's present disk.
  void HandleMessage(const wire::ControlMessage& aMessage,
                     Time aNow,
                     RaftActions& aOut);
  // Sends the heartbeats or starts the election that is due.
  void Tick(Time aNow, RaftActions& aOut);
  // Appends a change and returns its index; none if this is not the leader.
  std::optional<std::uint64_t> Propose(wire::Change aChange,
                                       Time aNow,
                                       RaftActions& aOut);
  // Replaces the voters and learners, in two entries: until the first one is
  // committed by the former and the new voters, the former ones keep their
  // vote. A leader that finds the first entry in its log appends the second.
  // Call only if CanChangeVoters(); `aNext` must contain this voter.
  void ProposeVoters(wire::VoterSet aNext, Time aNow, RaftActions& aOut);
  // Hands the leadership to one of these voters, if one of them is up to date
  // and reachable. From then on this voter has no lease and accepts no changes.
  // It steps down if the other one is not elected in time.
  void TransferLeadership(std::span<const VoterId> aTo,
                          Time aNow,
                          RaftActions& aOut);
  // Creates a new fleet's control state with these voters. Call only on a blank
  // disk.
  void FoundControlState(const wire::VoterSet& aVoters, RaftActions& aOut);
  // Drops the entries that the snapshot contains. Does nothing if the snapshot
  // is no newer than the present one.
  void Compact(wire::ControlSnapshot aSnapshot, RaftActions& aOut);

  bool IsLeader() const { return role_ == Role::Leader; }
  // True if this is the leader and no other can have been elected up to now.
  bool HasLease(Time aNow) const;
  const VoterId& Leader() const { return leader_; } // empty: unknown
  // When a message of a leader last came in; on the leader itself, the last
  // tick.
  Time LeaderHeardAt() const { return leaderHeardAt_; }
  const VoterId& Self() const { return self_; }
  std::uint64_t Term() const { return hardState_.term(); }
  std::uint64_t CommitIndex() const { return commitIndex_; }
  std::uint64_t LastIndex() const;
  std::uint64_t SnapshotIndex() const { return snapshot_.index(); }
  const wire::VoterSet& Voters() const { return voters_; }
  // True as long as this voter knows no set of voters.
  bool IsBlank() const { return voters_.voters().empty(); }
  bool IsVoter(const VoterId& aId) const;
  // True if this leader has just heard from the voter or learner.
  bool IsReachable(const VoterId& aId, Time aNow) const;
  // True if this leader has just heard from a quorum of these voters.
  bool ReachesQuorumOf(const wire::VoterSet& aVoters, Time aNow) const;
  // Learners that are reachable and have caught up with the commit index.
  std::vector<VoterId> ListReadyLearners(Time aNow) const;
  // Size in bytes of the entries that the snapshot does not contain.
  std::size_t LogBytes() const;
  // True if this is the leader, an entry of its own term is committed, and so
  // is the latest change of the voters, both entries of it.
  bool CanChangeVoters() const;
  // True unless the latest change of the voters may still be undone.
  bool AreVotersCommitted() const { return commitIndex_ >= votersIndex_; }
  // True if this is the leader and an entry of its own term is committed, and
  // with it all that earlier leaders have committed.
  bool HasCommittedInOwnTerm() const;

private:
  enum class Role : std::uint8_t
  {
    Follower,
    Candidate, // requests pre-votes first, then votes
    Leader,
  };

  struct Peer
  {
    std::uint64_t nextIndex_ = 1; // index of the next entry to send
    // Highest index known to be on the peer's disk.
    std::uint64_t matchIndex_ = 0;
    Time answeredSentAt_; // when the latest message that it answered was sent
    Time sentAt_;         // when the last message was sent to it
    Time entriesSentAt_;  // when the last entries were sent to it
    std::uint64_t commitSent_ = 0; // commit index that it was last sent
    Time snapshotSentAt_;          // when the last snapshot was sent to it
  };

  void HandleVoteRequest(const VoterId& aFrom,
                         const wire::VoteRequest& aRequest,
                         Time aNow,
                         RaftActions& aOut);
  void HandleVoteReply(const VoterId& aFrom,
                       const wire::VoteReply& aReply,
                       Time aNow,
                       RaftActions& aOut);
  void HandleAppendRequest(const VoterId& aFrom,
                           const wire::AppendRequest& aRequest,
                           Time aNow,
                           RaftActions& aOut);
  void HandleAppendReply(const VoterId& aFrom,
                         const wire::AppendReply& aReply,
                         Time aNow,
                         RaftActions& aOut);
  void HandleSnapshotRequest(const VoterId& aFrom,
                             const wire::SnapshotRequest& aRequest,
                             Time aNow,
                             RaftActions& aOut);
  void SendAppendReply(const VoterId& aTo,
                       wire::AppendReply aReply,
                       std::int64_t aSentUs,
                       RaftActions& aOut) const;
  bool AcceptLeader(const VoterId& aFrom,
                    std::uint64_t aTerm,
                    Time aNow,
                    RaftActions& aOut);
  bool StoreEntries(const wire::AppendRequest& aRequest, RaftActions& aOut);
  void InstallSnapshot(const wire::ControlSnapshot& aSnapshot,
                       RaftActions& aOut);
  std::uint64_t FindLastPossibleMatch(std::uint64_t aPrevIndex) const;
  void AdvanceCommit(std::uint64_t aIndex, RaftActions& aOut);
  void CommitQuorumEntries(RaftActions& aOut);
  void CompleteVoterChange(Time aNow, RaftActions& aOut);
  void HandleLeaderTransfer(const VoterId& aFrom,
                            const wire::LeaderTransfer& aTransfer,
                            Time aNow,
                            RaftActions& aOut);
  void StartElection(bool aPreVote, Time aNow, RaftActions& aOut);
  void BecomeLeader(Time aNow, RaftActions& aOut);
  void StepDown(std::uint64_t aTerm, Time aNow, RaftActions& aOut);
  void SendAppend(const VoterId& aTo, Time aNow, RaftActions& aOut);
  bool IsAnswerAwaited(const Peer& aPeer, Time aNow) const;
  void ResetElectionTimer(Time aNow);
  void UpdateVoters();
  bool IsQuorum(const std::set<VoterId>& aIds) const;
  std::uint64_t MatchIndexOf(const VoterId& aId) const;
  Time ReachedAt(const VoterId& aId, Time aNow) const;
  std::vector<VoterId> ListVoters() const;
  bool IsEveryVoterWithoutLeader() const;
  bool IsUpToDate(const wire::VoteRequest& aRequest) const;
  Time QuorumReachedAt(Time aNow) const;
  std::uint64_t TermAt(std::uint64_t aIndex) const;
  const wire::Change& EntryAt(std::uint64_t aIndex) const;
  std::vector<VoterId> ListPeers() const;
  wire::ControlMessage MakeMessage(const VoterId& aTo) const;

  VoterId self_;
  RaftTiming timing_;
  std::mt19937_64 random_;
  wire::HardState hardState_;
  wire::ControlSnapshot snapshot_;
  std::deque<wire::Change> log_; // after the snapshot
  std::uint64_t commitIndex_ = 0;
  wire::VoterSet voters_;         // the latest in the log, committed or not
  std::uint64_t votersIndex_ = 0; // of the entry with these voters
  Role role_ = Role::Follower;
  bool preVote_ = false; // the candidate's present round is a pre-vote
  // The former leader asked for the present election. Sent with the requests
  // for votes.
  bool transferred_ = false;
  // This voter has heard no leader and granted no vote since its start.
  bool noLeaderSinceStart_ = true;
  // All voters have, by what they told this candidate, heard no leader and
  // granted no vote since their start. Sent with the requests for votes.
  bool allWithoutLeader_ = false;
  // The other voters that have told this candidate so.
  std::set<VoterId> votersWithoutLeader_;
  std::set<VoterId> votes_; // voters that granted their vote in this round
  VoterId leader_;          // empty: unknown
  Time stickyUntil_; // until then votes are refused, as there may be a leader
  Time electionAt_;  // when an election starts unless a leader is heard
  Time leaderSince_; // when this voter became the leader
  std::optional<Time> transferAt_; // when this leader handed its leadership on
  Time leaderHeardAt_; // last message of a leader, or last tick as the leader
  bool electionTimerStarted_ = false; // set by the first Tick
  std::map<VoterId, Peer> peers_;     // used by the leader only
};

} // namespace jaydoor
