// SPDX-License-Identifier: Apache-2.0
#include "UnitTests/Process/Program.h"

#include <csignal>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Holdpost::Process
{
static constexpr int CANNOT_RUN = 127;
static constexpr mode_t FILE_MODE = 0600;

static int OpenForOutput(const std::string& file)
{
  return open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::string& output_file, const std::string& error_file)
{
  int ends[2] = {-1, -1};
  if (output_file.empty())
    REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  else
    ends[1] = OpenForOutput(output_file);
  const int errors = OpenForOutput(error_file);
  const std::string path = std::string(BIN_DIR) + "/" + program;
  m_pid = fork();
  REQUIRE(m_pid >= 0);
  if (m_pid == 0)
  {
    // A test that is killed leaves nothing behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(ends[1], STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    std::vector<char*> argv = {const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments)
      argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    execv(path.c_str(), argv.data());
    _exit(CANNOT_RUN);
  }
  close(ends[1]);
  close(errors);
  m_pipe = ends[0];
}

ChildProcess::~ChildProcess()
{
  Kill();
  ClosePipe();
}

void ChildProcess::Signal(int signal_number) const
{
  if (!m_is_over)
    kill(m_pid, signal_number);
}

void ChildProcess::Kill()
{
  Signal(SIGKILL);
  Wait();
}

static int ExitCode(int status)
{
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int ChildProcess::Wait()
{
  if (m_is_over)
    return m_exit_code;
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_is_over = true;
  m_exit_code = ExitCode(status);
  return m_exit_code;
}

bool ChildProcess::IsRunning()
{
  int status = 0;
  if (!m_is_over && waitpid(m_pid, &status, WNOHANG) == m_pid)
  {
    m_is_over = true;
    m_exit_code = ExitCode(status);
  }
  return !m_is_over;
}

std::string ChildProcess::ReadLine()
{
  std::string line;
  char next = 0;
  while (read(m_pipe, &next, 1) == 1 && next != '\n')
    line.push_back(next);
  ClosePipe();
  return line;
}

void ChildProcess::ClosePipe()
{
  if (m_pipe >= 0)
    close(m_pipe);
  m_pipe = -1;
}

std::string ChildProcess::ReadAll()
{
  std::string text;
  char buffer[4096];
  for (ssize_t count = 0; (count = read(m_pipe, buffer, sizeof(buffer))) > 0;)
    text.append(buffer, static_cast<std::size_t>(count));
  ClosePipe();
  return text;
}

std::pair<int, std::string> RunProgram(const std::string& program,
                                       const std::vector<std::string>& arguments,
                                       const std::string& error_file)
{
  ChildProcess process(program, arguments, "", error_file);
  std::string text = process.ReadAll();
  return {process.Wait(), std::move(text)};
}
} // namespace Holdpost::Process
