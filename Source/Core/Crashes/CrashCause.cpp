// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CrashCause.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace Holdpost::Crashes
{
static_assert(RequestFingerprint::BYTES == PromptPart::BYTES);

PromptPart PromptPartOf(std::string_view service, std::string_view id)
{
  // No service's name contains a line feed.
  const Common::Digest digest = Common::Sha256(fmt::format("{}\n{}", service, id));
  PromptPart part;
  std::copy_n(digest.bytes.begin(), PromptPart::BYTES, part.bytes.begin());
  return part;
}

bool IsPromptPart(const CrashCause& cause)
{
  return std::holds_alternative<PromptPart>(cause);
}

const std::array<std::uint8_t, PromptPart::BYTES>& BytesOf(const CrashCause& cause)
{
  return std::visit(
      [](const auto& typed) -> const auto& { return typed.bytes; }, cause);
}

std::string_view KindName(const CrashCause& cause)
{
  return IsPromptPart(cause) ? "prompt_part" : "request";
}

std::string ShortName(const CrashCause& cause)
{
  return RequestFingerprint{BytesOf(cause)}.Short();
}

OrganisationHash HashOfOrganisation(std::string_view name)
{
  return static_cast<OrganisationHash>(Common::StableHash(name));
}

std::vector<CrashCause> ListOf(const RequestCauses& causes)
{
  std::vector<CrashCause> list = {causes.request};
  list.insert(list.end(), causes.parts.begin(), causes.parts.end());
  return list;
}

RequestCauses CausesOf(const RequestFingerprint& request, std::string_view service,
                       std::string_view organisation, const std::vector<std::string>& shared_parts)
{
  RequestCauses causes{request, {}, HashOfOrganisation(organisation)};
  causes.parts.reserve(shared_parts.size());
  for (const std::string& id : shared_parts)
    causes.parts.push_back(PromptPartOf(service, id));
  return causes;
}
} // namespace Holdpost::Crashes
