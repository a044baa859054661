// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/Hash.h"
#include "Common/Types.h"
#include "Core/Claims/KeyLedger.h"

// What became of the keyed requests that this entry claimed, with their answers for callers that
// ask again. Bounded in bytes for each organisation, and in time.
namespace Holdpost::Claims
{
enum class KeyState
{
  NeverRan, // claimed, but certainly not dispatched
  Running,
  Whole,   // the answer is kept
  NotKept, // the answer was whole, but is too large or too old to be kept
  Lost,    // nobody knows what became of it
};

struct KeptAnswer
{
  KeyState state = KeyState::Running;
  int status = 0;
  std::string content_type;
  Common::Digest version;
  std::string body;
};

class KeptAnswers
{
public:
  void Set(const KeyName& key, KeyState state, Common::TimePoint now);
  void OnHead(const KeyName& key, int status, const std::string& content_type,
              const Common::Digest& version);
  // `bytes_most`: what the organisation may have kept in all.
  void OnPart(const KeyName& key, const std::string& organisation, const std::string& data,
              std::size_t bytes_most);
  // Null if this entry knows nothing of the key.
  const KeptAnswer* Find(const KeyName& key) const;
  // Drops bodies that were kept for `keep_time`. The record that a key was used stays.
  void Expire(Common::TimePoint now, Common::Duration keep_time);
  // The log does not keep the key's claim any more, so the key is no longer good.
  void Forget(const KeyName& key);
  std::size_t BytesOf(const std::string& organisation) const;

private:
  struct Kept
  {
    KeptAnswer answer;
    std::string organisation;
    bool is_too_large = false;
    Common::TimePoint changed{};
  };

  void DropBody(Kept& kept);

  std::map<KeyName, Kept> m_kept;
  std::map<std::string, std::size_t> m_bytes; // by organisation
};
} // namespace Holdpost::Claims
