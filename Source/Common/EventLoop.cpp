// SPDX-License-Identifier: Apache-2.0
#include "Common/EventLoop.h"

#include <algorithm>

#include <event2/event.h>

namespace Holdpost::Common
{
struct EventLoop::OneShot
{
  EventLoop* loop = nullptr;
  std::list<std::unique_ptr<OneShot>>::iterator place;
  std::function<void()> callback;
};

static timeval ToTimeval(Duration delay)
{
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(std::max(delay, Duration::zero()));
  return {static_cast<time_t>(micros.count() / 1000000),
          static_cast<suseconds_t>(micros.count() % 1000000)};
}

Watch::~Watch()
{
  if (m_event)
    event_free(m_event);
}

void Watch::FireAfter(Duration delay)
{
  const timeval interval = ToTimeval(delay);
  event_add(m_event, &interval);
}

void Watch::Cancel()
{
  event_del(m_event);
}

void Watch::Fire(int /*fd*/, short /*what*/, void* self)
{
  static_cast<Watch*>(self)->m_callback();
}

EventLoop::EventLoop()
{
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  m_base = event_base_new_with_config(config);
  event_config_free(config);
}

EventLoop::~EventLoop()
{
  // What callbacks own may use the base as it goes, and may add one-shots, which this reaches, too.
  // The one-shots themselves stay until the base's events no longer point at them.
  for (const auto& one_shot : m_one_shots)
    one_shot->callback = nullptr;
  event_base_free(m_base);
}

void EventLoop::Run()
{
  event_base_dispatch(m_base);
}

void EventLoop::RunDue()
{
  event_base_loop(m_base, EVLOOP_NONBLOCK);
}

void EventLoop::Stop()
{
  event_base_loopbreak(m_base);
}

std::unique_ptr<Watch> EventLoop::MakeTimer(std::function<void()> callback)
{
  auto watch = std::make_unique<Watch>(std::move(callback));
  watch->m_event = event_new(m_base, -1, 0, &Watch::Fire, watch.get());
  return watch;
}

std::unique_ptr<Watch> EventLoop::WatchSignal(int signal_number, std::function<void()> callback)
{
  auto watch = std::make_unique<Watch>(std::move(callback));
  watch->m_event =
      event_new(m_base, signal_number, EV_SIGNAL | EV_PERSIST, &Watch::Fire, watch.get());
  event_add(watch->m_event, nullptr);
  return watch;
}

std::unique_ptr<Watch> EventLoop::WatchReadable(int fd, std::function<void()> callback)
{
  auto watch = std::make_unique<Watch>(std::move(callback));
  watch->m_event = event_new(m_base, fd, EV_READ | EV_PERSIST, &Watch::Fire, watch.get());
  event_add(watch->m_event, nullptr);
  return watch;
}

void EventLoop::After(Duration delay, std::function<void()> callback)
{
  m_one_shots.push_back(std::make_unique<OneShot>());
  OneShot* one_shot = m_one_shots.back().get();
  one_shot->loop = this;
  one_shot->place = std::prev(m_one_shots.end());
  one_shot->callback = std::move(callback);
  const auto run = [](evutil_socket_t, short, void* argument)
  {
    auto& due = *static_cast<OneShot*>(argument);
    const std::unique_ptr<OneShot> taken = std::move(*due.place);
    due.loop->m_one_shots.erase(due.place);
    taken->callback();
  };
  const timeval interval = ToTimeval(delay);
  event_base_once(m_base, -1, EV_TIMEOUT, run, one_shot, &interval);
}
} // namespace Holdpost::Common
