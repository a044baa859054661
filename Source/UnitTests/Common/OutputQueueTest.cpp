// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/OutputQueue.h"

using namespace Holdpost::Common;

static std::string TakeAll(OutputQueue& queue, std::size_t step)
{
  std::string taken;
  while (!queue.IsEmpty())
  {
    const std::string_view front = queue.Front().substr(0, step);
    taken += front;
    queue.Consume(front.size());
  }
  return taken;
}

TEST_CASE("Bytes leave an output queue in the order in which they came")
{
  OutputQueue queue;
  queue.Append("head ");
  queue.Append("more ");
  queue.Append(MakeBytes("a body "));
  queue.Append("tail");
  CHECK(queue.Size() == 21);
  SUBCASE("at once")
  {
    CHECK(TakeAll(queue, 1000) == "head more a body tail");
  }
  SUBCASE("byte by byte")
  {
    CHECK(TakeAll(queue, 1) == "head more a body tail");
  }
  SUBCASE("also when more comes in between")
  {
    queue.Consume(3);
    queue.Append("!");
    CHECK(TakeAll(queue, 2) == "d more a body tail!");
  }
  CHECK(queue.Size() == 0);
  CHECK(queue.OwnBytes() == 0);
  CHECK(queue.Front().empty());
}

TEST_CASE("An output queue holds a shared body once, and only until it is sent")
{
  OutputQueue queue;
  const Bytes body = MakeBytes(std::string(1 << 20, 'b'));
  queue.Append("head");
  queue.Append(body);
  CHECK(queue.OwnBytes() == 4);
  CHECK(body.use_count() == 2);
  queue.Consume(4);
  CHECK(queue.OwnBytes() == 0);
  queue.Consume(1 << 20);
  CHECK(body.use_count() == 1);
}

TEST_CASE("What is sent of a long output is freed before the rest")
{
  OutputQueue queue;
  for (int i = 0; i < 64; ++i)
    queue.Append(std::string(16 << 10, 'x'));
  CHECK(queue.OwnBytes() == 1 << 20);
  for (std::size_t sent = 0; sent < (512 << 10);)
  {
    const std::size_t size = queue.Front().size();
    queue.Consume(size);
    sent += size;
  }
  CHECK(queue.OwnBytes() <= 512 << 10);
}
