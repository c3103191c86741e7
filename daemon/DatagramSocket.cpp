#include "daemon/DatagramSocket.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>

namespace jaydoor {
namespace {

// Datagrams that are read before other handlers run.
constexpr int kMaxReceivedAtOnce = 64;

} // namespace

DatagramSocket::DatagramSocket(boost::asio::io_context& aContext,
                               std::function<void(std::string_view)> aReceive)
  : socket_(aContext)
  , messageCallback_(std::move(aReceive))
{
}

Expected<std::uint16_t>
DatagramSocket::Bind(const std::string& aHost, std::uint16_t aPort)
{
  boost::system::error_code error;
  const Udp::endpoint endpoint(boost::asio::ip::make_address(aHost, error),
                               aPort);
  if (!error) {
    socket_.open(endpoint.protocol(), error);
  }
  if (!error) {
    socket_.bind(endpoint, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return MakeError(
      ErrorKind::Network,
      fmt::format("can't bind udp {}:{}: {}; choose a free port of this VM",
                  aHost,
                  aPort,
                  error.message()));
  }
  Receive();
  return socket_.local_endpoint().port();
}

void
DatagramSocket::SetPeer(const VmId& aVm,
                        const std::string& aHost,
                        std::uint16_t aPort)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aHost, error);
  if (error) {
    peers_.erase(aVm);
  } else {
    peers_[aVm] = Udp::endpoint(address, aPort);
  }
}

bool
DatagramSocket::Send(const VmId& aVm, std::string_view aBytes)
{
  const auto peer = peers_.find(aVm);
  if (peer == peers_.end() || aBytes.size() > kMaxBytes) {
    return false;
  }
  boost::system::error_code error;
  socket_.send_to(
    boost::asio::buffer(aBytes.data(), aBytes.size()), peer->second, 0, error);
  return !error;
}

void
DatagramSocket::Receive()
{
  socket_.async_wait(
    Udp::socket::wait_read, [this](boost::system::error_code aError) {
      if (aError) {
        return; // the socket was closed
      }
      for (int i = 0; i < kMaxReceivedAtOnce; i++) {
        boost::system::error_code error;
        Udp::endpoint sender;
        const std::size_t bytes = socket_.receive_from(
          boost::asio::buffer(receiveBuffer_), sender, 0, error);
        if (error) {
          break; // none is left, or a peer's port was closed
        }
        if (bytes <= kMaxBytes) {
          messageCallback_({ receiveBuffer_.data(), bytes });
        }
      }
      Receive();
    });
}

} // namespace jaydoor
