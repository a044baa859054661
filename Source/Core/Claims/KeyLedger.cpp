// SPDX-License-Identifier: Apache-2.0
#include "Core/Claims/KeyLedger.h"

#include <algorithm>

namespace Holdpost::Claims
{
using Common::Offset;

void KeyLedger::OnRecord(const Settings::LogRecord& record)
{
  if (record.offset <= m_position)
    return;
  m_position = record.offset;
  // Most records claim no key: don't parse them a second time.
  if (record.text.find(R"("type":"keys")") == std::string::npos)
    return;
  const auto decoded = Settings::DecodeRecord(record.text);
  const auto* known = std::get_if<Settings::Record>(&decoded);
  const auto* keys = known ? std::get_if<Settings::KeyClaims>(known) : nullptr;
  if (!keys)
    return;
  for (const Settings::KeyClaim& claim : keys->claims)
  {
    const KeyName name{claim.scope, claim.key};
    const KeyHolder holder{keys->entry, keys->incarnation, claim.request, keys->id, record.offset};
    if (m_holders.emplace(name, holder).second)
      m_by_offset[record.offset].push_back(name);
  }
}

std::vector<KeyName> KeyLedger::DropBelow(Offset first)
{
  std::vector<KeyName> dropped;
  m_position = std::max(m_position, first == 0 ? 0 : first - 1);
  while (!m_by_offset.empty() && m_by_offset.begin()->first < first)
  {
    for (const KeyName& name : m_by_offset.begin()->second)
    {
      m_holders.erase(name);
      dropped.push_back(name);
    }
    m_by_offset.erase(m_by_offset.begin());
  }
  return dropped;
}

const KeyHolder* KeyLedger::Find(const KeyName& key) const
{
  const auto found = m_holders.find(key);
  return found == m_holders.end() ? nullptr : &found->second;
}
} // namespace Holdpost::Claims
