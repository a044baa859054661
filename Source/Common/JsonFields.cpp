// SPDX-License-Identifier: Apache-2.0
#include "Common/JsonFields.h"

#include <algorithm>
#include <cctype>
#include <cmath>

#include <fmt/format.h>

#include "Common/EventLoop.h"
#include "Common/YamlReader.h"

namespace Holdpost::Common
{
using nlohmann::json;

// Texts of records are kept for as long as the records are.
static constexpr std::size_t MAX_TEXT_BYTES = 1024;

// "read_per_s" is "ReadPerS" in this spelling.
static std::string Capitalised(std::string_view name)
{
  std::string spelled;
  bool begins_word = true;
  for (const char letter : name)
  {
    if (letter != '_')
      spelled += begins_word ? static_cast<char>(std::toupper(letter)) : letter;
    begins_word = letter == '_';
  }
  return spelled;
}

const json* FindField(const json& object, std::string_view name)
{
  for (const std::string& spelled : {std::string(name), Capitalised(name)})
  {
    if (const auto found = object.find(spelled); found != object.end())
      return &*found;
  }
  return nullptr;
}

std::invalid_argument FieldError(std::string_view name, std::string_view problem)
{
  return std::invalid_argument(fmt::format("{}: {}", name, problem));
}

void NoteUnknownFields(std::string_view message, const json& object, const KnownFields& known)
{
  // The members of a list and a value that is neither have no names.
  if (!object.is_object())
    return;
  UnreadFields& unread = UnreadFields::Instance();
  for (const auto& [name, value] : object.items())
  {
    if (!known.Contains(name) && !unread.IsRecorded(message, name))
      unread.Note(message, name, value.dump(), EventLoop::Now());
  }
}

const json& RequiredField(const json& object, std::string_view name)
{
  const json* field = FindField(object, name);
  if (!field)
    throw FieldError(name, "is missing");
  return *field;
}

double RequiredNumber(const json& object, std::string_view name)
{
  const json& field = RequiredField(object, name);
  if (!field.is_number())
    throw FieldError(name, "is no number");
  const auto number = field.get<double>();
  if (!(number >= 0 && number <= MAX_FIELD_NUMBER))
    throw FieldError(name, "is out of range");
  return number;
}

double RequiredPositive(const json& object, std::string_view name)
{
  const double number = RequiredNumber(object, name);
  if (number < MIN_POSITIVE_FIELD_NUMBER)
    throw FieldError(name, "has to be above zero");
  return number;
}

static bool IsControlCharacter(unsigned char c)
{
  return c < ' ' || c == 0x7f;
}

std::string RequiredText(const json& object, std::string_view name)
{
  const json& field = RequiredField(object, name);
  if (!field.is_string() || field.get_ref<const std::string&>().empty())
    throw FieldError(name, "is no text");
  if (field.get_ref<const std::string&>().size() > MAX_TEXT_BYTES)
    throw FieldError(name, fmt::format("has more than {} bytes", MAX_TEXT_BYTES));
  if (std::ranges::any_of(field.get_ref<const std::string&>(), IsControlCharacter))
    throw FieldError(name, "has control characters");
  return field.get<std::string>();
}

Address RequiredAddress(const json& object, std::string_view name)
{
  const std::optional<Address> address = ParsePeerAddress(RequiredText(object, name));
  if (!address)
    throw FieldError(name, "has no IP number and port");
  return *address;
}
} // namespace Holdpost::Common
