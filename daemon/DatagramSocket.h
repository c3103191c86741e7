#pragma once

// Small one-way messages between VMs over UDP.
//
// A datagram needs no connection and no heartbeats, so that a VM of a large
// fleet can reach any other one at the cost of a packet. It may be lost, arrive
// twice or overtake another one: only messages that their senders repeat may be
// sent this way. Datagrams are not authenticated.

#include "base/Error.h"
#include "base/Types.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace jaydoor {

class DatagramSocket
{
public:
  // Larger messages would be fragmented, and lost with any of their fragments.
  static constexpr std::size_t kMaxBytes = 1200;

  // `aReceive` is called with the bytes of each datagram; the message itself
  // names its sender.
  DatagramSocket(boost::asio::io_context& aContext,
                 std::function<void(std::string_view)> aReceive);

  // Binds the socket; `aHost` is an IP. With port 0, the system chooses a port.
  // Returns the port.
  Expected<std::uint16_t> Bind(const std::string& aHost, std::uint16_t aPort);
  // Sets the address of a VM. A host that is no IP address is ignored: no
  // datagrams can be sent to that VM.
  void SetPeer(const VmId& aVm, const std::string& aHost, std::uint16_t aPort);
  // Sends a datagram. Returns false, without sending it, if the VM has no known
  // address, the message is too large or the socket has no room for it.
  bool Send(const VmId& aVm, std::string_view aBytes);

private:
  using Udp = boost::asio::ip::udp;

  void Receive();

  Udp::socket socket_;
  std::function<void(std::string_view)> messageCallback_;
  std::map<VmId, Udp::endpoint> peers_;
  // Has room for one byte too many, which shows that a datagram was cut.
  std::array<char, kMaxBytes + 1> receiveBuffer_{};
};

} // namespace jaydoor
