#pragma once

// One-way messages between VMs over ZeroMQ, driven by an io_context.
//
// Each VM binds one socket to receive and connects one to each VM that it
// sends to, when it first does; one that is not used for a while is closed, so
// that a VM of a large fleet holds few. A message is sent whole or not at all.
// With keys, both sides prove that they hold the fleet's key pair.

#include "base/Error.h"
#include "base/Types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace jaydoor {

// What happens to a message for a VM that is not connected now.
enum class LinkSendPolicy
{
  RefuseUnconnected, // it is proven not to have left
  QueueUnconnected,  // it is sent late or lost, for messages that bear both
};

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
       LinkSendPolicy aQueue,
       LinkKeys aKeys,
       std::function<void(std::string_view)> aReceive);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  Expected<bool> Bind(std::uint16_t aPort);
  // Where a VM is reached; a changed address replaces the old one.
  void SetPeer(const VmId& aVm, const std::string& aHost, std::uint16_t aPort);
  // False if the message was refused.
  bool Send(const VmId& aVm, std::string_view aBytes);
  // Links that are open now.
  std::size_t CountOpen() const;
  // Connections refused for a wrong key since the start.
  std::uint64_t CountRefused() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A new key pair for links: public and secret part, Z85.
LinkKeys
MakeLinkKeys();

} // namespace jaydoor
