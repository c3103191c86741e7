#pragma once

// A small deployment on loopback addresses for the cases 11 and up: processes
// of `jaydoord platform`, a group of database servers, the platform's service
// that promotes them, an operator and clients.
//
// Each connection has a thread of its own. All times are milliseconds on the
// steady clock since the start of the program.
//
// Sections:
//   1. Time and the record
//   2. Sockets
//   3. HTTP
//   4. The database servers and the service that promotes them
//   5. The processes of jaydoor
//   6. Clients

#include "standin/Process.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jaydoor::rig {

// ---- 1. Time and the record

using Ms = std::int64_t;

inline Ms
Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline void
SleepMs(Ms aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

// What was sent, answered and run; also a line for each step of the case.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }

  template<typename... Args>
  void Add(fmt::format_string<Args...> aFormat, Args&&... aArgs)
  {
    const std::scoped_lock lock(mutex_);
    file_ << fmt::format("{:>6} ", Now())
          << fmt::format(aFormat, std::forward<Args>(aArgs)...) << "\n";
    file_.flush();
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

// Returns a word of the platform's protocol, by its key in words-3.txt.
inline const std::string&
Word(const std::string& aKey)
{
  static const auto words = [] {
    std::map<std::string, std::string> read;
    std::ifstream file("review/words-3.txt");
    for (std::string key, word; file >> key >> word;) {
      read[key] = word;
    }
    return read;
  }();
  return words.at(aKey);
}

// ---- 2. Sockets

struct Address
{
  std::string host_;
  int port_ = 0;
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port_));
  inet_pton(AF_INET, aAddress.host_.c_str(), &address.sin_addr);
  return address;
}

// Returns a listening socket, or -1 if the address is taken.
inline int
ListenAt(const Address& aAddress, int aBacklog = 512)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(aAddress);
  if (bind(listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, aBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

// A connected socket that is read by lines or by bytes.
class Stream
{
public:
  explicit Stream(int aSocket)
    : socket_(aSocket)
  {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  explicit Stream(const Address& aAddress)
    : Stream(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const sockaddr_in address = ToSockaddr(aAddress);
    open_ = connect(socket_,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0;
  }
  ~Stream() { close(socket_); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool IsOpen() const { return open_; }
  // Ends the connection; may be called on any thread.
  void Shutdown() const { shutdown(socket_, SHUT_RDWR); }

  void Write(std::string_view aBytes)
  {
    while (open_ && !aBytes.empty()) {
      const ssize_t sent =
        send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      open_ = sent > 0;
      aBytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }
  }

  // Returns the next line without its end; nothing if the connection has ended
  // or the time is over. IsOpen() tells which.
  std::optional<std::string> ReadLine(Ms aTimeout)
  {
    const Ms until = Now() + aTimeout;
    std::size_t end = bytes_.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
      end = bytes_.find("\r\n");
    }
    std::string line = bytes_.substr(0, end);
    bytes_.erase(0, end + 2);
    return line;
  }

  std::optional<std::string> ReadBytes(std::size_t aCount, Ms aTimeout)
  {
    const Ms until = Now() + aTimeout;
    while (bytes_.size() < aCount) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    std::string bytes = bytes_.substr(0, aCount);
    bytes_.erase(0, aCount);
    return bytes;
  }

private:
  bool Fill(Ms aUntil)
  {
    if (!open_) {
      return false;
    }
    pollfd readable{ socket_, POLLIN, 0 };
    const Ms left = std::max<Ms>(0, aUntil - Now());
    if (poll(&readable, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    std::array<char, 4096> chunk{};
    const ssize_t size = recv(socket_, chunk.data(), chunk.size(), 0);
    open_ = size > 0;
    bytes_.append(chunk.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    return open_;
  }

  int socket_ = -1;
  bool open_ = true;
  std::string bytes_;
};

using StreamPtr = std::shared_ptr<Stream>;

// Calls the function on a thread of its own for each connection that arrives,
// until Stop().
class Listener
{
public:
  Listener(const Address& aAddress,
           std::function<void(const StreamPtr&)> aServe)
    : Listener(ListenAt(aAddress), std::move(aServe))
  {
  }
  Listener(int aSocket, std::function<void(const StreamPtr&)> aServe)
    : socket_(aSocket)
    , serve_(std::move(aServe))
  {
    if (socket_ >= 0) {
      thread_ = std::thread([this] { Run(); });
    }
  }
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  bool IsListening() const { return socket_ >= 0; }
  // Closes the port and all connections.
  void Stop()
  {
    if (thread_.joinable()) {
      stopped_ = true;
      shutdown(socket_, SHUT_RDWR);
      thread_.join();
      close(socket_);
      const std::scoped_lock lock(mutex_);
      for (const auto& weak : streams_) {
        if (const auto stream = weak.lock()) {
          stream->Shutdown();
        }
      }
    }
  }
  std::size_t CountOpen()
  {
    const std::scoped_lock lock(mutex_);
    std::erase_if(streams_, [](const auto& aWeak) { return aWeak.expired(); });
    return streams_.size();
  }

private:
  void Run()
  {
    while (!stopped_) {
      const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      auto stream = std::make_shared<Stream>(accepted);
      {
        const std::scoped_lock lock(mutex_);
        streams_.push_back(stream);
      }
      std::thread([serve = serve_, stream = std::move(stream)] {
        serve(stream);
      }).detach();
    }
  }

  int socket_ = -1;
  std::function<void(const StreamPtr&)> serve_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Stream>> streams_;
  std::thread thread_;
};

// ---- 3. HTTP

struct HttpMessage
{
  std::string path_;                           // of a request
  int status_ = 0;                             // of an answer; 0: none
  std::map<std::string, std::string> headers_; // names in lower case
  std::string body_;
};

// Reads one message; nothing if the connection ends or the time is over.
inline std::optional<HttpMessage>
ReadHttp(Stream& aStream, Ms aTimeout)
{
  const auto first = aStream.ReadLine(aTimeout);
  if (!first) {
    return std::nullopt;
  }
  HttpMessage message;
  const std::size_t start = first->find(' ') + 1;
  message.path_ = first->substr(start, first->find(' ', start) - start);
  if (first->starts_with("HTTP/")) {
    message.status_ = std::atoi(message.path_.c_str());
  }
  while (true) {
    const auto line = aStream.ReadLine(aTimeout);
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      break;
    }
    std::string name = line->substr(0, line->find(':'));
    std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
    std::string value = line->substr(std::min(name.size() + 1, line->size()));
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    message.headers_[name] = value;
  }
  const std::size_t size = static_cast<std::size_t>(
    std::atol(message.headers_["content-length"].c_str()));
  auto body = aStream.ReadBytes(size, aTimeout);
  if (!body) {
    return std::nullopt;
  }
  message.body_ = std::move(*body);
  return message;
}

inline HttpMessage
CallHttp(const Address& aTo,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aBody,
         Ms aTimeout)
{
  Stream stream(aTo);
  stream.Write(fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: "
                           "application/json\r\nContent-Length: {}\r\n"
                           "Connection: close\r\n\r\n{}",
                           aMethod,
                           aPath,
                           aTo.host_,
                           aBody.size(),
                           aBody));
  return ReadHttp(stream, aTimeout).value_or(HttpMessage{});
}

inline void
AnswerHttp(Stream& aStream, int aStatus, const std::string& aBody)
{
  aStream.Write(fmt::format("HTTP/1.1 {} Status\r\nContent-Type: "
                            "application/json\r\nContent-Length: {}\r\n\r\n{}",
                            aStatus,
                            aBody.size(),
                            aBody));
}

// Returns the text of a field in a flat JSON object.
inline std::string
FindJsonText(const std::string& aBody, const std::string& aName)
{
  const std::string key = fmt::format("\"{}\":\"", aName);
  const std::size_t at = aBody.find(key);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t start = at + key.size();
  return aBody.substr(start, aBody.find('"', start) - start);
}

// ---- 4. The database servers and the service that promotes them

struct LogEntry
{
  std::uint64_t term_ = 0;
  std::string item_;
  std::string data_;
  Ms receivableAt_ = 0; // a replica has received it from this time on
  Ms visibleAt_ = 0;    // a replica shows it from this time on
};

// A promotion that has taken effect.
struct Promotion
{
  Ms at_ = 0;
  std::string server_;
  std::uint64_t term_ = 0;
  std::set<std::string> log_; // data of the commits in the server's log
};

struct GroupConfig
{
  std::string service_ = "db";
  std::vector<Address> servers_;  // the first one is the primary at the start
  std::vector<Address> controls_; // receive the heartbeats
  Address platform_;              // promotes servers
  Ms workMs_ = 8;                 // of a write or commit
  Ms readMs_ = 8;                 // of a read
  std::size_t slots_ = 0;         // statements at once at a server; 0: no limit
  std::size_t queue_ = 24;        // statements that wait for a slot
  Ms transferMs_ = 2;             // until replicas have received a commit
  Ms lagMs_ = 20;                 // until replicas show a commit
  Ms promoteMs_ = 1000;           // until a promoted server leads
  Ms replacedMs_ = 1000;          // after it an old primary follows the new one
  Ms drainMs_ = 7000;             // served after a leave is acknowledged
  Ms heartbeatMs_ = 1200;
  std::size_t maxConnections_ = 21;
  int syncReplicas_ = 0;
};

class Group
{
public:
  Group(GroupConfig aConfig, Record& aRecord)
    : config_(std::move(aConfig))
    , record_(aRecord)
  {
    for (std::size_t i = 0; i < config_.servers_.size(); i++) {
      auto server = std::make_unique<Server>();
      server->id_ = fmt::format("i-{}", i);
      server->address_ = config_.servers_[i];
      server->zone_ = fmt::format("zone-{}", i % 3 + 1);
      server->primary_ = i == 0;
      servers_.push_back(std::move(server));
    }
  }

  // Starts the servers up to the given number, and the platform's service.
  bool Start(std::size_t aServers)
  {
    for (std::size_t i = 0; i < aServers; i++) {
      if (!StartServer(i)) {
        return false;
      }
    }
    platform_ = std::make_unique<Listener>(
      config_.platform_,
      [this](const StreamPtr& aStream) { ServePlatform(*aStream); });
    return platform_->IsListening();
  }

  // Starts a server. A new one gets the primary's log.
  bool StartServer(std::size_t aServer)
  {
    Server& server = *servers_[aServer];
    {
      const std::scoped_lock lock(mutex_);
      server.up_ = true;
      server.born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
      server.sequence_ = 0;
      if (!server.primary_) {
        const Server& primary = FindPrimary();
        server.log_ = primary.log_;
        server.term_ = primary.term_;
      }
    }
    server.listener_ = std::make_unique<Listener>(
      server.address_, [this, &server](const StreamPtr& aStream) {
        ServeSession(server, *aStream);
      });
    std::thread([this, &server] { SendHeartbeats(server); }).detach();
    record_.Add("server {} starts at {}:{}",
                server.id_,
                server.address_.host_,
                server.address_.port_);
    return server.listener_->IsListening();
  }

  // The server crashes: its port and connections close.
  void Crash(std::size_t aServer)
  {
    Server& server = *servers_[aServer];
    {
      const std::scoped_lock lock(mutex_);
      server.up_ = false;
    }
    server.listener_->Stop();
    record_.Add("server {} is down", server.id_);
  }

  // The server reports that it leaves. It serves on for a while after this is
  // acknowledged, then it deregisters and ends.
  void Leave(std::size_t aServer)
  {
    const std::scoped_lock lock(mutex_);
    servers_[aServer]->draining_ = true;
    record_.Add("server {} is draining", servers_[aServer]->id_);
  }

  // Milliseconds until this replica has received a commit.
  void SetTransfer(std::size_t aServer, Ms aDelay)
  {
    const std::scoped_lock lock(mutex_);
    servers_[aServer]->transferMs_ = aDelay;
  }

  std::vector<Promotion> Promotions()
  {
    const std::scoped_lock lock(mutex_);
    return promotions_;
  }

private:
  struct Server
  {
    std::string id_;
    Address address_;
    std::string zone_;
    bool up_ = false;
    bool primary_ = false;
    bool draining_ = false;
    std::uint64_t term_ = 1;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t running_ = 0; // statements that have a slot
    std::size_t waiting_ = 0; // statements that wait for one
    Ms transferMs_ = -1;      // below 0: that of the group
    std::vector<LogEntry> log_;
    std::unique_ptr<Listener> listener_;
  };

  struct Session
  {
    bool inTransaction_ = false;
    bool failed_ = false;
    bool readOnly_ = false;
    std::uint64_t termAtBegin_ = 0;
    std::vector<std::pair<std::string, std::string>> writes_;
    std::map<std::string, std::string> values_;
    std::map<std::string, bool> prepared_; // true: it writes
  };

  struct Answer
  {
    std::vector<std::string> rows_;
    std::string error_;
    std::string signature_ = "-";
  };

  Server& FindPrimary()
  {
    Server* best = servers_.front().get();
    for (const auto& server : servers_) {
      const bool isBetter =
        server->primary_ && (!best->primary_ || server->term_ > best->term_);
      best = isBetter ? server.get() : best;
    }
    return *best;
  }

  Ms TransferOf(const Server& aServer) const
  {
    return aServer.transferMs_ < 0 ? config_.transferMs_ : aServer.transferMs_;
  }

  // Entries that the server has received by now.
  std::size_t CountReceived(const Server& aServer) const
  {
    std::size_t count = 0;
    const Ms now = Now();
    while (count < aServer.log_.size() &&
           (aServer.primary_ || aServer.log_[count].receivableAt_ <= now)) {
      count++;
    }
    return count;
  }

  std::pair<std::uint64_t, std::size_t> VisiblePoint(
    const Server& aServer) const
  {
    if (aServer.primary_) {
      return { aServer.term_, aServer.log_.size() };
    }
    std::size_t count = 0;
    std::uint64_t term = 1;
    const Ms now = Now();
    while (count < aServer.log_.size() &&
           aServer.log_[count].visibleAt_ <= now) {
      term = aServer.log_[count].term_;
      count++;
    }
    return { term, count };
  }

  std::string FormatPoint(const Server& aServer) const
  {
    const auto [term, count] = VisiblePoint(aServer);
    return fmt::format("{}.{}", term, count);
  }

  static std::string PopWord(std::string& aRest)
  {
    const std::size_t end = std::min(aRest.find(' '), aRest.size());
    std::string word = aRest.substr(0, end);
    aRest.erase(0, std::min(end + 1, aRest.size()));
    return word;
  }

  void ServeSession(Server& aServer, Stream& aStream)
  {
    auto line = aStream.ReadLine(10'000);
    if (!line) {
      return;
    }
    std::string rest = *line;
    const std::string word = PopWord(rest);
    const std::string service = PopWord(rest);
    PopWord(rest); // who
    if (word != "OPEN" || service != config_.service_ ||
        (!rest.empty() && rest != aServer.id_)) {
      aStream.Write("ERROR " + Word("wrong_server") + " other\r\n");
      return;
    }
    if (aServer.listener_->CountOpen() > config_.maxConnections_) {
      aStream.Write("ERROR " + Word("too_many") + " full\r\n");
      return;
    }
    SleepMs(12);
    {
      const std::scoped_lock lock(mutex_);
      aStream.Write(fmt::format("READY I {}\r\n", FormatPoint(aServer)));
    }
    Session session;
    while (aStream.IsOpen()) {
      line = aStream.ReadLine(60'000);
      if (!line || !line->starts_with("QUERY ")) {
        return;
      }
      aStream.Write(RunQuery(aServer, session, line->substr(6)));
    }
  }

  std::string RunQuery(Server& aServer, Session& aSession, std::string aQuery)
  {
    const std::string id = PopWord(aQuery);
    std::optional<std::pair<std::uint64_t, std::size_t>> since;
    if (aQuery.starts_with("SINCE ")) {
      PopWord(aQuery);
      const std::string point = PopWord(aQuery);
      const std::size_t dot = point.find('.');
      since = { std::stoull(point), std::stoull(point.substr(dot + 1)) };
    }
    const bool reads = aQuery.starts_with("READ ");
    const bool works = reads || aQuery.starts_with("WRITE ") ||
                       aQuery.starts_with("EXECUTE ") || aQuery == "COMMIT";
    const bool hasSlot = works ? AwaitSlot(aServer) : HasFreeSlot(aServer);
    if (!hasSlot && (works || aQuery == "STATUS")) {
      const std::scoped_lock lock(mutex_);
      record_.Add("at {} run id={} {} -> BUSY", aServer.id_, id, aQuery);
      return fmt::format("ERROR BUSY {}\r\nREADY {} {}\r\n",
                         aServer.id_,
                         aSession.inTransaction_ ? 'T' : 'I',
                         FormatPoint(aServer));
    }
    if (works) {
      SleepMs(reads ? config_.readMs_ : config_.workMs_);
      FreeSlot(aServer);
    }
    const std::string out = Execute(aServer, aSession, id, aQuery, since);
    if (config_.syncReplicas_ > 0 && (works && !reads)) {
      // One replica has received the commit before it is acknowledged.
      SleepMs(config_.transferMs_ + 1);
    }
    return out;
  }

  bool HasFreeSlot(Server& aServer)
  {
    const std::scoped_lock lock(mutex_);
    return config_.slots_ == 0 || aServer.running_ < config_.slots_;
  }

  // Takes a slot, once there is one; returns false if too many wait.
  bool AwaitSlot(Server& aServer)
  {
    {
      const std::scoped_lock lock(mutex_);
      if (config_.slots_ == 0) {
        return true;
      }
      if (aServer.waiting_ >= config_.queue_) {
        return false;
      }
      aServer.waiting_++;
    }
    while (true) {
      {
        const std::scoped_lock lock(mutex_);
        if (aServer.running_ < config_.slots_) {
          aServer.waiting_--;
          aServer.running_++;
          return true;
        }
      }
      SleepMs(1);
    }
  }

  void FreeSlot(Server& aServer)
  {
    const std::scoped_lock lock(mutex_);
    aServer.running_ -= config_.slots_ == 0 ? 0U : 1U;
  }

  // Runs a query and returns the lines of its answer.
  std::string Execute(
    Server& aServer,
    Session& aSession,
    const std::string& aId,
    const std::string& aQuery,
    const std::optional<std::pair<std::uint64_t, std::size_t>>& aSince)
  {
    const std::scoped_lock lock(mutex_);
    Answer answer;
    if (aSince && VisiblePoint(aServer) < *aSince) {
      answer.error_ = "LAGGING";
    } else {
      answer = RunStatement(aServer, aSession, aId, aQuery);
    }
    if (!answer.error_.empty() && aSession.inTransaction_) {
      aSession.failed_ = true;
    }
    std::string out;
    for (const auto& row : answer.rows_) {
      out += "ROW " + row + "\r\n";
    }
    out += answer.error_.empty()
             ? fmt::format("COMPLETE {}\r\n", answer.signature_)
             : fmt::format("ERROR {} {}\r\n", answer.error_, aServer.id_);
    out += fmt::format("READY {} {}\r\n",
                       aSession.failed_          ? 'E'
                       : aSession.inTransaction_ ? 'T'
                                                 : 'I',
                       FormatPoint(aServer));
    if (aQuery != "STATUS") {
      record_.Add("at {} run id={} {} -> {}",
                  aServer.id_,
                  aId,
                  aQuery,
                  answer.error_.empty() ? "COMPLETE " + answer.signature_
                                        : answer.error_);
    }
    return out;
  }

  Answer RunStatement(Server& aServer,
                      Session& aSession,
                      const std::string& aId,
                      std::string aText)
  {
    const std::string verb = PopWord(aText);
    if (verb == "COMMIT" || verb == "ROLLBACK") {
      return EndTransaction(aServer, aSession, aId, verb == "COMMIT");
    }
    if (aSession.failed_) {
      return { {}, "MALFORMED" };
    }
    if (verb == "BEGIN") {
      aSession.readOnly_ = aText == "READ";
      if (!aSession.readOnly_ && !aServer.primary_) {
        return { {}, "READONLY" };
      }
      aSession.inTransaction_ = true;
      aSession.termAtBegin_ = aServer.term_;
      return {};
    }
    if (verb == "READ" || verb == "WRITE") {
      const std::string item = PopWord(aText);
      return Access(aServer, aSession, aId, verb == "WRITE", item, aText);
    }
    if (verb == "EXECUTE") {
      const auto found = aSession.prepared_.find(PopWord(aText));
      if (found == aSession.prepared_.end()) {
        return { {}, "NOSTMT" };
      }
      const std::string item = PopWord(aText);
      return Access(aServer, aSession, aId, found->second, item, aText);
    }
    if (verb == "SET") {
      const std::string name = PopWord(aText);
      aSession.values_[name] = aText;
      return {};
    }
    if (verb == "PREPARE") {
      const std::string name = PopWord(aText);
      aSession.prepared_[name] = PopWord(aText) == "WRITE";
      return {};
    }
    if (verb == "DEALLOC") {
      aSession.prepared_.erase(aText);
      return {};
    }
    if (verb == "RESET") {
      aSession.values_.clear();
      aSession.prepared_.clear();
      return {};
    }
    if (verb == "STEPDOWN" && aServer.primary_ &&
        aServer.term_ < std::stoull(aText)) {
      aServer.primary_ = false;
    }
    if (verb == "STATUS" || verb == "STEPDOWN") {
      const std::size_t received = CountReceived(aServer);
      const std::uint64_t term = aServer.primary_ ? aServer.term_
                                 : received == 0
                                   ? 1
                                   : aServer.log_[received - 1].term_;
      return { { fmt::format("{} {} {}.{} 0 0 0 {}",
                             aServer.primary_ ? "primary" : "replica",
                             aServer.term_,
                             term,
                             received,
                             aServer.listener_->CountOpen()) } };
    }
    return { {}, "MALFORMED" };
  }

  std::string NextSignature(const Server& aServer)
  {
    return fmt::format("{}.{:x}", aServer.id_, ++signatures_);
  }

  Answer Access(Server& aServer,
                Session& aSession,
                const std::string& aId,
                bool aWrites,
                const std::string& aItem,
                const std::string& aData)
  {
    const bool plain = aSession.inTransaction_ && !aSession.readOnly_;
    const bool lost =
      plain && (!aServer.primary_ || aServer.term_ != aSession.termAtBegin_);
    if (lost || (aWrites && (!aServer.primary_ || aSession.readOnly_))) {
      return { {}, "READONLY" };
    }
    Answer answer;
    answer.signature_ = NextSignature(aServer);
    if (aWrites && aSession.inTransaction_) {
      aSession.writes_.emplace_back(aItem, aData);
    } else if (aWrites) {
      Append(aServer, aId, aItem, aData);
    } else {
      std::string value;
      const std::size_t visible = VisiblePoint(aServer).second;
      for (std::size_t i = 0; i < visible; i++) {
        const LogEntry& entry = aServer.log_[i];
        value = entry.item_ == aItem ? entry.data_ : value;
      }
      answer.rows_.push_back(value);
    }
    return answer;
  }

  Answer EndTransaction(Server& aServer,
                        Session& aSession,
                        const std::string& aId,
                        bool aCommits)
  {
    const auto writes = std::exchange(aSession.writes_, {});
    const bool lost =
      !writes.empty() &&
      (!aServer.primary_ || aServer.term_ != aSession.termAtBegin_);
    const bool failed = std::exchange(aSession.failed_, false);
    aSession.inTransaction_ = false;
    if (!aCommits) {
      return {};
    }
    if (failed || lost) {
      return { {}, failed ? "ABORTED" : "READONLY" };
    }
    for (const auto& [item, data] : writes) {
      Append(aServer, aId, item, data);
    }
    Answer answer;
    answer.signature_ = NextSignature(aServer);
    return answer;
  }

  // Replicas follow the primary of the highest term.
  void Append(Server& aServer,
              const std::string& aId,
              const std::string& aItem,
              const std::string& aData)
  {
    record_.Add("at {} id={} commits {} {} at {}.{}",
                aServer.id_,
                aId,
                aItem,
                aData,
                aServer.term_,
                aServer.log_.size() + 1);
    const bool isFollowed = &FindPrimary() == &aServer;
    for (const auto& server : servers_) {
      const bool receives = server.get() == &aServer ||
                            (isFollowed && server->up_ && !server->primary_);
      if (receives) {
        const Ms received = Now() + TransferOf(*server);
        server->log_.push_back(
          { aServer.term_, aItem, aData, received, received + config_.lagMs_ });
      }
    }
  }

  // ---- Heartbeats

  void SendHeartbeats(Server& aServer)
  {
    std::size_t next = static_cast<std::size_t>(aServer.id_.back());
    std::optional<Ms> leaveAckedAt;
    bool lastPrimary = aServer.primary_;
    bool lastDraining = false;
    while (true) {
      std::string body;
      bool draining = false;
      {
        const std::scoped_lock lock(mutex_);
        if (!aServer.up_) {
          return;
        }
        draining = aServer.draining_;
        lastPrimary = aServer.primary_;
        lastDraining = draining;
        body = fmt::format(
          R"({{"service":"{}","address":"{}:{}","zone":"{}","version":"v1",)"
          R"("slots":3,"state":"{}","{}":0,"dbRole":"{}",)"
          R"("born":{},"seqNo":{}}})",
          config_.service_,
          aServer.address_.host_,
          aServer.address_.port_,
          aServer.zone_,
          draining ? "draining" : "ready",
          Word("cold"),
          aServer.primary_ ? "primary" : "replica",
          aServer.born_,
          ++aServer.sequence_);
      }
      const Address& to = config_.controls_[next % config_.controls_.size()];
      const int status =
        CallHttp(to, "POST", Word("heartbeat_path") + aServer.id_, body, 1000)
          .status_;
      next += status / 100 == 2 ? 0U : 1U;
      if (draining && status / 100 == 2 && !leaveAckedAt) {
        leaveAckedAt = Now();
        record_.Add("server {}: leave acknowledged", aServer.id_);
      }
      if (leaveAckedAt && Now() - *leaveAckedAt > config_.drainMs_ + 500) {
        CallHttp(to, "POST", Word("deregister_path") + aServer.id_, "{}", 1000);
        {
          const std::scoped_lock lock(mutex_);
          aServer.up_ = false;
        }
        aServer.listener_->Stop();
        record_.Add("server {} has ended", aServer.id_);
        return;
      }
      // A change is reported at once.
      const Ms until = Now() + (status / 100 == 2 ? config_.heartbeatMs_ : 100);
      while (Now() < until) {
        SleepMs(20);
        const std::scoped_lock lock(mutex_);
        if (aServer.primary_ != lastPrimary ||
            aServer.draining_ != lastDraining) {
          break;
        }
      }
    }
  }

  // ---- Promotions

  void ServePlatform(Stream& aStream)
  {
    while (auto request = ReadHttp(aStream, 30'000)) {
      const std::string server = FindJsonText(request->body_, "id");
      const int status = Accept(server);
      record_.Add("platform: promotion of {}, holder={} token={} -> {}",
                  server,
                  request->headers_["x-jaydoor-duty-holder"],
                  request->headers_["x-jaydoor-fencing-token"],
                  status);
      AnswerHttp(aStream, status, "{}");
    }
  }

  // Begins a promotion. For the present primary, or the one that is about to
  // be, nothing changes.
  int Accept(const std::string& aServer)
  {
    const std::scoped_lock lock(mutex_);
    const auto found =
      std::find_if(servers_.begin(), servers_.end(), [&](const auto& aOther) {
        return aOther->id_ == aServer && aOther->up_;
      });
    if (found == servers_.end()) {
      return 409;
    }
    const Server& present = FindPrimary();
    const bool isPresent = present.primary_ && &present == found->get();
    if (promotingServer_ == aServer ||
        (promotingServer_.empty() && isPresent)) {
      return 200;
    }
    promotingServer_ = aServer;
    std::thread([this, aServer] { Promote(aServer); }).detach();
    return 200;
  }

  void Promote(const std::string& aServer)
  {
    SleepMs(config_.promoteMs_);
    std::uint64_t term = 0;
    {
      const std::scoped_lock lock(mutex_);
      if (promotingServer_ == aServer) {
        promotingServer_.clear();
      }
      for (const auto& server : servers_) {
        term = std::max(term, server->term_);
      }
      term++;
      Server* leader = nullptr;
      for (const auto& server : servers_) {
        leader = server->id_ == aServer && server->up_ ? server.get() : leader;
      }
      if (leader == nullptr) {
        return;
      }
      leader->log_.resize(CountReceived(*leader));
      leader->primary_ = true;
      leader->term_ = term;
      Promotion promotion{ Now(), aServer, term, {} };
      for (const auto& entry : leader->log_) {
        promotion.log_.insert(entry.data_);
      }
      promotions_.push_back(std::move(promotion));
      record_.Add("server {} leads term {} from log position {}",
                  aServer,
                  term,
                  leader->log_.size());
      for (const auto& server : servers_) {
        if (server->up_ && !server->primary_) {
          server->log_ = leader->log_;
          server->term_ = term;
        }
      }
    }
    SleepMs(config_.replacedMs_);
    const std::scoped_lock lock(mutex_);
    const Server& leader = FindPrimary();
    for (const auto& server : servers_) {
      if (server->up_ && server->primary_ && server.get() != &leader) {
        server->primary_ = false;
        server->log_ = leader.log_;
        server->term_ = leader.term_;
        record_.Add("server {} follows {} now", server->id_, leader.id_);
      }
    }
  }

  GroupConfig config_;
  Record& record_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<Listener> platform_;
  std::string promotingServer_;
  std::vector<Promotion> promotions_;
  std::uint64_t signatures_ = 0;
};

// ---- 5. The processes of jaydoor

inline constexpr int kCallerPort = 8784;
inline constexpr int kReadyPort = 8785;
inline constexpr int kControlPort = 8782;
inline constexpr int kPlatformPort = 8783;
inline constexpr int kServerPort = 9001;
inline constexpr int kFirstInternalPort = 7440;

// Addresses 127.N.ZONE.HOST, with an N at which they are free.
class Places
{
public:
  Places()
  {
    for (int tries = 0; tries < 100; tries++) {
      network_ = 20 + (static_cast<int>(getpid()) + tries * 7) % 200;
      const int probe = ListenAt(Control(1));
      if (probe >= 0) {
        close(probe);
        return;
      }
    }
  }

  std::string Host(int aZone, int aHost) const
  {
    return fmt::format("127.{}.{}.{}", network_, aZone, aHost);
  }
  // Those from the fourth on are successors, in the zones in turn.
  Address Control(int aNumber) const
  {
    return { Host((aNumber - 1) % 3 + 1, aNumber <= 3 ? 1 : 40 + aNumber),
             kControlPort };
  }
  // Entry VMs are in the zones in turn.
  Address Entry(int aNumber) const
  {
    return { Host((aNumber - 1) % 3 + 1, 2 + (aNumber - 1) / 3), kCallerPort };
  }
  Address Server(int aNumber) const
  {
    return { Host(aNumber % 3 + 1, 100 + aNumber / 3), kServerPort };
  }
  Address Platform() const { return { Host(1, 200), kPlatformPort }; }

private:
  int network_ = 20;
};

class Fleet
{
public:
  Fleet(const Places& aPlaces, std::string aProgram, Record& aRecord)
    : places_(aPlaces)
    , program_(std::move(aProgram))
    , record_(aRecord)
  {
    std::string folder =
      (std::filesystem::temp_directory_path() / "jaydoor-review-XXXXXX")
        .string();
    folder_ = mkdtemp(folder.data());
  }
  ~Fleet() { End(); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Ends all processes and removes their files.
  void End()
  {
    processes_.clear();
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }
  void StartAll(int aEntries)
  {
    for (int number = 1; number <= 3; number++) {
      Start(fmt::format("core-{}", number), true);
    }
    for (int number = 1; number <= aEntries; number++) {
      Start(fmt::format("frontend-{}", number), true);
    }
  }

  void Start(const std::string& aName, bool aBootstrap)
  {
    const bool isCore = aName.starts_with("core");
    const int number = std::stoi(aName.substr(aName.find('-') + 1));
    const Address at = isCore ? places_.Control(number) : places_.Entry(number);
    const Address api = places_.Platform();
    const std::string path = fmt::format("{}/{}.yaml", folder_, aName);
    std::ofstream file(path);
    file << fmt::format(
      "nodeName: \"{}\"\nrole: \"{}\"\nmachineClass: \"{}\"\n"
      "serves: [\"{}\"]\nip: \"{}\"\nzone: \"zone-{}\"\nregion: \"r\"\n"
      "internalPortRange: [{}, {}]\n"
      "seeds: [\"{}:{}\", \"{}:{}\", \"{}:{}\"]\nbootstrap: {}\n"
      "faultCounted: {}\n"
      "limits: {{cpuShare: 0.5, cores: 1, memoryMb: {}, maxFds: {}}}\n"
      "discovery: \"registration\"\nentryMode: \"vip\"\n"
      "{}: 1200\n"
      "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", "
      "\"sql\"]\n"
      "faultTolerance: {{machines: 1, zones: 1, regions: 0}}\n"
      "bounds: {{seedLagS: 3, addrReuseS: 2, stableWindowMs: 4000, ackMs: "
      "5000, catchUpS: 4, drainMs: 7000, graceS: 6, lossSlackMs: 200, "
      "configApplyMs: 3000, revertSlackMs: 250, outerMs: 12000, recoveryS: "
      "12, fencingRequired: false, thawMs: 300}}\n"
      "config_mode: \"highest\"\n"
      "cloudApi: {{address: \"{}:{}\", ratePerS: 50.0, duties: "
      "[\"failover\"], dutyPerS: 50.0}}\n",
      aName,
      isCore ? "control" : "proxy",
      isCore ? "core" : "frontend",
      isCore ? "control_plane" : "frontend",
      at.host_,
      (number - 1) % 3 + 1,
      kFirstInternalPort,
      kFirstInternalPort + 15,
      places_.Control(1).host_,
      kControlPort,
      places_.Control(2).host_,
      kControlPort,
      places_.Control(3).host_,
      kControlPort,
      aBootstrap,
      isCore,
      isCore ? 256 : 520,
      isCore ? 4096 : 8400,
      Word("beat_interval"),
      api.host_,
      api.port_);
    if (isCore) {
      file << fmt::format(
        "listen: {{control: \"{}:{}\"}}\ndataDir: \"{}/{}\"\n",
        at.host_,
        at.port_,
        folder_,
        aName);
    } else {
      file << fmt::format(
        "listen: {{front: \"{}:{}\", ready: \"{}:{}\"}}\ndataDir: null\n",
        at.host_,
        at.port_,
        at.host_,
        kReadyPort);
    }
    file.close();
    processes_[aName] = std::make_unique<standin::Process>(
      std::vector<std::string>{ program_, "platform" },
      fmt::format("{}/{}.log", folder_, aName),
      std::vector<std::string>{ Word("settings_variable") + "=" + path });
    record_.Add("{} starts", aName);
  }

  standin::Process& Get(const std::string& aName)
  {
    return *processes_.at(aName);
  }
  void Signal(const std::string& aName, int aSignal)
  {
    record_.Add("{} gets signal {}", aName, aSignal);
    processes_.at(aName)->Signal(aSignal);
  }
  // Deletes the disk of a process that does not run.
  void DeleteDisk(const std::string& aName)
  {
    std::filesystem::remove_all(fmt::format("{}/{}", folder_, aName));
    record_.Add("{} has lost its disk", aName);
  }

  // Returns the name of the control process that leads; empty if none does.
  std::string FindLeader() const
  {
    for (int number = 1; number <= 3; number++) {
      Address at = places_.Control(number);
      at.port_ = kFirstInternalPort + 1;
      const auto answer = CallHttp(at, "GET", "/metrics", "", 1000);
      if (answer.body_.find("jaydoor_is_leader 1") != std::string::npos) {
        return fmt::format("core-{}", number);
      }
    }
    return {};
  }

  // Sends a configuration until it is acknowledged.
  bool Configure(const std::string& aBody, Ms aTimeout)
  {
    const Ms until = Now() + aTimeout;
    for (int turn = 0; Now() < until; turn++) {
      const Address to = places_.Control(turn % 3 + 1);
      const int status =
        CallHttp(to, "POST", Word("replace_path"), aBody, 1000).status_;
      record_.Add("operator: a configuration to {} -> {}", to.host_, status);
      if (status == 200) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

  bool AwaitReady(int aEntries, Ms aTimeout) const
  {
    const Ms until = Now() + aTimeout;
    while (Now() < until) {
      bool ready = true;
      for (int number = 1; number <= aEntries; number++) {
        Address at = places_.Entry(number);
        at.port_ = kReadyPort;
        ready =
          ready && CallHttp(at, "GET", "/readiness", "", 1000).status_ == 200;
      }
      if (ready) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

private:
  const Places& places_;
  std::string program_;
  Record& record_;
  std::string folder_;
  std::map<std::string, std::unique_ptr<standin::Process>> processes_;
};

// Ends the program without waiting for the threads of the stand-ins.
[[noreturn]] inline void
Finish(Fleet& aFleet, int aExitCode)
{
  aFleet.End();
  std::fflush(stdout);
  std::_Exit(aExitCode);
}

inline std::string
MakeConfig(int aVersion, int aSyncReplicas = 0)
{
  const auto route = [](const std::string& aName, int aStalenessMs) {
    const std::string staleness =
      aStalenessMs == 0
        ? std::string()
        : fmt::format(R"(,"{}":{})", Word("staleness"), aStalenessMs);
    return fmt::format(
      R"({{"name":"r-{0}","host":"{0}","pathPrefix":"/","{1}":"{0}",)"
      R"("timeoutMs":1000,"{2}":200,"priority":0,)"
      R"("service":"db","maxAttempts":2{3}}})",
      aName,
      Word("route_type"),
      Word("target"),
      staleness);
  };
  return fmt::format(
    R"({{"version":{},"routes":[{},{},{}],"services":[{{"name":"db",)"
    R"("healthPath":"/health","maxConns":21,"protocol":"h1","tls":false,)"
    R"("syncReplicas":{}}}],"limits":{{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,)"
    R"("txIdleMs":3000}}}})",
    aVersion,
    route("primary", 0),
    route("read_your_writes", 2500),
    route(Word("bounded"), 1500),
    aSyncReplicas);
}

// ---- 6. Clients

struct Outcome
{
  std::string id_;
  std::string text_;
  std::string data_; // of a write
  Ms sentAt_ = 0;
  Ms answeredAt_ = 0;
  std::vector<std::string> rows_;
  std::string result_; // "COMPLETE", an error's code, "closed" or "silent"
  std::string signature_;
};

class Outcomes
{
public:
  explicit Outcomes(Record& aRecord)
    : record_(aRecord)
  {
  }

  void Add(const Outcome& aOutcome)
  {
    record_.Add("client id={} {} sent {} -> {} {}",
                aOutcome.id_,
                aOutcome.text_,
                aOutcome.sentAt_,
                aOutcome.result_,
                aOutcome.signature_);
    const std::scoped_lock lock(mutex_);
    outcomes_.push_back(aOutcome);
  }
  std::vector<Outcome> Copy()
  {
    const std::scoped_lock lock(mutex_);
    return outcomes_;
  }

private:
  Record& record_;
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
};

inline std::string
NextId()
{
  static std::atomic<std::uint64_t> number = 0;
  return fmt::format("{:016x}", ++number);
}

class Client
{
public:
  Client(Address aEntry, std::string aDatabase, Outcomes& aOutcomes)
    : entry_(std::move(aEntry))
    , database_(std::move(aDatabase))
    , outcomes_(aOutcomes)
  {
  }

  // Opens the session unless it is open.
  bool Open()
  {
    if (stream_ && stream_->IsOpen()) {
      return true;
    }
    stream_ = std::make_unique<Stream>(entry_);
    stream_->Write(fmt::format("OPEN {} user\r\n", database_));
    const auto line = stream_->ReadLine(2000);
    if (!line || !line->starts_with("READY")) {
      stream_.reset();
      return false;
    }
    return true;
  }
  void Close() { stream_.reset(); }

  Outcome Query(const std::string& aText, const std::string& aData = {})
  {
    Outcome outcome;
    outcome.id_ = NextId();
    outcome.text_ = aText;
    outcome.data_ = aData;
    outcome.sentAt_ = Now();
    outcome.result_ = "closed";
    if (stream_) {
      stream_->Write(fmt::format("QUERY {} {}\r\n", outcome.id_, aText));
      while (true) {
        const auto line = stream_->ReadLine(4000);
        if (!line) {
          outcome.result_ = stream_->IsOpen() ? "silent" : "closed";
          stream_.reset();
          break;
        }
        std::string rest = *line;
        const std::size_t blank = std::min(rest.find(' '), rest.size());
        const std::string word = rest.substr(0, blank);
        rest.erase(0, std::min(blank + 1, rest.size()));
        if (word == "ROW") {
          outcome.rows_.push_back(rest);
        } else if (word == "COMPLETE") {
          outcome.result_ = "COMPLETE";
          outcome.signature_ = rest;
        } else if (word == "ERROR") {
          outcome.result_ = rest.substr(0, rest.find(' '));
        } else if (word == "READY") {
          break;
        }
      }
    }
    outcome.answeredAt_ = Now();
    outcomes_.Add(outcome);
    return outcome;
  }

private:
  Address entry_;
  std::string database_;
  Outcomes& outcomes_;
  std::unique_ptr<Stream> stream_;
};

} // namespace jaydoor::rig
