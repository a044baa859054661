// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Finds the events in a text/event-stream as its bytes come.
namespace Holdpost::TargetPeer
{
// Where a stream is to be continued.
struct ResumePoint
{
  std::uint64_t after = 0;
  // The ids rose by one until there, so that the next event has the next id.
  bool ids_rise_by_one = false;
};

class EventStream
{
public:
  // With `resume`, events up to and including that id are left out of what Take returns.
  explicit EventStream(std::optional<ResumePoint> resume = std::nullopt);

  // Takes bytes of the stream and returns all whole events that came with them, ready to pass on,
  // up to a gap. The view lives until the next call.
  std::string_view Take(std::string_view data);
  // The id of the last event that Take returned, or the one given at the start.
  std::optional<std::uint64_t> LastEvent() const { return m_last; }
  // Whether a later run may continue behind the last event: the id of each event so far is a number
  // above the one before.
  bool IsResumable() const { return m_is_resumable; }
  // The ids of all events so far rose by one, at least once.
  bool IdsRiseByOne() const { return m_ids_rise_by_one && m_has_risen; }
  // The events of a continued stream do not follow on the ones before.
  bool HasGap() const { return m_has_gap; }
  // Part of an event has come that is not whole yet.
  bool HasPartialEvent() const { return !m_partial.empty(); }
  std::size_t PartialBytes() const { return m_partial.size(); }
  // The event that is not whole yet has more bytes than an event may have.
  bool IsEventTooLong() const { return m_partial.size() > MAX_EVENT_BYTES; }

private:
  static constexpr std::size_t MAX_EVENT_BYTES = 1 << 20;

  void TakeEvent(std::string_view event);
  void OnId(std::uint64_t id);

  std::optional<ResumePoint> m_resume;
  std::string m_partial;
  std::string m_whole;
  std::optional<std::uint64_t> m_last;
  bool m_is_resumable = true;
  bool m_ids_rise_by_one = true;
  bool m_has_risen = false;
  bool m_has_gap = false;
};
} // namespace Holdpost::TargetPeer
