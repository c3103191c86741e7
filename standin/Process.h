#pragma once

// A program that a test runs: started with its output in a file, ended by its
// own id, and never outliving the test.

#include "base/Time.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace jaydoor::standin {

// Starts a program; `aVariables` ("NAME=value") are added to its environment.
// It ends with this process.
pid_t
Spawn(const std::vector<std::string>& aArguments,
      const std::string& aLog,
      const std::vector<std::string>& aVariables = {});

class Process
{
public:
  Process(const std::vector<std::string>& aArguments,
          const std::string& aLog,
          const std::vector<std::string>& aVariables);
  // Kills it, if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  // Waits for it to end; its exit status, or -1 on a time-out or a signal.
  int WaitForEnd(Duration aLimit);

private:
  pid_t pid_ = 0; // 0: has ended
};

} // namespace jaydoor::standin
