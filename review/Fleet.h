#pragma once

// A deployment whose control VMs call a platform that a case can slow down.
//
// The names that the platform uses on the wire are arguments of the cases: no
// source outside platform/ and tests/ may contain them.
//
// Sections:
//   1. The platform
//   2. The deployment

#include "platform/NodeFile.h"
#include "review/Case.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace jaydoor::review {

// ---- 1. The platform

inline constexpr int kZones = 3;
inline constexpr int kEntryVms = 2;
inline constexpr Duration kPromotionDelay = 600ms; // as on tagline-nz
inline constexpr std::uint16_t kServerPort = 9001;
inline constexpr std::uint16_t kPlatformPort = 8783;

struct PlatformNames
{
  std::string configPath_;   // of the call that replaces the configuration
  std::string holderHeader_; // names the VM that asks for a promotion
  std::string tokenHeader_;  // its fencing token
};

// The first argument of a case is the path of its record.
inline PlatformNames
ReadPlatformNames(char** aArguments)
{
  return { aArguments[2], aArguments[3], aArguments[4] };
}

inline sockaddr_in
MakeSocketAddress(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

// The platform's promotion service. It passes calls on to the stand-in that
// promotes, in the order in which they came.
//
// It can be slow in two ways: its queue of new connections is full, so that
// further ones have to wait, or it takes a while to handle a call.
class Platform
{
public:
  Platform(PlatformNames aNames,
           const std::string& aHost,
           std::string aPromoter,
           Record& aRecord)
    : names_(std::move(aNames))
    , host_(aHost)
    , promoter_(std::move(aPromoter))
    , record_(aRecord)
    , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = MakeSocketAddress(host_, kPlatformPort);
    listening_ = bind(listener_,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0 &&
                 listen(listener_, 0) == 0;
    thread_ = std::thread([this] { Accept(); });
  }
  ~Platform()
  {
    stopping_ = true;
    thread_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
    for (const int filler : fillers_) {
      close(filler);
    }
    close(listener_);
  }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  bool IsListening() const { return listening_; }
  bool HasSeenLowerToken() const { return seenLower_; }
  std::uint64_t HighestToken() const { return highest_; }

  void BecomeSlow()
  {
    slow_ = true;
    std::this_thread::sleep_for(100ms);
    constexpr int kFillers = 4;
    const auto address = MakeSocketAddress(host_, kPlatformPort);
    for (int i = 0; i < kFillers; i++) {
      const int filler =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      (void)connect(
        filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      fillers_.push_back(filler);
    }
    record_.Write("the platform is slow: its queue of connections is full");
  }

  // Each call is handled this long after it was received.
  void SetCallDelay(Duration aDelay)
  {
    callDelay_ = aDelay;
    record_.Write("the platform takes {} ms to handle a call", CountMs(aDelay));
  }

  void Recover()
  {
    slow_ = false;
    record_.Write("the platform is no longer slow");
  }

private:
  static constexpr unsigned kOk = 200;

  void Accept()
  {
    while (!stopping_) {
      pollfd readable{ listener_, POLLIN, 0 };
      constexpr int kPollMs = 5;
      if (slow_ || poll(&readable, 1, kPollMs) <= 0) {
        std::this_thread::sleep_for(1ms);
        continue;
      }
      const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection >= 0) {
        threads_.emplace_back([this, connection] { Serve(connection); });
      }
    }
  }

  void Serve(int aConnection)
  {
    std::string request;
    std::array<char, 4096> chunk{};
    while (!stopping_ && !IsWhole(request)) {
      pollfd readable{ aConnection, POLLIN, 0 };
      constexpr int kPollMs = 50;
      if (poll(&readable, 1, kPollMs) <= 0) {
        continue;
      }
      const ssize_t size = recv(aConnection, chunk.data(), chunk.size(), 0);
      if (size <= 0) {
        break;
      }
      request.append(chunk.data(), static_cast<std::size_t>(size));
    }
    if (IsWhole(request)) {
      std::this_thread::sleep_for(callDelay_.load());
      const unsigned status = Handle(request);
      const std::string answer =
        fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\n"
                    "Content-Length: 2\r\n\r\n{{}}",
                    status);
      send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    close(aConnection);
  }

  static bool IsWhole(const std::string& aRequest)
  {
    const std::size_t body = aRequest.find("\r\n\r\n");
    return body != std::string::npos &&
           aRequest.size() >=
             body + 4 +
               static_cast<std::size_t>(
                 std::atoi(FindHeader(aRequest, "Content-Length").c_str()));
  }

  static std::string FindHeader(const std::string& aRequest,
                                const std::string& aName)
  {
    const std::size_t at = aRequest.find("\r\n" + aName + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t start = at + aName.size() + 4;
    return aRequest.substr(start, aRequest.find("\r\n", start) - start);
  }

  unsigned Handle(const std::string& aRequest)
  {
    const std::string holder = FindHeader(aRequest, names_.holderHeader_);
    const std::uint64_t token =
      std::stoull("0" + FindHeader(aRequest, names_.tokenHeader_));
    const std::string body = aRequest.substr(aRequest.find("\r\n\r\n") + 4);
    {
      const std::lock_guard lock(mutex_);
      const bool lower = token < highest_;
      seenLower_ = seenLower_ || lower;
      record_.Write("POST /promotion from {} with token {} {}: {}",
                    holder,
                    token,
                    lower ? fmt::format("below {}", highest_.load()) : "",
                    body);
      highest_ = std::max(highest_.load(), token);
      if (body == promotedBy_) {
        return kOk; // for the present primary, the call changes nothing
      }
    }
    const unsigned status =
      CallAndWait(promoter_, kPlatformPort, "/promotion", body, 2s, "").status_;
    if (status == kOk) {
      const std::lock_guard lock(mutex_);
      promotedBy_ = body;
      record_.Write("it takes effect in {} ms", CountMs(kPromotionDelay));
    }
    return status;
  }

  PlatformNames names_;
  std::string host_;
  std::string promoter_;
  Record& record_;
  int listener_ = -1;
  bool listening_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> slow_ = false;
  std::atomic<Duration> callDelay_ = Duration{};
  std::atomic<bool> seenLower_ = false;
  std::atomic<std::uint64_t> highest_ = 0;
  std::mutex mutex_;
  std::string promotedBy_; // body of the last call that promoted a server
  std::vector<int> fillers_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

// ---- 2. The deployment

// Three control VMs, two entry VMs, and a group of three database servers.
class Deployment
{
public:
  Deployment(PlatformNames aNames, Record& aRecord)
    : names_(std::move(aNames))
    , config_(MakeDeploymentConfig(kEntryVms))
    , record_(aRecord)
  {
    std::filesystem::create_directories(config_.folder_);
    tests::LineGroupConfig group;
    group.service_ = "db";
    group.promotionDelay_ = kPromotionDelay;
    for (int zone = 1; zone <= kZones; zone++) {
      group.serverAddresses_.push_back({ Host(zone, 100), kServerPort });
      group.zones_.push_back(fmt::format("zone-{}", zone));
      group.controlAddresses_.push_back({ Host(zone, 1), tests::kControlPort });
    }
    group.promotionAddress_ = { Host(1, 201), kPlatformPort };
    group_ = std::make_unique<tests::LineGroup>(context_, std::move(group));
    started_ = group_->Start().has_value();
    thread_ = std::thread([this] { context_.run(); });
    platform_.emplace(names_, Host(1, 200), Host(1, 201), record_);
    for (int zone = 1; zone <= kZones; zone++) {
      Start(fmt::format("control-{}", zone), zone, Host(zone, 1), true);
    }
    for (int zone = 1; zone <= kEntryVms; zone++) {
      Start(fmt::format("entry-{}", zone), zone, Host(zone, 2), false);
    }
  }
  ~Deployment()
  {
    processes_.clear();
    boost::asio::post(context_, [this] {
      group_.reset();
      context_.stop();
    });
    thread_.join();
    platform_.reset();
    std::filesystem::remove_all(config_.folder_);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool IsStarted() const { return started_ && platform_->IsListening(); }
  Platform& GetPlatform() { return *platform_; }
  standin::Process& GetProcess(const std::string& aName)
  {
    return *processes_.at(aName);
  }

  std::string Host(int aZone, int aNumber) const
  {
    return fmt::format("127.{}.{}.{}", config_.network_, aZone, aNumber);
  }

  // The control VM that was elected last, by the processes' logs.
  std::string FindLeader() const
  {
    std::string leader;
    std::string latest;
    for (int zone = 1; zone <= kZones; zone++) {
      const std::string name = fmt::format("control-{}", zone);
      std::ifstream log(config_.folder_ + "/" + name + ".log");
      for (std::string line; std::getline(log, line);) {
        const bool isElection =
          line.find("leader_elected") != std::string::npos;
        if (isElection && line.substr(0, 24) > latest) {
          latest = line.substr(0, 24);
          leader = name;
        }
      }
    }
    return leader;
  }

  bool Serve()
  {
    constexpr Duration kStartLimit = 30s;
    const auto document = tests::LineDeployment::MakeConfig(1);
    return WaitUntil(kStartLimit,
                     [&] {
                       return CallAndWait(Host(1, 1),
                                          tests::kControlPort,
                                          names_.configPath_,
                                          document,
                                          2s,
                                          "")
                                .status_ == 200;
                     }) &&
           WaitUntil(kStartLimit, [&] { return Write(1, "first", "x"); }) &&
           WaitUntil(kStartLimit, [&] { return Write(2, "first", "x"); });
  }

  bool Write(int aEntry, const std::string& aItem, const std::string& aData)
  {
    tests::LineCaller caller(Host(aEntry, 2), tests::kCallerPort);
    return caller.Open("primary") && tests::IsDone(caller.Query(fmt::format(
                                       "WRITE {} {}", aItem, aData)));
  }

  // Returns the values committed for the item in the log of the primary with
  // the highest term.
  std::vector<std::string> ListCommittedValues(const std::string& aItem)
  {
    std::promise<std::vector<std::string>> done;
    boost::asio::post(
      context_, [&] { done.set_value(group_->ListCommittedValues(aItem)); });
    return done.get_future().get();
  }

  // The primary says that it leaves.
  void ReleasePrimary()
  {
    boost::asio::post(context_, [this] { group_->Leave(group_->Primary()); });
  }

private:
  void Start(const std::string& aName,
             int aZone,
             const std::string& aHost,
             bool aControl)
  {
    const std::string path = config_.folder_ + "/" + aName + ".yaml";
    std::ofstream file(path);
    file << fmt::format(
      "nodeName: \"{}\"\nzone: \"zone-{}\"\nip: \"{}\"\n"
      "internalPortRange: [{}, {}]\nbootstrap: true\n"
      "limits: {{maxFds: 4096}}\nfaultTolerance: {{machines: 1}}\n"
      "bounds: {{graceS: 6, drainMs: 7000}}\n"
      "cloudApi: {{address: \"{}:{}\"}}\nseeds:\n",
      aName,
      aZone,
      aHost,
      tests::kFirstInternalPort,
      tests::kFirstInternalPort + 15,
      Host(1, 200),
      kPlatformPort);
    for (int zone = 1; zone <= kZones; zone++) {
      file << fmt::format(
        "  - \"{}:{}\"\n", Host(zone, 1), tests::kControlPort);
    }
    if (aControl) {
      file << fmt::format(
        "listen: {{control: \"{}:{}\"}}\ndataDir: \"{}/{}\"\n",
        aHost,
        tests::kControlPort,
        config_.folder_,
        aName);
    } else {
      file << fmt::format(
        "listen: {{front: \"{}:{}\", ready: \"{}:{}\"}}\ndataDir: null\n",
        aHost,
        tests::kCallerPort,
        aHost,
        tests::kReadinessPort);
    }
    file.close();
    processes_[aName] = std::make_unique<standin::Process>(
      std::vector<std::string>{ config_.build_ + "/daemon/jaydoord",
                                "platform" },
      config_.folder_ + "/" + aName + ".log",
      std::vector<std::string>{
        fmt::format("{}={}", platform::kNodeFileVariable, path) });
  }

  PlatformNames names_;
  tests::LineDeploymentConfig config_;
  Record& record_;
  boost::asio::io_context context_{ 1 };
  std::unique_ptr<tests::LineGroup> group_;
  std::thread thread_;
  std::optional<Platform> platform_;
  std::map<std::string, std::unique_ptr<standin::Process>> processes_;
  bool started_ = false;
};

} // namespace jaydoor::review
