// Tests a fleet of real processes on loopback, for what tests of the decision
// code alone can't show.

#include "standin/Fleet.h"

#include <csignal>
#include <filesystem>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

namespace jaydoor::tests {
namespace {

using standin::Fleet;
namespace asio = boost::asio;

standin::FleetConfig
MakeConfig(int aWorkUs)
{
  static int number = 0;
  standin::FleetConfig config;
  config.binaries_ = JAYDOOR_BUILD;
  config.folder_ = (std::filesystem::temp_directory_path() /
                    ("jaydoor-test-" + std::to_string(getpid()) + "-" +
                     std::to_string(number++)))
                     .string();
  config.workUs_ = aWorkUs;
  config.keys_ = true;
  return config;
}

CallerRequest
MakeRequest(const std::string& aText)
{
  CallerRequest request;
  request.database_ = "lessons";
  request.statement_ = aText;
  request.read_ = aText.starts_with("get");
  request.deadline_ = 20s;
  return request;
}

// Sends bytes as they are and returns the first bytes of the answer.
std::string
SendBytes(const std::string& aHost,
          std::uint16_t aPort,
          const std::string& aBytes)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address(aHost), aPort });
  boost::system::error_code error;
  asio::write(socket, asio::buffer(aBytes), error);
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::string answer(64, '\0');
  const std::size_t size = asio::read(socket, asio::buffer(answer), error);
  answer.resize(size);
  return answer;
}

} // namespace

TEST_CASE("A fleet of real processes")
{
  auto config = MakeConfig(300'000); // a statement takes 300 ms
  const std::string folder = config.folder_;
  {
    Fleet fleet(std::move(config));
    fleet.Start();
    REQUIRE(fleet.WaitUntilReady(60s));

    // A VM that is told to stop finishes what is in flight, then exits.
    CallerAnswer answer;
    std::thread caller(
      [&] { answer = fleet.Execute("vm-a2", MakeRequest("add k one")); });
    std::this_thread::sleep_for(100ms);
    fleet.Signal("vm-a2", SIGTERM);
    CHECK(fleet.WaitForEnd("vm-a2", 60s) == 0);
    caller.join();
    CHECK(answer.outcome_ == Outcome::Done);

    // Its write can be read through another VM.
    auto read = MakeRequest("get k");
    read.sessionToken_ = answer.sessionToken_;
    const auto rows = fleet.Execute("vm-b1", read);
    CHECK(rows.outcome_ == Outcome::Done);
    CHECK(rows.rows_ == std::vector<std::string>{ "one" });

    // A forged token is refused, and nothing runs.
    auto forged = MakeRequest("add k forged");
    forged.sessionToken_ = answer.sessionToken_ + "0";
    CHECK(fleet.Execute("vm-b1", forged).reason_ == Reason::BadSession);
    CHECK(fleet.Execute("vm-b1", read).rows_.size() == 1);

    // Operators need the secret; the callers' port doesn't serve operators'
    // paths.
    const std::string host = fleet.Get("vm-c1").host_;
    const std::string get = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    CHECK(SendBytes(host, standin::kAdminPort, "GET /v1/status" + get + "\r\n")
            .starts_with("HTTP/1.1 401"));
    CHECK(
      SendBytes(host,
                standin::kAdminPort,
                "GET /v1/status" + get + "Authorization: Bearer wrong\r\n\r\n")
        .starts_with("HTTP/1.1 401"));
    CHECK(SendBytes(host, standin::kCallerPort, "GET /v1/status" + get + "\r\n")
            .starts_with("HTTP/1.1 404"));

    // Malformed bytes are answered with an error or a closed connection.
    for (const auto port : { standin::kCallerPort,
                             standin::kAdminPort,
                             standin::kControlPort,
                             standin::kTrafficPort }) {
      SendBytes(host, port, std::string(3000, '\xff'));
      SendBytes(host, port, "POST /v1/statement HTTP/1.1\r\nContent-Le");
    }
    CHECK(SendBytes(host,
                    standin::kCallerPort,
                    "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x'))
            .starts_with("HTTP/1.1 431"));
    CHECK(SendBytes(host,
                    standin::kCallerPort,
                    "POST /v1/statement HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: 9000000\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
    CHECK(fleet.Execute("vm-c1", read).outcome_ == Outcome::Done);
  }
  std::filesystem::remove_all(folder);
}

} // namespace jaydoor::tests
