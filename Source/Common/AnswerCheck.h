// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>

#include "Common/HttpParser.h"

// Parses the bytes of an answer beside evhttp, which takes odd statuses, names, lengths and chunks
// for sound ones.
namespace Holdpost::Common
{
class AnswerCheck final : private HttpParserSink
{
public:
  // `is_head_method`: the answer has no body. Bytes beyond the limits are not checked.
  AnswerCheck(bool is_head_method, const HttpParserLimits& limits);

  // Takes the next bytes of the connection; returns false once they cannot be an answer.
  bool Take(std::string_view data);

private:
  void OnHead(HttpHead head) override { m_status = head.status; }
  void OnBody(std::string_view /*data*/) override {}
  void OnMessageEnd() override {}

  // Parses as much as is whole; returns how many bytes that is.
  std::size_t Parse(std::string_view data);

  bool m_is_head_method;
  int m_status = 0;
  // The answer has ended, or it is too large to be checked.
  bool m_is_over = false;
  std::string m_unread;
  HttpParser m_parser;
};
} // namespace Holdpost::Common
