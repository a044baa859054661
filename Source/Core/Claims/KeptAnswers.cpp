// SPDX-License-Identifier: Apache-2.0
#include "Core/Claims/KeptAnswers.h"

namespace Holdpost::Claims
{
using Common::Digest;
using Common::TimePoint;

void KeptAnswers::DropBody(Kept& kept)
{
  m_bytes[kept.organisation] -= kept.answer.body.size();
  kept.answer.body.clear();
  kept.answer.body.shrink_to_fit();
}

void KeptAnswers::Set(const KeyName& key, KeyState state, TimePoint now)
{
  Kept& kept = m_kept[key];
  kept.changed = now;
  kept.answer.state = state == KeyState::Whole && kept.is_too_large ? KeyState::NotKept : state;
  if (kept.answer.state != KeyState::Whole && kept.answer.state != KeyState::Running)
    DropBody(kept);
}

void KeptAnswers::OnHead(const KeyName& key, int status, const std::string& content_type,
                         const Digest& version)
{
  KeptAnswer& answer = m_kept[key].answer;
  answer.status = status;
  answer.content_type = content_type;
  answer.version = version;
}

void KeptAnswers::OnPart(const KeyName& key, const std::string& organisation,
                         const std::string& data, std::size_t bytes_most)
{
  Kept& kept = m_kept[key];
  kept.organisation = organisation;
  if (kept.is_too_large)
    return;
  if (m_bytes[organisation] + data.size() > bytes_most)
  {
    kept.is_too_large = true;
    DropBody(kept);
    return;
  }
  m_bytes[organisation] += data.size();
  kept.answer.body += data;
}

const KeptAnswer* KeptAnswers::Find(const KeyName& key) const
{
  const auto found = m_kept.find(key);
  return found == m_kept.end() ? nullptr : &found->second.answer;
}

void KeptAnswers::Expire(TimePoint now, Common::Duration keep_time)
{
  for (auto& [key, kept] : m_kept)
  {
    if (kept.answer.state != KeyState::Whole || now - kept.changed < keep_time)
      continue;
    DropBody(kept);
    kept.answer.state = KeyState::NotKept;
  }
}

void KeptAnswers::Forget(const KeyName& key)
{
  const auto found = m_kept.find(key);
  if (found == m_kept.end() || found->second.answer.state == KeyState::Running)
    return;
  DropBody(found->second);
  m_kept.erase(found);
}

std::size_t KeptAnswers::BytesOf(const std::string& organisation) const
{
  const auto found = m_bytes.find(organisation);
  return found == m_bytes.end() ? 0 : found->second;
}
} // namespace Holdpost::Claims
