// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Core/Routing/CallerRequest.h"

// What callers ask of an entry, and the answers.
namespace Holdpost::NodeCore
{
// The carrier numbers requests; a number is never used twice in one incarnation.
struct CallerArrived
{
  std::uint64_t number = 0;
  Routing::CallerRequest request;
};

struct CallerGone
{
  std::uint64_t number = 0;
};

struct StartAnswer
{
  std::uint64_t number = 0;
  int status = 0;
  std::string content_type;
  Common::Digest version; // zero for plain services
  std::string target;
};

struct PassPart
{
  std::uint64_t number = 0;
  std::string data;
};

// The answer is whole.
struct EndAnswer
{
  std::uint64_t number = 0;
};

// The answer has begun and will not become whole: end it so that nobody takes it for a whole one.
struct CutAnswer
{
  std::uint64_t number = 0;
  Common::Error error;
};

// The final answer to a request that gets no other.
struct RefuseCaller
{
  std::uint64_t number = 0;
  Common::Error error;
};
} // namespace Holdpost::NodeCore
