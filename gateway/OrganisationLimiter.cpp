#include "gateway/OrganisationLimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jaydoor {
namespace {

// An operation waits for a token for no longer than this. The leader answers
// within one round trip unless it has just changed.
constexpr Duration kMaxWait = 300ms;
// The leader is not asked for a token that the own share yields in this time:
// about the time of its answer.
constexpr Duration kShortWait = 30ms;
constexpr std::size_t kMaxWaiting = 1000; // operations of one organisation
// While the leader is known to have no tokens, this many operations wait until
// it can be asked again. Without them, short peaks of an organisation that is
// within its limit are refused.
constexpr std::size_t kMaxWaitingWhileEmpty = 2;
// Reports: at least this often, and between two of them.
constexpr Duration kReportInterval = 1s;
constexpr Duration kUrgentReportInterval = 20ms;
// A report, or the answer to it, counts as lost after this time.
constexpr Duration kAnswerTimeout = 60ms;
constexpr Duration kConfirmInterval = 150ms;
// Changes of the demand that are reported before kReportInterval has passed.
constexpr double kReportedChange = 0.15;
constexpr double kLeastReportedChange = 0.5; // operations per second
// A smaller change, as a part of the limit, moves little of it. With few
// operations per second the demand changes by more than kReportedChange all the
// time.
constexpr double kReportedLimitPart = 0.03;
// Tokens of the leader are void after this time: it fills its pool again
// meanwhile.
constexpr Duration kTokenTimeout = 300ms;
// The leader is asked for tokens again after this time at the earliest once it
// had none.
constexpr Duration kLeastEmptyTime = 100ms;
// The demand is smoothed over the time of kSmoothedOperations, within these
// bounds, and since it began. Over 0.5 s only, a demand of 3 per second varies
// by more than half of itself, and shares are moved back and forth.
constexpr double kLeastSmoothing = 0.5; // seconds
constexpr double kMostSmoothing = 4;    // seconds
constexpr double kSmoothedOperations = 5;
constexpr double kNoDemand = 0.01; // operations per second
// Of an operation without a prediction of when there is room.
constexpr Duration kDefaultRetry = 500ms;
constexpr Duration kNoteInterval = 1s;
constexpr double kWholePpm = 1'000'000;
// Tokens are counted with this tolerance for rounding.
constexpr double kTokenError = 1e-6;

std::uint32_t
ToMilli(double aValue)
{
  return static_cast<std::uint32_t>(std::clamp(aValue * 1000, 0.0, 4e9));
}

double
CountSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the time over which a demand is smoothed that began `aAge` ago.
double
SmoothingSeconds(double aDemand, Duration aAge)
{
  const double longest =
    std::clamp(CountSeconds(aAge), kLeastSmoothing, kMostSmoothing);
  return std::clamp(
    kSmoothedOperations / std::max(aDemand, 1e-3), kLeastSmoothing, longest);
}

} // namespace

OrganisationLimiter::OrganisationLimiter(LimitTolerance aTolerance)
  : tolerance_(aTolerance)
{
}

void
OrganisationLimiter::SetLimits(const Organisations* aOrganisations, Time aNow)
{
  wantsReport_ |= aOrganisations != nullptr && !inUse_;
  inUse_ = aOrganisations != nullptr;
  for (auto& [id, bucket] : buckets_) {
    Refill(id, bucket, aNow); // at the limit until now
    if (aOrganisations == nullptr || aOrganisations->Find(id) == nullptr) {
      for (const auto& waiting : bucket.waiting_) {
        settled_.push_back(
          { waiting.id_, Refuse(id, bucket, Cause::NoShare, aNow) });
      }
    }
  }
  std::erase_if(buckets_, [&](const auto& aEntry) {
    return aOrganisations == nullptr ||
           aOrganisations->Find(aEntry.first) == nullptr;
  });
  if (aOrganisations == nullptr) {
    return;
  }
  // Half of the tolerance is left for operations that were admitted earlier and
  // reach a server later.
  const double factor = 1 + tolerance_.excess_ / 2;
  for (const auto& [id, organisation] : aOrganisations->All()) {
    const auto [at, isNew] = buckets_.try_emplace(id);
    Bucket& bucket = at->second;
    if (isNew) {
      bucket.refilledAt_ = aNow;
      bucket.demandAt_ = aNow;
    }
    bucket.limit_ = organisation.limit_;
    if (bucket.limit_) {
      bucket.rate_ = bucket.limit_->ratePerSecond_ * factor;
      bucket.capacity_ = bucket.limit_->burst_ * factor + tolerance_.slack_ / 2;
    }
    Trim(bucket);
    SettleWaiting(id, bucket, aNow);
  }
}

void
OrganisationLimiter::AddSession(const OrganisationId& aOrganisation)
{
  const auto found = buckets_.find(aOrganisation);
  if (found != buckets_.end()) {
    const bool isFirst = found->second.sessions_++ == 0;
    wantsReport_ |= isFirst && found->second.limit_;
  }
}

void
OrganisationLimiter::RemoveSession(const OrganisationId& aOrganisation)
{
  const auto found = buckets_.find(aOrganisation);
  if (found != buckets_.end() && found->second.sessions_ > 0) {
    found->second.sessions_--;
  }
}

// ---- Tokens

// Capacity of this VM's bucket. A bucket of less than one token would never
// admit anything; the leader bounds the number of VMs that hold a share.
double
OrganisationLimiter::Capacity(const Bucket& aBucket) const
{
  return aBucket.share_ > 0 ? std::max(1.0, aBucket.share_ * aBucket.capacity_)
                            : 0;
}

// Adds the tokens that have accrued, until the share has ended.
void
OrganisationLimiter::Refill(const OrganisationId& aId,
                            Bucket& aBucket,
                            Time aNow)
{
  const Time until = std::min(aNow, sharesUntil_);
  if (until > aBucket.refilledAt_) {
    aBucket.tokens_ += aBucket.share_ * aBucket.rate_ *
                       CountSeconds(until - aBucket.refilledAt_);
    aBucket.tokens_ = std::min(aBucket.tokens_, Capacity(aBucket));
  }
  aBucket.refilledAt_ = aNow;
  if (aNow >= sharesUntil_ && aBucket.share_ > 0) {
    Record(aId, aBucket, Note::Kind::Expired, aBucket.share_, aNow);
    aBucket.share_ = 0;
    aBucket.tokens_ = 0;
    aBucket.notedSharePpm_ = 0;
  }
}

// Gives tokens back that do not fit into the bucket.
void
OrganisationLimiter::Trim(Bucket& aBucket) const
{
  const double surplus = aBucket.tokens_ - Capacity(aBucket);
  if (surplus > 0) {
    aBucket.tokens_ -= surplus;
    aBucket.returned_ =
      std::min(aBucket.returned_ + surplus, aBucket.capacity_);
  }
}

double
OrganisationLimiter::DemandAt(const Bucket& aBucket, Time aNow) const
{
  return aBucket.demand_ *
         std::exp(
           -CountSeconds(aNow - aBucket.demandAt_) /
           SmoothingSeconds(aBucket.demand_, aNow - aBucket.demandSince_));
}

// Returns the time until this VM's share yields a token for an operation behind
// `aAhead` others.
Duration
OrganisationLimiter::TimeToToken(const Bucket& aBucket,
                                 std::size_t aAhead) const
{
  const double missing =
    static_cast<double>(aAhead) + 1 - aBucket.tokens_ - kTokenError;
  if (missing <= 0) {
    return {};
  }
  const double rate = aBucket.share_ * aBucket.rate_;
  const double seconds = rate > 0 ? missing / rate : 1e6;
  return seconds >= 1e6 ? Duration::max()
                        : Duration(static_cast<Duration::rep>(
                            std::ceil(seconds * 1'000'000)));
}

// ---- Operations

OrganisationLimiter::Decision
OrganisationLimiter::Refuse(const OrganisationId& aId,
                            Bucket& aBucket,
                            Cause aCause,
                            Time aNow)
{
  aBucket.refused_++;
  Record(aId, aBucket, Note::Kind::UsedUp, aBucket.share_, aNow);
  Duration retry = TimeToToken(aBucket, aBucket.waiting_.size());
  if (aNow < aBucket.emptyUntil_) {
    retry = std::min(retry, aBucket.emptyUntil_ - aNow);
  } else {
    retry = std::min(retry, kDefaultRetry);
  }
  return { Verdict::Refused, aCause, retry };
}

OrganisationLimiter::Decision
OrganisationLimiter::Admit(const OrganisationId& aOrganisation,
                           OperationId aId,
                           Time aWaitUntil,
                           Time aNow)
{
  const auto found = buckets_.find(aOrganisation);
  if (found == buckets_.end()) {
    // The configuration no longer has the organisation.
    return inUse_ ? Decision{ Verdict::Refused, Cause::NoShare, kDefaultRetry }
                  : Decision{};
  }
  Bucket& bucket = found->second;
  if (!bucket.limit_) {
    bucket.admitted_++;
    return {};
  }
  bucket.demand_ = DemandAt(bucket, aNow);
  if (bucket.demand_ < kNoDemand) {
    bucket.demandSince_ = aNow;
  }
  bucket.demand_ +=
    1 / SmoothingSeconds(bucket.demand_, aNow - bucket.demandSince_);
  bucket.demandAt_ = aNow;
  Refill(aOrganisation, bucket, aNow);
  if (bucket.waiting_.empty() && bucket.tokens_ + kTokenError >= 1) {
    bucket.tokens_ -= 1;
    bucket.admitted_++;
    return {};
  }
  const Time until = std::min(aWaitUntil, aNow + kMaxWait);
  const Duration wait = until - aNow;
  const bool isHopeless = aNow < bucket.emptyUntil_ &&
                          (bucket.emptyUntil_ >= until ||
                           bucket.waiting_.size() >= kMaxWaitingWhileEmpty) &&
                          TimeToToken(bucket, bucket.waiting_.size()) > wait;
  if (isHopeless) {
    return Refuse(aOrganisation, bucket, Cause::LimitReached, aNow);
  }
  if (bucket.waiting_.size() >= kMaxWaiting) {
    return Refuse(aOrganisation, bucket, Cause::Crowded, aNow);
  }
  bucket.waiting_.push_back({ aId, aNow, until });
  return { Verdict::Waits, Cause::None, {} };
}

void
OrganisationLimiter::Cancel(const OrganisationId& aOrganisation,
                            OperationId aId)
{
  const auto found = buckets_.find(aOrganisation);
  if (found != buckets_.end()) {
    std::erase_if(found->second.waiting_,
                  [&](const Waiting& aWaiting) { return aWaiting.id_ == aId; });
  }
}

void
OrganisationLimiter::ReturnToken(const OrganisationId& aOrganisation)
{
  const auto found = buckets_.find(aOrganisation);
  if (found == buckets_.end() || !found->second.limit_) {
    return;
  }
  Bucket& bucket = found->second;
  bucket.tokens_ += 1;
  bucket.admitted_ -= bucket.admitted_ > 0 ? 1 : 0;
  Trim(bucket);
}

// Admits waiting operations while there are tokens, and refuses those whose
// time is up.
void
OrganisationLimiter::SettleWaiting(const OrganisationId& aId,
                                   Bucket& aBucket,
                                   Time aNow)
{
  auto& waiting = aBucket.waiting_;
  while (!waiting.empty() &&
         (!aBucket.limit_ || aBucket.tokens_ + kTokenError >= 1)) {
    aBucket.tokens_ -= aBucket.limit_ ? 1 : 0;
    aBucket.admitted_++;
    settled_.push_back({ waiting.front().id_, {} });
    waiting.pop_front();
  }
  const auto isOver = [&](const Waiting& aWaiting) {
    return aNow >= aWaiting.until_;
  };
  for (const auto& operation : waiting) {
    if (isOver(operation)) {
      const Cause cause =
        aBucket.share_ > 0 ? Cause::LimitReached : Cause::NoShare;
      settled_.push_back({ operation.id_, Refuse(aId, aBucket, cause, aNow) });
    }
  }
  std::erase_if(waiting, isOver);
}

// The leader had no tokens for operations that waited at `aRequestedAt`:
// refuses those that the own share does not serve in time either.
void
OrganisationLimiter::RefuseWaiting(const OrganisationId& aId,
                                   Bucket& aBucket,
                                   Time aRequestedAt,
                                   Time aNow)
{
  auto& waiting = aBucket.waiting_;
  std::deque<Waiting> kept;
  for (const auto& operation : waiting) {
    const Duration wait = operation.until_ - aNow;
    const bool isHopeless = operation.since_ <= aRequestedAt &&
                            TimeToToken(aBucket, kept.size()) > wait &&
                            (aBucket.emptyUntil_ >= operation.until_ ||
                             kept.size() >= kMaxWaitingWhileEmpty);
    if (isHopeless) {
      settled_.push_back(
        { operation.id_, Refuse(aId, aBucket, Cause::LimitReached, aNow) });
    } else {
      kept.push_back(operation);
    }
  }
  waiting = std::move(kept);
}

void
OrganisationLimiter::Tick(Time aNow)
{
  for (auto& [id, bucket] : buckets_) {
    if (bucket.waiting_.empty() && bucket.share_ == 0) {
      continue;
    }
    Refill(id, bucket, aNow);
    SettleWaiting(id, bucket, aNow);
  }
}

std::vector<OrganisationLimiter::Settled>
OrganisationLimiter::TakeSettled()
{
  return std::exchange(settled_, {});
}

std::optional<Time>
OrganisationLimiter::NextWake(Time aNow) const
{
  std::optional<Time> wake;
  const auto consider = [&](Time aTime) {
    wake = std::min(wake.value_or(aTime), aTime);
  };
  for (const auto& [id, bucket] : buckets_) {
    if (bucket.waiting_.empty()) {
      continue;
    }
    const Duration toToken = TimeToToken(bucket, 0);
    consider(toToken < kMaxWait ? bucket.refilledAt_ + toToken
                                : aNow + kMaxWait);
    for (const auto& waiting : bucket.waiting_) {
      consider(waiting.until_);
    }
    consider(std::max(bucket.emptyUntil_,
                      reportedAt_ + (bucket.waiting_.back().since_ > askedAt_
                                       ? kUrgentReportInterval
                                       : kAnswerTimeout)));
  }
  return wake;
}

// ---- Reports and grants

bool
OrganisationLimiter::HasWaiting() const
{
  return std::any_of(buckets_.begin(), buckets_.end(), [](const auto& aEntry) {
    return !aEntry.second.waiting_.empty();
  });
}

bool
OrganisationLimiter::IsReportUrgent(Time aNow) const
{
  if (!inUse_ || aNow < reportedAt_ + kUrgentReportInterval) {
    return false;
  }
  return wantsReport_ ||
         std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& aEntry) {
           const auto& waiting = aEntry.second.waiting_;
           return !waiting.empty() && aNow >= aEntry.second.emptyUntil_ &&
                  TimeToToken(aEntry.second, waiting.size() - 1) > kShortWait &&
                  (waiting.back().since_ > askedAt_ ||
                   aNow >= reportedAt_ + kAnswerTimeout);
         });
}

bool
OrganisationLimiter::IsReportDue(Time aNow) const
{
  if (!inUse_) {
    return false;
  }
  const bool isUnconfirmed =
    confirmedTerm_ < leaderTerm_ || confirmedTerm_ == 0;
  if (wantsReport_ || wantsReportSoon_ || HasWaiting() ||
      (isUnconfirmed && aNow >= reportedAt_ + kConfirmInterval)) {
    return true;
  }
  bool hasEntries = false;
  for (const auto& [id, bucket] : buckets_) {
    if (!bucket.limit_) {
      continue;
    }
    const double demand = DemandAt(bucket, aNow);
    const double change = std::abs(demand - bucket.reportedDemand_);
    if (change >= kReportedChange * bucket.reportedDemand_ &&
        change >=
          std::max(kLeastReportedChange, kReportedLimitPart * bucket.rate_)) {
      return true;
    }
    hasEntries |= bucket.sessions_ > 0 || bucket.share_ > 0 ||
                  bucket.reportedDemand_ > 0 || bucket.returned_ > 0;
  }
  return hasEntries && aNow >= reportedAt_ + kReportInterval;
}

void
OrganisationLimiter::AddReport(wire::LeaseRequest& aRequest, Time aNow)
{
  if (!IsReportDue(aNow)) {
    return;
  }
  wantsReport_ = false;
  wantsReportSoon_ = false;
  reportedAt_ = aNow;
  askedAt_ = aNow;
  aRequest.set_shares_complete(true);
  aRequest.set_shares_term(appliedTerm_);
  aRequest.set_shares_id(appliedId_);
  for (auto& [id, bucket] : buckets_) {
    if (!bucket.limit_ && bucket.share_ == 0) {
      continue;
    }
    Refill(id, bucket, aNow);
    const double demand = DemandAt(bucket, aNow);
    // A demand that has faded away is not reported for ever.
    bucket.reportedDemand_ = demand * 1000 < 1 ? 0 : demand;
    const bool isListed = bucket.sessions_ > 0 || bucket.share_ > 0 ||
                          bucket.reportedDemand_ > 0 || bucket.returned_ > 0;
    if (!isListed) {
      continue;
    }
    wire::ShareReport& report = *aRequest.add_shares();
    report.set_organisation(id);
    report.set_demand_milli(left_ ? 0 : ToMilli(bucket.reportedDemand_));
    report.set_share_ppm(
      static_cast<std::uint32_t>(std::lround(bucket.share_ * kWholePpm)));
    report.set_rate_milli(ToMilli(bucket.rate_));
    report.set_capacity_milli(ToMilli(bucket.capacity_));
    report.set_returned_milli(ToMilli(std::exchange(bucket.returned_, 0)));
    report.set_waiting(static_cast<std::uint32_t>(bucket.waiting_.size()));
  }
}

void
OrganisationLimiter::ApplyGrant(const wire::LeaseGrant& aGrant, Time aNow)
{
  if (!inUse_ || aGrant.leader_term() < leaderTerm_) {
    return;
  }
  if (aGrant.leader_term() > leaderTerm_) {
    leaderTerm_ = aGrant.leader_term();
    wantsReport_ = true; // the new leader asks what is held
  }
  const bool isOld =
    aGrant.leader_term() == appliedTerm_ && aGrant.shares_id() <= appliedId_;
  const Time requestedAt{ Duration(aGrant.sent_us()) };
  const Time until =
    requestedAt + std::chrono::milliseconds(aGrant.shares_duration_ms());
  if (aGrant.shares_id() == 0 || isOld || left_ || aNow >= until) {
    return;
  }
  for (auto& [id, bucket] : buckets_) {
    Refill(id, bucket, aNow); // at the share until now
  }
  appliedTerm_ = aGrant.leader_term();
  appliedId_ = aGrant.shares_id();
  sharesUntil_ = until;
  if (aGrant.shares_unconfirmed()) {
    wantsReport_ = true; // confirms it
  } else {
    confirmedTerm_ = appliedTerm_;
  }
  std::map<std::string_view, const wire::ShareGrant*> granted;
  for (const auto& share : aGrant.shares()) {
    granted[share.organisation()] = &share;
  }
  for (auto& [id, bucket] : buckets_) {
    const auto found = granted.find(id);
    const wire::ShareGrant& grant = found == granted.end()
                                      ? wire::ShareGrant::default_instance()
                                      : *found->second;
    double share = grant.share_ppm() / kWholePpm;
    if (aGrant.shares_unconfirmed()) {
      share = std::min(share, bucket.share_);
    }
    wantsReportSoon_ |= share < bucket.share_; // frees the difference
    bucket.share_ = share;
    if (grant.share_ppm() != bucket.notedSharePpm_) {
      bucket.notedSharePpm_ = grant.share_ppm();
      Record(id, bucket, Note::Kind::Granted, share, aNow);
    }
    if (aNow - requestedAt < kTokenTimeout) {
      bucket.tokens_ += grant.tokens();
    }
    if (grant.empty_ms() > 0) {
      bucket.emptyUntil_ =
        aNow + std::max<Duration>(std::chrono::milliseconds(grant.empty_ms()),
                                  kLeastEmptyTime);
    }
    SettleWaiting(id, bucket, aNow);
    if (grant.empty_ms() > 0) {
      RefuseWaiting(id, bucket, requestedAt, aNow);
    }
    Trim(bucket);
  }
}

void
OrganisationLimiter::Leave(Time aNow)
{
  if (left_) {
    return;
  }
  left_ = true;
  wantsReport_ = inUse_;
  for (auto& [id, bucket] : buckets_) {
    Refill(id, bucket, aNow);
    bucket.share_ = 0;
    Trim(bucket);
  }
}

// ---- Notes

void
OrganisationLimiter::Record(const OrganisationId& aId,
                            Bucket& aBucket,
                            Note::Kind aKind,
                            double aShare,
                            Time aNow)
{
  NoteState& state = aBucket.notes_.at(static_cast<std::size_t>(aKind));
  state.count_++;
  if (aNow < state.notedAt_ + kNoteInterval) {
    return;
  }
  state.notedAt_ = aNow;
  notes_.push_back({ aKind,
                     aId,
                     aShare,
                     appliedTerm_,
                     appliedId_,
                     std::exchange(state.count_, 0) });
}

std::vector<OrganisationLimiter::Note>
OrganisationLimiter::TakeNotes()
{
  return std::exchange(notes_, {});
}

OrganisationLimiter::Usage
OrganisationLimiter::GetUsage(const OrganisationId& aOrganisation) const
{
  const auto found = buckets_.find(aOrganisation);
  if (found == buckets_.end()) {
    return {};
  }
  const Bucket& bucket = found->second;
  return { bucket.sessions_, bucket.share_,    bucket.tokens_,
           bucket.demand_,   bucket.admitted_, bucket.refused_ };
}

std::map<OrganisationId, OrganisationLimiter::Usage>
OrganisationLimiter::ListUsage() const
{
  std::map<OrganisationId, Usage> usage;
  for (const auto& [id, bucket] : buckets_) {
    usage[id] = GetUsage(id);
  }
  return usage;
}

} // namespace jaydoor
