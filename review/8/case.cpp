// A front machine gets SIGTERM while clients are in transactions that they have
// begun, and in which they pause. Are all requests answered that it has passed
// on to a server?

#include "../Bed.h"

namespace {

constexpr int kSessions = 40;
constexpr int kWorkMs = 60; // the sheet: 40 ms on average, 300 at most
constexpr double kGraceS = 6;
// Times after the signal at which the clients send their statements. Between
// two of them lie less than txIdleMs (3,000).
constexpr double kBeginAtS = 0.8;
constexpr double kPrepareAtS = 2.8;
constexpr double kFirstExecuteAtS = 4.6;
constexpr double kExecuteGapS = 0.02;

} // namespace

int
main()
{
  using namespace bed;
  Bed bed({ .fronts_ = 3, .workMs_ = 8, .promoteMs_ = 1000 });
  bed.Start();
  bed.GetDatabase().SetWorkMs(kWorkMs);
  std::atomic<bool> going{ true };
  // The platform's balancer asks once a second; its answers are recorded.
  std::thread balancer([&] {
    while (going) {
      GetRecord().Write(
        "balancer: front-1 answers %d",
        CallHttp(bed.FrontHost(1), kReadyPort, "GET", "/readiness", "")
          .status_);
      Sleep(1000);
    }
  });
  Sleep(1500);
  const double startAt = GetRecord().Seconds() + 0.5;
  const auto sleepUntil = [&](double aAfterSignal) {
    const double left = startAt + aAfterSignal - GetRecord().Seconds();
    Sleep(std::max(0, static_cast<int>(left * 1000)));
  };
  std::mutex mutex;
  int sent = 0;
  int lost = 0;
  std::vector<std::thread> clients;
  clients.reserve(kSessions);
  for (int i = 0; i < kSessions; i++) {
    clients.emplace_back([&, i] {
      Client client(bed.FrontHost(1), kFrontPort);
      bool open = client.Open(GetName("bounded"));
      sleepUntil(kBeginAtS);
      open = open && client.Query("BEGIN READ").Done();
      sleepUntil(kPrepareAtS);
      open =
        open && client.Query("PREPARE p READ q" + std::to_string(i)).Done();
      if (!open) {
        GetRecord().Write("client %d: its transaction was not begun", i);
        return;
      }
      sleepUntil(kFirstExecuteAtS + i * kExecuteGapS);
      const double sentAt = GetRecord().Seconds();
      const auto answer = client.Query("EXECUTE p item");
      const double endedAt = GetRecord().Seconds();
      const bool reached = bed.GetDatabase().HasReached(answer.id_);
      std::string text = "no answer, the connection has ended";
      if (answer.complete_) {
        text = answer.lines_[answer.lines_.size() - 2];
      }
      // RULES.md excuses what was sent no later than 3 s after the signal.
      const bool isLost = !answer.complete_ && answer.ended_ && reached &&
                          sentAt > startAt + 3 &&
                          endedAt < startAt + kGraceS + 1;
      GetRecord().Write("client %d: EXECUTE %s sent %.3f s and ended %.3f s "
                        "after the signal, reached a server: %s, answer: %s%s",
                        i,
                        answer.id_.c_str(),
                        sentAt - startAt,
                        endedAt - startAt,
                        reached ? "yes" : "no",
                        text.c_str(),
                        isLost ? " LOST" : "");
      const std::lock_guard lock(mutex);
      sent++;
      lost += isLost ? 1 : 0;
      if (answer.complete_) {
        client.Query("ROLLBACK");
      }
    });
  }
  sleepUntil(0);
  if (HasTrouble()) {
    GetRecord().Write("front-1 gets SIGTERM");
    bed.GetProcess(Bed::FrontName(1)).Signal(SIGTERM);
  }
  sleepUntil(kGraceS);
  const bool ended = bed.GetProcess(Bed::FrontName(1)).HasEnded();
  GetRecord().Write("front-1 has ended: %s", ended ? "yes" : "no");
  if (HasTrouble() && !ended) {
    bed.GetProcess(Bed::FrontName(1)).Signal(SIGKILL);
  }
  for (auto& client : clients) {
    client.join();
  }
  going = false;
  balancer.join();
  GetRecord().Write("requests sent=%d lost=%d", sent, lost);
  if (sent < kSessions / 2) {
    GiveUp("too few clients could send a request");
  }
  Finish(bed, lost > 0);
}
