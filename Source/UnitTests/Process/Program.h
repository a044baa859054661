// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

// Processes that tests start. A test may start processes; daemons do not.
namespace Holdpost::Process
{
// A program of the build. Killed when the test ends.
class ChildProcess
{
public:
  // Standard output goes to the end of `output_file`, or into a pipe if that is empty.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& output_file, const std::string& error_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return m_pid; }
  void Signal(int signal_number) const;
  void Kill();
  // Waits until the process has ended; returns its exit code, or -1 if a signal ended it.
  int Wait();
  bool IsRunning();
  // Of the pipe, which is closed then: what the process writes later is dropped.
  std::string ReadLine();
  std::string ReadAll();

private:
  void ClosePipe();

  pid_t m_pid = -1;
  int m_pipe = -1;
  bool m_is_over = false;
  int m_exit_code = -1;
};

// Runs a program to its end; returns its exit code and standard output.
std::pair<int, std::string> RunProgram(const std::string& program,
                                       const std::vector<std::string>& arguments,
                                       const std::string& error_file = "/dev/null");
} // namespace Holdpost::Process
