// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Finds the events in a text/event-stream as its bytes come.
namespace Holdpost::TargetPeer
{
class EventStream
{
public:
  // With `after`, events up to and including that id are left out of what Take returns.
  explicit EventStream(std::optional<std::uint64_t> after = std::nullopt) : m_last(after) {}

  // Takes bytes of the stream and returns all whole events that came with them, ready to pass on.
  // The view lives until the next call.
  std::string_view Take(std::string_view data);
  // The id of the last event that Take returned, or the one given at the start.
  std::optional<std::uint64_t> LastEvent() const { return m_last; }
  // Part of an event has come that is not whole yet.
  bool HasPartialEvent() const { return !m_partial.empty(); }
  // The event that is not whole yet has more bytes than an event may have.
  bool IsEventTooLong() const { return m_partial.size() > MAX_EVENT_BYTES; }

private:
  static constexpr std::size_t MAX_EVENT_BYTES = 1 << 20;

  std::string m_partial;
  std::string m_whole;
  std::optional<std::uint64_t> m_last;
};
} // namespace Holdpost::TargetPeer
