// SPDX-License-Identifier: Apache-2.0
#include "Common/EventLoop.h"

#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <event2/event.h>

#include "Common/TcpConnection.h"

using namespace Holdpost;

namespace
{
// Adds to the story when it ends.
class Told
{
public:
  explicit Told(std::string& story) : m_story(story) {}
  ~Told() { m_story += "owned, "; }
  Told(const Told&) = delete;
  Told& operator=(const Told&) = delete;

private:
  std::string& m_story;
};

// Defers a callback that owns the next one when it ends.
class Deferring
{
public:
  Deferring(Common::EventLoop& loop, std::shared_ptr<void> next)
      : m_loop(loop), m_next(std::move(next))
  {
  }
  ~Deferring()
  {
    m_loop.Defer([next = std::move(m_next)] {});
  }
  Deferring(const Deferring&) = delete;
  Deferring& operator=(const Deferring&) = delete;

private:
  Common::EventLoop& m_loop;
  std::shared_ptr<void> m_next;
};

// libevent finalizes the event when it frees the base, as the loop does not run before.
void TellEndOfBase(const Common::EventLoop& loop, std::string& story)
{
  event* const last = event_new(
      loop.Base(), -1, 0, [](evutil_socket_t, short, void*) {}, &story);
  event_free_finalize(0, last,
                      [](event*, void* told) { *static_cast<std::string*>(told) += "base."; });
}
} // namespace

TEST_CASE("An event loop that ends drops what still waits without running it, and then its base")
{
  std::string story;
  auto loop = std::make_unique<Common::EventLoop>();
  TellEndOfBase(*loop, story);
  const auto told = [&story] { return std::make_shared<Told>(story); };

  SUBCASE("a callback that owns a timer")
  {
    Common::Duration delay{};
    SUBCASE("and is due") {}
    SUBCASE("and is due much later")
    {
      delay = Common::Seconds(3600);
    }
    std::shared_ptr<Common::Watch> timer = loop->MakeTimer([told = told()] {});
    loop->After(delay, [&story, timer = std::move(timer)] { story += "run, "; });
  }
  SUBCASE("a callback whose end defers another one")
  {
    std::shared_ptr<void> owned = std::make_shared<Deferring>(*loop, told());
    SUBCASE("that ends quietly") {}
    SUBCASE("whose end defers a third one")
    {
      owned = std::make_shared<Deferring>(*loop, std::move(owned));
    }
    loop->Defer([&story, owned = std::move(owned)] { story += "run, "; });
  }
  SUBCASE("a connection that has yet to tell that it cannot be opened")
  {
    const auto connection = Common::TcpConnection::Connect(*loop, {"no address", 1},
                                                           Common::Seconds(1), Common::Seconds(1));
    connection->SetHandlers(
        {.on_end = [&story, told = told()](Common::ConnectionEnd) { story += "run, "; }});
  }
  loop.reset();
  CHECK(story == "owned, base.");
}
