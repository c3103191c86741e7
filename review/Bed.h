#pragma once

// A small deployment on loopback addresses for the cases of this review: the
// project's own program as separate processes, and stand-ins for the database
// servers, the platform, the operator and the clients. It uses only POSIX and
// the standard library.
//
//   bed::Bed bed;                 // three zones, three core machines
//   bed.Start();                  // servers, platform, core, front machines
//   bed::Client client(bed.FrontHost(1), bed::kFrontPort);
//   client.Open("primary");
//   client.Query("WRITE a 1");
//
// A server runs statements in its slots, one at a time each, and answers every
// one of them. A commit is in the logs of all running replicas after the lag.
// What the stand-ins see and do is written to record.txt. The words of the
// platform's protocol stand in names.txt, since no source outside platform/ and
// tests/ may contain them.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bed {

using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int kFrontPort = 8784;
constexpr int kReadyPort = 8785;
constexpr int kControlPort = 8782;
constexpr int kPlatformPort = 8783;
constexpr int kServerPort = 8080;
constexpr int kFirstInternalPort = 7440;

// ---- The record

class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(std::fopen(aPath.c_str(), "w"))
    , start_(std::chrono::steady_clock::now())
  {
  }

  __attribute__((format(printf, 2, 3))) void Write(const char* aFormat, ...)
  {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f ", Seconds());
    va_list list;
    va_start(list, aFormat);
    std::vfprintf(file_, aFormat, list);
    va_end(list);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

  double Seconds() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start_)
      .count();
  }

private:
  std::mutex mutex_;
  std::FILE* file_;
  SteadyTime start_;
};

inline Record&
GetRecord()
{
  static Record record("record.txt");
  return record;
}

// Returns a word of the platform's protocol.
inline const std::string&
GetName(const std::string& aKey)
{
  static const std::map<std::string, std::string> names = [] {
    std::map<std::string, std::string> read;
    std::ifstream file("../names.txt");
    for (std::string key, name; file >> key >> name;) {
      read[key] = name;
    }
    return read;
  }();
  static const std::string none;
  const auto found = names.find(aKey);
  return found == names.end() ? none : found->second;
}

inline void
Sleep(int aMs)
{
  std::this_thread::sleep_for(Millis(aMs));
}

// The temporary folder of the deployment.
inline std::string&
GetFolder()
{
  static std::string folder;
  return folder;
}

inline void
RemoveFolder()
{
  const std::string command = "rm -rf '" + GetFolder() + "'";
  if (!GetFolder().empty() && std::system(command.c_str()) != 0) {
    GetRecord().Write("the temporary folder is still there");
  }
}

// Ends the script: the case could not run. The processes end with it.
[[noreturn]] inline void
GiveUp(const std::string& aCause)
{
  GetRecord().Write("the case could not run: %s", aCause.c_str());
  std::fprintf(stderr, "the case could not run: %s\n", aCause.c_str());
  RemoveFolder();
  std::_Exit(2);
}

// ---- Sockets

inline sockaddr_in
MakeSocketAddress(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

// Returns -1 if the address can't be bound.
inline int
Listen(const std::string& aHost, int aPort, int aBacklog = 512)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = MakeSocketAddress(aHost, aPort);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ||
      listen(fd, aBacklog)) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int
Connect(const std::string& aHost, int aPort, int aTimeoutMs = 1000)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = MakeSocketAddress(aHost, aPort);
  const int result =
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  pollfd ready{ fd, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&ready, 1, aTimeoutMs) != 1 ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads lines that end with CR LF, and bodies of a given size.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd_(aFd)
  {
  }

  // Nothing: the connection has ended, or the time is over (see TimedOut()).
  std::optional<std::string> ReadLine(int aTimeoutMs = -1)
  {
    std::size_t end = 0;
    while ((end = bytes_.find("\r\n")) == std::string::npos) {
      if (!ReadMore(aTimeoutMs)) {
        return std::nullopt;
      }
    }
    std::string line = bytes_.substr(0, end);
    bytes_.erase(0, end + 2);
    return line;
  }

  bool ReadBytes(std::size_t aCount, std::string& aOut, int aTimeoutMs)
  {
    while (bytes_.size() < aCount) {
      if (!ReadMore(aTimeoutMs)) {
        return false;
      }
    }
    aOut = bytes_.substr(0, aCount);
    bytes_.erase(0, aCount);
    return true;
  }

  bool TimedOut() const { return timedOut_; }

private:
  bool ReadMore(int aTimeoutMs)
  {
    pollfd ready{ fd_, POLLIN, 0 };
    timedOut_ = poll(&ready, 1, aTimeoutMs) == 0;
    if (timedOut_) {
      return false;
    }
    char chunk[8192];
    const ssize_t count = recv(fd_, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      return false;
    }
    bytes_.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string bytes_;
  bool timedOut_ = false;
};

// ---- HTTP

struct HttpMessage
{
  std::string first_;                          // request or status line
  std::map<std::string, std::string> headers_; // names in lower case
  std::string body_;
};

inline std::optional<HttpMessage>
ReadHttp(Reader& aReader, int aTimeoutMs)
{
  HttpMessage message;
  const auto first = aReader.ReadLine(aTimeoutMs);
  if (!first) {
    return std::nullopt;
  }
  message.first_ = *first;
  while (true) {
    const auto line = aReader.ReadLine(aTimeoutMs);
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      break;
    }
    const auto colon = line->find(':');
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
      return static_cast<char>(std::tolower(c));
    });
    message.headers_[name] = line->substr(
      std::min(line->size(), line->find_first_not_of(' ', colon + 1)));
  }
  const auto length = message.headers_.find("content-length");
  if (length != message.headers_.end() &&
      !aReader.ReadBytes(
        std::stoul(length->second), message.body_, aTimeoutMs)) {
    return std::nullopt;
  }
  return message;
}

struct HttpResult
{
  int status_ = 0; // 0: no answer
  std::string body_;
};

inline HttpResult
CallHttp(const std::string& aHost,
         int aPort,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aBody,
         int aTimeoutMs = 1000)
{
  HttpResult result;
  const int fd = Connect(aHost, aPort, aTimeoutMs);
  if (fd < 0) {
    return result;
  }
  std::ostringstream request;
  request << aMethod << ' ' << aPath << " HTTP/1.1\r\nHost: " << aHost
          << "\r\nContent-Type: application/json\r\nContent-Length: "
          << aBody.size() << "\r\nConnection: close\r\n\r\n"
          << aBody;
  Reader reader(fd);
  if (SendAll(fd, request.str())) {
    if (const auto answer = ReadHttp(reader, aTimeoutMs)) {
      result.status_ = std::atoi(answer->first_.substr(9).c_str());
      result.body_ = answer->body_;
    }
  }
  close(fd);
  return result;
}

// ---- Processes

class Process
{
public:
  Process(const std::string& aProgram,
          const std::string& aNodeFile,
          const std::string& aLog)
  {
    const std::string variable = GetName("node_file") + "=" + aNodeFile;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      const char* path = std::getenv("PATH");
      const std::string pathVariable =
        std::string("PATH=") + (path != nullptr ? path : "/usr/bin");
      char* arguments[] = { const_cast<char*>(aProgram.c_str()),
                            const_cast<char*>("platform"),
                            nullptr };
      char* variables[] = { const_cast<char*>(variable.c_str()),
                            const_cast<char*>(pathVariable.c_str()),
                            nullptr };
      execve(arguments[0], arguments, variables);
      _exit(127);
    }
  }

  ~Process()
  {
    if (!HasEnded()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal)
  {
    if (!HasEnded()) {
      kill(pid_, aSignal);
    }
  }

  bool HasEnded()
  {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
      ended_ = true;
    }
    return ended_;
  }

  // Exit code, or 128 and the signal.
  int Status() const
  {
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : 128 + WTERMSIG(status_);
  }

private:
  pid_t pid_ = 0;
  int status_ = 0;
  bool ended_ = false;
};

// ---- The database servers of one service

struct Point
{
  std::uint64_t term_ = 0;
  std::uint64_t number_ = 0;
  bool operator<(const Point& aOther) const
  {
    return term_ != aOther.term_ ? term_ < aOther.term_
                                 : number_ < aOther.number_;
  }
};

struct DbConfig
{
  std::string service_ = "orders";
  std::vector<std::string> hosts_;
  std::vector<std::string> zones_;
  std::vector<std::string> controlHosts_;
  int slots_ = 3;
  int maxConns_ = 21;
  int workMs_ = 8;
  int lagMs_ = 20;
  int promoteMs_ = 1000;
  int heartbeatMs_ = 1200;
};

class Database
{
public:
  explicit Database(DbConfig aConfig)
    : config_(std::move(aConfig))
  {
    for (std::size_t i = 0; i < config_.hosts_.size(); i++) {
      auto server = std::make_unique<Server>();
      server->number_ = i;
      server->id_ = "i-" + std::to_string(i + 1);
      server->primary_ = i == 0;
      server->bornMs_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
      servers_.push_back(std::move(server));
    }
  }

  void Start()
  {
    for (auto& server : servers_) {
      const int fd = Listen(config_.hosts_[server->number_], kServerPort);
      if (fd < 0) {
        GiveUp("an address of a server is in use");
      }
      std::thread([this, fd, &server = *server] {
        Accept(server, fd);
      }).detach();
      std::thread([this, &server = *server] {
        SendHeartbeats(server);
      }).detach();
    }
  }

  // The server says that it leaves.
  void Leave(std::size_t aServer)
  {
    const std::lock_guard lock(mutex_);
    servers_[aServer]->leaving_ = true;
    heartbeatDue_.notify_all();
  }

  const std::string& Id(std::size_t aServer) const
  {
    return servers_[aServer]->id_;
  }

  std::size_t Primary()
  {
    const std::lock_guard lock(mutex_);
    return FindPrimary();
  }

  // As the platform does after a promotion; returns false if the server isn't
  // there.
  bool Promote(const std::string& aId)
  {
    for (auto& server : servers_) {
      if (server->id_ == aId) {
        std::thread([this, &server = *server] {
          Sleep(config_.promoteMs_);
          const std::lock_guard lock(mutex_);
          if (FindPrimary() == server.number_ && server.primary_) {
            return;
          }
          std::uint64_t term = 0;
          for (const auto& other : servers_) {
            term = std::max(term, other->term_);
          }
          server.primary_ = true;
          server.term_ = term + 1;
          GetRecord().Write("server %s is the primary of term %llu",
                            server.id_.c_str(),
                            static_cast<unsigned long long>(server.term_));
          for (auto& other : servers_) {
            if (!other->primary_) {
              other->log_ = server.log_;
            } else if (other->number_ != server.number_) {
              EndLater(*other, server);
            }
          }
        }).detach();
        return true;
      }
    }
    return false;
  }

  // True if a server has received the statement.
  bool HasReached(const std::string& aId)
  {
    const std::lock_guard lock(mutex_);
    return reached_.count(aId) > 0;
  }

  // Work of reads, writes and commits from now on.
  void SetWorkMs(int aMs) { workMs_ = aMs; }

private:
  struct Entry
  {
    std::uint64_t term_ = 0;
    std::string item_;
    std::string data_;
    SteadyTime appliedAt_;
  };

  struct Server
  {
    std::size_t number_ = 0;
    std::string id_;
    bool primary_ = false;
    bool leaving_ = false;
    std::uint64_t term_ = 1;
    std::uint64_t sequence_ = 0;
    std::uint64_t bornMs_ = 0;
    int connections_ = 0;
    int busySlots_ = 0;
    std::condition_variable slotFree_;
    std::vector<Entry> log_;
  };

  struct Session
  {
    bool inTransaction_ = false;
    bool readOnly_ = false;
    bool failed_ = false;
    std::uint64_t beginTerm_ = 0;
    std::vector<std::pair<std::string, std::string>> writes_;
    std::map<std::string, std::pair<bool, std::string>> prepared_;
  };

  std::size_t FindPrimary() const
  {
    std::size_t best = 0;
    for (const auto& server : servers_) {
      if (server->primary_ && (!servers_[best]->primary_ ||
                               server->term_ > servers_[best]->term_)) {
        best = server->number_;
      }
    }
    return best;
  }

  // A former primary continues until a second after it can reach the new one.
  void EndLater(Server& aFormer, const Server& aNext)
  {
    std::thread([this, &aFormer, &aNext] {
      Sleep(1000);
      const std::lock_guard lock(mutex_);
      if (aFormer.primary_ && aFormer.term_ < aNext.term_) {
        aFormer.primary_ = false;
        aFormer.term_ = aNext.term_;
        aFormer.log_ = aNext.log_;
        GetRecord().Write(
          "server %s follows %s", aFormer.id_.c_str(), aNext.id_.c_str());
      }
    }).detach();
  }

  void Accept(Server& aServer, int aFd)
  {
    while (true) {
      const int fd = accept4(aFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, &aServer, fd] { Serve(aServer, fd); }).detach();
    }
  }

  static std::string PopWord(std::string& aText)
  {
    const std::size_t end = std::min(aText.find(' '), aText.size());
    std::string word = aText.substr(0, end);
    aText.erase(0, std::min(end + 1, aText.size()));
    return word;
  }

  // The lock has to be held.
  Point AppliedPoint(const Server& aServer) const
  {
    const auto now = std::chrono::steady_clock::now();
    Point point{ 1, 0 };
    for (const auto& entry : aServer.log_) {
      if (!aServer.primary_ && entry.appliedAt_ > now) {
        break;
      }
      point.term_ = entry.term_;
      point.number_++;
    }
    if (aServer.primary_) {
      point.term_ = aServer.term_;
    }
    return point;
  }

  static std::string ToText(const Point& aPoint)
  {
    return std::to_string(aPoint.term_) + "." + std::to_string(aPoint.number_);
  }

  void Serve(Server& aServer, int aFd)
  {
    Reader reader(aFd);
    Session session;
    bool opened = false;
    while (const auto line = reader.ReadLine()) {
      std::string rest = *line;
      const std::string word = PopWord(rest);
      if (word == "OPEN" && !opened) {
        const std::string service = PopWord(rest);
        PopWord(rest);
        const std::lock_guard lock(mutex_);
        if (service != config_.service_ ||
            (!rest.empty() && rest != aServer.id_)) {
          SendAll(aFd, "ERROR " + GetName("wrong_server") + " another\r\n");
          break;
        }
        if (aServer.connections_ >= config_.maxConns_) {
          SendAll(aFd, "ERROR " + GetName("connection_limit") + " full\r\n");
          break;
        }
        opened = true;
        aServer.connections_++;
        SendAll(aFd, "READY I " + ToText(AppliedPoint(aServer)) + "\r\n");
      } else if (word == "QUERY" && opened) {
        const std::string id = PopWord(rest);
        if (!SendAll(aFd, Run(aServer, session, id, rest))) {
          break;
        }
      } else {
        break;
      }
    }
    close(aFd);
    if (opened) {
      const std::lock_guard lock(mutex_);
      aServer.connections_--;
    }
  }

  std::string Run(Server& aServer,
                  Session& aSession,
                  const std::string& aId,
                  std::string aText)
  {
    std::optional<Point> since;
    if (aText.rfind("SINCE ", 0) == 0) {
      PopWord(aText);
      const std::string text = PopWord(aText);
      since = Point{ std::stoull(text),
                     std::stoull(text.substr(text.find('.') + 1)) };
    }
    std::string rest = aText;
    const std::string verb = PopWord(rest);
    const bool works = verb == "READ" || verb == "WRITE" || verb == "EXECUTE" ||
                       verb == "COMMIT";
    std::unique_lock lock(mutex_);
    reached_.insert(aId);
    if (works) {
      aServer.slotFree_.wait(
        lock, [&] { return aServer.busySlots_ < config_.slots_; });
      aServer.busySlots_++;
      lock.unlock();
      Sleep(workMs_ > 0 ? workMs_.load() : config_.workMs_);
      lock.lock();
      aServer.busySlots_--;
      aServer.slotFree_.notify_one();
    }
    std::string rows;
    std::string error;
    std::string signature = "-";
    const auto fail = [&](const std::string& aCode) {
      error = aCode;
      aSession.failed_ =
        aSession.failed_ || (aSession.inTransaction_ && aCode != "BUSY");
    };
    if (since && AppliedPoint(aServer) < *since) {
      fail("LAGGING");
    } else if (aSession.failed_ && verb != "ROLLBACK" && verb != "COMMIT") {
      error = "MALFORMED";
    } else if (verb == "STATUS" || verb == "STEPDOWN") {
      if (verb == "STEPDOWN") {
        if (aServer.primary_ && std::stoull(rest) > aServer.term_) {
          aServer.primary_ = false;
          const Server& primary = *servers_[FindPrimary()];
          if (primary.primary_) {
            aServer.log_ = primary.log_;
          }
        }
        GetRecord().Write(
          "server %s: STEPDOWN %s", aServer.id_.c_str(), rest.c_str());
      }
      const Point received{ aServer.log_.empty() ? 1
                                                 : aServer.log_.back().term_,
                            aServer.log_.size() };
      rows = std::string("ROW ") +
             (aServer.primary_ ? "primary " : "replica ") +
             std::to_string(aServer.term_) + " " + ToText(received) +
             " 0 0 0 " + std::to_string(aServer.connections_) + "\r\n";
    } else if (verb == "BEGIN") {
      if (rest != "READ" && !aServer.primary_) {
        error = "READONLY";
      } else {
        aSession = Session{ true, rest == "READ",    false, aServer.term_,
                            {},   aSession.prepared_ };
      }
    } else if (verb == "ROLLBACK") {
      aSession.inTransaction_ = aSession.failed_ = false;
      aSession.writes_.clear();
    } else if (verb == "COMMIT") {
      const bool lost =
        !aSession.writes_.empty() &&
        (!aServer.primary_ || aServer.term_ != aSession.beginTerm_);
      if (aSession.failed_ || lost) {
        error = lost ? "READONLY" : "ABORTED";
      } else {
        for (const auto& [item, data] : aSession.writes_) {
          Commit(aServer, item, data);
        }
        signature = Sign(aServer, aId);
      }
      aSession.inTransaction_ = aSession.failed_ = false;
      aSession.writes_.clear();
    } else if (verb == "PREPARE") {
      const std::string name = PopWord(rest);
      const bool writes = PopWord(rest) == "WRITE";
      aSession.prepared_[name] = { writes, rest };
    } else if (verb == "RESET") {
      aSession.prepared_.clear();
    } else if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE") {
      bool writes = verb == "WRITE";
      if (verb == "EXECUTE") {
        const auto found = aSession.prepared_.find(PopWord(rest));
        if (found == aSession.prepared_.end()) {
          fail("NOSTMT");
        } else {
          writes = found->second.first;
        }
      }
      const std::string item = PopWord(rest);
      const bool plain = aSession.inTransaction_ && !aSession.readOnly_;
      if (error.empty() &&
          ((writes && !aServer.primary_) ||
           (plain &&
            (!aServer.primary_ || aServer.term_ != aSession.beginTerm_)))) {
        fail("READONLY");
      }
      if (error.empty()) {
        if (!writes) {
          rows = "ROW " + Find(aServer, item) + "\r\n";
        } else if (aSession.inTransaction_) {
          aSession.writes_.emplace_back(item, rest);
        } else {
          Commit(aServer, item, rest);
        }
        signature = Sign(aServer, aId);
      }
    }
    if (works) {
      GetRecord().Write("server %s ran %s %s -> %s",
                        aServer.id_.c_str(),
                        aId.c_str(),
                        aText.c_str(),
                        error.empty() ? signature.c_str() : error.c_str());
    }
    const char* state = aSession.failed_          ? "E"
                        : aSession.inTransaction_ ? "T"
                                                  : "I";
    return rows +
           (error.empty() ? "COMPLETE " + signature
                          : "ERROR " + error + " " + aServer.id_) +
           "\r\nREADY " + state + " " + ToText(AppliedPoint(aServer)) + "\r\n";
  }

  std::string Sign(const Server& aServer, const std::string& aId)
  {
    return aServer.id_ + "." + std::to_string(++signatures_) + "." + aId;
  }

  std::string Find(const Server& aServer, const std::string& aItem) const
  {
    const auto now = std::chrono::steady_clock::now();
    std::string data = "none";
    for (const auto& entry : aServer.log_) {
      if (entry.item_ == aItem &&
          (aServer.primary_ || entry.appliedAt_ <= now)) {
        data = entry.data_;
      }
    }
    return data;
  }

  // A commit reaches the replicas of the latest primary only.
  void Commit(Server& aServer,
              const std::string& aItem,
              const std::string& aData)
  {
    const auto now = std::chrono::steady_clock::now();
    const Entry entry{
      aServer.term_, aItem, aData, now + Millis(config_.lagMs_)
    };
    const bool leads = FindPrimary() == aServer.number_;
    for (auto& server : servers_) {
      if (server->number_ == aServer.number_ || (leads && !server->primary_)) {
        server->log_.push_back(entry);
      }
    }
  }

  void SendHeartbeats(Server& aServer)
  {
    std::size_t next = aServer.number_;
    while (true) {
      std::string body;
      bool leaving = false;
      bool primary = false;
      {
        const std::lock_guard lock(mutex_);
        leaving = aServer.leaving_;
        primary = aServer.primary_;
        std::ostringstream text;
        text << R"({"service":")" << config_.service_ << R"(","address":")"
             << config_.hosts_[aServer.number_] << ':' << kServerPort
             << R"(","zone":")" << config_.zones_[aServer.number_]
             << R"(","version":"v1","slots":)" << config_.slots_
             << R"(,"state":")" << (leaving ? "draining" : "ready") << R"(",")"
             << GetName("cold") << R"(":0,"dbRole":")"
             << (primary ? "primary" : "replica") << R"(","seqNo":)"
             << ++aServer.sequence_ << R"(,"born":)" << aServer.bornMs_ << '}';
        body = text.str();
      }
      const auto result =
        CallHttp(config_.controlHosts_[next % config_.controlHosts_.size()],
                 kControlPort,
                 "POST",
                 GetName("heartbeat") + aServer.id_,
                 body);
      if (leaving) {
        GetRecord().Write("server %s says that it leaves -> %d",
                          aServer.id_.c_str(),
                          result.status_);
      }
      if (result.status_ / 100 != 2) {
        next++;
        Sleep(50);
        continue;
      }
      std::unique_lock lock(mutex_);
      heartbeatDue_.wait_for(lock, Millis(config_.heartbeatMs_), [&] {
        return aServer.leaving_ != leaving || aServer.primary_ != primary;
      });
    }
  }

  DbConfig config_;
  std::atomic<int> workMs_{ 0 };
  std::mutex mutex_;
  std::condition_variable heartbeatDue_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::set<std::string> reached_; // ids of statements
  std::uint64_t signatures_ = 0;
};

// ---- The platform's service for promotions

class Platform
{
public:
  Platform(const std::string& aHost, Database& aDatabase)
    : database_(aDatabase)
    , fd_(Listen(aHost, kPlatformPort))
  {
    if (fd_ < 0) {
      GiveUp("the address of the platform is in use");
    }
    std::thread([this] { Accept(); }).detach();
  }

private:
  void Accept()
  {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    while (const auto request = ReadHttp(reader, 10'000)) {
      std::string id;
      const auto at = request->body_.find("\"id\":\"");
      if (at != std::string::npos) {
        id = request->body_.substr(at + 6);
        id = id.substr(0, id.find('"'));
      }
      GetRecord().Write(
        "platform: %s id=%s", request->first_.c_str(), id.c_str());
      const bool known = database_.Promote(id);
      SendAll(aFd,
              std::string("HTTP/1.1 ") + (known ? "200 OK" : "409 Conflict") +
                "\r\nContent-Type: application/json\r\nContent-Length: "
                "2\r\n\r\n{}");
    }
    close(aFd);
  }

  Database& database_;
  int fd_ = -1;
};

// ---- Clients

class Client
{
public:
  Client(const std::string& aHost, int aPort)
    : fd_(Connect(aHost, aPort))
    , reader_(fd_)
  {
  }
  ~Client()
  {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool Open(const std::string& aDatabase)
  {
    if (fd_ < 0 || !SendAll(fd_, "OPEN " + aDatabase + " user\r\n")) {
      return false;
    }
    const auto line = reader_.ReadLine(2000);
    return line && line->rfind("READY I", 0) == 0;
  }

  struct Answer
  {
    std::string id_;
    std::vector<std::string> lines_;
    bool complete_ = false; // up to READY
    bool ended_ = false;    // the connection ended first
    bool Done() const
    {
      return complete_ && lines_.size() >= 2 &&
             lines_[lines_.size() - 2].rfind("COMPLETE", 0) == 0;
    }
  };

  Answer Query(const std::string& aText, int aTimeoutMs = 10'000)
  {
    static std::atomic<std::uint64_t> number{ 0 };
    char id[24];
    std::snprintf(
      id,
      sizeof(id),
      "%016llx",
      static_cast<unsigned long long>(++number + 0x5c0e000000000000));
    Answer answer;
    answer.id_ = id;
    if (fd_ < 0 ||
        !SendAll(fd_, "QUERY " + answer.id_ + " " + aText + "\r\n")) {
      answer.ended_ = true;
      return answer;
    }
    while (!answer.complete_) {
      const auto line = reader_.ReadLine(aTimeoutMs);
      if (!line) {
        answer.ended_ = !reader_.TimedOut();
        return answer;
      }
      answer.lines_.push_back(*line);
      answer.complete_ = line->rfind("READY", 0) == 0;
    }
    return answer;
  }

private:
  int fd_;
  Reader reader_;
};

// ---- The deployment

struct BedConfig
{
  int fronts_ = 3;
  int cores_ = 3;      // in three zones
  int diskLosses_ = 1; // to be borne at once
  int workMs_ = 8;
  int promoteMs_ = 1000;
};

class Bed
{
public:
  explicit Bed(BedConfig aConfig)
    : config_(aConfig)
  {
    const char* root = std::getenv("JAYDOOR_ROOT");
    program_ =
      std::string(root != nullptr ? root : "../..") + "/target/daemon/jaydoord";
    if (access(program_.c_str(), X_OK) != 0) {
      GiveUp(program_ + " is missing: run the build of the deploy file");
    }
    char path[] = "/tmp/jaydoor-case-XXXXXX";
    if (mkdtemp(path) == nullptr) {
      GiveUp("no temporary folder");
    }
    folder_ = path;
    GetFolder() = folder_;
    network_ = FindNetwork();
  }

  Bed(const Bed&) = delete;
  Bed& operator=(const Bed&) = delete;

  void Start()
  {
    DbConfig database;
    for (int zone = 1; zone <= 3; zone++) {
      database.hosts_.push_back(MakeHost(zone, 100));
      database.zones_.push_back(ZoneName(zone));
      database.controlHosts_.push_back(ControlHost(zone));
    }
    database.workMs_ = config_.workMs_;
    database.promoteMs_ = config_.promoteMs_;
    database_ = std::make_unique<Database>(database);
    platform_ = std::make_unique<Platform>(MakeHost(1, 200), *database_);
    for (int number = 1; number <= config_.cores_; number++) {
      StartProcess(CoreName(number), true);
    }
    for (int number = 1; number <= config_.fronts_; number++) {
      StartProcess(FrontName(number), true);
    }
    database_->Start();
    Await("the configuration was not acknowledged",
          [&] { return ReplaceConfig(1) == 200; });
    for (int number = 1; number <= config_.fronts_; number++) {
      Await("a front machine serves no writes", [&] {
        Client client(FrontHost(number), kFrontPort);
        return client.Open("primary") &&
               client.Query("WRITE first 1", 3000).Done();
      });
    }
    GetRecord().Write("the deployment serves");
  }

  // Ends the script with 2 if the condition isn't true within 30 s.
  void Await(const char* aCause, const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + Millis(30'000);
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        EndAll();
        GiveUp(aCause);
      }
      Sleep(20);
    }
  }

  void StartProcess(const std::string& aName, bool aFirstStart)
  {
    WriteNodeFile(aName, aFirstStart);
    processes_.erase(aName);
    processes_[aName] =
      std::make_unique<Process>(program_,
                                folder_ + "/" + aName + ".yaml",
                                folder_ + "/" + aName + ".log");
  }

  Process& GetProcess(const std::string& aName)
  {
    return *processes_.at(aName);
  }

  // Ends all processes and removes the temporary folder. The threads of the
  // stand-ins run on until the script exits.
  void EndAll()
  {
    processes_.clear();
    RemoveFolder();
  }

  std::size_t CountInLog(const std::string& aName, const std::string& aText)
  {
    std::ifstream log(folder_ + "/" + aName + ".log");
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find(aText) != std::string::npos ? 1U : 0U;
    }
    return count;
  }

  // The core machine that leads; 0: none says so.
  int FindLeader()
  {
    int leader = 0;
    for (int number = 1; number <= config_.cores_; number++) {
      const auto reply = CallHttp(
        ControlHost(number), kFirstInternalPort + 1, "GET", "/metrics", "");
      if (reply.body_.find("jaydoor_is_leader 1") != std::string::npos) {
        leader = number;
      }
    }
    return leader;
  }

  // Sends a configuration with three routes, and others that nobody uses, to a
  // core machine; returns the HTTP status.
  int ReplaceConfig(int aVersion, int aCore = 1, int aUnusedRoutes = 0)
  {
    std::ostringstream text;
    text << R"({"version":)" << aVersion << R"(,"routes":[)";
    const std::string kinds[] = { "primary",
                                  "read_your_writes",
                                  GetName("bounded") };
    for (int i = 0; i < 3 + aUnusedRoutes; i++) {
      const int kind = std::min(i, 2);
      text << (i == 0 ? "" : ",") << R"({"name":"r-)" << i << R"(","host":")"
           << (i < 3 ? kinds[i] : MakeWord()) << R"(","pathPrefix":"/",")"
           << GetName("route_type") << R"(":")" << kinds[kind]
           << R"(","timeoutMs":)" << (kind == 2 ? 2000 : 1000) << R"(,")"
           << GetName("target") << R"(":)" << (kind == 2 ? 1200 : 400)
           << R"(,"priority":)" << kind
           << R"(,"service":"orders","maxAttempts":2,")" << GetName("staleness")
           << R"(":2500})";
    }
    text << R"(],"services":[{"name":"orders","healthPath":"/health",)"
         << R"("maxConns":21,"protocol":"h1","tls":false,"syncReplicas":0}],)"
         << R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})";
    return CallHttp(ControlHost(aCore),
                    kControlPort,
                    "POST",
                    GetName("replace"),
                    text.str())
      .status_;
  }

  // The version that a core machine reads back; 0: it does not answer 200.
  int FetchVersion(int aCore)
  {
    const auto result =
      CallHttp(ControlHost(aCore), kControlPort, "GET", GetName("fetch"), "");
    const auto at = result.body_.find("\"version\":");
    return result.status_ == 200 && at != std::string::npos
             ? std::atoi(result.body_.c_str() + at + 10)
             : 0;
  }

  // The last number that follows the text in a process's log; 0: none.
  std::uint64_t FindLastNumber(const std::string& aName,
                               const std::string& aText)
  {
    std::ifstream log(LogPath(aName));
    std::uint64_t number = 0;
    for (std::string line; std::getline(log, line);) {
      const auto at = line.find(aText);
      if (at != std::string::npos) {
        number = std::strtoull(line.c_str() + at + aText.size(), nullptr, 10);
      }
    }
    return number;
  }

  // The data folder of a core machine.
  std::string DataPath(const std::string& aName) const
  {
    return folder_ + "/" + aName;
  }

  Database& GetDatabase() { return *database_; }
  Platform& GetPlatform() { return *platform_; }
  std::string ControlHost(int aNumber) const
  {
    return MakeHost((aNumber - 1) % 3 + 1, 10 + (aNumber - 1) / 3);
  }
  std::string FrontHost(int aNumber) const
  {
    return MakeHost((aNumber - 1) % 3 + 1, 20 + (aNumber - 1) / 3);
  }
  static std::string CoreName(int aNumber)
  {
    return "core-" + std::to_string(aNumber);
  }
  static std::string FrontName(int aNumber)
  {
    return "front-" + std::to_string(aNumber);
  }
  std::string LogPath(const std::string& aName) const
  {
    return folder_ + "/" + aName + ".log";
  }

private:
  std::string MakeHost(int aZone, int aHost) const
  {
    return "127." + std::to_string(network_) + "." + std::to_string(aZone) +
           "." + std::to_string(aHost);
  }

  static std::string MakeWord()
  {
    static std::mt19937_64 random(1);
    char word[20];
    std::snprintf(
      word, sizeof(word), "%016llx", static_cast<unsigned long long>(random()));
    return word;
  }

  static std::string ZoneName(int aZone)
  {
    return std::string("zone-") + static_cast<char>('a' + aZone - 1);
  }

  // A network whose ports are all free.
  static int FindNetwork()
  {
    for (int i = 0; i < 200; i++) {
      const int network = 20 + (getpid() + i) % 220;
      bool free = true;
      for (int zone = 1; zone <= 3 && free; zone++) {
        for (const auto& [host, port] :
             std::vector<std::pair<int, int>>{ { 10, kControlPort },
                                               { 10, kFirstInternalPort },
                                               { 20, kFrontPort },
                                               { 100, kServerPort },
                                               { 200, kPlatformPort } }) {
          const int fd =
            Listen("127." + std::to_string(network) + "." +
                     std::to_string(zone) + "." + std::to_string(host),
                   port);
          free = free && fd >= 0;
          if (fd >= 0) {
            close(fd);
          }
        }
      }
      if (free) {
        return network;
      }
    }
    GiveUp("no free loopback network");
  }

  void WriteNodeFile(const std::string& aName, bool aFirstStart)
  {
    const bool core = aName.rfind("core", 0) == 0;
    const int number = std::stoi(aName.substr(aName.find('-') + 1));
    const int zone = (number - 1) % 3 + 1;
    const std::string host = core ? ControlHost(number) : FrontHost(number);
    std::ofstream file(folder_ + "/" + aName + ".yaml");
    file << "nodeName: \"" << aName << "\"\nzone: \"" << ZoneName(zone)
         << "\"\nregion: \"r\"\nip: \"" << host
         << "\"\ninternalPortRange:\n  - " << kFirstInternalPort << "\n  - "
         << kFirstInternalPort + 15 << "\nseeds:\n";
    for (int i = 1; i <= 3; i++) {
      file << "  - \"" << ControlHost(i) << ":" << kControlPort << "\"\n";
    }
    file << "bootstrap: " << (aFirstStart ? "true" : "false")
         << "\nfaultCounted: " << (core ? "true" : "false")
         << "\nlimits:\n  cpuShare: 0.5\n  cores: 1\n  memoryMb: "
         << (core ? 256 : 520) << "\n  maxFds: " << (core ? 4096 : 8400) << "\n"
         << GetName("interval")
         << ": 1200\nfaultTolerance:\n  machines: " << config_.diskLosses_
         << "\n  zones: 1\n  regions: 0\nbounds:\n  stableWindowMs: 4000\n  "
            "drainMs: 7000\n  graceS: 6\n  lossSlackMs: 200\n  "
            "configApplyMs: 3000\n  fencingRequired: false\n  thawMs: "
            "300\ncloudApi:\n  address: \""
         << MakeHost(1, 200) << ":" << kPlatformPort
         << "\"\n  ratePerS: 50.0\n  duties:\n    - \"failover\"\n  dutyPerS: "
            "50.0\n";
    if (core) {
      file << "listen:\n  control: \"" << host << ":" << kControlPort
           << "\"\ndataDir: \"" << folder_ << "/" << aName << "\"\n";
    } else {
      file << "listen:\n  front: \"" << host << ":" << kFrontPort
           << "\"\n  ready: \"" << host << ":" << kReadyPort
           << "\"\ndataDir: null\n";
    }
  }

  BedConfig config_;
  std::string program_;
  std::string folder_;
  int network_ = 0;
  std::unique_ptr<Database> database_;
  std::unique_ptr<Platform> platform_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

// True unless the variable TROUBLE is 0.
inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// Ends the script with the result of the case.
[[noreturn]] inline void
Finish(Bed& aBed, bool aBroken)
{
  aBed.EndAll();
  GetRecord().Write(aBroken ? "the rule was broken" : "the rule held");
  std::printf(aBroken ? "the rule was broken\n" : "the rule held\n");
  std::fflush(stdout);
  std::_Exit(aBroken ? 1 : 0);
}

} // namespace bed
