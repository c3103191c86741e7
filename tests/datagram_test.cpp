// Tests the datagrams between VMs on loopback.

#include "daemon/DatagramSocket.h"

#include <chrono>
#include <vector>

#include <catch2/catch.hpp>

using namespace jaydoor;
using namespace std::chrono_literals;

TEST_CASE("Datagrams between VMs")
{
  boost::asio::io_context context;
  std::vector<std::string> received;
  DatagramSocket sender(context, [](std::string_view) {});
  DatagramSocket receiver(
    context, [&](std::string_view aBytes) { received.emplace_back(aBytes); });
  REQUIRE(sender.Bind("127.0.0.1", 0).has_value());
  const auto port = receiver.Bind("127.0.0.1", 0);
  REQUIRE(port.has_value());
  sender.SetPeer("vm-b", "127.0.0.1", *port);

  SECTION("a datagram arrives whole, also an empty one")
  {
    const std::string largest(DatagramSocket::kMaxBytes, 'x');
    CHECK(sender.Send("vm-b", largest));
    CHECK(sender.Send("vm-b", ""));
    context.run_for(200ms);
    CHECK(received == std::vector<std::string>{ largest, "" });
  }

  SECTION("a message that fits no packet is left to the link")
  {
    CHECK_FALSE(
      sender.Send("vm-b", std::string(DatagramSocket::kMaxBytes + 1, 'x')));
    context.run_for(50ms);
    CHECK(received.empty());
  }

  SECTION("a datagram that is too large is dropped, not cut")
  {
    using Udp = boost::asio::ip::udp;
    Udp::socket other(context, Udp::v4());
    const std::string tooLarge(DatagramSocket::kMaxBytes + 1, 'x');
    other.send_to(
      boost::asio::buffer(tooLarge),
      Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), *port));
    CHECK(sender.Send("vm-b", "hello"));
    context.run_for(200ms);
    CHECK(received == std::vector<std::string>{ "hello" });
  }

  SECTION("a VM without an IP address gets no datagrams")
  {
    CHECK_FALSE(sender.Send("vm-c", "hello"));
    sender.SetPeer("vm-b", "a name", 7);
    CHECK_FALSE(sender.Send("vm-b", "hello"));
  }

  SECTION("a socket goes on receiving after a peer was gone")
  {
    {
      DatagramSocket gone(context, [](std::string_view) {});
      sender.SetPeer("vm-c", "127.0.0.1", *gone.Bind("127.0.0.1", 0));
    }
    receiver.SetPeer("vm-a", "127.0.0.1", 9);
    sender.Send("vm-c", "hello");
    context.run_for(50ms);
    sender.Send("vm-c", "hello");
    CHECK(sender.Send("vm-b", "hello"));
    context.run_for(200ms);
    CHECK(received == std::vector<std::string>{ "hello" });
  }

  SECTION("a port that is taken is reported")
  {
    DatagramSocket other(context, [](std::string_view) {});
    const auto bound = other.Bind("127.0.0.1", *port);
    REQUIRE_FALSE(bound.has_value());
    CHECK(bound.error().message_.find("free port") != std::string::npos);
  }
}
