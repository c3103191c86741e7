#include "standin/Network.h"

#include <array>
#include <deque>
#include <list>
#include <set>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace jaydoor::standin {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kChunk = 16UL * 1024;

struct Route
{
  std::string host_;
  std::string bind_;
  std::uint16_t port_ = 0;
};

} // namespace

struct Network::Impl : std::enable_shared_from_this<Network::Impl>
{
  struct Pipe;
  using PipePtr = std::shared_ptr<Pipe>;

  // One direction of a relayed connection.
  struct Flow
  {
    Tcp::socket* from_ = nullptr;
    Tcp::socket* to_ = nullptr;
    std::array<char, kChunk> chunk_{};
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>>
      queue_;
    std::unique_ptr<asio::steady_timer> timer_;
    bool writing_ = false;
    bool ended_ = false; // the source has closed
  };

  struct Pipe
  {
    explicit Pipe(Tcp::socket aCaller)
      : caller_(std::move(aCaller))
      , target_(caller_.get_executor())
    {
    }

    Tcp::socket caller_;
    Tcp::socket target_;
    Flow up_;
    Flow down_;
    std::string bind_;
    int callerZone_ = -1;
    int targetZone_ = -1;
    bool silent_ = false;
    bool closed_ = false;
  };

  explicit Impl(std::function<int(const std::string&)> aZoneOf)
    : zoneOf_(std::move(aZoneOf))
  {
  }

  void Start()
  {
    for (const auto& route : routes_) {
      auto acceptor = std::make_shared<Tcp::acceptor>(
        context_,
        Tcp::endpoint(asio::ip::make_address(route.host_), route.port_),
        true);
      acceptors_.push_back(acceptor);
      Accept(acceptor, route);
    }
    thread_ = std::thread([this] {
      const auto work = asio::make_work_guard(context_);
      context_.run();
    });
  }

  void Accept(const std::shared_ptr<Tcp::acceptor>& aAcceptor,
              const Route& aRoute)
  {
    aAcceptor->async_accept(
      [this, aAcceptor, aRoute](boost::system::error_code aError,
                                Tcp::socket aSocket) {
        if (!aError) {
          Connect(std::make_shared<Pipe>(std::move(aSocket)), aRoute);
        }
        Accept(aAcceptor, aRoute);
      });
  }

  void Connect(const PipePtr& aPipe, const Route& aRoute)
  {
    boost::system::error_code error;
    const auto remote = aPipe->caller_.remote_endpoint(error);
    if (error) {
      return;
    }
    aPipe->bind_ = aRoute.bind_;
    aPipe->callerZone_ = zoneOf_(remote.address().to_string());
    aPipe->targetZone_ = zoneOf_(aRoute.bind_);
    pipes_.push_back(aPipe);
    pipes_.remove_if([](const auto& aOld) { return aOld->closed_; });
    if (IsCut(*aPipe)) {
      return; // accepted by the relay, but nothing ever answers
    }
    aPipe->target_.async_connect(
      Tcp::endpoint(asio::ip::make_address(aRoute.bind_), aRoute.port_),
      [this, aPipe](boost::system::error_code aError) {
        if (aError) {
          Close(aPipe);
          return;
        }
        boost::system::error_code ignored;
        aPipe->caller_.set_option(Tcp::no_delay(true), ignored);
        aPipe->target_.set_option(Tcp::no_delay(true), ignored);
        aPipe->up_.from_ = aPipe->down_.to_ = &aPipe->caller_;
        aPipe->up_.to_ = aPipe->down_.from_ = &aPipe->target_;
        for (Flow* flow : { &aPipe->up_, &aPipe->down_ }) {
          flow->timer_ = std::make_unique<asio::steady_timer>(context_);
          Read(aPipe, *flow);
        }
      });
  }

  Duration DelayOf(const Pipe& aPipe) const
  {
    if (aPipe.callerZone_ < 0) {
      return callerDelay_;
    }
    return aPipe.callerZone_ == aPipe.targetZone_ ? Duration::zero()
                                                  : zoneDelay_;
  }

  void Read(const PipePtr& aPipe, Flow& aFlow)
  {
    aFlow.from_->async_read_some(
      asio::buffer(aFlow.chunk_),
      [this, aPipe, &aFlow](boost::system::error_code aError,
                            std::size_t aSize) {
        if (aError) {
          // Also the end of a connection is not seen through a cut.
          if (!IsDead(*aPipe)) {
            aFlow.ended_ = true;
            Write(aPipe, aFlow);
          }
          return;
        }
        if (!IsDead(*aPipe)) {
          aFlow.queue_.emplace_back(std::chrono::steady_clock::now() +
                                      DelayOf(*aPipe),
                                    std::string(aFlow.chunk_.data(), aSize));
          Write(aPipe, aFlow);
        }
        Read(aPipe, aFlow);
      });
  }

  void Write(const PipePtr& aPipe, Flow& aFlow)
  {
    if (aFlow.writing_) {
      return;
    }
    if (aFlow.queue_.empty()) {
      if (aFlow.ended_) {
        Close(aPipe);
      }
      return;
    }
    aFlow.writing_ = true;
    const auto due = aFlow.queue_.front().first;
    if (due <= std::chrono::steady_clock::now()) {
      WriteFront(aPipe, aFlow);
      return;
    }
    aFlow.timer_->expires_at(due);
    aFlow.timer_->async_wait([this, aPipe, &aFlow](boost::system::error_code) {
      WriteFront(aPipe, aFlow);
    });
  }

  void WriteFront(const PipePtr& aPipe, Flow& aFlow)
  {
    if (IsDead(*aPipe)) {
      aFlow.queue_.clear();
      aFlow.writing_ = false;
      return;
    }
    asio::async_write(
      *aFlow.to_,
      asio::buffer(aFlow.queue_.front().second),
      [this, aPipe, &aFlow](boost::system::error_code aError, std::size_t) {
        aFlow.writing_ = false;
        aFlow.queue_.pop_front();
        if (aError) {
          Close(aPipe);
        } else {
          Write(aPipe, aFlow);
        }
      });
  }

  void Close(const PipePtr& aPipe)
  {
    aPipe->closed_ = true;
    boost::system::error_code ignored;
    aPipe->caller_.close(ignored);
    aPipe->target_.close(ignored);
  }

  bool IsCut(const Pipe& aPipe) const
  {
    const int from = aPipe.callerZone_;
    const int to = aPipe.targetZone_;
    return from >= 0 && to >= 0 && from != to &&
           (cuts_.contains({ from, to }) || cuts_.contains({ to, from }));
  }

  bool IsDead(const Pipe& aPipe) const
  {
    return aPipe.silent_ || aPipe.closed_ || IsCut(aPipe);
  }

  // After a cut a connection has lost bytes and can't go on.
  void MarkCut()
  {
    for (const auto& pipe : pipes_) {
      pipe->silent_ = pipe->silent_ || IsCut(*pipe);
    }
  }

  std::function<int(const std::string&)> zoneOf_;
  asio::io_context context_{ 1 };
  std::vector<Route> routes_;
  std::vector<std::shared_ptr<Tcp::acceptor>> acceptors_;
  std::list<PipePtr> pipes_;
  std::set<std::pair<int, int>> cuts_;
  Duration zoneDelay_{};
  Duration callerDelay_{};
  std::thread thread_;
};

Network::Network(std::function<int(const std::string&)> aZoneOf)
  : impl_(std::make_shared<Impl>(std::move(aZoneOf)))
{
}

Network::~Network()
{
  impl_->context_.stop();
  if (impl_->thread_.joinable()) {
    impl_->thread_.join();
  }
}

void
Network::Add(const std::string& aHost,
             const std::string& aBind,
             std::uint16_t aPort)
{
  impl_->routes_.push_back({ aHost, aBind, aPort });
}

void
Network::SetDelay(Duration aBetweenZones, Duration aFromCallers)
{
  impl_->zoneDelay_ = aBetweenZones;
  impl_->callerDelay_ = aFromCallers;
}

void
Network::Start()
{
  impl_->Start();
}

void
Network::Cut(int aZone, int aOther)
{
  asio::post(impl_->context_, [impl = impl_, aZone, aOther] {
    impl->cuts_.insert({ aZone, aOther });
    impl->MarkCut();
  });
}

void
Network::CutOff(int aZone)
{
  asio::post(impl_->context_, [impl = impl_, aZone] {
    constexpr int kMaxZones = 16;
    for (int other = 0; other < kMaxZones; other++) {
      if (other != aZone) {
        impl->cuts_.insert({ aZone, other });
      }
    }
    impl->MarkCut();
  });
}

void
Network::Heal()
{
  asio::post(impl_->context_, [impl = impl_] { impl->cuts_.clear(); });
}

void
Network::Silence(const std::string& aBind)
{
  asio::post(impl_->context_, [impl = impl_, aBind] {
    for (const auto& pipe : impl->pipes_) {
      pipe->silent_ = pipe->silent_ || pipe->bind_ == aBind;
    }
  });
}

} // namespace jaydoor::standin
