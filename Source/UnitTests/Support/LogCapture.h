// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/EventLog.h"

namespace Holdpost::Testing
{
// Captures the log of this process for one test.
class LogCapture
{
public:
  LogCapture()
  {
    Common::EventLog::Instance().SetEnabled(true);
    Common::EventLog::Instance().SetCapture(&m_text);
  }
  ~LogCapture()
  {
    Common::EventLog::Instance().SetEnabled(false);
    Common::EventLog::Instance().SetCapture(nullptr);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  const std::string& Text() const { return m_text; }
  // All lines of the event, in order.
  std::vector<nlohmann::json> Lines(const std::string& event) const
  {
    std::vector<nlohmann::json> lines;
    std::istringstream input(m_text);
    for (std::string line; std::getline(input, line);)
    {
      auto object = nlohmann::json::parse(line);
      if (object["event"] == event)
        lines.push_back(std::move(object));
    }
    return lines;
  }

private:
  std::string m_text;
};
} // namespace Holdpost::Testing
