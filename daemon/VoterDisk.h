#pragma once

// What a voter keeps on disk: term and vote, a snapshot, the entries after it.
//
// One file of checked records, appended and synced; a snapshot rewrites it.
// What the last write before a loss of power left was never acknowledged and
// is cut off. The folder
// also holds the id of the disk: a folder that was lost, or whose log is
// damaged before its end, starts blank and gets another id.

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

  // Opens or creates the folder and reads what it holds.
  Expected<RaftDisk> Open(const std::string& aFolder);
  // Id of this disk, made when the folder was created.
  const std::string& Id() const { return id_; }
  // Bytes cut off a torn end at Open.
  std::size_t TornBytes() const { return tornBytes_; }

  void Save(const SaveHardState& aSave);
  void Save(const SaveEntries& aSave);
  Expected<bool> Save(const SaveSnapshot& aSave);
  // Makes all saves durable.
  Expected<bool> Sync();

private:
  Expected<bool> ReadId();
  void LoadRecords(std::string_view aBytes, RaftDisk& aDisk);
  Expected<std::string> ReadLog(RaftDisk& aDisk);
  Expected<bool> Append(int aFile, std::string_view aBytes);
  // Appends and syncs.
  Expected<bool> AppendAndSync(int aFile, std::string_view aBytes);

  std::string folder_;
  std::string id_;
  std::string unwrittenRecords_; // records that are not written yet
  wire::HardState hardState_;
  std::size_t tornBytes_ = 0;
  std::uint32_t syncNumber_ = 0; // of the file, up to the last good record
  int logFile_ = -1;
};

} // namespace jaydoor
