#pragma once

// A deployment on the platform for tests: processes of `jaydoord platform`,
// each at its own loopback address, and a group of three database servers.
//
//   LineDeployment deployment({ .folder_ = folder, .build_ = build });
//   deployment.ReplaceConfig(1, LineDeployment::MakeConfig(1));
//   deployment.WriteItem(1, "item", "value");
//
// VMs are named "control-1" to "control-3", one a zone, and "entry-1" and so
// on, in the zones in turn.

#include "standin/Process.h"
#include "tests/LineGroup.h"

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>

namespace jaydoor::tests {

inline constexpr std::uint16_t kCallerPort = 8784;
inline constexpr std::uint16_t kReadinessPort = 8785;
inline constexpr std::uint16_t kControlPort = 8782;
inline constexpr int kFirstInternalPort = 7440;

// A statement as its caller sent it, and the answer that it was given.
struct SentStatement
{
  std::string text_;
  std::vector<std::string> answer_; // empty: none yet
};

// The statements of several callers, by their ids. Thread-safe.
class SentStatements
{
public:
  void Add(const std::string& aId, const std::string& aText);
  void SetAnswer(const std::string& aId, std::vector<std::string> aAnswer);
  std::map<std::string, SentStatement> Copy() const;

private:
  mutable std::mutex mutex_;
  std::map<std::string, SentStatement> statements_;
};

// A connection for the session of one caller, or for raw bytes to any port.
class LineCaller
{
public:
  // Records its statements if `aSent` is not null.
  LineCaller(const std::string& aHost,
             std::uint16_t aPort,
             SentStatements* aSent = nullptr);
  ~LineCaller();
  LineCaller(const LineCaller&) = delete;
  LineCaller& operator=(const LineCaller&) = delete;

  void Write(std::string_view aBytes);
  // Returns the next line without its line ending, "closed" if the connection
  // has ended, or "silent" if none arrived in time.
  std::string ReadLine();
  // Sends a statement and returns the lines of its answer up to READY.
  std::vector<std::string> Query(const std::string& aText);
  // True if a message arrived that belongs to no statement.
  bool HasUnreadMessage() const { return bytes_.find("\r\n") != bytes_.npos; }
  bool Open(const std::string& aDatabase, const std::string& aKey = "user");

private:
  int socket_ = -1;
  bool connected_ = false;
  std::string bytes_;
  SentStatements* sent_ = nullptr;
};

// True if the lines are the answer to a statement that succeeded.
bool
IsDone(const std::vector<std::string>& aLines);

// True if the lines end in an error that promises that nothing is kept.
bool
IsRefusal(const std::vector<std::string>& aLines);

struct LineDeploymentConfig
{
  std::string folder_; // for settings, logs and disks; deleted at the end
  std::string build_;  // build folder with daemon/jaydoord
  int entryVms_ = 2;
  int network_ = 16; // second number of the loopback addresses
  Duration statementDuration_ = 1ms;
  bool keepsFolder_ = false;            // the folder is not deleted
  std::string limits_ = "maxFds: 1024"; // of the settings files
  AnswerFaults faults_ = {};            // of the servers
  // Statements are recorded where callers send them and where servers receive
  // them; see FindMixedAndUnasked().
  bool recordsStatements_ = false;
};

class LineDeployment
{
public:
  explicit LineDeployment(LineDeploymentConfig aConfig);
  ~LineDeployment();
  LineDeployment(const LineDeployment&) = delete;
  LineDeployment& operator=(const LineDeployment&) = delete;

  // False if the addresses of the servers could not be bound.
  bool IsStarted() const { return started_; }

  void Start(const std::string& aName, bool aFirstStart);
  // Starts a stopped VM again, with a pipe as its log that nobody reads.
  void StartWithUnreadLog(const std::string& aName);
  void WriteNodeFile(const std::string& aName, const std::string& aText) const;
  std::size_t CountInLog(const std::string& aName,
                         const std::string& aText) const;
  // Deletes the disk of a control VM, which must not be running.
  void DeleteDisk(const std::string& aName) const;
  standin::Process& GetProcess(const std::string& aName);

  std::string ControlHost(int aNumber) const;
  std::string EntryHost(int aNumber) const;
  // A session of a caller at an entry VM, not opened yet.
  std::unique_ptr<LineCaller> Connect(int aEntry) const;

  // Makes a configuration body with one database for each kind of route, and
  // with the organisations, a JSON array, if they are not empty.
  static std::string MakeConfig(int aVersion,
                                const std::string& aOrganisations = {});
  // Makes the JSON array of the organisations with their keys, by name.
  static std::string MakeOrganisations(
    const std::map<std::string, std::vector<std::string>>& aKeys);
  // Makes the heartbeat of a replica of the group; the number is written as it
  // is given.
  static std::string MakeHeartbeat(const std::string& aAddress,
                                   const std::string& aSequence);
  // These return the HTTP status; 0: no answer.
  unsigned ReplaceConfig(int aControl, const std::string& aBody) const;
  unsigned SendHeartbeat(int aControl,
                         const std::string& aServer,
                         const std::string& aBody) const;
  HttpCallResult FetchConfig(int aControl) const;
  std::string FetchMetrics(int aEntry) const;
  bool IsReady(int aEntry) const;

  // Compares what callers sent by Connect() and were answered with what servers
  // received and answered. Returns
  // - statements that ran and that no caller sent, or with another text;
  // - successful reads, writes and commits of which no server has given this
  //   answer to this statement.
  std::vector<std::string> FindMixedAndUnasked();

  // Runs the function on the group's thread and returns its result.
  template<typename Function>
  auto RunOnGroupThread(const Function& aFunction)
  {
    std::promise<decltype(aFunction(*group_))> done;
    boost::asio::post(context_, [&] { done.set_value(aFunction(*group_)); });
    return done.get_future().get();
  }

  // Writes one value in a session of its own; returns true if the write was
  // acknowledged.
  bool WriteItem(int aEntry,
                 const std::string& aItem,
                 const std::string& aData);

private:
  std::string MakeAddress(int aZone, int aHostNumber) const;

  LineDeploymentConfig config_;
  mutable SentStatements sent_;
  int unreadLog_ = -1; // read end of the pipe of StartWithUnreadLog
  boost::asio::io_context context_{ 1 };
  std::unique_ptr<LineGroup> group_;
  std::thread thread_;
  std::map<std::string, std::unique_ptr<standin::Process>> processes_;
  bool started_ = false;
};

} // namespace jaydoor::tests
