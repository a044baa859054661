// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Json.h"
#include "Common/UnreadFields.h"

// Reading fields of JSON that other programs wrote. What is missing, of another type or out of
// range is thrown as std::invalid_argument, with the field's name.
namespace Holdpost::Common
{
// What RequiredNumber takes: no measured quantity is larger.
inline constexpr double MAX_FIELD_NUMBER = 1e9;
// What RequiredPositive takes.
inline constexpr double MIN_POSITIVE_FIELD_NUMBER = 1e-6;

std::invalid_argument FieldError(std::string_view name, std::string_view problem);
// Some writers spell names in lower case with underscores, others capitalised. Null if the field
// stands under neither spelling.
const nlohmann::json* FindField(const nlohmann::json& object, std::string_view name);
const nlohmann::json& RequiredField(const nlohmann::json& object, std::string_view name);
// A number from 0 to MAX_FIELD_NUMBER.
double RequiredNumber(const nlohmann::json& object, std::string_view name);
// A number from MIN_POSITIVE_FIELD_NUMBER to MAX_FIELD_NUMBER.
double RequiredPositive(const nlohmann::json& object, std::string_view name);
// A text of 1 to 1,024 bytes without control characters.
std::string RequiredText(const nlohmann::json& object, std::string_view name);
// An address with a port that a connection can be made to.
Address RequiredAddress(const nlohmann::json& object, std::string_view name);
// Records the fields of an object that are not known, and logs new ones.
void NoteUnknownFields(std::string_view message, const nlohmann::json& object,
                       const KnownFields& known);

// A number as one of the type T; a fraction is cut off. Empty for a value that is no number, or one
// out of the range of T. The library's conversions wrap such numbers or are undefined.
template <std::integral T>
std::optional<T> ToInteger(const nlohmann::json& value)
{
  // Beyond, a double does not tell which whole number was written.
  static constexpr double MAX_EXACT = 9007199254740992.0;
  if (value.is_number_unsigned())
  {
    const auto number = value.get<std::uint64_t>();
    return std::in_range<T>(number) ? std::optional<T>(static_cast<T>(number)) : std::nullopt;
  }
  if (value.is_number_float() && !(std::abs(value.get<double>()) <= MAX_EXACT))
    return std::nullopt;
  if (!value.is_number())
    return std::nullopt;
  const auto number = value.is_number_float() ? static_cast<std::int64_t>(value.get<double>())
                                              : value.get<std::int64_t>();
  return std::in_range<T>(number) ? std::optional<T>(static_cast<T>(number)) : std::nullopt;
}

// A number of the type T up to `most`; a fraction is cut off.
template <std::integral T>
T ReadInteger(const nlohmann::json& field, std::string_view name,
              T most = std::numeric_limits<T>::max())
{
  const std::optional<T> number = ToInteger<T>(field);
  if (!number || *number > most)
    throw FieldError(name, field.is_number() ? "is out of range" : "is no number");
  return *number;
}

template <std::integral T>
T RequiredInteger(const nlohmann::json& object, std::string_view name,
                  T most = std::numeric_limits<T>::max())
{
  return ReadInteger<T>(RequiredField(object, name), name, most);
}

// A whole number from 0 on.
template <std::unsigned_integral T>
T RequiredCount(const nlohmann::json& object, std::string_view name,
                T most = std::numeric_limits<T>::max())
{
  const nlohmann::json& field = RequiredField(object, name);
  if (!field.is_number_integer())
    throw FieldError(name, "is no whole number");
  return ReadInteger<T>(field, name, most);
}
} // namespace Holdpost::Common
