// SPDX-License-Identifier: Apache-2.0
#include "Common/AnswerCheck.h"

namespace Holdpost::Common
{
AnswerCheck::AnswerCheck(bool is_head_method, const HttpParserLimits& limits)
    : m_is_head_method(is_head_method), m_parser(HttpMessageKind::Answer, *this)
{
  m_parser.SetLimits(limits);
  m_parser.Restart(is_head_method);
}

bool AnswerCheck::Take(std::string_view data)
{
  if (m_is_over)
    return true;
  if (m_unread.empty())
  {
    m_unread = data.substr(Parse(data));
  }
  else
  {
    m_unread.append(data);
    m_unread.erase(0, Parse(m_unread));
  }
  if (m_parser.Error() == HttpParseError::Malformed)
    return false;
  m_is_over = m_parser.IsDone() || m_parser.Error() != HttpParseError::None;
  if (m_is_over)
    m_unread = {};
  return true;
}

std::size_t AnswerCheck::Parse(std::string_view data)
{
  std::size_t parsed = 0;
  while (parsed < data.size())
  {
    const std::size_t consumed = m_parser.Feed(data.substr(parsed));
    parsed += consumed;
    const bool is_interim = m_parser.IsDone() && m_status < MIN_FINAL_STATUS;
    if (is_interim)
      m_parser.Restart(m_is_head_method);
    else if (m_parser.IsDone() || consumed == 0 || m_parser.Error() != HttpParseError::None)
      break;
  }
  return parsed;
}
} // namespace Holdpost::Common
