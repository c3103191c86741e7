#pragma once

// Drives a Gateway on the traffic thread. It serves callers' sessions and the
// connections to servers over TCP, in the protocol that a codec implements.
//
//   SessionShell<LineCodec> shell(config, limits, budget, reader, control);
//   shell.Listen("10.0.1.1", 7000);
//   shell.Run();
//
// Sections:
//   1. Requirements on a codec
//   2. The shell
//
// All bytes that one event makes the gateway send to a connection are passed to
// the socket together.
//
// A caller's statements are passed to the gateway one at a time. While one is
// processed, or while responses have not been taken, at most kReadAheadBytes
// are read from the caller. What a connection holds counts against the
// process's budget; daemon/MemoryBudget.h and daemon/ClientLimits.h decide when
// a connection is not read from or is closed.

#include "base/Error.h"
#include "daemon/ClientLimits.h"
#include "daemon/Clock.h"
#include "daemon/ControlShell.h"
#include "daemon/GatewayMetrics.h"
#include "daemon/MemoryBudget.h"
#include "gateway/Gateway.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <netinet/tcp.h>
#include <set>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace jaydoor {

// ---- 1. Requirements on a codec

template<typename Codec>
concept SessionCodec = requires(typename Codec::CallerParser aCaller,
                                typename Codec::ServerParser aServer,
                                std::string& aBytes)
{
  aCaller.Push(std::string_view());
  {
    aCaller.Next()
    } -> std::same_as<std::optional<CallerMessage>>;
  // Bytes received that are not part of a returned message, and the memory
  // that the parser holds.
  {
    aCaller.PendingBytes()
    } -> std::same_as<std::size_t>;
  {
    aCaller.HeldBytes()
    } -> std::same_as<std::size_t>;
  aServer.Push(std::string_view());
  {
    aServer.Next()
    } -> std::same_as<std::optional<ServerMessage>>;
  // An error that was received, without the end of its answer so far.
  {
    aServer.PendingError()
    } -> std::same_as<std::optional<SessionError>>;
  {
    aServer.HeldBytes()
    } -> std::same_as<std::size_t>;
  Codec::WriteAccepted(aBytes);
  Codec::WriteRefused(aBytes, SessionError::Other);
  Codec::WriteReply(aBytes, SessionReply());
  Codec::WriteOpen(aBytes, DatabaseId(), ServerId(), OrganisationId());
  Codec::WriteCommand(aBytes, ServerCommand());
};

// ---- 2. The shell

// The functions of the control thread that the traffic thread calls. Each may
// be called on any thread.
struct ControlInterface
{
  std::function<void(wire::Suspicion)> reportSuspicion_;
  std::function<void(wire::LeaseRequest)> requestLeases_;
  std::function<void(wire::LeaseRelease)> releaseLeases_;
};

// Parses the operators' configuration; returns null if it is not valid.
using CatalogReader =
  std::function<CatalogPtr(std::uint64_t aVersion, std::string_view aBody)>;

template<SessionCodec Codec>
class SessionShell
{
  using Tcp = boost::asio::ip::tcp;

public:
  SessionShell(GatewayConfig aConfig,
               ClientLimits aLimits,
               MemoryBudget& aBudget,
               CatalogReader aReader,
               ControlInterface aControl)
    : gateway_(std::move(aConfig))
    , limits_(aLimits)
    , budget_(aBudget)
    , reader_(std::move(aReader))
    , control_(std::move(aControl))
    , acceptor_(context_)
    , timer_(context_)
    , sweepTimer_(context_)
    , acceptTimer_(context_)
  {
  }

  Expected<bool> Listen(const std::string& aHost, std::uint16_t aPort)
  {
    boost::system::error_code error;
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(aHost, error),
                                 aPort);
    if (!error) {
      acceptor_.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(kBacklog, error);
    }
    if (error) {
      return MakeError(
        ErrorKind::Network,
        fmt::format("can't listen on {}:{}: {}; choose a free port of this VM",
                    aHost,
                    aPort,
                    error.message()));
    }
    sweptAt_ = ReadClock();
    Accept();
    Sweep();
    Tick();
    return true;
  }

  boost::asio::io_context& Context() { return context_; }
  // Answers the load balancer's readiness probe: true if this VM accepts
  // sessions.
  bool AnswerReadinessProbe()
  {
    return gateway_.AnswerReadinessProbe(ReadClock());
  }
  void Run() { context_.run(); }

  // The functions of this thread for the control thread.
  TrafficInterface MakeInterface()
  {
    TrafficInterface functions;
    functions.setView_ = [this](FleetViewPtr aView,
                                const std::vector<wire::Vm>&) {
      Post([this, view = std::move(aView)] { HandleView(view); });
    };
    functions.setDraining_ = [this](bool aOn) {
      Post([this, aOn] {
        if (aOn) {
          Step(GatewayDrainRequested{});
        }
      });
    };
    functions.notifyWhenIdle_ = [this](std::function<void()> aCallback) {
      Post([this, callback = std::move(aCallback)] { whenIdle_ = callback; });
    };
    functions.collectMetrics_ =
      [this](std::function<void(std::string)> aCallback) {
        Post([this, callback = std::move(aCallback)] {
          callback(metrics_.Write(gateway_, ReadClock()) +
                   WriteBudgetMetrics(budget_));
        });
      };
    functions.collectUpstreamStats_ =
      [](const std::function<void(std::vector<UpstreamStats>)>& aCallback) {
        aCallback({});
      };
    functions.explain_ =
      [this](ExplanationRequest aRequest,
             std::function<void(std::optional<Explanation>)> aCallback) {
        Post([this,
              request = std::move(aRequest),
              callback = std::move(aCallback)] {
          callback(gateway_.Explain(request, ReadClock()));
        });
      };
    functions.deliverLeaseGrant_ = [this](wire::LeaseGrant aGrant) {
      Post([this, grant = std::move(aGrant)] {
        Step(LeaseGrantReceived{ grant });
      });
    };
    functions.deliverLeaseRevocation_ = [this](wire::LeaseRevoke aRevoke) {
      Post([this, revoke = std::move(aRevoke)] {
        Step(LeaseRevocationReceived{ revoke });
      });
    };
    return functions;
  }

  // May be called on any thread.
  void Stop()
  {
    Post([this] { context_.stop(); });
  }

private:
  static constexpr int kBacklog = 1024;
  static constexpr std::size_t kReadBytes = 4096;
  // A connection with more bytes to send than this is closed.
  static constexpr std::size_t kMaxUnsentBytes = 4UL * 1024 * 1024;
  // A server that acknowledges no sent data for this long is treated as lost.
  static constexpr int kServerUnacknowledgedMs = 3000;
  // The same for callers, who may be cut off for 7 s: the first repetition that
  // arrives can come twice as late.
  static constexpr int kCallerUnacknowledgedMs = 20'000;
  // More bytes are not read from a caller while a statement of it is processed
  // or its responses are not taken.
  static constexpr std::size_t kReadAheadBytes = 16UL * 1024;
  // A caller's next statement is not processed while more bytes of responses
  // are unsent.
  static constexpr std::size_t kMaxWaitingResponseBytes = 64UL * 1024;
  // Copies of a statement in the gateway while it is processed.
  static constexpr std::size_t kStatementCopies = 2;
  // A buffer of this size is kept when it is empty.
  static constexpr std::size_t kKeptBufferBytes = 16UL * 1024;
  static constexpr Duration kSweepInterval = 100ms;
  static constexpr Duration kJudgeInterval = 1s;
  // Connections that make no progress for this long are closed while the budget
  // is short.
  static constexpr Duration kStallTimeout = 2s;
  // When all connections are taken, one that has opened nothing for this long
  // makes room for the next.
  static constexpr Duration kUnopenedGrace = 1s;
  static constexpr Duration kAcceptRetryDelay = 100ms;

  // One TCP connection, to a caller or to a server.
  template<typename Parser>
  struct Connection
  {
    Connection(std::uint64_t aId, Tcp::socket aSocket, MemoryBudget* aBudget)
      : id_(aId)
      , socket_(std::move(aSocket))
      , received_(aBudget, kReceivedPlace)
      , unsentCharge_(aBudget, kUnsentPlace)
    {
    }

    static constexpr bool kIsCaller =
      std::is_same_v<Parser, typename Codec::CallerParser>;
    static constexpr MemoryPlace kReceivedPlace =
      kIsCaller ? MemoryPlace::Received : MemoryPlace::Servers;
    static constexpr MemoryPlace kUnsentPlace =
      kIsCaller ? MemoryPlace::Responses : MemoryPlace::Servers;

    std::size_t UnsentBytes() const
    {
      return unsent_.size() + sending_.size() - sentBytes_;
    }

    void CountBytes()
    {
      received_.Set(parser_.HeldBytes());
      unsentCharge_.Set(unsent_.capacity() + sending_.capacity());
    }

    std::uint64_t id_; // of the session or the server link
    Tcp::socket socket_;
    Parser parser_;
    std::array<char, kReadBytes> receiveBuffer_{};
    std::string unsent_;
    std::string sending_;
    std::size_t sentBytes_ = 0; // of sending_
    MemoryCharge received_;
    MemoryCharge unsentCharge_;
    bool opened_ = false;  // the session or server link is established
    bool closing_ = false; // close once all bytes are sent
    bool closed_ = false;
  };
  using Server = Connection<typename Codec::ServerParser>;

  struct Caller : Connection<typename Codec::CallerParser>
  {
    Caller(std::uint64_t aId, Tcp::socket aSocket, MemoryBudget* aBudget)
      : Connection<typename Codec::CallerParser>(aId,
                                                 std::move(aSocket),
                                                 aBudget)
      , statement_(aBudget, MemoryPlace::Statements)
      , state_(aBudget, MemoryPlace::SessionState)
    {
    }

    std::size_t HeldBytes() const
    {
      return this->received_.Bytes() + this->unsentCharge_.Bytes() +
             statement_.Bytes() + state_.Bytes();
    }

    MemoryCharge statement_; // the one being processed
    MemoryCharge state_;     // values and prepared statements of the session
    CallerProgress progress_;
    bool busy_ = false;    // a message of it is being processed
    bool reading_ = false; // an asynchronous read is under way
    bool paused_ = false;  // in pausedCallers_
  };

  template<typename Function>
  void Post(Function aFunction)
  {
    boost::asio::post(context_, std::move(aFunction));
  }

  void Tick()
  {
    Step(GatewayTick{});
    for (const auto& sample : gateway_.TakeSamples()) {
      metrics_.RecordSample(sample);
    }
    FlushLog();
    if (whenIdle_ && gateway_.IsIdle() && !HasUnsentResponses()) {
      std::exchange(whenIdle_, nullptr)();
    }
    const Time now = ReadClock();
    timer_.expires_after(gateway_.NextWake(now) - now);
    timer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  bool HasUnsentResponses() const
  {
    return std::any_of(
      callers_.begin(), callers_.end(), [](const auto& aEntry) {
        return aEntry.second->UnsentBytes() > 0;
      });
  }

  void HandleView(const FleetViewPtr& aView)
  {
    FleetOrCatalogChanged fleet{ aView, nullptr };
    if (aView->documentVersion_ > documentVersion_ && aView->documentBody_) {
      fleet.catalog_ = reader_(aView->documentVersion_, *aView->documentBody_);
      documentVersion_ = aView->documentVersion_;
    }
    Step(std::move(fleet));
  }

  void Step(GatewayEvent aEvent)
  {
    GatewayActions actions;
    gateway_.Step(std::move(aEvent), ReadClock(), actions);
    for (auto& action : actions) {
      std::visit([this](auto& aCase) { Perform(aCase); }, action);
    }
    Flush();
  }

  // Sends the bytes written to connections since the last call, then processes
  // the messages that callers have sent ahead.
  void Flush()
  {
    for (const SessionId id : std::exchange(callersToSend_, {})) {
      if (const auto found = callers_.find(id); found != callers_.end()) {
        const auto caller = found->second;
        Send(caller);
        if (caller->parser_.PendingBytes() > 0) {
          callersToPump_.push_back(id);
        }
      }
    }
    for (const ServerLinkId id : std::exchange(serversToSend_, {})) {
      if (const auto found = servers_.find(id); found != servers_.end()) {
        const auto server = found->second;
        Send(server);
      }
    }
    if (isPumping_) {
      return;
    }
    isPumping_ = true;
    while (!callersToPump_.empty()) {
      const auto found = callers_.find(callersToPump_.back());
      callersToPump_.pop_back();
      if (found != callers_.end()) {
        const auto caller = found->second;
        ProcessReceived(caller);
      }
    }
    isPumping_ = false;
  }

  // ---- Reading and writing sockets

  // Writes as many bytes as the socket accepts at once, the rest
  // asynchronously. HandleLost() is called later if the connection broke, holds
  // more than kMaxUnsentBytes, or was to be closed and all its bytes are sent.
  template<typename AnyConnection>
  void Send(const std::shared_ptr<AnyConnection>& aConnection)
  {
    if (aConnection->closed_) {
      return;
    }
    boost::system::error_code error;
    if (aConnection->sending_.empty()) {
      std::size_t sent = 0;
      while (sent < aConnection->unsent_.size() && !error) {
        sent += aConnection->socket_.write_some(
          boost::asio::buffer(aConnection->unsent_) + sent, error);
      }
      aConnection->unsent_.erase(0, sent);
      RecordSent(*aConnection, sent);
    }
    const bool broken = error && error != boost::asio::error::would_block;
    const bool tooMany = aConnection->UnsentBytes() > kMaxUnsentBytes;
    if (tooMany) {
      budget_.Count(ClientVerdict::ClosedTooManyBytes);
    }
    if (broken || tooMany ||
        (aConnection->closing_ && aConnection->UnsentBytes() == 0)) {
      aConnection->closed_ = true;
      Post([this, aConnection] { HandleLost(*aConnection); });
      return;
    }
    if (aConnection->unsent_.empty() || !aConnection->sending_.empty()) {
      ReleaseBuffer(aConnection->unsent_);
      aConnection->CountBytes();
      return;
    }
    aConnection->sending_ = std::exchange(aConnection->unsent_, {});
    aConnection->CountBytes();
    SendRest(aConnection);
  }

  // Writes the rest of `sending_`, in parts, so that a reader's progress shows.
  template<typename AnyConnection>
  void SendRest(const std::shared_ptr<AnyConnection>& aConnection)
  {
    aConnection->socket_.async_write_some(
      boost::asio::buffer(aConnection->sending_) + aConnection->sentBytes_,
      [this, aConnection](boost::system::error_code aError,
                          std::size_t aCount) {
        if (aError) {
          aConnection->closed_ = true;
          HandleLost(*aConnection);
          return;
        }
        aConnection->sentBytes_ += aCount;
        RecordSent(*aConnection, aCount);
        if (aConnection->sentBytes_ < aConnection->sending_.size()) {
          SendRest(aConnection);
          return;
        }
        aConnection->sentBytes_ = 0;
        aConnection->sending_.clear();
        ReleaseBuffer(aConnection->sending_);
        Send(aConnection);
        HandleSent(aConnection);
      });
  }

  static void ReleaseBuffer(std::string& aBuffer)
  {
    if (aBuffer.empty() && aBuffer.capacity() > kKeptBufferBytes) {
      std::string().swap(aBuffer); // an assignment would keep the memory
    }
  }

  void RecordSent(Caller& aCaller, std::size_t aCount)
  {
    if (aCaller.UnsentBytes() == 0) {
      aCaller.progress_.unreadSince_.reset();
    } else if (aCount > 0 || !aCaller.progress_.unreadSince_) {
      aCaller.progress_.unreadSince_ = activeTime_;
    }
    if (aCount > 0) {
      aCaller.progress_.progressAt_ = activeTime_;
    }
  }
  static void RecordSent(Server&, std::size_t) {}

  void HandleSent(const std::shared_ptr<Caller>& aCaller)
  {
    if (!aCaller->closed_) {
      ProcessReceived(aCaller);
    }
  }
  static void HandleSent(const std::shared_ptr<Server>&) {}

  void HandleLost(const Caller& aCaller) { HandleCallerEnded(aCaller.id_); }
  void HandleLost(const Server& aServer) { HandleServerLost(aServer.id_); }

  static void SetOptions(Tcp::socket& aSocket, int aUnacknowledgedMs)
  {
    using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    aSocket.set_option(Tcp::no_delay(true), ignored);
    aSocket.set_option(UserTimeout(aUnacknowledgedMs), ignored);
    aSocket.non_blocking(true, ignored);
  }

  // ---- Callers

  // Accepts connections while there is room for another. Sweep() goes on once
  // there is again.
  void Accept()
  {
    if (callers_.size() >= limits_.maxConnections_ && !CloseOldestUnopened()) {
      if (!std::exchange(acceptPaused_, true)) {
        budget_.Count(ClientVerdict::AcceptPaused);
      }
      return;
    }
    acceptPaused_ = false;
    acceptor_.async_accept([this](boost::system::error_code aError,
                                  Tcp::socket aSocket) {
      if (!acceptor_.is_open()) {
        return;
      }
      if (aError) {
        // Without a free descriptor the next call would fail at once.
        budget_.Count(ClientVerdict::AcceptFailed);
        acceptTimer_.expires_after(kAcceptRetryDelay);
        acceptTimer_.async_wait([this](auto) { Accept(); });
        return;
      }
      SetOptions(aSocket, kCallerUnacknowledgedMs);
      const SessionId id = nextSession_++;
      auto caller = std::make_shared<Caller>(id, std::move(aSocket), &budget_);
      caller->progress_.connectedAt_ = activeTime_;
      caller->progress_.progressAt_ = activeTime_;
      callers_[id] = caller;
      unopenedCallers_.insert(id);
      ReadCaller(caller);
      Accept();
    });
  }

  // Closes the connection that has been open longest without an opening
  // message. Returns false if there is none.
  bool CloseOldestUnopened()
  {
    if (unopenedCallers_.empty()) {
      return false;
    }
    const SessionId id = *unopenedCallers_.begin();
    if (activeTime_ - callers_.at(id)->progress_.connectedAt_ <
        kUnopenedGrace) {
      return false;
    }
    budget_.Count(ClientVerdict::ClosedUnopened);
    HandleCallerEnded(id);
    return true;
  }

  void ReadCaller(const std::shared_ptr<Caller>& aCaller)
  {
    aCaller->reading_ = true;
    aCaller->socket_.async_read_some(
      boost::asio::buffer(aCaller->receiveBuffer_),
      [this, aCaller](boost::system::error_code aError, std::size_t aCount) {
        aCaller->reading_ = false;
        if (aCaller->closed_) {
          return;
        }
        if (aError) {
          HandleCallerEnded(aCaller->id_);
          return;
        }
        aCaller->parser_.Push({ aCaller->receiveBuffer_.data(), aCount });
        callersToPump_.push_back(aCaller->id_);
        Flush();
      });
  }

  // Processes the received messages of a caller as far as its state allows,
  // then goes on reading if it may.
  void ProcessReceived(const std::shared_ptr<Caller>& aCaller)
  {
    Caller& caller = *aCaller;
    caller.CountBytes();
    while (!caller.closed_ && !caller.closing_ && MayProcess(caller)) {
      auto message = caller.parser_.Next();
      if (!message) {
        break;
      }
      caller.progress_.partialSince_.reset();
      caller.progress_.progressAt_ = activeTime_;
      HandleCallerMessage(caller.id_, caller, std::move(*message));
    }
    if (caller.closed_ || caller.closing_) {
      return;
    }
    caller.CountBytes();
    if (caller.busy_ || caller.parser_.PendingBytes() == 0) {
      caller.progress_.partialSince_.reset();
    } else if (!caller.progress_.partialSince_) {
      caller.progress_.partialSince_ = activeTime_;
    }
    if (caller.reading_) {
      return;
    }
    if (MayRead(caller)) {
      caller.paused_ = false;
      ReadCaller(aCaller);
    } else if (!std::exchange(caller.paused_, true)) {
      pausedCallers_.insert(caller.id_);
      if (!caller.busy_) {
        budget_.Count(caller.UnsentBytes() > kMaxWaitingResponseBytes
                        ? ClientVerdict::PausedByResponses
                        : ClientVerdict::PausedByBudget);
      }
    }
  }

  // May the next message of the caller be processed?
  bool MayProcess(const Caller& aCaller) const
  {
    const std::size_t unsent = aCaller.UnsentBytes();
    return !aCaller.busy_ && unsent <= kMaxWaitingResponseBytes &&
           (unsent == 0 || budget_.MayRead(aCaller.HeldBytes()));
  }

  bool MayRead(const Caller& aCaller) const
  {
    return (MayProcess(aCaller) ||
            aCaller.parser_.PendingBytes() < kReadAheadBytes) &&
           budget_.MayRead(aCaller.HeldBytes());
  }

  // ---- Limits on callers

  // Does what has to be done at intervals and not with an event: reads again
  // from callers that may be read from, and closes those that exceed a limit.
  void Sweep()
  {
    const Time now = ReadClock();
    activeTime_ += std::min(now - sweptAt_, 2 * kSweepInterval);
    sweptAt_ = now;
    for (const SessionId id : std::exchange(pausedCallers_, {})) {
      const auto found = callers_.find(id);
      if (found != callers_.end() && found->second->paused_) {
        const auto caller = found->second;
        if (MayRead(*caller)) {
          caller->paused_ = false;
          callersToPump_.push_back(id);
        } else {
          pausedCallers_.insert(id);
        }
      }
    }
    Flush();
    CloseLargest(budget_.ExcessOverPause(), false);
    CloseLargest(budget_.ExcessOverClose(), true);
    if (activeTime_ - judgedAt_ >= kJudgeInterval) {
      judgedAt_ = activeTime_;
      JudgeCallers();
    }
    if (acceptPaused_) {
      Accept();
    }
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        Sweep();
      }
    });
  }

  // Closes callers, the ones that hold most first, until they have given back
  // the excess; unless `aAll`, only those that make no progress.
  void CloseLargest(std::size_t aExcess, bool aAll)
  {
    if (aExcess == 0) {
      return;
    }
    std::vector<std::pair<std::size_t, SessionId>> candidates;
    for (const auto& [id, caller] : callers_) {
      const bool stalled =
        !caller->busy_ &&
        activeTime_ - caller->progress_.progressAt_ >= kStallTimeout;
      if (caller->HeldBytes() > MemoryBudget::kSmallBytes &&
          (aAll || stalled)) {
        candidates.emplace_back(caller->HeldBytes(), id);
      }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::size_t released = 0;
    for (const auto& [bytes, id] : candidates) {
      if (released >= aExcess) {
        return;
      }
      released += bytes;
      budget_.Count(ClientVerdict::ClosedByBudget);
      HandleCallerEnded(id);
    }
  }

  void JudgeCallers()
  {
    std::vector<SessionId> ended;
    for (const auto& [id, caller] : callers_) {
      if (const auto verdict =
            JudgeCaller(caller->progress_, limits_, activeTime_)) {
        budget_.Count(*verdict);
        ended.push_back(id);
      }
    }
    for (const SessionId id : ended) {
      HandleCallerEnded(id);
    }
  }

  // ---- Messages of callers

  void HandleCallerMessage(SessionId aId,
                           Caller& aCaller,
                           CallerMessage aMessage)
  {
    switch (aMessage.kind_) {
      case CallerMessage::Kind::Open:
        if (aCaller.opened_) {
          RefuseCaller(aId, SessionError::Malformed);
          return;
        }
        aCaller.opened_ = true;
        aCaller.progress_.opened_ = true;
        unopenedCallers_.erase(aId);
        aCaller.busy_ = true;
        Step(SessionOpenRequested{
          aId, std::move(aMessage.database_), HashKey(aMessage.key_) });
        return;
      case CallerMessage::Kind::Statement:
        if (!aCaller.opened_) {
          RefuseCaller(aId, SessionError::Malformed);
          return;
        }
        HandleStatement(aId, aCaller, std::move(aMessage.statement_));
        return;
      case CallerMessage::Kind::Close:
        HandleCallerEnded(aId);
        return;
      case CallerMessage::Kind::TooLarge:
        RefuseCaller(aId, SessionError::TooLarge);
        return;
      case CallerMessage::Kind::Unreadable:
        RefuseCaller(aId, SessionError::Malformed);
        return;
    }
  }

  void HandleStatement(SessionId aId,
                       Caller& aCaller,
                       SessionStatement aStatement)
  {
    const StatementKind kind = aStatement.kind_;
    const std::size_t bytes = aStatement.text_.size();
    SessionStatementReceived event{ aId, std::move(aStatement) };
    event.memoryShort_ = !budget_.MayTake(bytes * (kStatementCopies + 1));
    if (event.memoryShort_) {
      budget_.Count(ClientVerdict::RefusedByBudget);
    }
    aCaller.busy_ = true;
    aCaller.statement_.Set(bytes * kStatementCopies);
    Step(std::move(event));
    if (kind == StatementKind::Set || kind == StatementKind::Prepare ||
        kind == StatementKind::Deallocate) {
      aCaller.state_.Set(gateway_.CountSessionBytes(aId));
    }
  }

  // Refuses and ends the session of a caller that sent a message which can't be
  // processed.
  void RefuseCaller(SessionId aId, SessionError aError)
  {
    LogEvent(Event::SessionRefused,
             "session={} reason={}",
             aId,
             aError == SessionError::TooLarge ? "too_large" : "unreadable");
    Step(SessionEnded{ aId });
    RefuseSession refusal{ aId, aError };
    Perform(refusal);
    Flush();
  }

  void HandleCallerEnded(SessionId aId)
  {
    const auto found = callers_.find(aId);
    if (found == callers_.end()) {
      return;
    }
    const auto caller = found->second;
    callers_.erase(found);
    unopenedCallers_.erase(aId);
    CloseSocket(*caller);
    Step(SessionEnded{ aId });
  }

  template<typename AnyConnection>
  static void CloseSocket(AnyConnection& aConnection)
  {
    aConnection.closed_ = true;
    boost::system::error_code ignored;
    aConnection.socket_.shutdown(Tcp::socket::shutdown_both, ignored);
    aConnection.socket_.close(ignored);
  }

  template<typename Write>
  void WriteToCaller(SessionId aId, Write aWrite)
  {
    const auto found = callers_.find(aId);
    if (found != callers_.end()) {
      aWrite(*found->second);
      callersToSend_.push_back(aId);
    }
  }

  void Perform(AcceptSession& aAction)
  {
    WriteToCaller(aAction.session_, [](Caller& aCaller) {
      Codec::WriteAccepted(aCaller.unsent_);
      aCaller.busy_ = false;
    });
  }

  void Perform(RefuseSession& aAction)
  {
    WriteToCaller(aAction.session_, [&](Caller& aCaller) {
      Codec::WriteRefused(aCaller.unsent_, aAction.error_);
      aCaller.closing_ = true;
      // Nothing more is read; the move gives up the memory.
      const auto released = std::move(aCaller.parser_);
      aCaller.parser_ = {};
    });
  }

  void Perform(CloseSession& aAction)
  {
    WriteToCaller(aAction.session_,
                  [](Caller& aCaller) { aCaller.closing_ = true; });
  }

  void Perform(SendSessionReply& aAction)
  {
    WriteToCaller(aAction.session_, [&](Caller& aCaller) {
      Codec::WriteReply(aCaller.unsent_, aAction.reply_);
      aCaller.busy_ = false;
      aCaller.statement_.Set(0);
    });
  }

  // ---- Servers

  void Perform(OpenServerLink& aAction)
  {
    const ServerLinkId id = aAction.link_;
    auto server = std::make_shared<Server>(id, Tcp::socket(context_), &budget_);
    servers_[id] = server;
    boost::system::error_code error;
    const Tcp::endpoint endpoint(
      boost::asio::ip::make_address(aAction.host_, error), aAction.port_);
    if (error) {
      Post([this, id] { HandleServerLost(id); });
      return;
    }
    server->socket_.async_connect(
      endpoint,
      [this, id, server, action = aAction](boost::system::error_code aError) {
        if (server->closed_) {
          return;
        }
        if (aError) {
          HandleServerLost(id);
          return;
        }
        SetOptions(server->socket_, kServerUnacknowledgedMs);
        Codec::WriteOpen(
          server->unsent_, action.group_, action.server_, action.organisation_);
        Send(server);
        ReadServer(id, server);
      });
  }

  void ReadServer(ServerLinkId aId, const std::shared_ptr<Server>& aServer)
  {
    aServer->socket_.async_read_some(
      boost::asio::buffer(aServer->receiveBuffer_),
      [this, aId, aServer](boost::system::error_code aError,
                           std::size_t aCount) {
        if (aServer->closed_) {
          return;
        }
        if (aError) {
          HandleServerLost(aId);
          return;
        }
        aServer->parser_.Push({ aServer->receiveBuffer_.data(), aCount });
        while (auto message = aServer->parser_.Next()) {
          HandleServerMessage(aId, *aServer, std::move(*message));
          if (aServer->closed_) {
            return;
          }
        }
        aServer->CountBytes();
        ReadServer(aId, aServer);
      });
  }

  void HandleServerMessage(ServerLinkId aId,
                           Server& aServer,
                           ServerMessage aMessage)
  {
    if (aMessage.kind_ == ServerMessage::Kind::Unreadable) {
      LogEvent(Event::ServerUnreadable, "link={}", aId);
      HandleServerLost(aId);
    } else if (aServer.opened_) {
      Step(ServerLinkAnswered{ aId, std::move(aMessage.answer_) });
    } else if (aMessage.answer_.hasResult_) {
      HandleServerLost(aId, aMessage.answer_.error_);
    } else {
      aServer.opened_ = true;
      Step(ServerLinkOpened{ aId });
    }
  }

  void HandleServerLost(ServerLinkId aId,
                        std::optional<SessionError> aError = std::nullopt)
  {
    const auto found = servers_.find(aId);
    if (found == servers_.end()) {
      return;
    }
    const auto server = found->second;
    servers_.erase(found);
    CloseSocket(*server);
    if (!aError && !server->opened_) {
      aError = server->parser_.PendingError();
    }
    Step(ServerLinkLost{ aId, aError });
  }

  void Perform(SendServerCommand& aAction)
  {
    const auto found = servers_.find(aAction.link_);
    if (found != servers_.end()) {
      Codec::WriteCommand(found->second->unsent_, aAction.command_);
      serversToSend_.push_back(aAction.link_);
    }
  }

  void Perform(CloseServerLink& aAction)
  {
    const auto found = servers_.find(aAction.link_);
    if (found != servers_.end()) {
      CloseSocket(*found->second);
      servers_.erase(found);
    }
  }

  // ---- Actions for the control thread and the log

  void Perform(SendLeaseRequest& aAction)
  {
    control_.requestLeases_(std::move(aAction.request_));
  }

  void Perform(SendLeaseRelease& aAction)
  {
    control_.releaseLeases_(std::move(aAction.release_));
  }

  void Perform(ReportSuspicion& aAction)
  {
    control_.reportSuspicion_(std::move(aAction.suspicion_));
  }

  void Perform(WriteLogEvent& aAction)
  {
    WriteLogLine(aAction.event_, aAction.text_);
  }

  boost::asio::io_context context_{ 1 };
  Gateway gateway_;
  GatewayMetrics metrics_;
  ClientLimits limits_;
  MemoryBudget& budget_;
  CatalogReader reader_;
  ControlInterface control_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer sweepTimer_;
  boost::asio::steady_timer acceptTimer_;
  std::unordered_map<SessionId, std::shared_ptr<Caller>> callers_;
  std::unordered_map<ServerLinkId, std::shared_ptr<Server>> servers_;
  std::set<SessionId> unopenedCallers_; // the oldest one first
  std::set<SessionId> pausedCallers_;
  std::vector<SessionId> callersToPump_;
  std::vector<SessionId> callersToSend_;
  std::vector<ServerLinkId> serversToSend_;
  std::function<void()> whenIdle_;
  std::uint64_t documentVersion_ = 0;
  SessionId nextSession_ = 1;
  bool isPumping_ = false;
  bool acceptPaused_ = false;
  Time activeTime_; // stops while the process does not run
  Time sweptAt_;
  Time judgedAt_; // in activeTime_
};

} // namespace jaydoor
