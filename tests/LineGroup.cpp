#include "tests/LineGroup.h"

#include "daemon/Clock.h"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <fcntl.h>
#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// A caller's message of 1 MiB, with the log point that the proxy adds to it.
constexpr std::size_t kMaxLineBytes = (1U << 20) + 128;
constexpr std::string_view kLineEnd = "\r\n";
constexpr Duration kHeartbeatTimeout = 1s;

std::string_view
PopWord(std::string_view& aRest)
{
  const std::size_t end = std::min(aRest.find(' '), aRest.size());
  const std::string_view word = aRest.substr(0, end);
  aRest.remove_prefix(std::min(end + 1, aRest.size()));
  return word;
}

// Parses "TERM.NUMBER".
std::pair<std::uint64_t, std::size_t>
ReadPoint(const std::string& aText)
{
  const std::size_t dot = aText.find('.');
  return { std::stoull(aText), std::stoull(aText.substr(dot + 1)) };
}

// Without it the processes that the test starts would keep the sockets open.
template<typename Socket>
void
CloseOnExec(Socket& aSocket)
{
  fcntl(aSocket.native_handle(), F_SETFD, FD_CLOEXEC);
}

} // namespace

LineGroup::LineGroup(asio::io_context& aContext, LineGroupConfig aConfig)
  : context_(aContext)
  , config_(std::move(aConfig))
  , promotionServer_(
      aContext,
      HttpLimits{},
      [this](HttpRequest aCall) { return HandlePromotion(std::move(aCall)); })
  , servers_(config_.serverAddresses_.size())
  , random_(config_.faults_.seed_)
{
  for (std::size_t i = 0; i < servers_.size(); i++) {
    servers_[i].id_ = fmt::format("{}-{}", config_.service_, i);
    servers_[i].primary_ = i == 0;
  }
}

LineGroup::~LineGroup()
{
  for (std::size_t i = 0; i < servers_.size(); i++) {
    Crash(i);
  }
}

Expected<bool>
LineGroup::Start()
{
  acceptors_.resize(servers_.size());
  for (std::size_t i = 0; i < servers_.size(); i++) {
    if (const auto listening = Listen(i); !listening) {
      return listening;
    }
    asio::co_spawn(context_, SendHeartbeats(i), asio::detached);
  }
  return promotionServer_
    .Listen(config_.promotionAddress_.host_, config_.promotionAddress_.port_)
    .map([](auto) { return true; });
}

Expected<bool>
LineGroup::Listen(std::size_t aServer)
{
  const auto& address = config_.serverAddresses_[aServer];
  boost::system::error_code error;
  auto acceptor = std::make_shared<Tcp::acceptor>(context_);
  const Tcp::endpoint endpoint(asio::ip::make_address(address.host_),
                               address.port_);
  acceptor->open(endpoint.protocol());
  CloseOnExec(*acceptor);
  acceptor->set_option(Tcp::acceptor::reuse_address(true));
  acceptor->bind(endpoint, error);
  if (error) {
    return MakeError(
      ErrorKind::Network,
      fmt::format(
        "can't bind {}:{}: {}", address.host_, address.port_, error.message()));
  }
  acceptor->listen();
  acceptors_[aServer] = std::move(acceptor);
  asio::co_spawn(context_, AcceptConnections(aServer), asio::detached);
  return true;
}

void
LineGroup::Restart(std::size_t aServer)
{
  Server& server = servers_[aServer];
  const Server& primary = servers_[Primary()];
  server.run_++;
  server.sequence_ = 0;
  server.leaving_ = false;
  server.leavingAckedAt_.reset();
  if (&primary != &server) {
    server.primary_ = false;
    server.log_ = primary.log_;
    server.term_ = primary.term_;
  }
  server.up_ = Listen(aServer).has_value();
  asio::co_spawn(context_, SendHeartbeats(aServer), asio::detached);
}

void
LineGroup::Leave(std::size_t aServer)
{
  servers_[aServer].leaving_ = true;
}

std::optional<Duration>
LineGroup::LeavingFor(std::size_t aServer) const
{
  const auto& ackedAt = servers_[aServer].leavingAckedAt_;
  return ackedAt ? std::optional(ReadClock() - *ackedAt) : std::nullopt;
}

void
LineGroup::Crash(std::size_t aServer)
{
  Server& server = servers_[aServer];
  server.up_ = false;
  boost::system::error_code ignored;
  if (aServer < acceptors_.size() && acceptors_[aServer]) {
    acceptors_[aServer]->close(ignored);
  }
  for (const auto& socket : server.sockets_) {
    socket->close(ignored);
  }
}

void
LineGroup::WriteItem(const std::string& aItem, const std::string& aData)
{
  AppendCommit(servers_[Primary()], aItem, aData);
}

std::size_t
LineGroup::Primary() const
{
  std::size_t best = 0;
  for (std::size_t i = 0; i < servers_.size(); i++) {
    const bool hasLaterTerm = servers_[i].term_ > servers_[best].term_;
    best = servers_[i].primary_ && (hasLaterTerm || !servers_[best].primary_)
             ? i
             : best;
  }
  return best;
}

std::vector<std::string>
LineGroup::ListCommittedValues(const std::string& aItem) const
{
  std::vector<std::string> values;
  for (const auto& entry : servers_[Primary()].log_) {
    if (entry.item_ == aItem) {
      values.push_back(entry.data_);
    }
  }
  return values;
}

// ---- Connections

asio::awaitable<void>
LineGroup::Sleep(Duration aTime)
{
  asio::steady_timer timer(context_, aTime);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void>
LineGroup::AcceptConnections(std::size_t aServer)
{
  const auto acceptor = acceptors_[aServer];
  while (true) {
    boost::system::error_code error;
    auto accepted = co_await acceptor->async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const auto socket = std::make_shared<Tcp::socket>(std::move(accepted));
    socket->set_option(Tcp::no_delay(true));
    CloseOnExec(*socket);
    asio::co_spawn(context_, ServeConnection(aServer, socket), asio::detached);
  }
}

asio::awaitable<void>
LineGroup::ServeConnection(std::size_t aServer, Socket aSocket)
{
  auto& sockets = servers_[aServer].sockets_;
  sockets.insert(aSocket);
  Connection connection;
  connection.server_ = aServer;
  const auto sender = std::make_shared<Sender>();
  sender->socket_ = aSocket;
  std::string bytes;
  std::array<char, 4096> chunk{};
  bool opened = false;
  while (true) {
    boost::system::error_code error;
    std::size_t end = bytes.find(kLineEnd);
    while (!error && end == std::string::npos && bytes.size() < kMaxLineBytes) {
      const std::size_t size = co_await aSocket->async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
      // A line end may arrive in two parts.
      const std::size_t start = bytes.empty() ? 0 : bytes.size() - 1;
      bytes.append(chunk.data(), size);
      end = bytes.find(kLineEnd, start);
    }
    if (end == std::string::npos) {
      break; // connection closed, or line too long
    }
    const std::string line = bytes.substr(0, end);
    bytes.erase(0, end + kLineEnd.size());
    std::string_view rest = line;
    const std::string_view word = PopWord(rest);
    std::string answer;
    if (!opened && word == "OPEN") {
      answer = HandleOpen(connection, rest);
      opened = answer.starts_with("READY");
    } else if (opened && word == "QUERY") {
      answer = co_await HandleQuery(connection, std::string(rest));
    }
    const bool isLast = answer.empty() || !opened;
    if (!isLast && IsDrawn(config_.faults_.repeatedShare_)) {
      const Duration delay{ std::uniform_int_distribution<Duration::rep>(
        0, config_.faults_.maxRepeatDelay_.count())(random_) };
      asio::co_spawn(context_, SendLate(sender, answer, delay), asio::detached);
    }
    Send(sender, std::move(answer));
    if (isLast) {
      break; // message unknown, or OPEN refused
    }
  }
  sockets.erase(aSocket);
}

// ---- Answers

bool
LineGroup::IsDrawn(double aShare)
{
  return aShare > 0 && std::bernoulli_distribution(aShare)(random_);
}

void
LineGroup::Send(const std::shared_ptr<Sender>& aSender, std::string aAnswer)
{
  aSender->waiting_.push_back(std::move(aAnswer));
  if (!std::exchange(aSender->sending_, true)) {
    asio::co_spawn(context_, SendWaiting(aSender), asio::detached);
  }
}

asio::awaitable<void>
LineGroup::SendWaiting(std::shared_ptr<Sender> aSender)
{
  boost::system::error_code error;
  while (!error && !aSender->waiting_.empty()) {
    const std::string answer = std::move(aSender->waiting_.front());
    aSender->waiting_.pop_front();
    co_await asio::async_write(
      *aSender->socket_,
      asio::buffer(answer),
      asio::redirect_error(asio::use_awaitable, error));
  }
  aSender->sending_ = false;
}

// The connection may have ended before the delay is over.
asio::awaitable<void>
LineGroup::SendLate(std::weak_ptr<Sender> aSender,
                    std::string aAnswer,
                    Duration aDelay)
{
  co_await Sleep(aDelay);
  if (const auto sender = aSender.lock()) {
    repeatedAnswers_++;
    Send(sender, std::move(aAnswer));
  }
}

// ---- Opening

// The fields are the service, the name of the connecting party and, optionally,
// the id of the server that it expects.
std::string
LineGroup::HandleOpen(Connection& aConnection, std::string_view aFields)
{
  const Server& server = servers_[aConnection.server_];
  const std::string_view service = PopWord(aFields);
  aConnection.organisation_ = PopWord(aFields);
  const bool isExpected =
    service == config_.service_ && (aFields.empty() || aFields == server.id_);
  if (!isExpected) {
    return "ERROR WRONGSRV another\r\n";
  }
  if (server.sockets_.size() > config_.maxConnections_) {
    return "ERROR CONNLIMIT full\r\n";
  }
  return fmt::format("READY I {}\r\n", FormatVisiblePoint(server, ReadClock()));
}

// Formats the log point up to which the server shows commits to readers.
std::string
LineGroup::FormatVisiblePoint(const Server& aServer, Time aNow)
{
  std::size_t visibleCount = 0;
  std::uint64_t term = 1;
  for (const auto& entry : aServer.log_) {
    if (!aServer.primary_ && entry.visibleAt_ > aNow) {
      break;
    }
    visibleCount++;
    term = entry.term_;
  }
  return fmt::format(
    "{}.{}", aServer.primary_ ? aServer.term_ : term, visibleCount);
}

// ---- Statements

asio::awaitable<std::string>
LineGroup::HandleQuery(Connection& aConnection, std::string aFields)
{
  std::string_view rest = aFields;
  const std::string_view id = PopWord(rest);
  Answer answer;
  if (rest.starts_with("SINCE ")) {
    PopWord(rest);
    const auto minPoint = ReadPoint(std::string(PopWord(rest)));
    if (ReadPoint(FormatVisiblePoint(servers_[aConnection.server_],
                                     ReadClock())) < minPoint) {
      answer.error_ = "LAGGING";
    }
  }
  const std::size_t place = received_.size();
  if (config_.recordsStatements_) {
    received_.push_back({ std::string(id), std::string(rest), {} });
  }
  const bool accessesData = rest.starts_with("READ") ||
                            rest.starts_with("WRITE") ||
                            rest.starts_with("EXECUTE") || rest == "COMMIT";
  if (accessesData) {
    std::string_view item = rest;
    PopWord(item);
    const auto end = item.substr(0, item.find(' ')).find('.');
    if (end != std::string_view::npos &&
        item.substr(0, end) != aConnection.organisation_) {
      misusedConnections_.emplace_back(
        fmt::format("{} for {}", rest, aConnection.organisation_));
    }
  }
  const Server& server = servers_[aConnection.server_];
  const bool isNewWork =
    accessesData && !(aConnection.inTransaction_ && aConnection.hasWorked_);
  aConnection.hasWorked_ |= accessesData;
  if (isNewWork && server.leavingAckedAt_ &&
      ReadClock() - *server.leavingAckedAt_ >= config_.drainBound_) {
    lateWork_.emplace_back(ReadClock() - *server.leavingAckedAt_, aFields);
  }
  if (accessesData) {
    co_await Sleep(config_.statementDuration_);
  }
  const bool isBusy = accessesData && answer.error_.empty() &&
                      !aConnection.transactionFailed_ &&
                      IsDrawn(config_.faults_.busyShare_);
  if (isBusy) {
    busyAnswers_++;
    answer.error_ = "BUSY";
  } else if (answer.error_.empty()) {
    answer = RunStatement(aConnection, rest);
  }
  if (!answer.error_.empty() && !isBusy && aConnection.inTransaction_) {
    aConnection.transactionFailed_ = true;
  }
  auto lines = ListLines(answer, server);
  std::string out;
  for (const auto& line : lines) {
    out += line;
    out += kLineEnd;
  }
  if (config_.recordsStatements_) {
    received_[place].answer_ = std::move(lines);
  }
  const char state = aConnection.transactionFailed_ ? 'E'
                     : aConnection.inTransaction_   ? 'T'
                                                    : 'I';
  out +=
    fmt::format("READY {} {}\r\n",
                state,
                FormatVisiblePoint(servers_[aConnection.server_], ReadClock()));
  co_return out;
}

std::vector<std::string>
LineGroup::ListLines(const Answer& aAnswer, const Server& aServer)
{
  std::vector<std::string> lines;
  for (const auto& row : aAnswer.rows_) {
    lines.push_back("ROW " + row);
  }
  if (!aAnswer.error_.empty()) {
    lines.push_back(fmt::format("ERROR {} {}", aAnswer.error_, aServer.id_));
  } else {
    lines.push_back("COMPLETE " +
                    (aAnswer.signature_.empty() ? "-" : aAnswer.signature_));
  }
  return lines;
}

LineGroup::Answer
LineGroup::RunStatement(Connection& aConnection, std::string_view aText)
{
  Server& server = servers_[aConnection.server_];
  std::string_view rest = aText;
  const std::string_view verb = PopWord(rest);
  if (verb == "ROLLBACK" || verb == "COMMIT") {
    return EndTransaction(aConnection, verb == "COMMIT");
  }
  if (aConnection.transactionFailed_) {
    return { {}, "MALFORMED", {} };
  }
  if (verb == "BEGIN") {
    const bool readOnly = rest == "READ";
    if (!readOnly && !server.primary_) {
      return { {}, "READONLY", {} };
    }
    aConnection.inTransaction_ = true;
    aConnection.hasWorked_ = false;
    aConnection.readOnly_ = readOnly;
    aConnection.termAtBegin_ = server.term_;
    return {};
  }
  if (verb == "READ" || verb == "WRITE") {
    const std::string item(PopWord(rest));
    return RunItemAccess(aConnection, verb == "WRITE", item, std::string(rest));
  }
  if (verb == "EXECUTE") {
    const auto found =
      aConnection.preparedWrites_.find(std::string(PopWord(rest)));
    if (found == aConnection.preparedWrites_.end()) {
      return { {}, "NOSTMT", {} };
    }
    const std::string item(PopWord(rest));
    return RunItemAccess(aConnection, found->second, item, std::string(rest));
  }
  if (verb == "PREPARE") {
    const std::string name(PopWord(rest));
    aConnection.preparedWrites_[name] = PopWord(rest) == "WRITE";
    return {};
  }
  if (verb == "DEALLOC") {
    aConnection.preparedWrites_.erase(std::string(rest));
    return {};
  }
  if (verb == "SET") {
    const std::string name(PopWord(rest));
    aConnection.settings_[name] = rest;
    return {};
  }
  if (verb == "RESET") {
    aConnection.settings_.clear();
    aConnection.preparedWrites_.clear();
    return {};
  }
  if (verb == "STATUS") {
    return MakeStatusAnswer(server);
  }
  if (verb == "STEPDOWN") {
    server.primary_ =
      server.primary_ && server.term_ >= std::stoull(std::string(rest));
    return MakeStatusAnswer(server);
  }
  return { {}, "MALFORMED", {} };
}

// A read returns the item's value and the settings of the connection as rows,
// so that a test sees which settings apply to its session.
LineGroup::Answer
LineGroup::RunItemAccess(Connection& aConnection,
                         bool aWrites,
                         const std::string& aItem,
                         const std::string& aData)
{
  Server& server = servers_[aConnection.server_];
  const bool inWriteTransaction =
    aConnection.inTransaction_ && !aConnection.readOnly_;
  const bool primaryLost =
    inWriteTransaction &&
    (!server.primary_ || server.term_ != aConnection.termAtBegin_);
  if (primaryLost || (aWrites && (!server.primary_ || aConnection.readOnly_))) {
    return { {}, "READONLY", {} };
  }
  Answer answer;
  answer.signature_ = fmt::format("{}.{:x}", server.id_, ++statementsRun_);
  if (aWrites && aConnection.inTransaction_) {
    aConnection.pendingWrites_.emplace_back(aItem, aData);
  } else if (aWrites) {
    AppendCommit(server, aItem, aData);
  } else {
    const Time now = ReadClock();
    std::string value;
    for (const auto& entry : server.log_) {
      const bool isVisible = server.primary_ || entry.visibleAt_ <= now;
      value = isVisible && entry.item_ == aItem ? entry.data_ : value;
    }
    for (const auto& [item, data] : aConnection.pendingWrites_) {
      value = item == aItem ? data : value;
    }
    answer.rows_.push_back(value);
    for (const auto& [name, set] : aConnection.settings_) {
      answer.rows_.push_back(fmt::format("{}={}", name, set));
    }
  }
  return answer;
}

LineGroup::Answer
LineGroup::EndTransaction(Connection& aConnection, bool aCommit)
{
  Server& server = servers_[aConnection.server_];
  const auto writes = std::exchange(aConnection.pendingWrites_, {});
  const bool canCommit =
    aConnection.inTransaction_ && !aConnection.transactionFailed_;
  const bool primaryLost =
    !writes.empty() &&
    (!server.primary_ || server.term_ != aConnection.termAtBegin_);
  aConnection.inTransaction_ = false;
  aConnection.transactionFailed_ = false;
  if (!aCommit) {
    return {};
  }
  if (!canCommit) {
    return { {}, "ABORTED", {} };
  }
  if (primaryLost) {
    return { {}, "READONLY", {} };
  }
  for (const auto& [item, data] : writes) {
    AppendCommit(server, item, data);
  }
  Answer answer;
  answer.signature_ = fmt::format("{}.{:x}", server.id_, ++statementsRun_);
  return answer;
}

// Appends a commit to the log of the server and, at once, to those of the
// replicas that still follow it.
void
LineGroup::AppendCommit(Server& aServer,
                        const std::string& aItem,
                        std::string aData)
{
  const LogEntry entry{ aServer.term_,
                        aItem,
                        std::move(aData),
                        ReadClock() + config_.replicationLag_ };
  for (auto& server : servers_) {
    const bool isFollower =
      server.up_ && !server.primary_ && server.term_ <= aServer.term_;
    if (&server == &aServer || isFollower) {
      server.log_.push_back(entry);
    }
  }
}

LineGroup::Answer
LineGroup::MakeStatusAnswer(const Server& aServer) const
{
  const std::uint64_t last =
    aServer.log_.empty() ? 1 : aServer.log_.back().term_;
  return { { fmt::format("{} {} {}.{} {} 0 0 {}",
                         aServer.primary_ ? "primary" : "replica",
                         aServer.term_,
                         aServer.primary_ ? aServer.term_ : last,
                         aServer.log_.size(),
                         aServer.term_,
                         aServer.sockets_.size()) },
           {},
           {} };
}

// ---- Heartbeats

std::string
LineGroup::MakeHeartbeat(std::size_t aServer) const
{
  const Server& server = servers_[aServer];
  const auto& address = config_.serverAddresses_[aServer];
  return boost::json::serialize(boost::json::value{
    { "service", config_.service_ },
    { "address", fmt::format("{}:{}", address.host_, address.port_) },
    { "zone", config_.zones_[aServer] },
    { "version", "v1" },
    { "slots", 5 },
    { "state", server.leaving_ ? "draining" : "ready" },
    { "coldRemainingMs", 0 },
    { "dbRole", server.primary_ ? "primary" : "replica" },
    { "born", 1000 * server.run_ + aServer },
    { "seqNo", server.sequence_ } });
}

// Sends a heartbeat in each interval, always to the same control VM until one
// is not acknowledged; then to the next.
asio::awaitable<void>
LineGroup::SendHeartbeats(std::size_t aServer)
{
  Server& server = servers_[aServer];
  std::size_t next = aServer;
  const std::uint64_t run = server.run_;
  while (server.up_ && server.run_ == run) {
    if (!config_.controlAddresses_.empty()) {
      server.sequence_++;
      const auto& target =
        config_.controlAddresses_[next % config_.controlAddresses_.size()];
      HttpCoroutineClient caller(context_, target.host_, target.port_);
      // Named variables, as gcc 12 destroys temporaries in a co_await
      // expression twice.
      std::string path = "/Instances.Heartbeat/" + server.id_;
      std::string body = MakeHeartbeat(aServer);
      const bool leaving = server.leaving_;
      const HttpCallResult answer = co_await caller.Call(
        std::move(path), std::move(body), kHeartbeatTimeout);
      next += answer.status_ == 200 ? 0U : 1U;
      if (leaving && answer.status_ == 200 && server.run_ == run &&
          !server.leavingAckedAt_) {
        server.leavingAckedAt_ = ReadClock();
      }
    }
    co_await Sleep(config_.heartbeatInterval_);
  }
}

// ---- Promotions

asio::awaitable<HttpResponse>
LineGroup::HandlePromotion(HttpRequest aCall)
{
  HttpResponse reply;
  reply.body_ = "{}";
  boost::system::error_code error;
  const auto body = boost::json::parse(aCall.body_, error);
  const auto* id =
    !error && body.is_object() ? body.get_object().if_contains("id") : nullptr;
  const auto found =
    std::find_if(servers_.begin(), servers_.end(), [&](const Server& aServer) {
      return id != nullptr && id->is_string() && aServer.up_ &&
             aServer.id_ == std::string_view(id->get_string());
    });
  if (aCall.path_ != "/promotion" || found == servers_.end()) {
    reply.status_ = 409;
    co_return reply;
  }
  asio::co_spawn(context_, Promote(found->id_), asio::detached);
  co_return reply;
}

asio::awaitable<void>
LineGroup::Promote(std::string aId)
{
  co_await Sleep(config_.promotionDelay_);
  std::uint64_t term = 0;
  for (const auto& server : servers_) {
    term = std::max(term, server.term_);
  }
  for (auto& server : servers_) {
    if (server.id_ == aId && server.up_ && !server.primary_) {
      server.primary_ = true;
      server.term_ = term + 1;
    }
  }
  co_await Sleep(config_.replacedDelay_);
  const std::size_t leader = Primary();
  for (std::size_t i = 0; i < servers_.size(); i++) {
    if (i != leader && servers_[i].up_ && servers_[leader].up_) {
      servers_[i].primary_ = false;
      servers_[i].log_ = servers_[leader].log_;
      servers_[i].term_ = servers_[leader].term_;
    }
  }
}

} // namespace jaydoor::tests
