#pragma once

// Consensus among the voters: the Raft algorithm without I/O.
//
//   Raft raft(self, timing, seed, disk);
//   raft.Receive(message, now, actions);
//   raft.Tick(now, actions);
//   raft.Propose(change, now, actions);
//
// Sections:
//   1. What the shell has to do
//   2. The algorithm
//
// Actions are performed in order: what is to be saved is synced before a later
// message is sent. With pre-votes and leader stickiness an isolated voter
// disturbs nobody; with a leader lease an isolated leader decides nothing.
//
// A voter id is "vm/disk": a VM that lost its disk comes back under another
// id, as a learner, so that it never votes twice in a term.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jaydoor {

using VoterId = std::string;

// ---- 1. What the shell has to do

struct SaveHardState
{
  wire::HardState state_;
};

// Entries replace all on disk from the first one's index on.
struct SaveEntries
{
  std::vector<wire::Change> entries_;
};

// Replaces all entries up to its index.
struct SaveSnapshot
{
  wire::ControlSnapshot snapshot_;
  std::vector<wire::Change> entries_; // those that stay after it
};

struct SendToVoter
{
  VoterId to_;
  wire::ControlMessage message_;
};

// A committed change, in order of index.
struct ApplyChange
{
  wire::Change change_;
};

// The state jumps to this snapshot.
struct ApplySnapshot
{
  wire::ControlSnapshot snapshot_;
};

using RaftAction = std::variant<SaveHardState,
                                SaveEntries,
                                SaveSnapshot,
                                SendToVoter,
                                ApplyChange,
                                ApplySnapshot>;
using RaftActions = std::vector<RaftAction>;

// What was found on disk; all empty: a blank disk.
struct RaftDisk
{
  wire::HardState hardState_;
  wire::ControlSnapshot snapshot_;
  std::vector<wire::Change> entries_; // after the snapshot
};

struct RaftTiming
{
  Duration heartbeatInterval_ = 50ms;
  Duration minElectionTimeout_ = 250ms; // no leader heard: an election starts
  Duration maxElectionTimeout_ = 450ms;
  Duration leaderLeaseDuration_ = 180ms; // below electionMin_, for clock rates
  Duration voteDelayAfterStart_ =
    200ms; // after a start: beyond a lease granted before it
  Duration firstElectionWindow_ = 60ms; // spread of first tries after a start
};

// ---- 2. The algorithm

class Raft
{
public:
  Raft(VoterId aSelf, RaftTiming aTiming, std::uint64_t aSeed, RaftDisk aDisk);

  void HandleMessage(const wire::ControlMessage& aMessage,
                     Time aNow,
                     RaftActions& aOut);
  void Tick(Time aNow, RaftActions& aOut);
  // Appends a change if this is the leader; returns its index.
  std::optional<std::uint64_t> Propose(wire::Change aChange,
                                       Time aNow,
                                       RaftActions& aOut);
  // Founds the fleet's control state: only on a blank disk.
  void FoundControlState(const wire::VoterSet& aVoters, RaftActions& aOut);
  // Drops entries that the snapshot contains.
  void Compact(wire::ControlSnapshot aSnapshot, RaftActions& aOut);

  bool IsLeader() const { return role_ == Role::Leader; }
  // True if no other leader can have been elected up to now.
  bool HasLease(Time aNow) const;
  const VoterId& Leader() const { return leader_; } // empty: unknown
  // When a leader was last heard; on the leader itself, the last tick.
  Time LeaderHeardAt() const { return leaderHeardAt_; }
  const VoterId& Self() const { return self_; }
  std::uint64_t Term() const { return hardState_.term(); }
  std::uint64_t CommitIndex() const { return commitIndex_; }
  std::uint64_t LastIndex() const;
  std::uint64_t SnapshotIndex() const { return snapshot_.index(); }
  const wire::VoterSet& Voters() const { return voters_; }
  bool IsBlank() const { return voters_.voters().empty(); }
  bool IsVoter(const VoterId& aId) const;
  // Learners that have caught up with the commit index.
  std::vector<VoterId> ListReadyLearners() const;
  // Bytes of the entries that no snapshot contains yet.
  std::size_t LogBytes() const;
  // True if an entry of this leader's own term is committed, and no change of
  // the voters is under way.
  bool CanChangeVoters() const;
  // True if an entry of this leader's own term is committed, and with it all
  // that earlier leaders have committed.
  bool HasCommittedInOwnTerm() const;

private:
  enum class Role : std::uint8_t
  {
    Follower,
    Candidate, // asks for votes, first for pre-votes
    Leader,
  };

  struct Peer
  {
    std::uint64_t nextIndex_ = 1;  // index to send next
    std::uint64_t matchIndex_ = 0; // highest index known to be on its disk
    Time answeredSentAt_;          // sending of the latest message it answered
    Time sentAt_;                  // last message to it
    Time snapshotSentAt_;          // last snapshot to it
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
  void AdvanceCommit(std::uint64_t aIndex, RaftActions& aOut);
  void CommitQuorumEntries(RaftActions& aOut);
  void StartElection(bool aPre, Time aNow, RaftActions& aOut);
  void BecomeLeader(Time aNow, RaftActions& aOut);
  void StepDown(std::uint64_t aTerm, Time aNow, RaftActions& aOut);
  void SendAppend(const VoterId& aTo, Time aNow, RaftActions& aOut);
  void SendAppendToAll(Time aNow, RaftActions& aOut);
  void ResetElectionTimer(Time aNow);
  void UpdateVoters();
  bool IsQuorum(std::size_t aCount) const;
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
  wire::VoterSet voters_; // the latest in the log, committed or not
  std::uint64_t votersIndex_ = 0;
  Role role_ = Role::Follower;
  bool preVote_ = false; // a candidate's current round is a pre-vote
  bool noLeaderSinceStart_ =
    true; // heard no leader, and voted for none, since the start
  bool allWithoutLeader_ = false; // of the current round: see StartElection
  std::set<VoterId> votersWithoutLeader_; // voters that said so
  std::set<VoterId> votes_;
  VoterId leader_;
  Time stickyUntil_; // until then nobody but the leader is followed
  Time electionAt_;  // an election starts unless a leader is heard
  Time leaderSince_;
  Time leaderHeardAt_;
  bool electionTimerStarted_ = false; // the clock of elections runs
  std::map<VoterId, Peer> peers_;
};

} // namespace jaydoor
