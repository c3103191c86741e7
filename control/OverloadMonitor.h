#pragma once

// Finds out which servers get more work than they can do, or more connections
// than they accept, from what all VMs see of them. Runs on the leader of the
// control state; reports and results travel with lease requests and grants.
//
//   OverloadMonitor monitor;
//   monitor.Reset();                  // this VM became the leader
//   monitor.Record(request, now);
//   monitor.AddTo(grant, now);
//   for (auto& change : monitor.TakeChanges()) ...  // to be logged
//
// The load pattern: many VMs together overload a server, and each of them sees
// too few of its answers to follow the load up and down. Together they see all
// answers, so that work is withheld within a second of an overload and accepted
// again as quickly once it is over.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <utility>
#include <vector>

namespace jaydoor {

class OverloadMonitor
{
public:
  // A server has become overloaded or short of connections, or no longer is.
  struct Change
  {
    ServerId server_;
    bool isOverloaded_ = false;
    bool areConnectionsScarce_ = false;
  };

  void Reset() { servers_.clear(); }
  // Counts the answers that a VM reports.
  void Record(const wire::LeaseRequest& aRequest, Time aNow);
  // Adds the servers that are to be spared work, and how much of it.
  void AddTo(wire::LeaseGrant& aGrant, Time aNow);
  // Returns the changes since the last call.
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

private:
  struct Server
  {
    double pressure_ = 0;  // from 0 to 1
    unsigned answers_ = 0; // since windowAt_
    double delay_ = 0;     // sum over these; 1: too slow
    Time windowAt_;
    Time connectionLimitAt_; // last report that it refused a connection
    bool isOverloaded_ = false;
    bool areConnectionsScarce_ = false;
  };

  void Advance(Server& aServer, Time aNow);

  std::map<ServerId, Server> servers_;
  std::vector<Change> changes_;
};

} // namespace jaydoor
