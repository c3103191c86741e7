#include "tests/LineDeployment.h"

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace jaydoor::tests {
namespace {

namespace fs = std::filesystem;

constexpr std::uint16_t kServerPort = 9001;
constexpr std::uint16_t kPromotionPort = 8783;
constexpr int kZones = 3;
constexpr int kPromotionHost = 200;
constexpr int kServerHost = 100;
constexpr Duration kCallTimeout = 2s;
constexpr int kLineTimeoutMs = 10'000;

// Numbers of "control-2" and "entry-5" are 2 and 5.
int
GetNumber(const std::string& aName)
{
  return std::stoi(aName.substr(aName.find('-') + 1));
}

// VMs are in the zones in turn.
int
GetZone(int aNumber)
{
  return (aNumber - 1) % kZones + 1;
}

// Returns the statement without the name of its prepared statement, which
// differs between callers and servers.
std::string
RemoveName(const std::string& aText)
{
  if (!aText.starts_with("EXECUTE ") && !aText.starts_with("PREPARE ")) {
    return aText;
  }
  const std::size_t start = aText.find(' ') + 1;
  return aText.substr(0, start) +
         aText.substr(std::min(aText.find(' ', start), aText.size()));
}

// True for what a VM or a control VM may send to a server on its own, unless
// it depends on what callers sent.
bool
IsProxyStatement(const std::string& aText)
{
  return aText == "BEGIN" || aText == "BEGIN READ" || aText == "ROLLBACK" ||
         aText == "RESET" || aText == "STATUS" ||
         aText.starts_with("STEPDOWN ");
}

// True if a caller sent the statement, or what the statement prepares. `aTexts`
// are the texts of all that callers sent, without names.
bool
IsAsked(const ReceivedStatement& aStatement,
        const std::map<std::string, SentStatement>& aSent,
        const std::set<std::string>& aTexts)
{
  const std::string text = RemoveName(aStatement.text_);
  if (aStatement.id_ != "-") {
    const auto sender = aSent.find(aStatement.id_);
    return sender != aSent.end() && RemoveName(sender->second.text_) == text;
  }
  const bool preparesSession =
    text.starts_with("SET ") || text.starts_with("PREPARE ");
  return preparesSession ? aTexts.contains(text) : IsProxyStatement(text);
}

// True for statements whose success needs the answer of a server.
bool
NeedsServer(const std::string& aText)
{
  return aText.starts_with("READ ") || aText.starts_with("WRITE ") ||
         aText.starts_with("EXECUTE ") || aText == "COMMIT";
}

} // namespace

// ---- Callers

void
SentStatements::Add(const std::string& aId, const std::string& aText)
{
  const std::scoped_lock lock(mutex_);
  statements_[aId].text_ = aText;
}

void
SentStatements::SetAnswer(const std::string& aId,
                          std::vector<std::string> aAnswer)
{
  const std::scoped_lock lock(mutex_);
  statements_[aId].answer_ = std::move(aAnswer);
}

std::map<std::string, SentStatement>
SentStatements::Copy() const
{
  const std::scoped_lock lock(mutex_);
  return statements_;
}

LineCaller::LineCaller(const std::string& aHost,
                       std::uint16_t aPort,
                       SentStatements* aSent)
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  , sent_(aSent)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  connected_ = connect(socket_,
                       reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0;
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

LineCaller::~LineCaller()
{
  close(socket_);
}

void
LineCaller::Write(std::string_view aBytes)
{
  while (connected_ && !aBytes.empty()) {
    const ssize_t sent =
      send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    connected_ = sent > 0;
    aBytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
  }
}

std::string
LineCaller::ReadLine()
{
  std::size_t end = bytes_.find("\r\n");
  while (end == std::string::npos) {
    if (!connected_) {
      return "closed";
    }
    pollfd readable{ socket_, POLLIN, 0 };
    if (poll(&readable, 1, kLineTimeoutMs) == 0) {
      return "silent";
    }
    std::array<char, 4096> chunk{};
    const ssize_t size = recv(socket_, chunk.data(), chunk.size(), 0);
    connected_ = size > 0;
    bytes_.append(chunk.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    end = bytes_.find("\r\n");
  }
  std::string line = bytes_.substr(0, end);
  bytes_.erase(0, end + 2);
  return line;
}

std::vector<std::string>
LineCaller::Query(const std::string& aText)
{
  static std::atomic<int> number = 0;
  const std::string id = fmt::format("{:016x}", ++number);
  if (sent_ != nullptr) {
    sent_->Add(id, aText);
  }
  Write(fmt::format("QUERY {} {}\r\n", id, aText));
  std::vector<std::string> lines;
  do {
    lines.push_back(ReadLine());
  } while (!lines.back().starts_with("READY") && lines.back() != "closed" &&
           lines.back() != "silent");
  if (sent_ != nullptr) {
    sent_->SetAnswer(id, lines);
  }
  return lines;
}

bool
LineCaller::Open(const std::string& aDatabase, const std::string& aKey)
{
  Write(fmt::format("OPEN {} {}\r\n", aDatabase, aKey));
  return connected_ && ReadLine().starts_with("READY I");
}

bool
IsDone(const std::vector<std::string>& aLines)
{
  return aLines.size() >= 2 &&
         aLines[aLines.size() - 2].starts_with("COMPLETE");
}

bool
IsRefusal(const std::vector<std::string>& aLines)
{
  if (aLines.size() < 2) {
    return false;
  }
  const std::string& error = aLines[aLines.size() - 2];
  const auto isError = [&error](std::string_view aCode) {
    return error.starts_with(fmt::format("ERROR {}", aCode));
  };
  return isError("BUSY") || isError("ABORTED") || isError("LAGGING") ||
         isError("READONLY") || isError("WRONGSRV") || isError("CONNLIMIT");
}

// ---- The deployment

LineDeployment::LineDeployment(LineDeploymentConfig aConfig)
  : config_(std::move(aConfig))
{
  fs::create_directories(config_.folder_);
  LineGroupConfig group;
  group.service_ = "db";
  group.statementDuration_ = config_.statementDuration_;
  group.faults_ = config_.faults_;
  group.recordsStatements_ = config_.recordsStatements_;
  for (int zone = 1; zone <= kZones; zone++) {
    group.serverAddresses_.push_back(
      { MakeAddress(zone, kServerHost), kServerPort });
    group.zones_.push_back(fmt::format("zone-{}", zone));
    group.controlAddresses_.push_back({ ControlHost(zone), kControlPort });
  }
  group.promotionAddress_ = { MakeAddress(1, kPromotionHost), kPromotionPort };
  group_ = std::make_unique<LineGroup>(context_, std::move(group));
  started_ = group_->Start().has_value();
  thread_ = std::thread([this] { context_.run(); });
  for (int number = 1; number <= kZones; number++) {
    Start(fmt::format("control-{}", number), true);
  }
  for (int number = 1; number <= config_.entryVms_; number++) {
    Start(fmt::format("entry-{}", number), true);
  }
}

LineDeployment::~LineDeployment()
{
  processes_.clear();
  boost::asio::post(context_, [this] {
    group_.reset();
    context_.stop();
  });
  thread_.join();
  if (unreadLog_ >= 0) {
    close(unreadLog_);
  }
  if (!config_.keepsFolder_) {
    fs::remove_all(config_.folder_);
  }
}

void
LineDeployment::Start(const std::string& aName, bool aFirstStart)
{
  const bool control = aName.starts_with("control");
  const int number = GetNumber(aName);
  const std::string host = control ? ControlHost(number) : EntryHost(number);
  const std::string path = config_.folder_ + "/" + aName + ".yaml";
  std::ofstream file(path);
  file << fmt::format("nodeName: \"{}\"\nzone: \"zone-{}\"\nip: \"{}\"\n"
                      "internalPortRange: [{}, {}]\nbootstrap: {}\n"
                      "seeds: [\"{}:{}\", \"{}:{}\", \"{}:{}\"]\n"
                      "limits: {{{}}}\n"
                      "faultTolerance: {{machines: 1}}\n"
                      "bounds: {{graceS: 6, drainMs: 7000}}\n"
                      "cloudApi: {{address: \"{}:{}\"}}\n",
                      aName,
                      GetZone(number),
                      host,
                      kFirstInternalPort,
                      kFirstInternalPort + 15,
                      aFirstStart,
                      ControlHost(1),
                      kControlPort,
                      ControlHost(2),
                      kControlPort,
                      ControlHost(3),
                      kControlPort,
                      config_.limits_,
                      MakeAddress(1, kPromotionHost),
                      kPromotionPort);
  if (control) {
    file << fmt::format("listen: {{control: \"{}:{}\"}}\ndataDir: \"{}/{}\"\n",
                        host,
                        kControlPort,
                        config_.folder_,
                        aName);
  } else {
    file << fmt::format(
      "listen: {{front: \"{}:{}\", ready: \"{}:{}\"}}\ndataDir: null\n",
      host,
      kCallerPort,
      host,
      kReadinessPort);
  }
  file.close();
  processes_[aName] = std::make_unique<standin::Process>(
    std::vector<std::string>{ config_.build_ + "/daemon/jaydoord", "platform" },
    config_.folder_ + "/" + aName + ".log",
    std::vector<std::string>{ "JAYDOOR_NODE_FILE=" + path });
}

void
LineDeployment::StartWithUnreadLog(const std::string& aName)
{
  const std::string path = config_.folder_ + "/" + aName + ".log";
  fs::remove(path);
  mkfifo(path.c_str(), 0600);
  unreadLog_ = open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  Start(aName, false);
}

void
LineDeployment::WriteNodeFile(const std::string& aName,
                              const std::string& aText) const
{
  std::ofstream(config_.folder_ + "/" + aName + ".yaml") << aText;
}

std::size_t
LineDeployment::CountInLog(const std::string& aName,
                           const std::string& aText) const
{
  std::ifstream log(config_.folder_ + "/" + aName + ".log");
  std::size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    count += line.find(aText) != std::string::npos ? 1U : 0U;
  }
  return count;
}

void
LineDeployment::DeleteDisk(const std::string& aName) const
{
  fs::remove_all(config_.folder_ + "/" + aName);
}

standin::Process&
LineDeployment::GetProcess(const std::string& aName)
{
  return *processes_.at(aName);
}

std::string
LineDeployment::MakeAddress(int aZone, int aHostNumber) const
{
  return fmt::format("127.{}.{}.{}", config_.network_, aZone, aHostNumber);
}

std::string
LineDeployment::ControlHost(int aNumber) const
{
  return MakeAddress(aNumber, 1);
}

std::string
LineDeployment::EntryHost(int aNumber) const
{
  return MakeAddress(GetZone(aNumber), 2 + (aNumber - 1) / kZones);
}

std::unique_ptr<LineCaller>
LineDeployment::Connect(int aEntry) const
{
  return std::make_unique<LineCaller>(EntryHost(aEntry),
                                      kCallerPort,
                                      config_.recordsStatements_ ? &sent_
                                                                 : nullptr);
}

// ---- Calls

std::string
LineDeployment::MakeConfig(int aVersion, const std::string& aOrganisations)
{
  std::string routes;
  for (const char* kind :
       { "primary", "read_your_writes", "bounded_staleness" }) {
    routes += fmt::format(
      R"({}{{"name":"r-{}","host":"{}","pathPrefix":"/","routeType":"{}",)"
      R"("timeoutMs":5000,"targetLatencyMs":2000,"priority":1,)"
      R"("service":"db","maxAttempts":2,"maxStalenessMs":5000}})",
      routes.empty() ? "" : ",",
      kind,
      kind,
      kind);
  }
  return fmt::format(
    R"({{"version":{},"routes":[{}],"services":[{{"name":"db",)"
    R"("maxConns":40,"syncReplicas":0}}],"limits":{{"txIdleMs":3000}}{}}})",
    aVersion,
    routes,
    aOrganisations.empty() ? "" : R"(,"tenants":)" + aOrganisations);
}

std::string
LineDeployment::MakeOrganisations(
  const std::map<std::string, std::vector<std::string>>& aKeys)
{
  std::string organisations;
  for (const auto& [name, keys] : aKeys) {
    organisations += fmt::format(R"({}{{"name":"{}","apiKeys":["{}"]}})",
                                 organisations.empty() ? "" : ",",
                                 name,
                                 fmt::join(keys, "\",\""));
  }
  return "[" + organisations + "]";
}

std::string
LineDeployment::MakeHeartbeat(const std::string& aAddress,
                              const std::string& aSequence)
{
  return fmt::format(
    R"({{"service":"db","address":"{}","zone":"zone-1","version":"v1",)"
    R"("slots":5,"state":"ready","coldRemainingMs":0,)"
    R"("dbRole":"replica","seqNo":{},"born":1700000000000}})",
    aAddress,
    aSequence);
}

unsigned
LineDeployment::ReplaceConfig(int aControl, const std::string& aBody) const
{
  return CallAndWait(ControlHost(aControl),
                     kControlPort,
                     "/Config.Replace",
                     aBody,
                     kCallTimeout,
                     "")
    .status_;
}

unsigned
LineDeployment::SendHeartbeat(int aControl,
                              const std::string& aServer,
                              const std::string& aBody) const
{
  return CallAndWait(ControlHost(aControl),
                     kControlPort,
                     "/Instances.Heartbeat/" + aServer,
                     aBody,
                     kCallTimeout,
                     "")
    .status_;
}

HttpCallResult
LineDeployment::FetchConfig(int aControl) const
{
  return CallAndWait(
    ControlHost(aControl), kControlPort, "/Config.Fetch", "", kCallTimeout, "");
}

std::string
LineDeployment::FetchMetrics(int aEntry) const
{
  return CallAndWait(EntryHost(aEntry),
                     kFirstInternalPort + 1,
                     "/metrics",
                     "",
                     kCallTimeout,
                     "")
    .body_;
}

bool
LineDeployment::IsReady(int aEntry) const
{
  return CallAndWait(EntryHost(aEntry),
                     kReadinessPort,
                     "/readiness",
                     "",
                     kCallTimeout,
                     "")
           .status_ == 200;
}

bool
LineDeployment::WriteItem(int aEntry,
                          const std::string& aItem,
                          const std::string& aData)
{
  const auto caller = Connect(aEntry);
  return caller->Open("primary") &&
         IsDone(caller->Query(fmt::format("WRITE {} {}", aItem, aData)));
}

std::vector<std::string>
LineDeployment::FindMixedAndUnasked()
{
  // Copied before those sent, so that the senders of all are known.
  const auto received =
    RunOnGroupThread([](auto& aGroup) { return aGroup.ReceivedStatements(); });
  const auto sent = sent_.Copy();
  std::set<std::string> texts;
  for (const auto& [id, statement] : sent) {
    texts.insert(RemoveName(statement.text_));
  }
  std::vector<std::string> found;
  std::map<std::string, std::vector<std::vector<std::string>>> answers;
  for (const auto& statement : received) {
    if (!IsAsked(statement, sent, texts)) {
      found.push_back(fmt::format("nobody sent {:?}, which was run with id {}",
                                  statement.text_,
                                  statement.id_));
    }
    answers[statement.id_].push_back(statement.answer_);
  }
  for (const auto& [id, statement] : sent) {
    auto answer = statement.answer_;
    if (!NeedsServer(statement.text_) || !IsDone(answer)) {
      continue;
    }
    answer.pop_back(); // READY
    const auto& given = answers[id];
    if (std::find(given.begin(), given.end(), answer) == given.end()) {
      found.push_back(fmt::format("{:?} with id {} was answered {:?}, which no "
                                  "server has answered to it",
                                  statement.text_,
                                  id,
                                  fmt::join(answer, ", ")));
    }
  }
  return found;
}

} // namespace jaydoor::tests
