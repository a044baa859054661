// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/Types.h"
#include "Core/Settings/Fold.h"

// Who claimed which key, as the log says: of several claims of one key the lowest offset wins. A
// key is good for as long as the log keeps its claim.
namespace Holdpost::Claims
{
// An organisation and service, and the hash of the caller's key.
using KeyName = std::pair<std::string, std::string>;

struct KeyHolder
{
  std::string entry;
  std::uint64_t incarnation = 0;
  std::string request; // hash of what was asked under the key
  std::string record;  // id of the record that claimed it
  Common::Offset offset = 0;
};

class KeyLedger
{
public:
  // Records come in the order of their offsets; those at or below Position() are passed over.
  void OnRecord(const Settings::LogRecord& record);
  // The log has dropped what is below `first`: its keys are no longer good. Returns them.
  std::vector<KeyName> DropBelow(Common::Offset first);

  const KeyHolder* Find(const KeyName& key) const;
  Common::Offset Position() const { return m_position; }
  std::size_t Size() const { return m_holders.size(); }

private:
  std::map<KeyName, KeyHolder> m_holders;
  std::map<Common::Offset, std::vector<KeyName>> m_by_offset;
  Common::Offset m_position = 0;
};
} // namespace Holdpost::Claims
