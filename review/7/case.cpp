// A primary leaves while the platform is slow. Is any write acknowledged that
// was committed at a server after another one had become the primary?

#include "../Bed.h"

namespace {

constexpr int kWriters = 6;
constexpr int kPlatformDelayMs = 3500;
constexpr int kSlowMs = 6000;
constexpr int kObservedMs = 20'000; // after that

struct Acked
{
  std::string id_;
  std::string item_;
  std::string data_;
  double sentAt_ = 0;
  double ackedAt_ = 0;
};

} // namespace

int
main()
{
  using namespace bed;
  Bed bed({ .fronts_ = 3, .workMs_ = 8, .promoteMs_ = 1000 });
  bed.Start();
  std::atomic<bool> going{ true };
  std::mutex mutex;
  std::vector<Acked> acked;
  std::vector<std::thread> writers;
  for (int i = 0; i < kWriters; i++) {
    writers.emplace_back([&, i] {
      int number = 0;
      while (going) {
        Client client(bed.FrontHost(i % 3 + 1), kFrontPort);
        bool open = client.Open("primary");
        while (going && open) {
          Acked entry;
          entry.item_ = "item-" + std::to_string(i);
          entry.data_ = std::to_string(++number);
          entry.sentAt_ = GetRecord().Seconds();
          const auto answer =
            client.Query("WRITE " + entry.item_ + " " + entry.data_);
          entry.id_ = answer.id_;
          entry.ackedAt_ = GetRecord().Seconds();
          open = answer.complete_;
          if (answer.Done()) {
            const std::lock_guard lock(mutex);
            acked.push_back(entry);
          }
          GetRecord().Write("client %d: %s WRITE %s %s -> %s",
                            i,
                            entry.id_.c_str(),
                            entry.item_.c_str(),
                            entry.data_.c_str(),
                            answer.lines_.size() < 2
                              ? "no answer"
                              : answer.lines_[answer.lines_.size() - 2].c_str());
          Sleep(50);
        }
        Sleep(50);
      }
    });
  }
  Sleep(1500);
  if (HasTrouble()) {
    bed.GetPlatform().SetDelay(kPlatformDelayMs);
  }
  bed.GetDatabase().Leave(bed.GetDatabase().Primary());
  Sleep(kSlowMs);
  if (HasTrouble()) {
    bed.GetPlatform().SetDelay(0);
  }
  Sleep(kObservedMs);
  going = false;
  for (auto& writer : writers) {
    writer.join();
  }
  const auto late = bed.GetDatabase().LateCommits();
  int wrong = 0;
  int lost = 0;
  double lastAck = 0;
  for (const auto& entry : acked) {
    const bool isLate = late.count(entry.id_) > 0;
    const bool isLost = !bed.GetDatabase().Holds(entry.item_, entry.data_);
    if (isLate) {
      GetRecord().Write("%s was committed at a former primary and acknowledged "
                        "at %.3f%s",
                        entry.id_.c_str(),
                        entry.ackedAt_,
                        isLost ? "; it is lost" : "");
    }
    wrong += isLate ? 1 : 0;
    lost += isLate && isLost ? 1 : 0;
    lastAck = std::max(lastAck, entry.ackedAt_);
  }
  GetRecord().Write("acknowledged=%zu at_former_primary=%d of_them_lost=%d "
                    "promotions_asked=%zu last_acknowledged_at=%.3f",
                    acked.size(),
                    wrong,
                    lost,
                    bed.GetPlatform().Calls().size(),
                    lastAck);
  if (acked.size() < 50 || bed.GetPlatform().Calls().empty()) {
    GiveUp("too few writes, or no promotion was asked for");
  }
  Finish(bed, wrong > 0);
}
