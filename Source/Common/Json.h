// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string_view>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Error.h"

// Parsing of JSON that other programs wrote. The library's parser takes any depth, but its values
// are written out, copied and compared by functions that call themselves for each level, so the
// depth is limited before there is a value. All JSON that comes from outside is parsed here.
namespace Holdpost::Common
{
// The levels of lists and objects that a text may have.
inline constexpr std::size_t MAX_JSON_DEPTH = 64;

// Thrown for a text with more levels.
class JsonTooDeep : public std::invalid_argument
{
public:
  JsonTooDeep();
};

// Whether lists and objects stand inside one another more than MAX_JSON_DEPTH deep. Reads no
// further than that level.
bool IsJsonTooDeep(std::string_view text);

// Throws JsonTooDeep, or what the library throws for a text that is no JSON.
template <typename Json = nlohmann::json>
Json ParseJson(std::string_view text)
{
  if (IsJsonTooDeep(text))
    throw JsonTooDeep();
  return Json::parse(text);
}

// Returns a discarded value, which is of no type, for a text that is no JSON or is too deep.
template <typename Json = nlohmann::json>
Json ParseJsonOrDiscard(std::string_view text)
{
  if (IsJsonTooDeep(text))
    return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

// Like ParseJson, but leaves lists and objects out that stand deeper, so that one of them hides
// nothing else of the text.
template <typename Json = nlohmann::json>
Json ParseJsonPruned(std::string_view text)
{
  return Json::parse(text,
                     [](int depth, typename Json::parse_event_t event, Json& /*parsed*/)
                     {
                       const bool begins = event == Json::parse_event_t::array_start ||
                                           event == Json::parse_event_t::object_start;
                       return !begins || static_cast<std::size_t>(depth) < MAX_JSON_DEPTH;
                     });
}

// Runs a decoder that throws what the functions above, or the library's accessors, throw.
template <typename Decode>
auto Guarded(std::string_view what, const Decode& decode) -> Result<decltype(decode())>
{
  try
  {
    return decode();
  }
  catch (const std::exception& error)
  {
    return Error{ErrorKind::BadSettings, fmt::format("{}: {}", what, error.what())};
  }
}
} // namespace Holdpost::Common
