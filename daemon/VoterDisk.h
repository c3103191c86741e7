#pragma once

// The state that a voter keeps on disk: term and vote, a snapshot, and the
// entries after it.
//
// The log is one file of records with checksums, which is appended to and
// synced; saving a snapshot rewrites it. A write that a loss of power
// interrupted was never acknowledged, so its remains are cut off at the end of
// the log. The folder also holds the id of the disk. A folder that was lost, or
// whose log is damaged before its end, starts empty and gets a new id.

#include "base/Error.h"
#include "control/Raft.h"

#include <string>

namespace jaydoor {

class VoterDisk
{
public:
  VoterDisk() = default;
  ~VoterDisk();
  VoterDisk(const VoterDisk&) = delete;
  VoterDisk& operator=(const VoterDisk&) = delete;

  // Opens or creates the folder and returns the stored state, or an error if
  // the folder can't be read or written.
  Expected<RaftDisk> Open(const std::string& aFolder);
  // Id of this disk; it is made when the folder or its log is new.
  const std::string& Id() const { return id_; }
  // Number of bytes that Open() cut off from the end of the log because their
  // write was not complete.
  std::size_t TornBytes() const { return tornBytes_; }

  void Save(const SaveHardState& aSave);
  void Save(const SaveEntries& aSave);
  Expected<bool> Save(const SaveSnapshot& aSave);
  // Makes everything saved so far durable.
  Expected<bool> Sync();
  // Number of syncs since Open().
  std::uint64_t CountSyncs() const { return syncs_; }

private:
  Expected<bool> ReadId();
  void LoadRecords(std::string_view aBytes, RaftDisk& aDisk);
  Expected<std::string> ReadLog(RaftDisk& aDisk);
  Expected<bool> Append(int aFile, std::string_view aBytes);
  // Appends the bytes and syncs the file.
  Expected<bool> AppendAndSync(int aFile, std::string_view aBytes);

  std::string folder_;
  std::string id_;
  std::string unwrittenRecords_; // records saved but not written
  wire::HardState hardState_;
  std::size_t tornBytes_ = 0;
  std::uint32_t syncNumber_ = 0; // of the last sync in the log
  std::uint64_t syncs_ = 0;      // since Open()
  int logFile_ = -1;
};

} // namespace jaydoor
