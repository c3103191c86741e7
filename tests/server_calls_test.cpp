// Tests that a call to a database server or to the promotion service gets the
// answer to itself, and not one to an earlier call. The servers are scripts
// that listen on the loopback interface.

#include "daemon/Http.h"
#include "platform/ServerCalls.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace platform;
using Tcp = asio::ip::tcp;

constexpr Duration kWaitTimeout = 10s;     // enough on a busy machine
constexpr Duration kStatusInterval = 50ms; // of the leader's requests
constexpr std::size_t kFewConnections = 4; // of those that a server accepts
constexpr std::string_view kReady = "READY I 3.10\r\n";
constexpr std::string_view kBusy = "ERROR BUSY slots\r\nREADY I 3.10\r\n";

// Returns the answer of a server to STATUS or STEPDOWN.
std::string
MakeStatus(std::string_view aRole, int aPosition)
{
  return fmt::format("ROW {0} 3 3.{1} 0 12 2 17\r\nCOMPLETE -\r\n"
                     "READY I 3.{1}\r\n",
                     aRole,
                     aPosition);
}

// Accepts connections and hands each line that arrives to the script, which
// answers when it likes to.
class ScriptedServer
{
public:
  // The connections are numbered from 0.
  using Script = std::function<void(std::size_t, const std::string&)>;

  ScriptedServer(asio::io_context& aContext, Script aScript)
    : context_(aContext)
    , acceptor_(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , script_(std::move(aScript))
  {
    asio::co_spawn(context_, Accept(), asio::detached);
  }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  std::size_t CountAccepted() const { return sockets_.size(); }
  std::size_t MaxOpenAtOnce() const { return maxOpen_; }

  // Sends the bytes, unless the caller has closed the connection.
  void Send(std::size_t aConnection, std::string_view aBytes)
  {
    boost::system::error_code ignored;
    asio::write(*sockets_.at(aConnection),
                asio::buffer(aBytes.data(), aBytes.size()),
                ignored);
  }

  void Close(std::size_t aConnection)
  {
    boost::system::error_code ignored;
    sockets_.at(aConnection)->close(ignored);
  }

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto socket = std::make_shared<Tcp::socket>(context_);
      co_await acceptor_.async_accept(*socket, asio::use_awaitable);
      sockets_.push_back(socket);
      asio::co_spawn(
        context_, Serve(sockets_.size() - 1, socket), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::size_t aConnection,
                              std::shared_ptr<Tcp::socket> aSocket)
  {
    open_++;
    maxOpen_ = std::max(maxOpen_, open_);
    boost::system::error_code error;
    std::string bytes;
    for (;;) {
      const std::size_t size = co_await asio::async_read_until(
        *aSocket,
        asio::dynamic_buffer(bytes),
        "\r\n",
        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        break;
      }
      const std::string line = bytes.substr(0, size - 2);
      bytes.erase(0, size);
      script_(aConnection, line);
    }
    open_--;
  }

  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  Script script_;
  std::vector<std::shared_ptr<Tcp::socket>> sockets_;
  std::size_t open_ = 0;
  std::size_t maxOpen_ = 0;
};

// The result of one call.
template<typename Result>
struct Outcome
{
  int callbacks_ = 0;
  Result result_{};
};

using StatusOutcome = Outcome<std::optional<ServerStatus>>;

// A leader that calls one server.
class Leader
{
public:
  explicit Leader(ScriptedServer::Script aScript)
    : server_(context_, std::move(aScript))
  {
    calls_.SetContext(context_);
    upstream_.set_database("service");
    upstream_.set_server("s1");
    upstream_.set_host("127.0.0.1");
    upstream_.set_port(server_.Port());
    upstream_.set_born_ms(1);
  }

  std::shared_ptr<StatusOutcome> RequestStatus(std::uint64_t aStepDownTerm = 0)
  {
    auto outcome = std::make_shared<StatusOutcome>();
    calls_.Port().requestServerStatus_(
      { nextCall_++, upstream_, aStepDownTerm },
      [outcome](std::optional<ServerStatus> aStatus) {
        outcome->callbacks_++;
        outcome->result_ = aStatus;
      });
    return outcome;
  }

  std::shared_ptr<StatusOutcome> AwaitStatus(std::uint64_t aStepDownTerm = 0)
  {
    auto outcome = RequestStatus(aStepDownTerm);
    Await([&] { return outcome->callbacks_ > 0; });
    return outcome;
  }

  // Runs until the condition is true; returns false after kWaitTimeout.
  template<typename Condition>
  bool Await(const Condition& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      Run(1ms);
    }
    return aCondition();
  }

  void Run(Duration aTime)
  {
    context_.restart();
    context_.run_for(aTime);
  }

  ScriptedServer& Server() { return server_; }

private:
  asio::io_context context_;
  ScriptedServer server_;
  ServerCalls calls_{ NodeFile{} };
  wire::Upstream upstream_;
  std::uint64_t nextCall_ = 1;
};

} // namespace

TEST_CASE("A repeated answer of a server is not taken for the next one")
{
  // The server sends `earlier` at the first request and again at the second,
  // which it answers after that.
  Leader* self = nullptr;
  std::string earlier;
  std::string answer;
  std::vector<std::size_t> requests; // connections on which they came
  Leader leader([&](std::size_t aConnection, const std::string& aLine) {
    if (aLine.starts_with("OPEN")) {
      self->Server().Send(aConnection, kReady);
      return;
    }
    requests.push_back(aConnection);
    if (requests.size() == 1) {
      self->Server().Send(aConnection, earlier);
      return;
    }
    self->Server().Send(requests.front(), earlier);
    self->Server().Send(aConnection, answer);
  });
  self = &leader;

  SECTION("an earlier log position is not the server's present one")
  {
    earlier = MakeStatus("replica", 10);
    answer = MakeStatus("replica", 20);
    const auto first = leader.AwaitStatus();
    REQUIRE(first->result_);
    CHECK(first->result_->received_ == LogPoint{ 3, 10 });
    const auto second = leader.AwaitStatus();
    REQUIRE(second->result_);
    CHECK(second->result_->received_ == LogPoint{ 3, 20 });
  }

  SECTION("an earlier status does not prove that a primary stepped down")
  {
    earlier = MakeStatus("replica", 10);
    answer = kBusy;
    REQUIRE(leader.AwaitStatus()->result_);
    const auto stepDown = leader.AwaitStatus(4);
    CHECK(stepDown->callbacks_ == 1);
    CHECK_FALSE(stepDown->result_);
  }

  SECTION("an earlier refusal does not hide that a primary stepped down")
  {
    earlier = kBusy;
    answer = MakeStatus("replica", 20);
    CHECK_FALSE(leader.AwaitStatus()->result_);
    const auto stepDown = leader.AwaitStatus(4);
    REQUIRE(stepDown->result_);
    CHECK_FALSE(stepDown->result_->primary_);
    CHECK(stepDown->result_->received_ == LogPoint{ 3, 20 });
  }
}

TEST_CASE("What is no answer to a status request is not taken for one")
{
  Leader* self = nullptr;
  std::string opened(kReady);
  std::string answer;
  Leader leader([&](std::size_t aConnection, const std::string& aLine) {
    self->Server().Send(aConnection,
                        aLine.starts_with("OPEN") ? opened : answer);
  });
  self = &leader;

  SECTION("a second READY to OPEN, before the request")
  {
    opened = fmt::format("{0}{0}", kReady);
    answer = MakeStatus("replica", 20);
    const auto status = leader.AwaitStatus();
    REQUIRE(status->result_);
    CHECK(status->result_->received_ == LogPoint{ 3, 20 });
  }

  SECTION("a second READY to OPEN, after the request")
  {
    answer = fmt::format("{}{}", kReady, MakeStatus("replica", 20));
    const auto status = leader.AwaitStatus();
    REQUIRE(status->result_);
    CHECK(status->result_->received_ == LogPoint{ 3, 20 });
  }

  SECTION("a row without COMPLETE")
  {
    answer = fmt::format("ROW replica 3 3.20 0 12 2 17\r\n{}", kReady);
    const auto status = leader.AwaitStatus();
    CHECK(status->callbacks_ == 1);
    CHECK_FALSE(status->result_);
  }

  SECTION("a row in place of READY to OPEN")
  {
    opened = MakeStatus("replica", 10);
    answer = MakeStatus("replica", 20);
    const auto status = leader.AwaitStatus();
    CHECK(status->callbacks_ == 1);
    CHECK_FALSE(status->result_);
  }
}

TEST_CASE("Connections that fall silent don't keep a server from being asked")
{
  // Of the first connection nothing is heard after one answer.
  Leader* self = nullptr;
  std::size_t silent = 0; // connections below this number
  Leader leader([&](std::size_t aConnection, const std::string& aLine) {
    if (aConnection < silent) {
      return;
    }
    self->Server().Send(aConnection,
                        aLine.starts_with("OPEN") ? std::string(kReady)
                                                  : MakeStatus("replica", 20));
  });
  self = &leader;

  REQUIRE(leader.AwaitStatus()->result_);
  silent = leader.Server().CountAccepted();
  std::vector<std::shared_ptr<StatusOutcome>> requests;
  for (int i = 0; i < 30; ++i) {
    requests.push_back(leader.RequestStatus());
    leader.Run(kStatusInterval);
  }
  const auto answered =
    std::count_if(requests.begin(), requests.end(), [](const auto& aRequest) {
      return aRequest->result_.has_value();
    });
  CHECK(answered > 0);
}

TEST_CASE("Each status request is completed exactly once")
{
  Leader* self = nullptr;
  std::string opened(kReady);
  bool closes = false;
  bool isSilent = false;
  Leader leader([&](std::size_t aConnection, const std::string& aLine) {
    if (isSilent) {
      return;
    }
    const bool opens = aLine.starts_with("OPEN");
    self->Server().Send(aConnection,
                        opens ? opened : MakeStatus("replica", 20));
    if (closes && (opens == !opened.starts_with("READY"))) {
      self->Server().Close(aConnection);
    }
  });
  self = &leader;

  SECTION("when the server accepts no more connections, and then does")
  {
    opened = "ERROR CONNLIMIT full\r\n";
    closes = true;
    const auto refused = leader.AwaitStatus();
    CHECK(refused->callbacks_ == 1);
    CHECK_FALSE(refused->result_);
    opened = kReady;
    closes = false;
    const auto accepted = leader.AwaitStatus();
    CHECK(accepted->result_);
    leader.Run(20ms);
    CHECK(refused->callbacks_ == 1);
    CHECK(accepted->callbacks_ == 1);
  }

  SECTION("when the server closes the connection after each answer")
  {
    closes = true;
    const auto first = leader.AwaitStatus();
    const auto second = leader.AwaitStatus();
    leader.Run(20ms);
    CHECK(first->result_);
    CHECK(first->callbacks_ == 1);
    CHECK(second->result_);
    CHECK(second->callbacks_ == 1);
  }

  SECTION("when the server is silent, and few connections are open to it")
  {
    isSilent = true;
    std::vector<std::shared_ptr<StatusOutcome>> requests;
    for (std::uint64_t i = 0; i < 30; ++i) {
      requests.push_back(leader.RequestStatus(i % 2 == 0 ? 0 : 4));
      leader.Run(kStatusInterval / 2);
    }
    leader.Run(600ms);
    for (const auto& request : requests) {
      CHECK(request->callbacks_ == 1);
      CHECK_FALSE(request->result_);
    }
    CHECK(leader.Server().MaxOpenAtOnce() <= kFewConnections);
  }
}

TEST_CASE("A late answer to a promotion is not taken for that to a later one")
{
  // The service answers the first request after the second.
  asio::io_context context;
  int requests = 0;
  HttpServer service(context,
                     HttpLimits{},
                     [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                       HttpResponse response;
                       if (++requests == 1) {
                         asio::steady_timer timer(context, 100ms);
                         co_await timer.async_wait(asio::use_awaitable);
                         response.status_ = 409;
                       }
                       co_return response;
                     });
  const auto port = service.Listen("127.0.0.1", 0);
  REQUIRE(port);
  NodeFile file;
  file.promotionService_ = Address{ "127.0.0.1", *port };
  ServerCalls calls(file);
  calls.SetContext(context);
  std::vector<Outcome<PromotionAnswer>> outcomes(2);
  for (std::size_t i = 0; i < outcomes.size(); i++) {
    calls.Port().requestPromotion_({ i, "service", fmt::format("s{}", i), 7 },
                                   [&outcomes, i](PromotionAnswer aAnswer) {
                                     outcomes[i].callbacks_++;
                                     outcomes[i].result_ = aAnswer;
                                   });
    context.run_for(30ms);
  }
  context.restart();
  context.run_for(3s); // longer than the limit of a request
  CHECK(outcomes[0].callbacks_ == 1);
  CHECK(outcomes[0].result_ == PromotionAnswer::Refused);
  CHECK(outcomes[1].callbacks_ == 1);
  CHECK(outcomes[1].result_ == PromotionAnswer::Accepted);
}

TEST_CASE("Names that JSON has to escape reach the promotion service as they "
          "are")
{
  asio::io_context context;
  std::string body;
  HttpServer service(
    context,
    HttpLimits{},
    [&](HttpRequest aRequest) -> asio::awaitable<HttpResponse> {
      body = aRequest.body_;
      co_return HttpResponse{};
    });
  const auto port = service.Listen("127.0.0.1", 0);
  REQUIRE(port);
  NodeFile file;
  file.name_ = "vm-a";
  file.promotionService_ = Address{ "127.0.0.1", *port };
  ServerCalls calls(file);
  calls.SetContext(context);
  const std::string database = "quote\" backslash\\ tab\t";
  const std::string server = R"(s1","id":"s2)";
  Outcome<PromotionAnswer> outcome;
  calls.Port().requestPromotion_({ 1, database, server, 7 },
                                 [&](PromotionAnswer aAnswer) {
                                   outcome.callbacks_++;
                                   outcome.result_ = aAnswer;
                                   context.stop();
                                 });
  context.run_for(kWaitTimeout);
  CHECK(outcome.callbacks_ == 1);
  CHECK(outcome.result_ == PromotionAnswer::Accepted);
  boost::system::error_code error;
  const json::value sent = json::parse(body, error);
  REQUIRE_FALSE(error);
  CHECK(sent.as_object().size() == 2);
  CHECK(sent.at("service").as_string() == database);
  CHECK(sent.at("id").as_string() == server);
}

} // namespace jaydoor::tests
