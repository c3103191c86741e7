#include "standin/Process.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jaydoor::standin {
namespace {

constexpr Duration kPoll = 20ms;

pid_t
Spawn(const std::vector<std::string>& aArguments,
      const std::string& aLog,
      const std::vector<std::string>& aVariables)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  for (char** at = environ; *at != nullptr; at++) {
    variables.push_back(*at);
  }
  for (const auto& variable : aVariables) {
    variables.push_back(const_cast<char*>(variable.c_str()));
  }
  variables.push_back(nullptr);
  const pid_t child = fork();
  if (child != 0) {
    return child;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
    open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execve(arguments[0], arguments.data(), variables.data());
  _exit(127);
}

} // namespace

Process::Process(const std::vector<std::string>& aArguments,
                 const std::string& aLog,
                 const std::vector<std::string>& aVariables)
  : pid_(Spawn(aArguments, aLog, aVariables))
{
}

Process::~Process()
{
  if (!HasEnded()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void
Process::Signal(int aSignal) const
{
  if (!HasEnded()) {
    kill(pid_, aSignal);
  }
}

int
Process::WaitForEnd(Duration aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  int status = 0;
  while (!HasEnded()) {
    if (waitpid(pid_, &status, WNOHANG) != 0) {
      status_ =
        WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() >= end) {
      return -1;
    } else {
      std::this_thread::sleep_for(kPoll);
    }
  }
  return *status_;
}

} // namespace jaydoor::standin
