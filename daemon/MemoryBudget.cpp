#include "daemon/MemoryBudget.h"

#include <algorithm>

namespace jaydoor {
namespace {

// Of an idle process: code, threads, control state (12 MB were measured), and
// the copies that a single event makes of one message.
constexpr std::size_t kFixedBytes = 24UL * 1024 * 1024;
// Of an idle connection: its receive buffer, its session, entries in tables.
constexpr std::size_t kConnectionBytes = 6UL * 1024;
// Share of the remaining memory; the rest is lost to fragmentation, and to
// buffers that grow by copying.
constexpr double kBudgetShare = 0.6;
constexpr std::size_t kMinBudgetBytes = 8UL * 1024 * 1024;

template<typename Enum>
std::size_t
IndexOf(Enum aValue)
{
  return static_cast<std::size_t>(aValue);
}

} // namespace

MemoryBudget::MemoryBudget(std::size_t aLimitBytes)
  : limit_(aLimitBytes)
{
}

void
MemoryBudget::Change(MemoryPlace aPlace,
                     std::size_t aOldBytes,
                     std::size_t aNewBytes)
{
  const auto difference =
    static_cast<std::int64_t>(aNewBytes) - static_cast<std::int64_t>(aOldBytes);
  if (difference != 0) {
    used_.fetch_add(difference, std::memory_order_relaxed);
    places_.at(IndexOf(aPlace))
      .fetch_add(difference, std::memory_order_relaxed);
  }
}

void
MemoryBudget::Count(ClientVerdict aVerdict)
{
  counts_.at(IndexOf(aVerdict)).fetch_add(1, std::memory_order_relaxed);
}

bool
MemoryBudget::MayRead(std::size_t aHeldBytes) const
{
  return aHeldBytes <= kSmallBytes || Used() < Mark(kPauseShare);
}

bool
MemoryBudget::MayTake(std::size_t aBytes) const
{
  return aBytes <= kSmallBytes || Used() + aBytes < Mark(kRefuseShare);
}

std::size_t
MemoryBudget::ExcessOverPause() const
{
  const std::size_t used = Used();
  return used - std::min(used, Mark(kPauseShare));
}

std::size_t
MemoryBudget::ExcessOverClose() const
{
  const std::size_t used = Used();
  return used < Mark(kCloseShare) ? 0 : used - Mark(kRefuseShare);
}

std::size_t
MemoryBudget::Used() const
{
  return static_cast<std::size_t>(
    std::max<std::int64_t>(0, used_.load(std::memory_order_relaxed)));
}

std::size_t
MemoryBudget::Used(MemoryPlace aPlace) const
{
  return static_cast<std::size_t>(std::max<std::int64_t>(
    0, places_.at(IndexOf(aPlace)).load(std::memory_order_relaxed)));
}

std::uint64_t
MemoryBudget::Counted(ClientVerdict aVerdict) const
{
  return counts_.at(IndexOf(aVerdict)).load(std::memory_order_relaxed);
}

std::size_t
MemoryBudget::Mark(double aShare) const
{
  return static_cast<std::size_t>(static_cast<double>(limit_) * aShare);
}

std::size_t
ComputeBudget(std::size_t aMemoryBytes, std::size_t aMaxConnections)
{
  const std::size_t rest = kFixedBytes + kConnectionBytes * aMaxConnections;
  const std::size_t free = aMemoryBytes - std::min(aMemoryBytes, rest);
  return std::max(
    kMinBudgetBytes,
    static_cast<std::size_t>(static_cast<double>(free) * kBudgetShare));
}

} // namespace jaydoor
