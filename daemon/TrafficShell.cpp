#include "daemon/TrafficShell.h"

#include "daemon/Clock.h"
#include "daemon/Link.h"
#include "daemon/LinkMessage.h"
#include "daemon/Metrics.h"
#include "daemon/TraceWriter.h"
#include "wire/Json.h"

#include <map>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace jaydoor {
namespace {

namespace asio = boost::asio;

constexpr Duration kIdlePollInterval = 20ms; // while a stopping VM drains

unsigned
ToHttpStatus(const CallerAnswer& aAnswer)
{
  switch (aAnswer.outcome_) {
    case Outcome::Done:
      return 200;
    case Outcome::Failed:
      return 422;
    case Outcome::Unknown:
      return 504;
    case Outcome::NotRun:
      break;
  }
  const bool badRequest = aAnswer.reason_ == Reason::BadRequest ||
                          aAnswer.reason_ == Reason::BadSession;
  return badRequest ? 400 : 503;
}

TrafficConfig
MakeConfig(const Settings& aSettings)
{
  TrafficConfig config;
  config.self_ = aSettings.vm_;
  config.zone_ = aSettings.zone_;
  config.sessionKeys_ = aSettings.sessionKeys_;
  config.seed_ = std::random_device{}();
  config.probeTiming_.answerTimeout_ = aSettings.suspectTimeout_;
  return config;
}

} // namespace

struct TrafficShell::Impl
{
  // A caller's request that has no answer yet.
  struct PendingRequest
  {
    explicit PendingRequest(asio::io_context& aContext)
      : doneTimer_(aContext, std::chrono::steady_clock::time_point::max())
    {
    }

    asio::steady_timer doneTimer_; // cancelled when the answer has arrived
    CallerAnswer answer_;
    Rank rank_ = kDefaultRank;
    Time startedAt_;
  };

  Impl(const Settings& aSettings, std::function<void(wire::Suspicion)> aSuspect)
    : settings_(aSettings)
    , reportSuspicion_(std::move(aSuspect))
    , node_(MakeConfig(aSettings))
    , wakeTimer_(context_)
    , http_(context_,
            HttpLimits{},
            [this](HttpRequest aRequest) { return Serve(std::move(aRequest)); })
    , link_(context_,
            aSettings.bind_,
            LinkSendPolicy::RefuseUnconnected,
            { aSettings.linkPublicKey_, aSettings.linkSecretKey_ },
            [this](std::string_view aBytes) { HandleLinkMessage(aBytes); })
    , traces_(aSettings.traceFile_, aSettings.vm_)
  {
  }

  void Step(TrafficEvent aEvent)
  {
    TrafficActions actions;
    node_.Step(std::move(aEvent), ReadClock(), actions);
    for (auto& action : actions) {
      std::visit([this](auto& aCase) { Perform(aCase); }, action);
    }
    ScheduleWake();
  }

  // Starts the timer for the node's next tick, unless it already runs for an
  // earlier time.
  void ScheduleWake()
  {
    const Time now = ReadClock();
    const Time next = node_.NextWake(now);
    if (next >= wakeAt_ && timerRunning_) {
      return;
    }
    wakeAt_ = next;
    timerRunning_ = true;
    wakeTimer_.expires_after(next - now);
    wakeTimer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        timerRunning_ = false;
        Step(TrafficTick{});
      }
    });
  }

  // ---- Callers

  asio::awaitable<HttpResponse> Serve(HttpRequest aRequest)
  {
    HttpResponse reply;
    if (aRequest.path_ == "/v1/health") {
      reply.status_ = draining_ ? 503 : 200;
      reply.body_ =
        draining_ ? R"({"health":"draining"})" : R"({"health":"ok"})";
      co_return reply;
    }
    if (aRequest.path_ != "/v1/statement" || aRequest.method_ != "POST") {
      reply.status_ = 404;
      reply.body_ = R"({"remedy":"POST /v1/statement or GET /v1/health"})";
      co_return reply;
    }
    auto request = ParseCallerRequest(aRequest.body_);
    if (!request) {
      CallerAnswer answer;
      answer.reason_ = Reason::BadRequest;
      answer.detail_ = request.error().message_;
      reply.status_ = ToHttpStatus(answer);
      reply.body_ = WriteCallerAnswer(answer);
      co_return reply;
    }
    request->traceParent_ = std::move(aRequest.traceParent_);
    if (!traces_.IsOpen()) {
      request->traceParent_.clear();
    }
    const RequestId id = nextRequest_++;
    auto pending = std::make_shared<PendingRequest>(context_);
    pending->rank_ = request->rank_.value_or(kDefaultRank);
    pending->startedAt_ = ReadClock();
    pendingRequests_[id] = pending;
    Step(CallerRequestReceived{ id, std::move(*request) });
    if (pendingRequests_.contains(id)) {
      boost::system::error_code ignored;
      co_await pending->doneTimer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    metrics_.RecordStatement(pending->rank_,
                             pending->answer_.outcome_,
                             ReadClock() - pending->startedAt_);
    reply.status_ = ToHttpStatus(pending->answer_);
    reply.body_ = WriteCallerAnswer(pending->answer_);
    reply.closeConnection_ = draining_;
    co_return reply;
  }

  void Perform(AnswerCaller& aAction)
  {
    const auto found = pendingRequests_.find(aAction.request_);
    if (found == pendingRequests_.end()) {
      return;
    }
    found->second->answer_ = std::move(aAction.answer_);
    found->second->doneTimer_.cancel();
    pendingRequests_.erase(found);
  }

  // ---- Upstreams

  void Perform(OpenConnection& aAction)
  {
    const ConnectionId id = aAction.id_;
    HttpClientEvents events;
    events.opened_ = [this, id] { Step(UpstreamConnectionOpened{ id }); };
    events.lost_ = [this, id] {
      connections_.erase(id);
      Step(UpstreamConnectionLost{ id });
    };
    events.answered_ = [this, id](unsigned aStatus, const std::string& aBody) {
      HandleUpstreamResponse(id, aStatus, aBody);
    };
    const auto client =
      std::make_shared<HttpClient>(context_, std::move(events));
    connections_[id] = client;
    client->Open(aAction.host_, aAction.port_, settings_.bind_);
  }

  void HandleUpstreamResponse(ConnectionId aId,
                              unsigned aStatus,
                              const std::string& aBody)
  {
    auto answer = ParseUpstreamAnswer(aBody);
    if (aStatus != 200 || !answer) {
      // An answer that can't be parsed doesn't prove whether the statement ran.
      const auto found = connections_.find(aId);
      if (found != connections_.end()) {
        found->second->Close();
        connections_.erase(found);
      }
      Step(UpstreamConnectionLost{ aId });
      return;
    }
    Step(ConnectionAnswerReceived{ aId, std::move(*answer) });
  }

  void Perform(CloseConnection& aAction)
  {
    const auto found = connections_.find(aAction.id_);
    if (found != connections_.end()) {
      // The client is closed now, but destroyed only after its own callback,
      // which may be running, has returned.
      auto client = std::move(found->second);
      connections_.erase(found);
      client->Close();
      asio::post(context_, [client] {});
    }
  }

  void Perform(SendUpstreamRequest& aAction)
  {
    const auto found = connections_.find(aAction.id_);
    if (found != connections_.end()) {
      found->second->SendRequest(PathOf(aAction.request_.op_),
                                 WriteUpstreamRequest(aAction.request_));
    }
  }

  // ---- Other VMs

  void HandleLinkMessage(std::string_view aBytes)
  {
    auto message = ReadLinkMessage<wire::TrafficMessage>(aBytes, settings_.vm_);
    if (message) {
      Step(TrafficMessageReceived{ std::move(*message) });
    }
  }

  void Perform(SendTrafficMessage& aAction)
  {
    wire::TrafficMessage& message = aAction.message_;
    message.set_from(settings_.vm_);
    message.set_to(aAction.to_);
    message.set_sent_us(ReadClock().time_since_epoch().count());
    if (!link_.Send(aAction.to_, message.SerializeAsString())) {
      asio::post(context_, [this, unsent = std::move(message)]() mutable {
        Step(TrafficMessageUnsent{ std::move(unsent) });
      });
    }
  }

  // ---- Suspicions, log and spans

  void Perform(ReportSuspicion& aAction)
  {
    if (aAction.suspicion_.suspected()) {
      LogEvent(Event::PrimarySuspected,
               "database={} server={} term={}",
               aAction.suspicion_.database(),
               aAction.suspicion_.server(),
               aAction.suspicion_.term());
    }
    reportSuspicion_(std::move(aAction.suspicion_));
  }

  void Perform(WriteLogEvent& aAction)
  {
    WriteLogLine(aAction.event_, aAction.text_);
  }

  void Perform(EmitSpan& aAction) { traces_.Write(aAction); }

  void PollIdle()
  {
    if (idleCallback_ && node_.IsIdle() && pendingRequests_.empty()) {
      std::exchange(idleCallback_, nullptr)();
      return;
    }
    auto timer =
      std::make_shared<asio::steady_timer>(context_, kIdlePollInterval);
    timer->async_wait([this, timer](boost::system::error_code) {
      if (idleCallback_) {
        PollIdle();
      }
    });
  }

  Settings settings_;
  std::function<void(wire::Suspicion)> reportSuspicion_;
  asio::io_context context_{ 1 };
  TrafficNode node_;
  asio::steady_timer wakeTimer_;
  Time wakeAt_;
  bool timerRunning_ = false; // wakeTimer_ runs
  bool draining_ = false;
  HttpServer http_;
  Link link_;
  TraceWriter traces_;
  Metrics metrics_;
  std::map<ConnectionId, std::shared_ptr<HttpClient>> connections_;
  std::map<RequestId, std::shared_ptr<PendingRequest>> pendingRequests_;
  RequestId nextRequest_ = 1;
  std::function<void()> idleCallback_;
};

TrafficShell::TrafficShell(const Settings& aSettings,
                           std::function<void(wire::Suspicion)> aSuspect)
  : impl_(std::make_unique<Impl>(aSettings, std::move(aSuspect)))
{
}

TrafficShell::~TrafficShell() = default;

Expected<bool>
TrafficShell::Start()
{
  const Settings& settings = impl_->settings_;
  const auto bound = impl_->link_.Bind(settings.trafficPort_);
  if (!bound) {
    return bound;
  }
  const auto port = impl_->http_.Listen(settings.bind_, settings.callerPort_);
  if (!port) {
    return tl::unexpected(port.error());
  }
  impl_->ScheduleWake();
  return true;
}

void
TrafficShell::Run()
{
  impl_->context_.run();
}

void
TrafficShell::SetView(FleetViewPtr aView, std::vector<wire::Vm> aVms)
{
  asio::post(
    impl_->context_, [this, view = std::move(aView), vms = std::move(aVms)] {
      for (const auto& vm : vms) {
        if (vm.id() != impl_->settings_.vm_) {
          impl_->link_.SetPeer(
            vm.id(), vm.host(), static_cast<std::uint16_t>(vm.traffic_port()));
        }
      }
      impl_->Step(TrafficViewChanged{ view });
    });
}

void
TrafficShell::SetDraining(bool aOn)
{
  asio::post(impl_->context_, [this, aOn] {
    impl_->draining_ = aOn;
    impl_->Step(TrafficDrainChanged{ aOn });
  });
}

void
TrafficShell::NotifyWhenIdle(std::function<void()> aCallback)
{
  asio::post(impl_->context_, [this, callback = std::move(aCallback)] {
    impl_->idleCallback_ = callback;
    impl_->PollIdle();
  });
}

void
TrafficShell::Stop()
{
  asio::post(impl_->context_, [this] { impl_->context_.stop(); });
}

void
TrafficShell::CollectMetrics(std::function<void(std::string)> aCallback)
{
  asio::post(impl_->context_, [this, callback = std::move(aCallback)] {
    std::string text = impl_->metrics_.WriteTraffic(impl_->node_);
    AppendMetric(text,
                 "jaydoor_caller_connections",
                 "",
                 static_cast<double>(impl_->http_.CountConnections()));
    callback(std::move(text));
  });
}

void
TrafficShell::CollectUpstreamStats(
  std::function<void(std::vector<UpstreamStats>)> aCallback)
{
  asio::post(impl_->context_, [this, callback = std::move(aCallback)] {
    std::vector<UpstreamStats> figures;
    for (const auto& [id, owner] : impl_->node_.Owners()) {
      UpstreamStats own;
      own.server_ = id;
      own.queuedStatements_ = owner.CountQueued();
      own.connectionCount_ = owner.CountConnections();
      const auto watch = impl_->node_.Watches().find(owner.Info().database());
      if (watch != impl_->node_.Watches().end()) {
        own.point_ = watch->second.PointOf(id);
        own.unreachable_ = watch->second.IsUnreachable(id);
      }
      figures.push_back(std::move(own));
    }
    callback(std::move(figures));
  });
}

TrafficInterface
TrafficShell::MakeInterface()
{
  TrafficInterface functions;
  functions.setView_ = [this](FleetViewPtr aView, std::vector<wire::Vm> aVms) {
    SetView(std::move(aView), std::move(aVms));
  };
  functions.setDraining_ = [this](bool aOn) { SetDraining(aOn); };
  functions.notifyWhenIdle_ = [this](std::function<void()> aCallback) {
    NotifyWhenIdle(std::move(aCallback));
  };
  functions.collectMetrics_ =
    [this](std::function<void(std::string)> aCallback) {
      CollectMetrics(std::move(aCallback));
    };
  functions.collectUpstreamStats_ =
    [this](std::function<void(std::vector<UpstreamStats>)> aCallback) {
      CollectUpstreamStats(std::move(aCallback));
    };
  functions.explain_ =
    [](const ExplanationRequest&,
       const std::function<void(std::optional<Explanation>)>& aCallback) {
      aCallback(std::nullopt);
    };
  return functions;
}

} // namespace jaydoor
