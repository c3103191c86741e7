#pragma once

// Decides whether a statement of an organisation runs over an idle link, opens
// one, takes the place of another organisation's link, or waits.
//
//   LinkSituation situation;       // the VM's links to one server
//   switch (DecideLink(situation)) { ... }
//
// A link belongs to the organisation that it was opened for.
//
// The load pattern: 84 organisations in front of 33 VMs, and 70 connections to
// a server. Each VM has one link to each server, and statements of several
// organisations want it. Opening a link takes 12 ms of a server's slot and
// costs money; a statement runs for 6 to 30 ms. If each statement replaced
// whatever idle link it found, two organisations whose statements arrive in
// turn would spend up to two thirds of the server's time on opening links.
//
// - An idle link is replaced at once if no statement of its organisation waits.
// - Otherwise its organisation keeps it for kMinLinkTurn once it is open, so
//   that its waiting statements run in one batch. Then the first statement in
//   the queue's order gets its place. Opening takes at most a fifth of the
//   time.
// - A statement whose organisation has a link that runs a statement waits up to
//   kMaxOwnLinkWait for it, instead of replacing the link of another one.
// - No more links are being opened for an organisation than it has statements
//   that wait.

#include "base/Time.h"

#include <cstddef>

namespace jaydoor {

// Four times the 12 ms in which a link opens. It counts from when the link is
// open: while a server is overloaded, opening takes longer than that.
inline constexpr Duration kMinLinkTurn = 48ms;
// Twice the opening time: a running statement ends after 3 to 15 ms on average,
// and a replaced link may have to be opened again for its organisation.
inline constexpr Duration kMaxOwnLinkWait = 24ms;
// A link that is not open by then is no longer waited for: its server may be
// unreachable. An overloaded server takes several times the usual 12 ms.
inline constexpr Duration kMaxOpeningWait = 100ms;

// One server's links of this VM, as a waiting statement finds them. "Own" are
// those of the statement's organisation.
struct LinkSituation
{
  bool hasOwnIdle_ = false;
  bool hasOwnRunning_ = false; // run a statement, or roll back
  // The server can be reached, and opening a link does not exceed this VM's
  // part of its slots.
  bool canOpen_ = false;
  bool hasPlace_ = false; // this VM's number of links allows one more
  // Links that are being opened for the organisation, to any server of the
  // group, for less than kMaxOpeningWait.
  std::size_t ownOpening_ = 0;
  // Statements of the organisation that wait for the group's servers, including
  // this one.
  std::size_t ownWaiting_ = 1;
  // There is an idle link of another organisation that may be replaced: see
  // IsReplaceable().
  bool hasReplaceable_ = false;
  Duration waited_{}; // since the statement's arrival
};

enum class LinkVerdict : unsigned char
{
  Wait,    // a link of the organisation becomes idle, or none can be had now
  Use,     // an idle link of the organisation
  Open,    // one more link
  Replace, // close the least recently used replaceable link and open one
};

LinkVerdict
DecideLink(const LinkSituation& aSituation);

// Returns how many links to a server this VM may have, if `aHolders` VMs may
// have `aBudget` together. Of 59 links for 33 VMs, each VM has 1 and 26 remain;
// these fall to VMs at random, so that two organisations at a VM need not
// replace each other's link. `aDraw`, from 0 to 1, is fixed for a VM and a
// server.
std::size_t
DivideLinks(std::size_t aBudget, std::size_t aHolders, double aDraw);

// Returns true if an idle link of another organisation may be replaced. `aAge`
// is the time since it has been open.
bool
IsReplaceable(bool aHasWaitingStatements, Duration aAge);

} // namespace jaydoor
