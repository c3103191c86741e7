#pragma once

// One-way messages between VMs over ZeroMQ, driven by an io_context.
//
// Each VM binds one socket to receive and connects one to each VM that it
// sends to. A message is sent whole or not at all; one that can't be sent now
// is refused, never queued for a VM that can't be reached. With keys, both
// sides prove that they hold the fleet's key pair.

#include "base/Error.h"
#include "base/Types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace jaydoor {

struct LinkKeys
{
  std::string public_; // Z85, 40 characters; empty: plain links
  std::string secret_;
};

class Link
{
public:
  // `aBind`: IP that it binds and connects from. `aReceive` gets the bytes of
  // each message; the sender is in the message.
  Link(boost::asio::io_context& aContext,
       std::string aBind,
       LinkKeys aKeys,
       std::function<void(std::string_view)> aReceive);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  Expected<bool> Bind(std::uint16_t aPort);
  // Where a VM is reached; a changed address replaces the old one.
  void SetPeer(const VmId& aVm, const std::string& aHost, std::uint16_t aPort);
  // False if the VM is not connected or takes nothing more now.
  bool Send(const VmId& aVm, std::string_view aBytes);
  // Connections refused for a wrong key since the start.
  std::uint64_t Refused() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A new key pair for links: public and secret part, Z85.
LinkKeys
MakeLinkKeys();

} // namespace jaydoor
