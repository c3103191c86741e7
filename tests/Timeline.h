#pragma once

// Virtual time, a base class of the simulations: runs tasks in the order of
// their times. Tasks due at the same time run in the order in which they were
// scheduled.

#include "base/Time.h"

#include <functional>
#include <map>
#include <utility>

namespace jaydoor::tests {

class Timeline
{
public:
  using Task = std::function<void()>;

  explicit Timeline(Time aStart)
    : now_(aStart)
  {
  }

  Time Now() const { return now_; }

  void ScheduleAt(Time aTime, Task aTask)
  {
    tasks_[{ aTime, nextOrder_++ }] = std::move(aTask);
  }
  void ScheduleAfter(Duration aDelay, Task aTask)
  {
    ScheduleAt(now_ + aDelay, std::move(aTask));
  }

  // Runs all tasks that are due within `aTime` from now, and advances the time
  // by it.
  void Run(Duration aTime)
  {
    const Time end = now_ + aTime;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      now_ = tasks_.begin()->first.first;
      const Task task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
    now_ = end;
  }

protected:
  Time now_;

private:
  std::uint64_t nextOrder_ = 0;
  std::map<std::pair<Time, std::uint64_t>, Task> tasks_;
};

} // namespace jaydoor::tests
