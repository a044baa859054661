// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <list>
#include <memory>

#include "Common/BufferAccount.h"
#include "Common/Types.h"

struct event;
struct event_base;

// A libevent loop and the handles that it calls back. Everything here belongs to the thread that
// calls Run.
namespace Holdpost::Common
{
// A timer, signal or descriptor watch; gone when it is destroyed.
class Watch
{
public:
  explicit Watch(std::function<void()> callback) : m_callback(std::move(callback)) {}
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  // For timers: fire once after `delay`, replacing what was set before. The time for which the
  // machine is suspended does not count, so what is due by the clock is looked for in short
  // periods.
  void FireAfter(Duration delay);
  void Cancel();

private:
  friend class EventLoop;
  static void Fire(int fd, short what, void* self);

  std::function<void()> m_callback;
  event* m_event = nullptr;
};

class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Run();
  void Stop();
  // Handles what is due and returns without waiting.
  void RunDue();
  static TimePoint Now() { return BootClock::now(); }

  std::unique_ptr<Watch> MakeTimer(std::function<void()> callback);
  std::unique_ptr<Watch> WatchSignal(int signal_number, std::function<void()> callback);
  std::unique_ptr<Watch> WatchReadable(int fd, std::function<void()> callback);
  // Runs `callback` once, from the loop, after the present callback has returned.
  void Defer(std::function<void()> callback) { After(Duration::zero(), std::move(callback)); }
  // Runs `callback` once after the delay; it can't be taken back.
  void After(Duration delay, std::function<void()> callback);

  event_base* Base() const { return m_base; }
  // What the connections of this loop hold.
  BufferAccount& Buffers() { return m_buffers; }

private:
  struct OneShot;

  event_base* m_base;
  BufferAccount m_buffers;
  // Those that have not run yet; dropped with the loop.
  std::list<std::unique_ptr<OneShot>> m_one_shots;
};
} // namespace Holdpost::Common
