// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Messages.h"

namespace Holdpost::Gateway
{
std::string_view AttemptEndName(AttemptEnd end)
{
  switch (end)
  {
  case AttemptEnd::None:
    return "none";
  case AttemptEnd::NoConnection:
    return "no_connection";
  case AttemptEnd::Reset:
    return "reset";
  case AttemptEnd::ClosedEarly:
    return "closed_early";
  case AttemptEnd::BadAnswer:
    return "bad_answer";
  case AttemptEnd::TooManyBytes:
    return "too_many_bytes";
  case AttemptEnd::PartialEvent:
    return "partial_event";
  case AttemptEnd::EventGap:
    return "event_gap";
  case AttemptEnd::Recalled:
    return "recalled";
  case AttemptEnd::TargetEnded:
    return "target_ended";
  case AttemptEnd::UnprovedEnd:
    return "unproved_end";
  }
  return "none";
}
} // namespace Holdpost::Gateway
