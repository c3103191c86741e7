#pragma once

// Decides which statements a server is spared while it gets more work than it
// can do.
//
//   LoadShedder shedder;
//   shedder.RecordResponse(isSlow, levelCount, now);
//   if (shedder.Sheds(level, ticket, now)) { ... }
//
// The load pattern: many VMs together overload one server, for instance a
// primary whose replicas are all behind, so that it has to run every read. A VM
// sees a small part of the load, and the server's own queue knows no ranks:
// once it is long, statements of all ranks are late. Each VM therefore spares a
// server that answers slowly a growing share of its least urgent statements,
// then of the next level, until answers are fast again. The most urgent level
// is never shed.
//
// The leader tells which share is to be shed, from the answers that all VMs see
// (control/OverloadMonitor.h). A VM that hears nothing from the leader goes by
// its own answers.

#include "base/Time.h"

#include <cstddef>

namespace jaydoor {

class LoadShedder
{
public:
  // Records an answer. `aLevelCount` is the number of levels of urgency that
  // are in use; a refusal for lack of capacity counts as slow.
  void RecordResponse(bool aIsSlow, std::size_t aLevelCount, Time aNow);

  // Sets what the leader says: which share, from 0 to 1, of the levels that may
  // be shed is shed now.
  void SetSharedPressure(double aShare, std::size_t aLevelCount, Time aNow);

  // Returns true if the server is spared the statement. Level 0 is the least
  // urgent one. `aTicket`, from 0 to 1, is fixed for each statement: those with
  // the lowest tickets are shed first.
  bool Sheds(std::size_t aLevel, double aTicket, Time aNow) const;

  // Returns true if some statements are shed.
  bool IsShedding(Time aNow) const;

private:
  // Number of levels that are shed, the last one in part.
  double ShedLevelsAt(Time aNow) const;
  double PressureAt(Time aNow) const;

  // At updatedAt_. 0: none; each further 1 sheds one more level.
  double pressure_ = 0;
  Time updatedAt_;
  double sharedLevels_ = 0; // to be shed according to the leader
  Time sharedAt_;           // last word of the leader
};

} // namespace jaydoor
