#pragma once

// A program that a test runs: started with its output in a file, ended by its
// own id, and never outliving the test.

#include "base/Time.h"

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jaydoor::standin {

class Process
{
public:
  // `aVariables` ("NAME=value") are added to its environment. It ends with this
  // process.
  Process(const std::vector<std::string>& aArguments,
          const std::string& aLog,
          const std::vector<std::string>& aVariables = {});
  // Kills it, if it was not waited for.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  // Waits for it to end; its exit status, 128 and the signal that ended it, or
  // -1 on a time-out. Again the same once it has ended.
  int WaitForEnd(Duration aLimit);
  bool HasEnded() const { return status_.has_value(); }
  pid_t Pid() const { return pid_; }

private:
  pid_t pid_ = 0;
  std::optional<int> status_; // as WaitForEnd gives it; none: not ended
};

} // namespace jaydoor::standin
