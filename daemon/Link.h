#pragma once

// One-way messages between VMs over ZeroMQ, driven by an io_context.
//
// Each VM binds one socket for receiving and, with its first message to another
// VM, opens one connected to that VM. Sockets unused for some seconds are
// closed, so that a VM of a large fleet keeps few open. A message is sent whole
// or not at all. With keys, both sides prove that they hold the fleet's key
// pair.

#include "base/Error.h"
#include "base/Types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace jaydoor {

// What happens to a message for a VM that is not connected at that time.
enum class LinkSendPolicy
{
  RefuseUnconnected, // Send() returns false; it was surely not sent
  QueueUnconnected,  // may be sent late or lost; for messages that allow it
};

struct LinkKeys
{
  std::string public_; // Z85, 40 characters; empty: plain links
  std::string secret_;
};

class Link
{
public:
  // `aBind` is the IP to bind to and to connect from. `aReceive` is called with
  // the bytes of each message; the message itself names its sender.
  Link(boost::asio::io_context& aContext,
       std::string aBind,
       LinkSendPolicy aQueue,
       LinkKeys aKeys,
       std::function<void(std::string_view)> aReceive);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  Expected<bool> Bind(std::uint16_t aPort);
  // Sets the address of a VM; a changed address replaces the old one and closes
  // its socket.
  void SetPeer(const VmId& aVm, const std::string& aHost, std::uint16_t aPort);
  // Sends a message. False if the VM is unknown or the message was refused.
  bool Send(const VmId& aVm, std::string_view aBytes);
  // Number of sockets to other VMs that are open now.
  std::size_t CountOpen() const;
  // Number of connections refused since the start because of a wrong key.
  std::uint64_t CountRefused() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Makes a new key pair for links, both keys in Z85 encoding.
LinkKeys
MakeLinkKeys();

} // namespace jaydoor
