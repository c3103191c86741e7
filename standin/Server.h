#pragma once

// One stand-in database server on HTTP: the upstream contract of
// docs/UPSTREAM.md with slots, a connection limit, a connection cost and a
// replication lag.

#include "daemon/Http.h"
#include "standin/Store.h"
#include "wire/Json.h"

#include <map>
#include <random>
#include <set>

#include <boost/asio/steady_timer.hpp>

namespace jaydoor::standin {

struct ServerConfig
{
  wire::Upstream info_;         // as it is announced
  std::string bind_;            // IP that it binds and connects from
  std::string announceSecret_;  //
  std::string dataFile_;        // empty: memory only
  bool sync_ = true;            // sync the log before answering
  Duration workTime_ = 1ms;     // time that a statement holds a slot
  Duration lag_ = 5ms;          // before a replica applies what it fetched
  Duration connectTime_ = 10ms; // before a new connection is served
  std::vector<std::pair<std::string, std::uint16_t>> announceTo_;
};

class Server
{
public:
  Server(boost::asio::io_context& aContext, ServerConfig aConfig);

  // Opens the data file and the port, and starts announcing.
  Expected<std::uint16_t> Start();
  // Announces that it leaves; takes what still comes.
  void Leave();

private:
  enum class Role : std::uint8_t
  {
    Replica, // follows, or waits to be told whom
    Primary,
  };

  struct Transaction
  {
    std::uint64_t term_ = 0;
    std::vector<std::string> statements_;
  };

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aCall);
  boost::asio::awaitable<UpstreamAnswer> Execute(UpstreamRequest aRequest,
                                                 std::uint64_t aConnection);
  boost::asio::awaitable<UpstreamAnswer> Run(UpstreamRequest aRequest,
                                             std::uint64_t aConnection);
  UpstreamAnswer RunInTransaction(const UpstreamRequest& aRequest,
                                  std::uint64_t aConnection);
  UpstreamAnswer RunAlone(const UpstreamRequest& aRequest);
  UpstreamAnswer Status() const;
  UpstreamAnswer Seal(std::uint64_t aTerm);
  UpstreamAnswer Promote(std::uint64_t aTerm);
  UpstreamAnswer Follow(const UpstreamRequest& aRequest);
  boost::asio::awaitable<HttpResponse> SendLog(std::string aBody);
  boost::asio::awaitable<void> Pull(std::uint64_t aGeneration);
  bool TakeLog(const std::string& aBody);
  boost::asio::awaitable<void> Announce(std::string aHost, std::uint16_t aPort);
  boost::asio::awaitable<void> Sleep(Duration aTime);
  UpstreamAnswer MakeAnswer(UpstreamResult aResult, Reason aReason) const;
  bool MayCommit(std::uint64_t aTerm) const;

  boost::asio::io_context& context_;
  ServerConfig config_;
  Store store_;
  HttpServer http_;
  Role role_ = Role::Replica;
  bool following_ = false;
  std::string primaryHost_;
  std::uint16_t primaryPort_ = 0;
  std::uint64_t generation_ = 0; // of the role; a pull of an older one ends
  std::map<std::uint64_t, Transaction> transactions_; // by connection
  std::size_t running_ = 0;
  std::size_t accepted_ = 0;
};

} // namespace jaydoor::standin
