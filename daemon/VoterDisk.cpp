#include "daemon/VoterDisk.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <random>

#include <fmt/format.h>
#include <xxhash.h>

namespace jaydoor {
namespace {

namespace fs = std::filesystem;

enum class RecordKind : std::uint8_t
{
  HardState = 1,
  Entries = 2, // changes, as a Delta without a snapshot
  Snapshot = 3,
  Synced = 4, // earlier bytes are durable; payload: their count
};

// Before each record's payload.
struct RecordHead
{
  std::uint64_t check_ = 0; // checksum of kind and payload
  std::uint32_t size_ = 0;  // of the payload
  std::uint32_t kind_ = 0;  // RecordKind, and the sync number in the upper bits
};

constexpr std::size_t kIdSize = 16; // hexadecimal digits
constexpr unsigned kKindBits = 8;
constexpr std::uint32_t kKindMask = (1U << kKindBits) - 1;

std::uint64_t
ComputeChecksum(std::string_view aPayload, std::uint32_t aKind)
{
  return XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), aKind);
}

void
AppendRecord(std::string& aBuffer,
             RecordKind aKind,
             std::uint32_t aSync,
             std::string_view aPayload)
{
  RecordHead head;
  head.kind_ = static_cast<std::uint32_t>(aKind) | aSync << kKindBits;
  head.size_ = static_cast<std::uint32_t>(aPayload.size());
  head.check_ = ComputeChecksum(aPayload, head.kind_);
  aBuffer.append(reinterpret_cast<const char*>(&head), sizeof(head));
  aBuffer.append(aPayload);
}

void
AppendEntries(std::string& aBuffer,
              std::uint32_t aSync,
              const std::vector<wire::Change>& aEntries)
{
  wire::Delta delta;
  for (const auto& entry : aEntries) {
    *delta.add_changes() = entry;
  }
  AppendRecord(aBuffer, RecordKind::Entries, aSync, delta.SerializeAsString());
}

void
AppendSynced(std::string& aBuffer, std::uint32_t aSync, std::uint64_t aBytes)
{
  AppendRecord(aBuffer,
               RecordKind::Synced,
               aSync,
               { reinterpret_cast<const char*>(&aBytes), sizeof(aBytes) });
}

// Loads entries; they replace all entries from the index of the first one on.
void
LoadEntries(const wire::Delta& aDelta, RaftDisk& aDisk)
{
  if (aDelta.changes_size() == 0) {
    return;
  }
  const std::uint64_t first = aDelta.changes(0).index();
  const std::uint64_t base = aDisk.snapshot_.index();
  if (first > base) {
    aDisk.entries_.resize(first - base - 1);
  }
  for (const auto& change : aDelta.changes()) {
    if (change.index() > base) {
      aDisk.entries_.push_back(change);
    }
  }
}

struct Record
{
  RecordKind kind_ = RecordKind::HardState;
  std::uint32_t sync_ = 0; // number of the sync that made it durable
  std::string_view payload_;
};

// Returns the record at the start of the bytes if it is complete and its
// checksum is right.
std::optional<Record>
FindFirstRecord(std::string_view aBytes)
{
  RecordHead head;
  if (aBytes.size() < sizeof(head)) {
    return std::nullopt;
  }
  std::memcpy(&head, aBytes.data(), sizeof(head));
  const std::uint32_t kind = head.kind_ & kKindMask;
  const bool whole =
    kind >= 1 && kind <= 4 && aBytes.size() - sizeof(head) >= head.size_;
  if (!whole) {
    return std::nullopt;
  }
  const std::string_view payload = aBytes.substr(sizeof(head), head.size_);
  if (ComputeChecksum(payload, head.kind_) != head.check_) {
    return std::nullopt;
  }
  return Record{ static_cast<RecordKind>(kind),
                 head.kind_ >> kKindBits,
                 payload };
}

// True if the bytes hold a record which proves that the damaged ones before it
// were durable. The last write before a loss of power was not durable: its
// parts may have reached the disk in any order, and any may be missing.
bool
ProvesEarlierWasDurable(std::string_view aBytes, std::uint32_t aGoodSync)
{
  for (; !aBytes.empty(); aBytes.remove_prefix(1)) {
    const auto record = FindFirstRecord(aBytes);
    const bool isConfirmation = record && record->kind_ == RecordKind::Synced;
    if (record && record->sync_ > aGoodSync + (isConfirmation ? 0U : 1U)) {
      return true;
    }
  }
  return false;
}

bool
LoadRecord(const Record& aRecord, RaftDisk& aDisk)
{
  const int size = static_cast<int>(aRecord.payload_.size());
  const char* data = aRecord.payload_.data();
  switch (aRecord.kind_) {
    case RecordKind::HardState:
      return aDisk.hardState_.ParseFromArray(data, size);
    case RecordKind::Entries: {
      wire::Delta delta;
      const bool read = delta.ParseFromArray(data, size);
      LoadEntries(delta, aDisk);
      return read;
    }
    case RecordKind::Snapshot:
      aDisk.entries_.clear();
      return aDisk.snapshot_.ParseFromArray(data, size);
    case RecordKind::Synced:
      return true;
  }
  return false;
}

tl::unexpected<Error>
MakeDiskError(const std::string& aPath, std::string_view aWhat)
{
  return MakeError(ErrorKind::Disk,
                   fmt::format("can't {} '{}': {}; check space, permissions "
                               "and health of the disk",
                               aWhat,
                               aPath,
                               std::strerror(errno)));
}

// Returns the bytes of the file; none if it does not exist.
Expected<std::string>
ReadFile(const std::string& aPath)
{
  constexpr std::size_t kChunkBytes = 65'536;
  const int file = open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0 && errno == ENOENT) {
    return std::string();
  }
  if (file < 0) {
    return MakeDiskError(aPath, "read");
  }
  std::string bytes;
  ssize_t count = 0;
  do {
    const std::size_t size = bytes.size();
    bytes.resize(size + kChunkBytes);
    count = read(file, bytes.data() + size, kChunkBytes);
    bytes.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  } while (count > 0);
  Expected<std::string> result = std::move(bytes);
  if (count < 0) {
    result = MakeDiskError(aPath, "read");
  }
  close(file);
  return result;
}

// Makes the names in the folder durable. Until then a loss of power may bring
// back a file that was replaced.
Expected<bool>
SyncFolder(const std::string& aFolder)
{
  const int folder = open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return MakeDiskError(aFolder, "open");
  }
  Expected<bool> synced = true;
  if (fsync(folder) != 0) {
    synced = MakeDiskError(aFolder, "sync");
  }
  close(folder);
  return synced;
}

} // namespace

VoterDisk::~VoterDisk()
{
  if (logFile_ >= 0) {
    close(logFile_);
  }
}

Expected<bool>
VoterDisk::Append(int aFile, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t wrote = write(aFile, aBytes.data(), aBytes.size());
    if (wrote < 0) {
      return MakeDiskError(folder_, "write");
    }
    aBytes.remove_prefix(static_cast<std::size_t>(wrote));
  }
  return true;
}

Expected<bool>
VoterDisk::AppendAndSync(int aFile, std::string_view aBytes)
{
  const auto wrote = Append(aFile, aBytes);
  if (!wrote) {
    return wrote;
  }
  syncs_++;
  if (fdatasync(aFile) != 0) {
    return MakeDiskError(folder_, "sync");
  }
  return true;
}

Expected<bool>
VoterDisk::ReadId()
{
  const std::string path = folder_ + "/disk-id";
  const auto stored = ReadFile(path);
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  if (stored->size() > kIdSize) { // the id and a line end
    id_ = stored->substr(0, kIdSize);
    return true;
  }
  std::random_device random;
  id_ = fmt::format("{:08x}{:08x}", random(), random());
  const int file =
    open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) {
    return MakeDiskError(path, "create");
  }
  const auto wrote = AppendAndSync(file, id_ + "\n");
  close(file);
  return wrote ? SyncFolder(folder_) : wrote;
}

// Reads the log. If it is damaged before its end, the disk counts as lost: its
// log and id are removed and a new id is made.
Expected<std::string>
VoterDisk::ReadLog(RaftDisk& aDisk)
{
  const std::string path = folder_ + "/log";
  auto bytes = ReadFile(path);
  if (!bytes) {
    return bytes;
  }
  LoadRecords(*bytes, aDisk);
  const auto torn = std::string_view(*bytes).substr(bytes->size() - tornBytes_);
  if (!ProvesEarlierWasDurable(torn, syncNumber_)) {
    return bytes;
  }
  std::error_code error;
  fs::remove(path, error);
  fs::remove(folder_ + "/disk-id", error);
  aDisk = RaftDisk{};
  tornBytes_ = 0;
  syncNumber_ = 0;
  const auto id = ReadId();
  if (!id) {
    return tl::unexpected(id.error());
  }
  return std::string();
}

Expected<RaftDisk>
VoterDisk::Open(const std::string& aFolder)
{
  folder_ = aFolder;
  std::error_code error;
  fs::create_directories(folder_, error);
  // A folder without a log counts as a lost disk, whatever else it holds.
  const std::string path = folder_ + "/log";
  if (!fs::exists(path, error) && !error) {
    fs::remove(folder_ + "/disk-id", error);
  }
  const auto id = ReadId();
  if (!id) {
    return tl::unexpected(id.error());
  }
  RaftDisk disk;
  const auto bytes = ReadLog(disk);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  hardState_ = disk.hardState_;
  logFile_ = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  const auto good = static_cast<off_t>(bytes->size() - tornBytes_);
  if (logFile_ < 0 || ftruncate(logFile_, good) != 0 ||
      fdatasync(logFile_) != 0) {
    return MakeDiskError(path, "open");
  }
  lseek(logFile_, 0, SEEK_END);
  if (const auto synced = SyncFolder(folder_); !synced) {
    return tl::unexpected(synced.error());
  }
  return disk;
}

void
VoterDisk::LoadRecords(std::string_view aBytes, RaftDisk& aDisk)
{
  while (const auto record = FindFirstRecord(aBytes)) {
    if (!LoadRecord(*record, aDisk)) {
      break;
    }
    syncNumber_ = record->sync_;
    aBytes.remove_prefix(sizeof(RecordHead) + record->payload_.size());
  }
  tornBytes_ = aBytes.size();
}

void
VoterDisk::Save(const SaveHardState& aSave)
{
  hardState_ = aSave.state_;
  AppendRecord(unwrittenRecords_,
               RecordKind::HardState,
               syncNumber_ + 1,
               hardState_.SerializeAsString());
}

void
VoterDisk::Save(const SaveEntries& aSave)
{
  AppendEntries(unwrittenRecords_, syncNumber_ + 1, aSave.entries_);
}

// Writes a new file beside the old one, then replaces the old one by it.
Expected<bool>
VoterDisk::Save(const SaveSnapshot& aSave)
{
  unwrittenRecords_.clear(); // the new file holds all of these records
  std::string bytes;
  syncNumber_ = 1; // the whole file is synced before it is renamed
  AppendRecord(
    bytes, RecordKind::HardState, syncNumber_, hardState_.SerializeAsString());
  AppendRecord(bytes,
               RecordKind::Snapshot,
               syncNumber_,
               aSave.snapshot_.SerializeAsString());
  AppendEntries(bytes, syncNumber_, aSave.entries_);
  AppendSynced(bytes, syncNumber_, bytes.size());
  const std::string path = folder_ + "/log";
  const std::string newPath = folder_ + "/log.new";
  const int file =
    open(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) {
    return MakeDiskError(newPath, "create");
  }
  const auto wrote = AppendAndSync(file, bytes);
  if (!wrote || rename(newPath.c_str(), path.c_str()) != 0) {
    close(file);
    return wrote ? MakeDiskError(path, "replace") : wrote;
  }
  auto synced = SyncFolder(folder_);
  close(logFile_);
  logFile_ = file;
  return synced;
}

Expected<bool>
VoterDisk::Sync()
{
  if (unwrittenRecords_.empty()) {
    return true;
  }
  auto wrote = AppendAndSync(logFile_, unwrittenRecords_);
  unwrittenRecords_.clear();
  syncNumber_++;
  if (wrote) {
    // This record becomes durable with the next sync; until then a loss of
    // power may lose it.
    std::string confirmation;
    AppendSynced(confirmation,
                 syncNumber_,
                 static_cast<std::uint64_t>(lseek(logFile_, 0, SEEK_CUR)));
    wrote = Append(logFile_, confirmation);
  }
  return wrote;
}

} // namespace jaydoor
