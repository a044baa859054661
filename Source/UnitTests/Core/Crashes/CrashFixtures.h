// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "Core/Crashes/CrashCause.h"

// Times and causes that the tests of crashes share.
namespace Holdpost::Testing
{
inline constexpr Common::TimePoint START{std::chrono::hours(1)};

inline Common::TimePoint At(int ms)
{
  return START + Common::Milliseconds(ms);
}

inline Crashes::CrashCause Part(const std::string& id)
{
  return Crashes::PromptPartOf("llm", id);
}
} // namespace Holdpost::Testing
