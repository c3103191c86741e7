#pragma once

// Chooses among the servers that may run a statement.
//
//   const Duration excess = usualTime.Record(responseTime);
//   delay.Record(excess, now);                   // of the server
//   option.delay_ = delay.At(now);               // for each server
//   if (auto index = SelectServer(options, ticket)) { ... }
//
// The load pattern: many VMs choose among the same few servers at the same
// time, and each of them sees a small part of the load, late. If all follow the
// same information, or the last answer, servers are overrun in turn while
// others idle; if none follows any, a busy zone overruns its own server. The
// primary is the hot spot, since some statements have no other server.
//
// Therefore
// - a server's load is judged by how much longer than usual its answers take
//   for statements of their kind: the primary looks no faster because the
//   statements that need it are short;
// - what was learned fades within seconds instead of at a limit of age, so that
//   a VM with few statements of its own still avoids a slow server, and returns
//   to it gradually;
// - servers whose costs hardly differ share the work by the statements' tickets
//   instead of all of it going to the least; not while links have to be opened
//   for it, since connections may be scarce. Nor is a link replaced, or opened
//   while connections are scarce, to a server that is not the cheapest.
//
// Which servers may run the statement (lease, freshness, room, shedding) is
// decided before: see Gateway::ChooseServer.

#include "base/Time.h"
#include "gateway/LinkPolicy.h"

#include <cstddef>
#include <optional>
#include <span>

namespace jaydoor {

// The usual response time of statements of one kind, over all servers.
class UsualTime
{
public:
  // Records a response time. Returns by how much it exceeded the usual one, 0
  // for the first one.
  Duration Record(Duration aResponseTime);

private:
  Duration usual_{};
  int recordCount_ = 0; // not counted beyond the smoothing
};

// How much longer than usual a server takes to answer, as one VM knows from its
// own statements.
class ServerDelay
{
public:
  // Records the excess over the usual response time of an answer's kind.
  void Record(Duration aExcess, Time aNow);
  // Records that a statement was refused for lack of capacity or got no answer:
  // counts as a very late answer.
  void RecordFailure(Time aNow);
  // Returns the expected excess, negative for a fast server; it
  // fades towards 0 after the last record.
  Duration At(Time aNow) const;
  // Returns the time of the last record, Time{} if there is none.
  Time RecordedAt() const { return recordedAt_; }

private:
  double FadeAt(Time aNow) const;

  Duration delay_{}; // at recordedAt_
  Time recordedAt_;
};

// A server that may run a statement, as one VM sees it.
struct ServerOption
{
  Duration delay_{};         // ServerDelay::At()
  int running_ = 0;          // statements that the VM runs on it
  unsigned slots_ = 1;       // statements that it can run at once
  bool isInOwnZone_ = false; // of the VM
  bool isPrimary_ = false;   // of the group
  bool isPreferred_ = false; // a replica that the VM prefers
  // Over which link the statement can run: not Wait.
  LinkVerdict link_ = LinkVerdict::Open;
  bool isScarce_ = false;  // connections to it are, see IdleLinkPolicy
  bool isLeaving_ = false; // it is to be used only if no other one can be
};

// Returns the expected time until an answer, plus the costs of another zone, of
// using the primary or a replica that is not preferred, and of opening or
// replacing a link.
Duration
EstimateCost(const ServerOption& aOption);

// Returns the index of the option that is to run the statement; nothing if
// there is none. The ticket, from 0 to 1, is fixed for each statement, so that
// a statement that waits for a link to be opened keeps its server.
std::optional<std::size_t>
SelectServer(std::span<const ServerOption> aOptions, double aTicket);

} // namespace jaydoor
