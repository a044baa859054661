// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include <sys/eventfd.h>
#include <unistd.h>

// How tasks talk: a queue of typed messages with a descriptor that the receiver's loop watches.
namespace Holdpost::Common
{
template <typename Message>
class Mailbox
{
public:
  Mailbox() : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Mailbox() { close(m_fd); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Any thread.
  void Post(Message message)
  {
    bool was_empty = false;
    {
      const std::lock_guard lock(m_mutex);
      was_empty = m_messages.empty();
      m_messages.push_back(std::move(message));
    }
    if (was_empty)
      Wake();
  }

  // The receiver's thread: everything posted so far, in order.
  std::vector<Message> TakeAll()
  {
    std::uint64_t count = 0;
    // Cleared before the queue is taken, so that a later post wakes the receiver again.
    [[maybe_unused]] const auto cleared = read(m_fd, &count, sizeof(count));
    std::vector<Message> taken;
    const std::lock_guard lock(m_mutex);
    taken.swap(m_messages);
    return taken;
  }

  int Fd() const { return m_fd; }

private:
  void Wake()
  {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(m_fd, &one, sizeof(one));
  }

  const int m_fd;
  std::mutex m_mutex;
  std::vector<Message> m_messages;
};

// Builds one visitor out of a lambda for each alternative of a std::variant.
template <typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

// Needed by Clang 14; GCC deduces it by itself.
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;
} // namespace Holdpost::Common
