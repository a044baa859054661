// SPDX-License-Identifier: Apache-2.0
#include "Peers/Target/PromptParts.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace Holdpost::TargetPeer
{
// Later parts of longer prompts are ignored.
static constexpr std::size_t MAX_SHARED_PARTS = 64;

static std::string_view Trimmed(std::string_view text)
{
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

static std::string NormalizedId(std::string_view id)
{
  const auto is_hex = [](char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; };
  if (!std::ranges::all_of(id, is_hex))
    return std::string(id);
  id.remove_prefix(std::min(id.find_first_not_of('0'), id.size() - 1));
  std::string lower(id);
  std::ranges::transform(lower, lower.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

// Adds the ids of one field's parts, which may be without a number of tokens.
static void AddParts(std::string_view field, std::vector<std::string>* ids)
{
  // One more than is used, as the last part is dropped.
  while (!field.empty() && ids->size() <= MAX_SHARED_PARTS)
  {
    const std::size_t comma = field.find(',');
    const std::string_view part = field.substr(0, comma);
    const std::string_view id = Trimmed(part.substr(0, part.find(':')));
    if (!id.empty())
      ids->push_back(NormalizedId(id));
    field.remove_prefix(comma == std::string_view::npos ? field.size() : comma + 1);
  }
}

std::vector<std::string> ReadSharedParts(const Common::HttpHead& head, const HeaderNames& names)
{
  std::vector<std::string> ids;
  // A field that is sent several times is one list.
  for (const Common::HttpField& field : head.fields)
  {
    if (Common::EqualsIgnoringCase(field.name, names.prompt_parts))
      AddParts(field.value, &ids);
  }
  if (!ids.empty())
    ids.pop_back();
  std::vector<std::string> shared;
  for (std::string& id : ids)
  {
    if (std::ranges::find(shared, id) == shared.end())
      shared.push_back(std::move(id));
  }
  return shared;
}
} // namespace Holdpost::TargetPeer
