#include "daemon/Link.h"

#include "daemon/Clock.h"

#include <array>
#include <map>
#include <optional>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <zmq.hpp>

namespace jaydoor {
namespace {

namespace asio = boost::asio;

constexpr int kHeartbeatIntervalMs = 250; // detects silent connections
constexpr int kHeartbeatTimeoutMs = 750;
constexpr int kHandshakeTimeoutMs = 1000; // drops a silent new connection
constexpr int kConnectTimeoutMs = 100;   // retries soon after a lost SYN packet
constexpr Duration kUnusedTimeout = 10s; // then a socket is closed
constexpr Duration kSweepInterval = 2s;
// VMs that start at the same time find each other's ports closed at first. No
// leader can be elected until they reconnect, so the first retries come soon.
constexpr int kReconnectDelayMs = 20;
constexpr int kMaxReconnectDelayMs = 100;
constexpr int kMaxQueuedMessages = 20'000; // per peer; more are refused
// Messages queued for an unreachable peer would arrive late and all at once, so
// few are kept.
constexpr int kMaxUnconnectedMessages = 64;
// A snapshot with the largest document. ZeroMQ takes memory for a message when
// its size is announced.
constexpr std::int64_t kMaxMessageBytes = 16L * 1024 * 1024;
constexpr int kDrainBatch = 256;      // messages before other handlers run
constexpr std::size_t kZ85Bytes = 41; // with the terminating zero
constexpr char kAuthEndpoint[] = "inproc://zeromq.zap.01";

// A socket whose readiness the io_context waits for.
class WatchedSocket
{
public:
  WatchedSocket(asio::io_context& aContext,
                zmq::context_t& aZmq,
                zmq::socket_type aType,
                std::function<void()> aReady)
    : socket_(aZmq, aType)
    , descriptor_(aContext)
    , readyCallback_(std::move(aReady))
  {
    socket_.set(zmq::sockopt::linger, 0);
  }

  ~WatchedSocket() { descriptor_.release(); }
  WatchedSocket(const WatchedSocket&) = delete;
  WatchedSocket& operator=(const WatchedSocket&) = delete;

  zmq::socket_t& Socket() { return socket_; }

  void Start()
  {
    descriptor_.assign(socket_.get(zmq::sockopt::fd));
    WaitUntilReady();
  }

  // ZeroMQ signals its descriptor only when the socket's state changes. So the
  // socket is checked for pending messages before each wait.
  void WaitUntilReady()
  {
    if ((socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
      asio::post(descriptor_.get_executor(), [this] { HandleReady(); });
      return;
    }
    descriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                           [this](boost::system::error_code aError) {
                             if (!aError) {
                               HandleReady();
                             }
                           });
  }

private:
  void HandleReady()
  {
    readyCallback_();
    WaitUntilReady();
  }

  zmq::socket_t socket_;
  asio::posix::stream_descriptor descriptor_;
  std::function<void()> readyCallback_;
};

struct Peer
{
  std::string endpoint_;
  std::optional<zmq::socket_t> socket_; // empty while unused
  Time usedAt_;
};

std::string
MakeEndpoint(const std::string& aHost, std::uint16_t aPort)
{
  return fmt::format("tcp://{}:{}", aHost, aPort);
}

} // namespace

struct Link::Impl
{
  Impl(asio::io_context& aContext,
       std::string aBind,
       LinkSendPolicy aQueue,
       LinkKeys aKeys,
       std::function<void(std::string_view)> aReceive)
    : sweepTimer_(aContext)
    , sendPolicy_(aQueue)
    , bind_(std::move(aBind))
    , keys_(std::move(aKeys))
    , messageCallback_(std::move(aReceive))
    , receiveSocket_(aContext,
                     zmq_,
                     zmq::socket_type::pull,
                     [this] { ReceiveMessages(); })
    , authSocket_(aContext, zmq_, zmq::socket_type::rep, [this] {
      AnswerAuthRequests();
    })
  {
    SetSocketOptions(receiveSocket_.Socket());
    if (HasKeys()) {
      authSocket_.Socket().bind(kAuthEndpoint);
      authSocket_.Start();
      receiveSocket_.Socket().set(zmq::sockopt::zap_domain, "jaydoor");
      receiveSocket_.Socket().set(zmq::sockopt::curve_server, 1);
      receiveSocket_.Socket().set(zmq::sockopt::curve_secretkey, keys_.secret_);
    }
  }

  bool HasKeys() const { return !keys_.public_.empty(); }

  static void SetSocketOptions(zmq::socket_t& aSocket)
  {
    aSocket.set(zmq::sockopt::linger, 0);
    aSocket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
    aSocket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
    aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    aSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
    aSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    aSocket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    aSocket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    aSocket.set(zmq::sockopt::reconnect_ivl, kReconnectDelayMs);
    aSocket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectDelayMs);
  }

  void ReceiveMessages()
  {
    zmq::message_t message;
    for (int i = 0; i < kDrainBatch; i++) {
      if (!receiveSocket_.Socket().recv(message, zmq::recv_flags::dontwait)) {
        return;
      }
      messageCallback_(
        { static_cast<const char*>(message.data()), message.size() });
    }
  }

  // Answers ZeroMQ's authentication requests (ZAP): is a client's key the
  // fleet's? Parts of a request: version, request, domain, address, identity,
  // mechanism, key.
  void AnswerAuthRequests()
  {
    std::vector<std::string> parts;
    zmq::message_t part;
    while (authSocket_.Socket().recv(part, zmq::recv_flags::dontwait)) {
      parts.push_back(part.to_string());
      if (part.more()) {
        continue;
      }
      const bool known = parts.size() == 7 && parts[6] == ExpectedKey();
      refusedCount_ += known ? 0U : 1U;
      const std::string request = parts.size() > 1 ? parts[1] : "";
      const std::array<std::string, 6> reply = {
        "1.0", request, known ? "200" : "400", "", "", ""
      };
      for (std::size_t i = 0; i < reply.size(); i++) {
        const auto flags = i + 1 < reply.size() ? zmq::send_flags::sndmore
                                                : zmq::send_flags::none;
        authSocket_.Socket().send(zmq::buffer(reply[i]), flags);
      }
      parts.clear();
    }
  }

  // The fleet's public key as the 32 bytes that clients present.
  std::string ExpectedKey() const
  {
    std::array<std::uint8_t, 32> bytes{};
    zmq_z85_decode(bytes.data(), keys_.public_.c_str());
    return { bytes.begin(), bytes.end() };
  }

  // Opens a socket that is connected to a peer.
  void Connect(Peer& aPeer)
  {
    zmq::socket_t socket(zmq_, zmq::socket_type::push);
    SetSocketOptions(socket);
    if (sendPolicy_ == LinkSendPolicy::QueueUnconnected) {
      socket.set(zmq::sockopt::sndhwm, kMaxUnconnectedMessages);
    }
    socket.set(zmq::sockopt::immediate,
               sendPolicy_ == LinkSendPolicy::RefuseUnconnected ? 1 : 0);
    if (HasKeys()) {
      socket.set(zmq::sockopt::curve_serverkey, keys_.public_);
      socket.set(zmq::sockopt::curve_publickey, keys_.public_);
      socket.set(zmq::sockopt::curve_secretkey, keys_.secret_);
    }
    // "tcp://source;destination" connects from the source address.
    socket.connect(fmt::format("tcp://{}:0;{}", bind_, aPeer.endpoint_));
    aPeer.socket_ = std::move(socket);
  }

  void ScheduleSweep()
  {
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      for (auto& [id, peer] : peers_) {
        if (ReadClock() - peer.usedAt_ >= kUnusedTimeout) {
          peer.socket_.reset();
        }
      }
      ScheduleSweep();
    });
  }

  asio::steady_timer sweepTimer_;
  LinkSendPolicy sendPolicy_;
  std::string bind_;
  LinkKeys keys_;
  std::function<void(std::string_view)> messageCallback_;
  zmq::context_t zmq_;
  WatchedSocket receiveSocket_;
  WatchedSocket authSocket_;
  std::map<VmId, Peer> peers_;
  std::uint64_t refusedCount_ = 0;
};

Link::Link(asio::io_context& aContext,
           std::string aBind,
           LinkSendPolicy aQueue,
           LinkKeys aKeys,
           std::function<void(std::string_view)> aReceive)
  : impl_(std::make_unique<Impl>(aContext,
                                 std::move(aBind),
                                 aQueue,
                                 std::move(aKeys),
                                 std::move(aReceive)))
{
}

Link::~Link() = default;

Expected<bool>
Link::Bind(std::uint16_t aPort)
{
  const std::string endpoint = MakeEndpoint(impl_->bind_, aPort);
  try {
    impl_->receiveSocket_.Socket().bind(endpoint);
  } catch (const zmq::error_t& error) {
    return MakeError(
      ErrorKind::Network,
      fmt::format("can't bind {}: {}; choose a free port of this VM",
                  endpoint,
                  error.what()));
  }
  impl_->receiveSocket_.Start();
  impl_->ScheduleSweep();
  return true;
}

void
Link::SetPeer(const VmId& aVm, const std::string& aHost, std::uint16_t aPort)
{
  const std::string endpoint = fmt::format("{}:{}", aHost, aPort);
  Peer& peer = impl_->peers_[aVm];
  if (peer.endpoint_ != endpoint) {
    peer.socket_.reset();
    peer.endpoint_ = endpoint;
  }
}

bool
Link::Send(const VmId& aVm, std::string_view aBytes)
{
  const auto found = impl_->peers_.find(aVm);
  if (found == impl_->peers_.end()) {
    return false;
  }
  Peer& peer = found->second;
  peer.usedAt_ = ReadClock();
  if (!peer.socket_) {
    impl_->Connect(peer);
  }
  const auto sent = peer.socket_->send(
    zmq::buffer(aBytes.data(), aBytes.size()), zmq::send_flags::dontwait);
  return sent.has_value();
}

std::size_t
Link::CountOpen() const
{
  std::size_t open = 0;
  for (const auto& [id, peer] : impl_->peers_) {
    open += peer.socket_ ? 1U : 0U;
  }
  return open;
}

std::uint64_t
Link::CountRefused() const
{
  return impl_->refusedCount_;
}

LinkKeys
MakeLinkKeys()
{
  std::array<char, kZ85Bytes> publicKey{};
  std::array<char, kZ85Bytes> secretKey{};
  zmq_curve_keypair(publicKey.data(), secretKey.data());
  return { publicKey.data(), secretKey.data() };
}

} // namespace jaydoor
