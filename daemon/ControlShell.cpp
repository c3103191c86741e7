#include "daemon/ControlShell.h"

#include "base/Compress.h"
#include "daemon/AdminJson.h"
#include "daemon/Clock.h"
#include "daemon/ControlCost.h"
#include "daemon/DatagramSocket.h"
#include "daemon/Http.h"
#include "daemon/Link.h"
#include "daemon/LinkMessage.h"
#include "daemon/Metrics.h"
#include "daemon/VoterDisk.h"

#include <map>
#include <random>
#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <openssl/crypto.h>

namespace jaydoor {
namespace {

namespace asio = boost::asio;

constexpr Duration kUpstreamCallTimeout = 400ms;
constexpr Duration kOperatorTimeout = 8s;
// Bounds the memory and the delay of actions that wait for a sync.
constexpr std::size_t kMaxPendingActions = 512;

bool
IsSameSecret(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

wire::Vm
DescribeSelf(const Settings& aSettings)
{
  wire::Vm self;
  self.set_id(aSettings.vm_);
  self.set_zone(aSettings.zone_);
  self.set_host(aSettings.host_);
  self.set_control_port(aSettings.controlPort_);
  self.set_traffic_port(aSettings.trafficPort_);
  // The incarnation grows with each start, so that entries of an earlier start
  // are recognised as outdated.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  self.set_incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
  return self;
}

} // namespace

struct ControlShell::Impl
{
  // An HTTP request that waits for another thread or for the control log.
  struct PendingReply
  {
    explicit PendingReply(asio::io_context& aContext)
      : doneTimer_(aContext, kOperatorTimeout)
    {
    }

    asio::steady_timer doneTimer_;
    std::string body_;
    unsigned status_ = 504;
  };
  using PendingReplyPtr = std::shared_ptr<PendingReply>;

  Impl(const Settings& aSettings,
       TrafficInterface aTraffic,
       OutsideInterface aOutside)
    : settings_(aSettings)
    , traffic_(std::move(aTraffic))
    , outside_(std::move(aOutside))
    , wakeTimer_(context_)
    , http_(context_,
            aSettings.adminLimits_,
            [this](HttpRequest aRequest) { return Serve(std::move(aRequest)); })
    , link_(context_,
            aSettings.bind_,
            LinkSendPolicy::QueueUnconnected,
            { aSettings.linkPublicKey_, aSettings.linkSecretKey_ },
            [this](std::string_view aBytes) { HandleLinkMessage(aBytes); })
    , datagrams_(context_,
                 [this](std::string_view aBytes) { HandleLinkMessage(aBytes); })
  {
  }

  Expected<bool> Open()
  {
    ControlConfig config;
    config.self_ = DescribeSelf(settings_);
    config.seeds_ = settings_.peers_;
    config.voterVms_ = settings_.voterVms_;
    config.minVoterCount_ = settings_.minVoterCount_;
    config.mayFoundFleet_ = settings_.mayFoundFleet_;
    config.outsidePromotion_ = settings_.outsidePromotion_;
    config.idsAreHosts_ = settings_.idsAreHosts_;
    config.randomSeed_ = std::random_device{}();
    std::optional<RaftDisk> disk;
    if (!settings_.dataFolder_.empty()) {
      auto opened = disk_.Open(settings_.dataFolder_);
      if (!opened) {
        return tl::unexpected(opened.error());
      }
      disk = std::move(*opened);
      config.self_.set_voter(settings_.vm_ + "/" + disk_.Id());
      if (disk_.TornBytes() > 0) {
        LogEvent(Event::DiskTailTorn, "bytes={}", disk_.TornBytes());
      }
    }
    node_.emplace(std::move(config), std::move(disk));
    for (const auto& peer : settings_.peers_) {
      SetPeer(peer);
    }
    const auto bound = link_.Bind(settings_.controlPort_);
    if (!bound) {
      return bound;
    }
    if (UsesDatagrams()) {
      const auto datagramPort =
        datagrams_.Bind(settings_.bind_, settings_.controlPort_);
      if (!datagramPort) {
        return tl::unexpected(datagramPort.error());
      }
    }
    const auto port = http_.Listen(settings_.bind_, settings_.adminPort_);
    if (!port) {
      return tl::unexpected(port.error());
    }
    Tick();
    return true;
  }

  // With link keys every message has to be authenticated, so that all of them
  // go over links.
  bool UsesDatagrams() const { return settings_.linkPublicKey_.empty(); }

  void SetPeer(const VmId& aVm, const std::string& aHost, std::uint16_t aPort)
  {
    link_.SetPeer(aVm, aHost, aPort);
    datagrams_.SetPeer(aVm, aHost, aPort);
  }

  void SetPeer(const wire::Vm& aVm)
  {
    if (aVm.id() != settings_.vm_) {
      SetPeer(
        aVm.id(), aVm.host(), static_cast<std::uint16_t>(aVm.control_port()));
    }
  }

  void Tick()
  {
    Step(ControlTick{});
    PerformActions();
    StopIfUnneeded();
    FlushLog();
    const Time now = ReadClock();
    ScheduleTick(now, node_->NextWake(now));
  }

  void ScheduleTick(Time aNow, Time aAt)
  {
    tickAt_ = aAt;
    wakeTimer_.expires_after(aAt - aNow); // cancels an earlier wait
    wakeTimer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // Actions are performed once the events that have come in together are
  // handled, so that all that these save takes one sync of the disk.
  void Step(ControlEvent aEvent)
  {
    const Time now = ReadClock();
    cost_.Start(ControlCost::KindOf(aEvent));
    node_->Step(std::move(aEvent), now, pendingActions_);
    cost_.Finish();
    // A view that has to wait is due before the next regular tick.
    if (const Time wake = node_->NextWake(now); wake < tickAt_) {
      ScheduleTick(now, wake);
    }
    if (pendingActions_.size() >= kMaxPendingActions) {
      PerformActions();
    } else if (!pendingActions_.empty() && !std::exchange(flushPosted_, true)) {
      asio::post(context_, [this] {
        flushPosted_ = false;
        PerformActions();
      });
    }
  }

  // Saves first, and syncs before anything else is done. This keeps the order
  // that actions require: what is saved is durable before a later message.
  void PerformActions()
  {
    ControlActions actions = std::exchange(pendingActions_, {});
    const auto isSave = [](const ControlAction& aAction) {
      return std::holds_alternative<SaveHardState>(aAction) ||
             std::holds_alternative<SaveEntries>(aAction) ||
             std::holds_alternative<SaveSnapshot>(aAction);
    };
    for (auto& action : actions) {
      if (isSave(action)) {
        std::visit([this](auto& aCase) { Perform(aCase); }, action);
      }
    }
    CheckDisk(disk_.Sync());
    for (auto& action : actions) {
      if (!isSave(action)) {
        std::visit([this](auto& aCase) { Perform(aCase); }, action);
      }
    }
  }

  // A voter that can't write must stop: it would promise votes and
  // entries that are lost at a restart.
  static void CheckDisk(const Expected<bool>& aResult)
  {
    if (!aResult) {
      LogEvent(Event::DiskFailed, "{}", aResult.error().message_);
      std::_Exit(1);
    }
  }

  void Perform(SaveHardState& aAction) { disk_.Save(aAction); }
  void Perform(SaveEntries& aAction) { disk_.Save(aAction); }
  void Perform(SaveSnapshot& aAction) { CheckDisk(disk_.Save(aAction)); }

  void Perform(SendToVm& aAction)
  {
    if (settings_.idsAreHosts_ && addressedVms_.insert(aAction.to_).second) {
      SetPeer(aAction.to_, aAction.to_, settings_.controlPort_);
    }
    const std::string bytes = aAction.message_.SerializeAsString();
    const bool sent = UsesDatagrams() && ToleratesLoss(aAction.message_) &&
                      datagrams_.Send(aAction.to_, bytes);
    if (!sent) {
      link_.Send(aAction.to_, bytes);
    }
  }

  void Perform(PublishView& aAction)
  {
    cost_.Start(ControlCost::kViewKind);
    const auto vms = node_->Members().ListLiveVms();
    for (const auto& vm : vms) {
      SetPeer(vm);
    }
    traffic_.setView_(aAction.view_, vms);
    cost_.Finish();
  }

  void Perform(LogControlEvent& aAction)
  {
    WriteLogLine(aAction.event_, aAction.fields_);
  }

  void Perform(AnswerRuleChange& aAction)
  {
    const auto found = pendingReplies_.find(aAction.operatorCall_);
    if (found == pendingReplies_.end()) {
      return;
    }
    const auto& outcome = aAction.outcome_;
    FinishReply(*found->second,
                !outcome ? 504U : (outcome->accepted() ? 200U : 409U),
                WriteRuleOutcome(outcome));
  }

  // ---- Calls that wait for the control log: the operators' configuration, and
  // servers that leave

  struct PendingAnswer
  {
    explicit PendingAnswer(asio::io_context& aContext)
      : doneTimer_(aContext, kOperatorTimeout)
    {
    }

    asio::steady_timer doneTimer_;
    bool finished_ = false;
    bool stored_ = false;
    std::shared_ptr<const std::string> body_;
  };
  using PendingAnswerPtr = std::shared_ptr<PendingAnswer>;

  asio::awaitable<PendingAnswerPtr> AwaitAnswer(ControlEvent aEvent,
                                                std::uint64_t aId)
  {
    auto pending = std::make_shared<PendingAnswer>(context_);
    pendingAnswers_[aId] = pending;
    Step(std::move(aEvent));
    boost::system::error_code ignored;
    if (!pending->finished_) {
      co_await pending->doneTimer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    pendingAnswers_.erase(aId);
    co_return pending;
  }

  void FinishAnswer(std::uint64_t aId,
                    bool aStored,
                    std::shared_ptr<const std::string> aBody)
  {
    const auto found = pendingAnswers_.find(aId);
    if (found != pendingAnswers_.end()) {
      found->second->finished_ = true;
      found->second->stored_ = aStored;
      found->second->body_ = std::move(aBody);
      found->second->doneTimer_.cancel();
    }
  }

  void Perform(AnswerAnnouncement& aAction)
  {
    FinishAnswer(aAction.call_, aAction.recorded_, nullptr);
  }

  void Perform(AnswerDocumentWrite& aAction)
  {
    FinishAnswer(aAction.operatorCall_, aAction.stored_, nullptr);
  }

  void Perform(AnswerDocumentRead& aAction)
  {
    FinishAnswer(aAction.operatorCall_,
                 aAction.body_ != nullptr,
                 std::move(aAction.body_));
  }

  // ---- Leases and promotions

  void Perform(DeliverLeaseGrant& aAction)
  {
    if (traffic_.deliverLeaseGrant_) {
      traffic_.deliverLeaseGrant_(std::move(aAction.grant_));
    }
  }

  void Perform(DeliverLeaseRevocation& aAction)
  {
    if (traffic_.deliverLeaseRevocation_) {
      traffic_.deliverLeaseRevocation_(std::move(aAction.revoke_));
    }
  }

  void Perform(RequestServerStatus& aAction)
  {
    outside_.requestServerStatus_(
      aAction, [this, call = aAction.callId_](auto aStatus) {
        Step(ServerStatusRequestCompleted{ call, aStatus });
      });
  }

  void Perform(RequestPromotion& aAction)
  {
    outside_.requestPromotion_(
      aAction, [this, call = aAction.callId_](auto aAnswer) {
        Step(PromotionRequestCompleted{ call, aAnswer });
      });
  }

  // ---- Calls to upstreams

  void Perform(SendPromoterRequest& aAction)
  {
    const std::uint64_t call = aAction.callId_;
    const UpstreamOp op = aAction.request_.op_;
    const std::string body = WriteUpstreamRequest(aAction.request_);
    HttpClientEvents events;
    events.opened_ = [this, call, op, body] {
      promoterClients_.at(call)->SendRequest(PathOf(op), body);
    };
    events.lost_ = [this, call] { FinishPromoterCall(call, std::nullopt); };
    events.answered_ = [this, call](unsigned aStatus,
                                    const std::string& aBody) {
      auto answer = ParseUpstreamAnswer(aBody);
      const bool good = aStatus == 200 && answer.has_value();
      FinishPromoterCall(
        call, good ? std::optional(std::move(*answer)) : std::nullopt);
    };
    const auto client =
      std::make_shared<HttpClient>(context_, std::move(events));
    promoterClients_[call] = client;
    client->Open(aAction.host_, aAction.port_, settings_.bind_);
    auto limit = std::make_shared<asio::steady_timer>(context_);
    limit->expires_after(kUpstreamCallTimeout);
    limit->async_wait([this, call, limit](boost::system::error_code) {
      FinishPromoterCall(call, std::nullopt);
    });
  }

  void FinishPromoterCall(std::uint64_t aCall,
                          std::optional<UpstreamAnswer> aAnswer)
  {
    const auto found = promoterClients_.find(aCall);
    if (found == promoterClients_.end()) {
      return;
    }
    const auto client = found->second;
    promoterClients_.erase(found);
    client->Close();
    asio::post(context_, [client] {});
    Step(PromoterRequestCompleted{ aCall, std::move(aAnswer) });
  }

  // ---- Messages from other VMs

  void HandleLinkMessage(std::string_view aBytes)
  {
    auto message = ReadLinkMessage<wire::ControlMessage>(aBytes, settings_.vm_);
    if (message) {
      Step(ControlMessageReceived{ std::move(*message) });
    }
  }

  // ---- HTTP requests of operators and upstreams

  asio::awaitable<HttpResponse> Serve(HttpRequest aRequest)
  {
    HttpResponse reply;
    if (aRequest.path_ == "/v1/announce") {
      co_return ServeAnnounce(aRequest);
    }
    if (!IsSameSecret(aRequest.secret_, settings_.operatorSecret_)) {
      LogEvent(Event::OperatorRefused, "path={}", aRequest.path_);
      reply.status_ = 401;
      reply.body_ = WriteRefusal("send the operators' secret as 'Authorization:"
                                 " Bearer SECRET'");
      co_return reply;
    }
    const bool get = aRequest.method_ == "GET";
    if (aRequest.path_ == "/v1/rules" && !get) {
      co_return co_await ServeRuleChange(aRequest);
    }
    if (aRequest.path_ == "/v1/rules") {
      reply.body_ = WriteRules(node_->State());
    } else if (aRequest.path_ == "/v1/rules/history") {
      reply.body_ = WriteRulesHistory(node_->State());
    } else if (aRequest.path_ == "/v1/status") {
      co_return co_await ServeStatus();
    } else if (aRequest.path_ == "/v1/explain") {
      co_return co_await ServeExplain(aRequest);
    } else if (aRequest.path_ == "/metrics") {
      co_return co_await ServeMetrics();
    } else if (aRequest.path_ == "/v1/drain" ||
               aRequest.path_ == "/v1/resume") {
      const bool on = aRequest.path_ == "/v1/drain";
      SetDraining(on);
      reply.body_ = on ? R"({"state":"draining"})" : R"({"state":"serving"})";
    } else {
      reply.status_ = 404;
      reply.body_ = WriteRefusal("see docs/OPERATIONS.md for the paths");
    }
    co_return reply;
  }

  HttpResponse ServeAnnounce(const HttpRequest& aRequest)
  {
    HttpResponse reply;
    if (!settings_.announceSecret_.empty() &&
        !IsSameSecret(aRequest.secret_, settings_.announceSecret_)) {
      reply.status_ = 401;
      reply.body_ = WriteRefusal(
        "send the upstreams' secret as 'Authorization: Bearer SECRET'");
      return reply;
    }
    auto upstream = ParseAnnouncement(aRequest.body_);
    if (!upstream) {
      reply.status_ = 400;
      reply.body_ = WriteRefusal(upstream.error().message_);
      return reply;
    }
    Step(UpstreamAnnounced{ std::move(*upstream) });
    reply.body_ = "{}";
    return reply;
  }

  asio::awaitable<HttpResponse> AwaitReply(PendingReplyPtr aPending)
  {
    boost::system::error_code ignored;
    if (aPending->body_.empty()) {
      co_await aPending->doneTimer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    HttpResponse reply;
    reply.status_ = aPending->status_;
    reply.body_ = aPending->body_;
    co_return reply;
  }

  static void FinishReply(PendingReply& aPending,
                          unsigned aStatus,
                          std::string aBody)
  {
    aPending.status_ = aStatus;
    aPending.body_ = std::move(aBody);
    aPending.doneTimer_.cancel();
  }

  asio::awaitable<HttpResponse> ServeRuleChange(const HttpRequest& aRequest)
  {
    auto change = ParseRuleChange(aRequest.body_);
    if (!change) {
      HttpResponse reply;
      reply.status_ = 400;
      reply.body_ = WriteRefusal(change.error().message_);
      co_return reply;
    }
    auto pending = std::make_shared<PendingReply>(context_);
    const std::uint64_t id = nextOperatorCall_++;
    pendingReplies_[id] = pending;
    Step(RuleChangeRequested{ id, std::move(*change) });
    HttpResponse reply = co_await AwaitReply(pending);
    pendingReplies_.erase(id);
    co_return reply;
  }

  asio::awaitable<HttpResponse> ServeStatus()
  {
    auto pending = std::make_shared<PendingReply>(context_);
    traffic_.collectUpstreamStats_([this, pending](auto aFigures) {
      asio::post(context_, [this, pending, figures = std::move(aFigures)] {
        FinishReply(*pending, 200, WriteStatus(*node_, figures));
      });
    });
    co_return co_await AwaitReply(pending);
  }

  asio::awaitable<HttpResponse> ServeExplain(const HttpRequest& aRequest)
  {
    auto request = ParseExplanationRequest(aRequest.body_);
    if (!request) {
      HttpResponse reply;
      reply.status_ = 400;
      reply.body_ = WriteRefusal(request.error().message_);
      co_return reply;
    }
    auto pending = std::make_shared<PendingReply>(context_);
    traffic_.explain_(std::move(*request), [this, pending](auto aExplanation) {
      asio::post(context_, [pending, explanation = std::move(aExplanation)] {
        if (explanation) {
          FinishReply(*pending, 200, WriteExplanation(*explanation));
        } else {
          FinishReply(*pending,
                      404,
                      WriteRefusal("this VM serves no sessions; ask an entry "
                                   "VM that does"));
        }
      });
    });
    co_return co_await AwaitReply(pending);
  }

  asio::awaitable<HttpResponse> ServeMetrics()
  {
    auto pending = std::make_shared<PendingReply>(context_);
    traffic_.collectMetrics_([this, pending](std::string aText) {
      asio::post(context_, [this, pending, text = std::move(aText)]() mutable {
        FinishReply(*pending, 200, WriteControlMetrics() + text);
      });
    });
    HttpResponse reply = co_await AwaitReply(pending);
    reply.contentType_ = "text/plain; version=0.0.4";
    co_return reply;
  }

  std::string WriteControlMetrics() const
  {
    std::string text;
    const auto add = [&text](std::string_view aName, std::uint64_t aValue) {
      AppendMetric(text, aName, "", static_cast<double>(aValue));
    };
    const ControlCounters& counters = node_->Counters();
    add("jaydoor_control_messages_out_total", counters.messagesOut_);
    add("jaydoor_control_bytes_out_total", counters.bytesOut_);
    add("jaydoor_control_messages_in_total", counters.messagesIn_);
    add("jaydoor_control_bytes_in_total", counters.bytesIn_);
    AppendMessageCounts(text, "in", counters.inByKind_);
    AppendMessageCounts(text, "out", counters.outByKind_);
    add("jaydoor_control_views_total", counters.views_);
    add("jaydoor_control_proposals_total", counters.proposals_);
    add("jaydoor_control_proposals_merged_total", counters.proposalsMerged_);
    add("jaydoor_control_snapshots_refused_total", counters.snapshotsRefused_);
    add("jaydoor_control_syncs_total", disk_.CountSyncs());
    cost_.AppendTo(text);
    add("jaydoor_control_index", node_->State().Index());
    add("jaydoor_rules_version", node_->State().RulesVersion());
    add("jaydoor_rules_proven", node_->IsStateProven() ? 1 : 0);
    add("jaydoor_live_vms", node_->Members().ListLiveVms().size());
    const Raft* raft = node_->Consensus();
    add("jaydoor_is_leader", raft != nullptr && raft->IsLeader() ? 1 : 0);
    add("jaydoor_links_refused_total", link_.CountRefused());
    add("jaydoor_control_links_open", link_.CountOpen());
    return text;
  }

  static void AppendMessageCounts(std::string& aText,
                                  std::string_view aDirection,
                                  const MessageCounts& aCounts)
  {
    for (std::size_t kind = 0; kind < kMessageKinds; kind++) {
      const MessageCount& count = aCounts.at(kind);
      if (count.messages_ == 0) {
        continue;
      }
      const auto labels = fmt::format(
        R"(direction="{}",kind="{}")", aDirection, NameMessageKind(kind));
      AppendMetric(aText,
                   "jaydoor_control_messages_by_kind_total",
                   labels,
                   static_cast<double>(count.messages_));
      AppendMetric(aText,
                   "jaydoor_control_bytes_by_kind_total",
                   labels,
                   static_cast<double>(count.bytes_));
    }
  }

  // Calls that were taken on are answered first; the drain limit bounds this.
  void StopIfUnneeded()
  {
    const bool hasCalls = !pendingAnswers_.empty() || !pendingReplies_.empty();
    if (stopsWhenUnneeded_ && !hasCalls && !node_->IsNeededAsVoter()) {
      context_.stop();
    }
  }

  void SetDraining(bool aOn)
  {
    Step(LeavingChanged{ aOn });
    traffic_.setDraining_(aOn);
  }

  Settings settings_;
  TrafficInterface traffic_;
  OutsideInterface outside_;
  asio::io_context context_{ 1 };
  VoterDisk disk_;
  std::optional<ControlNode> node_;
  asio::steady_timer wakeTimer_;
  Time tickAt_; // when wakeTimer_ expires
  HttpServer http_;
  Link link_;
  DatagramSocket datagrams_;
  ControlCost cost_;
  ControlActions pendingActions_; // not performed yet
  bool flushPosted_ = false;
  std::map<std::uint64_t, std::shared_ptr<HttpClient>> promoterClients_;
  std::map<std::uint64_t, PendingReplyPtr> pendingReplies_;
  std::map<std::uint64_t, PendingAnswerPtr> pendingAnswers_;
  std::uint64_t nextOperatorCall_ = 1;
  // Set once this VM leaves and no work is in flight.
  bool stopsWhenUnneeded_ = false;
  std::set<VmId> addressedVms_; // if ids are hosts: VMs sent to so far
};

ControlShell::ControlShell(const Settings& aSettings,
                           TrafficInterface aTraffic,
                           OutsideInterface aOutside)
  : impl_(std::make_unique<Impl>(aSettings,
                                 std::move(aTraffic),
                                 std::move(aOutside)))
{
}

ControlShell::~ControlShell() = default;

Expected<bool>
ControlShell::Start()
{
  return impl_->Open();
}

void
ControlShell::Run()
{
  impl_->context_.run();
}

asio::io_context&
ControlShell::Context()
{
  return impl_->context_;
}

void
ControlShell::AnnounceUpstream(wire::Upstream aUpstream)
{
  impl_->Step(UpstreamAnnounced{ std::move(aUpstream) });
}

asio::awaitable<bool>
ControlShell::RecordLeaving(wire::Upstream aUpstream)
{
  const std::uint64_t id = impl_->nextOperatorCall_++;
  ControlEvent event = UpstreamAnnounced{ std::move(aUpstream), id };
  const auto pending = co_await impl_->AwaitAnswer(std::move(event), id);
  co_return pending->stored_;
}

asio::awaitable<bool>
ControlShell::RecordDeregistration(ServerId aServer)
{
  const std::uint64_t id = impl_->nextOperatorCall_++;
  ControlEvent event = UpstreamDeregistered{ std::move(aServer), id };
  const auto pending = co_await impl_->AwaitAnswer(std::move(event), id);
  co_return pending->stored_;
}

asio::awaitable<bool>
ControlShell::StoreDocument(wire::Document aDocument)
{
  const std::uint64_t id = impl_->nextOperatorCall_++;
  aDocument.set_body(Compress(aDocument.body()));
  // A named variable, because gcc 12 destroys temporaries of a co_await twice.
  ControlEvent event = DocumentWriteRequested{ id, std::move(aDocument) };
  const auto pending = co_await impl_->AwaitAnswer(std::move(event), id);
  co_return pending->stored_;
}

asio::awaitable<std::shared_ptr<const std::string>>
ControlShell::ReadDocument()
{
  const std::uint64_t id = impl_->nextOperatorCall_++;
  ControlEvent event = DocumentReadRequested{ id };
  const auto pending = co_await impl_->AwaitAnswer(std::move(event), id);
  co_return pending->body_;
}

const ControlState&
ControlShell::State() const
{
  return impl_->node_->State();
}

void
ControlShell::AddSeeds(std::vector<wire::Vm> aSeeds)
{
  for (const auto& seed : aSeeds) {
    impl_->SetPeer(seed);
  }
  impl_->node_->AddSeeds(std::move(aSeeds));
}

void
ControlShell::RequestLeases(wire::LeaseRequest aRequest)
{
  asio::post(impl_->context_, [this, request = std::move(aRequest)] {
    impl_->Step(LeasesRequested{ request });
  });
}

void
ControlShell::ReleaseLeases(wire::LeaseRelease aRelease)
{
  asio::post(impl_->context_, [this, release = std::move(aRelease)] {
    impl_->Step(LeasesReleased{ release });
  });
}

void
ControlShell::ReportSuspicion(wire::Suspicion aSuspicion)
{
  asio::post(impl_->context_, [this, suspicion = std::move(aSuspicion)] {
    impl_->Step(SuspicionReported{ suspicion });
  });
}

void
ControlShell::DrainAndStop()
{
  asio::post(impl_->context_, [this] {
    impl_->SetDraining(true);
    auto limit = std::make_shared<asio::steady_timer>(impl_->context_);
    limit->expires_after(impl_->settings_.drainLimit_);
    limit->async_wait([this, limit](boost::system::error_code) { Stop(); });
    impl_->traffic_.notifyWhenIdle_([this] {
      asio::post(impl_->context_, [this] {
        impl_->stopsWhenUnneeded_ = true;
        impl_->StopIfUnneeded();
      });
    });
  });
}

void
ControlShell::Stop()
{
  asio::post(impl_->context_, [this] { impl_->context_.stop(); });
}

} // namespace jaydoor
