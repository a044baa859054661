// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"

// Decides which requests may go on being read while the memory for callers is short. Small requests
// always may, until nothing is left. Of the large ones as many go on, in the order of their
// beginning, as are sure to fit when they are whole, with room left for small ones. The others are
// held back for a short time, in which requests may end and free memory, and are then refused.
// Those of which nothing more comes are refused first, and none is read for long, so that callers
// that never finish do not keep the memory.
namespace Holdpost::Gateway
{
// The refusal of a request for which there is no memory; says when to come back.
Common::Error MemoryFullError();

// The executor numbers the requests that are being read in the order of their beginning, and never
// uses a number twice.
using ReadNumber = std::uint64_t;

// The state of a request that is being read.
struct PartialRequest
{
  std::size_t read_bytes = 0;
  // The maximum that is still to come.
  std::size_t missing_bytes = 0;
};

enum class ReadDecision
{
  ReadOn,
  HoldBack,
  Refuse,
};

class ReadAdmission
{
public:
  // `max_bytes` is the maximum that may be held for callers.
  explicit ReadAdmission(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  void SetMaxBytes(std::size_t max_bytes) { m_max_bytes = max_bytes; }
  std::size_t MaxBytes() const { return m_max_bytes; }
  // A larger request is refused at once.
  std::size_t MaxRequestBytes() const;
  // Whether a request is too small to be held back.
  static bool IsSmall(std::size_t read_bytes);

  // Nothing new may be taken in at all.
  bool IsFull(std::size_t held_bytes) const { return held_bytes >= m_max_bytes; }
  // Large requests are held back.
  bool IsShort() const { return m_short_since.has_value(); }
  // The number of requests that are held back now.
  std::size_t HeldBackCount() const;
  // Whether Review may change anything.
  bool NeedsReview() const { return IsShort() || HeldBackCount() > 0; }

  // More of a request has come; `held_bytes` are held for all callers now, and its own are among
  // them. A request that is refused is forgotten.
  ReadDecision OnRead(ReadNumber number, const PartialRequest& request, std::size_t held_bytes,
                      Common::TimePoint now);
  // A request is whole, or its caller has left.
  void OnReadEnded(ReadNumber number) { m_reads.erase(number); }

  // What changes as memory is freed and time passes.
  struct Changes
  {
    std::vector<ReadNumber> read_on; // that were held back
    std::vector<ReadNumber> refused; // and forgotten
  };
  Changes Review(std::size_t held_bytes, Common::TimePoint now);

private:
  struct Read
  {
    PartialRequest request;
    Common::TimePoint since;
    // When more of it came, or was asked for.
    Common::TimePoint progressed;
    bool is_held_back = false;
  };

  using Reads = std::map<ReadNumber, Read>;

  void UpdateShortage(std::size_t held_bytes, Common::TimePoint now);
  // Nothing more comes of it, although it is read.
  static bool IsStalled(const Read& read, Common::TimePoint now);
  // The large requests that are sure to fit, in the order of their beginning; none that is stalled.
  std::vector<ReadNumber> Fitting(std::size_t held_bytes, Common::TimePoint now) const;
  void Refuse(Reads::iterator refused, std::size_t* held_bytes, Changes* changes);
  // Refuses those that are not whole after the time in which callers expect to be read.
  void RefuseSlow(std::size_t* held_bytes, Common::TimePoint now, Changes* changes);
  // The one that is refused next: the largest while too much is held, then one that is stalled,
  // then the last of those that have been held back for long; the end if none is.
  Reads::iterator NextRefused(std::size_t held_bytes, Common::TimePoint now);
  void LetReadOn(std::size_t held_bytes, Common::TimePoint now, Changes* changes);

  std::size_t m_max_bytes;
  std::optional<Common::TimePoint> m_short_since;
  Reads m_reads; // the large ones
};
} // namespace Holdpost::Gateway
