// Tests the decisions about misbehaving clients without processes: the memory
// budget, the judgement of a caller's progress, the limits on a session's state
// and the reader of lines in pieces.

#include "daemon/ClientLimits.h"
#include "daemon/GatewayMetrics.h"
#include "daemon/LinkMessage.h"
#include "daemon/MemoryBudget.h"
#include "gateway/SessionState.h"
#include "platform/LineCodec.h"
#include "wire/jaydoor.pb.h"

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr std::size_t kMib = 1024UL * 1024;

} // namespace

TEST_CASE("The memory budget restrains the clients that hold most")
{
  MemoryBudget budget(100 * kMib);
  MemoryCharge charge(&budget, MemoryPlace::Received);
  CHECK(budget.MayRead(2 * kMib));
  CHECK(budget.MayTake(2 * kMib));

  SECTION("first by not reading from those that hold more than a little")
  {
    charge.Set(51 * kMib);
    CHECK_FALSE(budget.MayRead(2 * kMib));
    CHECK(budget.MayRead(MemoryBudget::kSmallBytes));
    CHECK(budget.MayTake(2 * kMib));
    CHECK(budget.ExcessOverPause() == kMib);
    CHECK(budget.ExcessOverClose() == 0);
  }
  SECTION("then by refusing work that is not small")
  {
    charge.Set(71 * kMib);
    CHECK_FALSE(budget.MayTake(2 * kMib));
    CHECK(budget.MayTake(MemoryBudget::kSmallBytes));
    CHECK(budget.ExcessOverClose() == 0);
  }
  SECTION("then by closing them")
  {
    charge.Set(90 * kMib);
    CHECK(budget.ExcessOverClose() == 20 * kMib);
  }
  SECTION("and gives everything back with the owner of the bytes")
  {
    {
      MemoryCharge other(&budget, MemoryPlace::Http);
      other.Set(5);
      charge.Set(3);
      CHECK(budget.Used(MemoryPlace::Http) == 5);
      CHECK(budget.Used() == 8);
    }
    CHECK(budget.Used(MemoryPlace::Http) == 0);
    CHECK(budget.Used() == 3);
  }
  SECTION("and shows use and verdicts in the metrics")
  {
    budget.Count(ClientVerdict::ClosedPartial);
    charge.Set(7);
    const std::string text = WriteBudgetMetrics(budget);
    CHECK(text.find("jaydoor_memory_used_bytes{place=\"received\"} 7") !=
          std::string::npos);
    CHECK(text.find("jaydoor_client_verdicts_total{reason=\"closed_partial\"} "
                    "1") != std::string::npos);
  }
}

TEST_CASE("The budget leaves room for the largest message on the smallest VM")
{
  // 112 MB and 3,080 descriptors, less the reserve of 400.
  const std::size_t smallest = ComputeBudget(112 * kMib, 2680);
  CHECK(smallest > 30 * kMib);
  CHECK(smallest < 60 * kMib);
  // Without enough memory there is still a budget.
  CHECK(MemoryBudget(ComputeBudget(kMib, 10'000)).MayTake(3 * kMib));
}

TEST_CASE("A caller's connection is judged by its progress")
{
  const ClientLimits limits;
  const Time start = Time(100s);
  CallerProgress progress;
  progress.connectedAt_ = start;

  SECTION("one that opens nothing is closed")
  {
    CHECK_FALSE(JudgeCaller(progress, limits, start + 15s));
    CHECK(JudgeCaller(progress, limits, start + 30s) ==
          ClientVerdict::ClosedUnopened);
  }
  progress.opened_ = true;
  SECTION("an idle session is kept")
  {
    CHECK_FALSE(JudgeCaller(progress, limits, start + 24h));
  }
  SECTION("one that sends part of a message is closed, but not one that sends "
          "it over a slow link or after 7 s of silence")
  {
    progress.partialSince_ = start + 1000s;
    CHECK_FALSE(JudgeCaller(progress, limits, start + 1020s));
    CHECK(JudgeCaller(progress, limits, start + 1060s) ==
          ClientVerdict::ClosedPartial);
  }
  SECTION("one that takes no responses is closed, but not after 7 s")
  {
    progress.unreadSince_ = start + 1000s;
    CHECK_FALSE(JudgeCaller(progress, limits, start + 1014s));
    CHECK(JudgeCaller(progress, limits, start + 1030s) ==
          ClientVerdict::ClosedUnread);
  }
}

TEST_CASE("The state of a session is limited in number and size")
{
  SessionState state;
  CHECK(state.Set("a", "1"));
  CHECK(state.Prepare("p", true, "text"));
  const std::size_t bytes = state.Bytes();

  SECTION("values that replace each other do not add up")
  {
    for (int i = 0; i < 100; i++) {
      REQUIRE(state.Set("a", "2"));
      REQUIRE(state.Prepare("p", false, "text"));
    }
    CHECK(state.Bytes() == bytes);
    CHECK(state.Deallocate("p"));
    CHECK_FALSE(state.Deallocate("p"));
    CHECK(state.Bytes() < bytes);
  }
  SECTION("a value over the limit changes nothing")
  {
    const std::string large(kMib, 'x');
    CHECK(state.Set("b", large));
    CHECK(state.Set("c", large));
    CHECK(state.Set("d", large));
    CHECK_FALSE(state.Set("a", large));
    CHECK_FALSE(state.Prepare("p", true, large));
    CHECK(state.Values().at("a").text_ == "1");
    CHECK(state.Prepared().at("p").text_ == "text");
    CHECK(state.Set("a", "3"));
  }
  SECTION("names are limited in number, and a known one can still be set")
  {
    for (std::size_t i = 1; i < SessionState::kMaxNames; i++) {
      REQUIRE(state.Set("n" + std::to_string(i), ""));
    }
    CHECK_FALSE(state.Set("one more", ""));
    CHECK(state.Set("a", "3"));
  }
  SECTION("digests tell whether a connection has exactly these values")
  {
    std::map<std::string, ValueDigest> digests;
    CHECK_FALSE(state.HasValues(digests));
    digests["a"] = state.Values().at("a").digest_;
    CHECK(state.HasValues(digests));
    REQUIRE(state.Set("a", "2"));
    CHECK_FALSE(state.HasValues(digests));
  }
}

TEST_CASE("Lines are read whole in whatever pieces they arrive")
{
  const std::string text = "first\r\nsec\nond\r\r\n\r\n" +
                           std::string(kMib, 'x') + "\r\n" +
                           std::string(70'000, 'y') + "\r\nlast";
  for (const std::size_t piece : { 1UL, 3UL, 100UL, 4096UL, 2 * kMib }) {
    platform::LineReader reader;
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      reader.Push(std::string_view(text).substr(at, piece));
      while (const auto line = reader.Next()) {
        lines.emplace_back(*line);
      }
      REQUIRE_FALSE(reader.IsLineTooLong());
    }
    REQUIRE(lines.size() == 5);
    CHECK(lines[0] == "first");
    CHECK(lines[1] == "sec\nond\r");
    CHECK(lines[2].empty());
    CHECK(lines[3] == std::string(kMib, 'x'));
    CHECK(lines[4] == std::string(70'000, 'y'));
    CHECK(reader.PendingBytes() == 4);
  }

  SECTION("one byte over 1 MiB is too long, ended or not")
  {
    platform::LineReader ended;
    ended.Push(std::string(kMib + 1, 'x') + "\r\n");
    CHECK_FALSE(ended.Next());
    CHECK(ended.IsLineTooLong());
    platform::LineReader open;
    open.Push(std::string(kMib, 'x') + "\r");
    CHECK_FALSE(open.Next());
    CHECK_FALSE(open.IsLineTooLong());
    open.Push("x");
    CHECK_FALSE(open.Next());
    CHECK(open.IsLineTooLong());
  }
  SECTION("the memory of a large line is given back")
  {
    platform::LineReader reader;
    reader.Push(std::string(kMib, 'x') + "\r\n");
    CHECK(reader.HeldBytes() >= kMib);
    CHECK(reader.Next());
    reader.Release();
    CHECK(reader.HeldBytes() < 1000);
  }
}

TEST_CASE("A message between VMs is recognised by its first bytes")
{
  wire::ControlMessage message;
  message.set_from("127.0.0.1");
  message.set_to("127.0.0.2");
  message.mutable_vote();
  const std::string bytes = message.SerializeAsString();
  CHECK(IsAddressedTo(bytes, "127.0.0.2"));
  CHECK_FALSE(IsAddressedTo(bytes, "127.0.0.3"));
  CHECK_FALSE(IsAddressedTo(bytes.substr(0, 15), "127.0.0.2"));
  CHECK_FALSE(IsAddressedTo(std::string(1000, ' '), "127.0.0.2"));
  CHECK_FALSE(IsAddressedTo("", "127.0.0.2"));
  message.clear_from();
  CHECK(IsAddressedTo(message.SerializeAsString(), "127.0.0.2"));
}

} // namespace jaydoor::tests
