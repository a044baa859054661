// SPDX-License-Identifier: Apache-2.0
#include "Common/Json.h"

#include <fmt/format.h>

namespace Holdpost::Common
{
JsonTooDeep::JsonTooDeep()
    : std::invalid_argument(
          fmt::format("lists and objects stand more than {} deep in one another", MAX_JSON_DEPTH))
{
}

// Whether the character at the position has an odd number of backslashes before it.
static bool IsEscaped(std::string_view text, std::size_t at)
{
  std::size_t first = at;
  while (first > 0 && text[first - 1] == '\\')
    --first;
  return (at - first) % 2 == 1;
}

// The position of the quote that ends the string opened at the position; npos if there is none.
static std::size_t EndOfString(std::string_view text, std::size_t opened_at)
{
  std::size_t end = text.find('"', opened_at + 1);
  while (end != std::string_view::npos && IsEscaped(text, end))
    end = text.find('"', end + 1);
  return end;
}

bool IsJsonTooDeep(std::string_view text)
{
  std::size_t depth = 0;
  for (std::size_t at = 0; at < text.size(); ++at)
  {
    switch (text[at])
    {
    case '[':
    case '{':
      if (++depth > MAX_JSON_DEPTH)
        return true;
      break;
    case ']':
    case '}':
      // The text is no JSON if this closes nothing.
      if (depth > 0)
        --depth;
      break;
    case '"':
      at = EndOfString(text, at);
      if (at == std::string_view::npos)
        return false;
      break;
    default:
      break;
    }
  }
  return false;
}
} // namespace Holdpost::Common
