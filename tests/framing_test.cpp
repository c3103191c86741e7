// Tests that messages end where their protocol ends them, that text inside a
// message is not taken for another message, and that an answer is given to the
// request that it belongs to.

#include "base/Log.h"
#include "daemon/Http.h"
#include "platform/ConfigBody.h"
#include "platform/HeartbeatBody.h"
#include "platform/LineCodec.h"
#include "platform/NodeFile.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr char kHost[] = "127.0.0.1";
constexpr Duration kCallLimit = 2s;
constexpr Duration kSettleTime = 30ms; // for bytes to arrive over loopback

std::string
MakeHttpAnswer(std::string_view aBody)
{
  return fmt::format(
    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", aBody.size(), aBody);
}

// An HTTP server whose answers are scripted bytes: one text for each request,
// on whichever connection it arrives.
class ScriptedServer
{
public:
  ScriptedServer(asio::io_context& aContext, std::deque<std::string> aTexts)
    : acceptor_(aContext, Tcp::endpoint(asio::ip::make_address(kHost), 0))
    , texts_(std::move(aTexts))
  {
    Accept();
  }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  int CountConnections() const { return connections_; }

  // Sends bytes that nobody asked for on the newest connection.
  void SendUnasked(const std::string& aBytes)
  {
    asio::write(*newest_, asio::buffer(aBytes));
  }

  // Closes the newest connection.
  void CloseNewest() { newest_->close(); }

private:
  using SocketPtr = std::shared_ptr<Tcp::socket>;

  void Accept()
  {
    acceptor_.async_accept(
      [this](boost::system::error_code aError, Tcp::socket aSocket) {
        if (!aError) {
          connections_++;
          newest_ = std::make_shared<Tcp::socket>(std::move(aSocket));
          Serve(newest_, std::make_shared<std::string>());
          Accept();
        }
      });
  }

  void Serve(const SocketPtr& aSocket,
             const std::shared_ptr<std::string>& aReceived)
  {
    asio::async_read_until(
      *aSocket,
      asio::dynamic_buffer(*aReceived),
      "\r\n\r\n",
      [this, socket = aSocket, received = aReceived](
        boost::system::error_code aError, std::size_t aSize) {
        if (!aError && !texts_.empty()) {
          received->erase(0, aSize);
          asio::write(*socket, asio::buffer(texts_.front()));
          texts_.pop_front();
          Serve(socket, received);
        }
      });
  }

  Tcp::acceptor acceptor_;
  std::deque<std::string> texts_;
  SocketPtr newest_;
  int connections_ = 0;
};

// Returns what is written to standard error while the function runs.
template<typename Function>
std::string
CaptureErrorOutput(const Function& aFunction)
{
  std::FILE* file = std::tmpfile();
  REQUIRE(file != nullptr);
  const int output = dup(STDERR_FILENO);
  dup2(fileno(file), STDERR_FILENO);
  aFunction();
  dup2(output, STDERR_FILENO);
  close(output);
  std::array<char, 4096> bytes{};
  std::rewind(file);
  const std::size_t size = std::fread(bytes.data(), 1, bytes.size(), file);
  std::fclose(file);
  return { bytes.data(), size };
}

// Names that are no words of the wire protocol, as JSON strings.
constexpr std::array kUnspeakableNames = {
  std::string_view("a b"),        std::string_view(R"(a\r\nQUERY)"),
  std::string_view(R"(a\nb)"),    std::string_view(R"(a\rb)"),
  std::string_view(R"(a\tb)"),    std::string_view(R"(a\u0000b)"),
  std::string_view(R"(a\u007f)"), std::string_view(" ")
};

// A configuration with one route, one service and one organisation.
std::string
MakeConfig(std::string_view aHost,
           std::string_view aService,
           std::string_view aOrganisation)
{
  return fmt::format(
    R"({{"version":7,"routes":[{{"name":"r","host":"{}","pathPrefix":"/",)"
    R"("routeType":"primary","timeoutMs":1000,"service":"{}"}}],)"
    R"("services":[{{"name":"{}","maxConns":21}}],)"
    R"("tenants":[{{"name":"{}","apiKeys":["k"]}}]}})",
    aHost,
    aService,
    aService,
    aOrganisation);
}

// The error of the names in the configuration; empty if they are valid.
std::string
GetNamesError(const std::string& aBody)
{
  const auto catalog = platform::ReadConfigBody(aBody);
  REQUIRE(catalog.has_value());
  const auto checked = platform::CheckNames(*catalog);
  return checked ? "" : checked.error().message_;
}

// The line that opens a connection to a server.
std::string
WriteOpen(std::string_view aOrganisation)
{
  std::string bytes;
  platform::LineCodec::WriteOpen(bytes, "g1", "i-1", aOrganisation);
  return bytes;
}

// Runs the context for as long as bytes take to arrive.
void
Settle(asio::io_context& aContext)
{
  aContext.restart();
  aContext.run_for(kSettleTime);
}

// Calls over a connection that stays open if it can.
class Caller
{
public:
  Caller(asio::io_context& aContext, std::uint16_t aPort)
    : context_(aContext)
    , client_(aContext, kHost, aPort)
  {
  }

  HttpCallResult Call()
  {
    const std::string path = "/";
    const std::string body;
    HttpCallResult result;
    bool done = false;
    asio::co_spawn(
      context_,
      [&]() -> asio::awaitable<void> {
        result = co_await client_.Call(path, body, kCallLimit, body, body);
        done = true;
      },
      asio::detached);
    context_.restart();
    while (!done) {
      context_.run_one();
    }
    return result;
  }

private:
  asio::io_context& context_;
  HttpCoroutineClient client_;
};

} // namespace

TEST_CASE("HTTP answers are given to the request that they belong to",
          "[framing]")
{
  asio::io_context context(1);
  const std::string first = MakeHttpAnswer("first");
  const std::string second = MakeHttpAnswer("second");

  SECTION("a second copy of an answer does not answer the next request")
  {
    SECTION("if it arrives together with the first copy")
    {
      ScriptedServer server(context, { first + first, second });
      Caller caller(context, server.Port());
      CHECK(caller.Call().body_ == "first");
      Settle(context);
      CHECK(caller.Call().body_ == "second");
      CHECK(server.CountConnections() == 2);
    }

    SECTION("if it arrives while the connection is idle")
    {
      ScriptedServer server(context, { first, second });
      Caller caller(context, server.Port());
      CHECK(caller.Call().body_ == "first");
      server.SendUnasked(first);
      Settle(context);
      CHECK(caller.Call().body_ == "second");
      CHECK(server.CountConnections() == 2);
    }

    SECTION("if it has arrived unnoticed when the next request is sent")
    {
      ScriptedServer server(context, { first, second });
      Caller caller(context, server.Port());
      CHECK(caller.Call().body_ == "first");
      server.SendUnasked(first);
      std::string next = caller.Call().body_;
      if (next.empty()) {
        next = caller.Call().body_; // the connection was given up
      }
      CHECK(next == "second");
    }

    SECTION("if the next request is sent from the callback of the first")
    {
      ScriptedServer server(context, { first + first, second });
      std::vector<std::string> bodies;
      int losses = 0;
      std::optional<HttpClient> client;
      HttpClientEvents events;
      events.opened_ = [&] { client->SendRequest("/", ""); };
      events.lost_ = [&] { losses++; };
      events.answered_ = [&](unsigned, std::string aBody) {
        bodies.push_back(std::move(aBody));
        if (bodies.size() == 1) {
          client->SendRequest("/", "");
        }
      };
      client.emplace(context, std::move(events));
      client->Open(kHost, server.Port());
      Settle(context);
      CHECK(bodies == std::vector<std::string>{ "first" });
      CHECK(losses == 1);
    }
  }

  SECTION("an interim answer is not the answer")
  {
    const std::string interim =
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    ScriptedServer server(context, { interim + first, second });
    Caller caller(context, server.Port());
    const auto result = caller.Call();
    CHECK(result.status_ == 200);
    CHECK(result.body_ == "first");
    CHECK(caller.Call().body_ == "second");
    CHECK(server.CountConnections() == 1);
  }

  SECTION("a connection that ends after an answer is replaced before the next "
          "request is lost on it")
  {
    ScriptedServer server(context, { first, second });
    Caller caller(context, server.Port());
    CHECK(caller.Call().body_ == "first");
    server.CloseNewest();
    Settle(context);
    CHECK(caller.Call().body_ == "second");
    CHECK(server.CountConnections() == 2);
  }

  SECTION("a connection whose answers are whole is used again")
  {
    ScriptedServer server(context, { first, second, first });
    Caller caller(context, server.Port());
    CHECK(caller.Call().body_ == "first");
    Settle(context);
    CHECK(caller.Call().body_ == "second");
    CHECK(caller.Call().body_ == "first");
    CHECK(server.CountConnections() == 1);
  }
}

TEST_CASE("HTTP requests end where HTTP ends them", "[framing]")
{
  asio::io_context context(1);
  std::vector<std::string> served; // path and body
  HttpServer server(
    context, {}, [&](HttpRequest aRequest) -> asio::awaitable<HttpResponse> {
      served.push_back(aRequest.path_ + " " + aRequest.body_);
      co_return HttpResponse{};
    });
  const auto port = server.Listen(kHost, 0);
  REQUIRE(port.has_value());
  Tcp::socket socket(context);
  socket.connect(Tcp::endpoint(asio::ip::make_address(kHost), *port));
  // Returns the start of what the server sent.
  const auto send = [&](const std::string& aBytes) {
    asio::write(socket, asio::buffer(aBytes));
    Settle(context);
    std::string answer(socket.available(), '\0');
    asio::read(socket, asio::buffer(answer));
    return answer.substr(0, 12);
  };

  SECTION("requests that arrive together are all served")
  {
    CHECK(send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
               "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n2") ==
          "HTTP/1.1 200");
    CHECK(served == std::vector<std::string>{ "/a 1", "/b 2" });
  }

  SECTION("a body that looks like a request is a body")
  {
    const std::string body = "\r\n\r\nPOST /x HTTP/1.1\r\n\r\n";
    const auto head = fmt::format(
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.size());
    CHECK(send(head).empty());
    CHECK(send(body) == "HTTP/1.1 200");
    CHECK(served == std::vector<std::string>{ "/a " + body });
  }

  SECTION("a request whose end is ambiguous is refused")
  {
    const auto fields =
      GENERATE(as<std::string>(),
               "Content-Length: 1\r\nContent-Length: 2\r\n",
               "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
               "Content-Length: 1 2\r\n",
               "Content-Length : 1\r\n",
               "X: a\nContent-Length: 1\r\n",
               "X: a\rContent-Length: 1\r\n");
    INFO(fields);
    CHECK(send("POST /a HTTP/1.1\r\nHost: a\r\n" + fields +
               "\r\n1POST /x HTTP/1.1\r\n\r\n") == "HTTP/1.1 400");
    CHECK(served.empty());
  }
}

TEST_CASE("Names become words of messages or are refused", "[framing]")
{
  SECTION("a configuration is refused for a name that no message can hold, and "
          "the error tells which and what to do")
  {
    for (const auto name : kUnspeakableNames) {
      INFO(name);
      CHECK(GetNamesError(MakeConfig(name, "s1", "o1")).find("host '") !=
            std::string::npos);
      CHECK(GetNamesError(MakeConfig("db", name, "o1")).find("service '") !=
            std::string::npos);
      const auto error = GetNamesError(MakeConfig("db", "s1", name));
      CHECK(error.find("tenant '") != std::string::npos);
      CHECK(error.find("rename it and send") != std::string::npos);
    }
    const std::string longName(256, 'x');
    CHECK_FALSE(GetNamesError(MakeConfig("db", longName, "o1")).empty());
  }

  SECTION("other names are accepted")
  {
    CHECK(GetNamesError(MakeConfig("db", "s1", "o1")).empty());
    CHECK(GetNamesError(MakeConfig("d\u00e9p\u00f4t", "s-1.x", "50%")).empty());
    CHECK(
      GetNamesError(MakeConfig("db", std::string(255, 'x'), "o'1")).empty());
  }

  SECTION("a configuration that is in force already is read whatever its names")
  {
    for (const auto name : kUnspeakableNames) {
      INFO(name);
      CHECK(platform::ReadConfigBody(MakeConfig(name, name, name)).has_value());
    }
  }

  SECTION("the organisation is one word of the message that opens a connection")
  {
    CHECK(WriteOpen("o1") == "OPEN g1 o1 i-1\r\n");
    CHECK(WriteOpen("50%") == "OPEN g1 50% i-1\r\n");
    CHECK(WriteOpen("d\xc3\xa9p\xc3\xb4t") ==
          "OPEN g1 d\xc3\xa9p\xc3\xb4t i-1\r\n");
    CHECK(WriteOpen("a b") == "OPEN g1 a%20b i-1\r\n");
    CHECK(WriteOpen("a\r\nQUERY - RESET") ==
          "OPEN g1 a%0D%0AQUERY%20-%20RESET i-1\r\n");
    CHECK(WriteOpen(" ") == "OPEN g1 %20 i-1\r\n");
    CHECK(WriteOpen("1 % 2") == "OPEN g1 1%20%25%202 i-1\r\n");
    CHECK(WriteOpen(std::string(1000, ' ')).size() < 300);
  }

  SECTION("the name of a VM fits the header that is sent with a promotion")
  {
    const auto path = (std::filesystem::temp_directory_path() /
                       fmt::format("jaydoor-name-{}", getpid()))
                        .string();
    const auto accepts = [&path](std::string_view aName) {
      std::ofstream(path) << fmt::format(
        "nodeName: \"{}\"\nzone: z\nip: 10.1.0.10\n"
        "internalPortRange: [7440, 7460]\n",
        aName);
      const bool accepted = platform::ReadNodeFile(path).has_value();
      std::filesystem::remove(path);
      return accepted;
    };
    CHECK(accepts("entry 1"));
    CHECK_FALSE(accepts(R"(a\r\nX-Jaydoor-Fencing-Token: 9)"));
    CHECK_FALSE(accepts(R"(a\nb)"));
    CHECK_FALSE(accepts(R"(a\x01)"));
  }

  SECTION("a heartbeat with such a name names no server")
  {
    for (const auto name : kUnspeakableNames) {
      INFO(name);
      const auto body = fmt::format(
        R"({{"service":"{}","address":"10.1.0.9:8080","zone":"a",)"
        R"("version":"v1","slots":5,"state":"ready","coldRemainingMs":0,)"
        R"("dbRole":"primary","seqNo":4}})",
        name);
      CHECK_FALSE(platform::ReadHeartbeatBody("i-1", body).has_value());
    }
  }
}

TEST_CASE("Text in the log begins no line of its own", "[framing]")
{
  const auto lines = CaptureErrorOutput([] {
    LogEvent(Event::OperatorRefused,
             "path={} id={}",
             "/a\r\n2026-01-01T00:00:00.000Z info J201 leader_lost term=9",
             "a\tb\x1b[2J\x7f\xc3\xa9");
  });
  CHECK(std::count(lines.begin(), lines.end(), '\n') == 1);
  CHECK(
    lines.find("path=/a\\r\\n2026-01-01T00:00:00.000Z info J201 leader_lost "
               "term=9 id=a\\tb\\x1b[2J\\x7f\xc3\xa9\n") != std::string::npos);
}

} // namespace jaydoor::tests
