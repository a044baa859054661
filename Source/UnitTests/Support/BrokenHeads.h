// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

// Parts of answers' heads that HTTP does not allow.
namespace Holdpost::Testing
{
// What stands in place of a status code.
inline const std::vector<std::string>& BrokenStatuses()
{
  static const std::vector<std::string> STATUSES = {
      "000", "0",   "00",   "001",  "099",  "20",   "2000", "0200", "02000", "2O0",
      "20x", "-20", "-200", "+200", "200x", " 200", "600",  "700",  "999",   "99999999999",
  };
  return STATUSES;
}

struct BrokenAnswer
{
  std::string name;
  std::string text;
};

inline std::string SoundAnswer(const std::string& id_field, const std::string& body)
{
  return "HTTP/1.1 200 OK\r\n" + id_field + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Answers that are sound but for their status, or that have such an interim answer before them.
inline std::vector<BrokenAnswer> AnswersWithBrokenStatus(const std::string& id_field,
                                                         const std::string& body)
{
  const std::string sound = SoundAnswer(id_field, body);
  std::vector<BrokenAnswer> answers;
  for (const std::string& status : BrokenStatuses())
  {
    const std::string start = "HTTP/1.1 " + status + " Status\r\n";
    answers.push_back({status, start + sound.substr(sound.find("\r\n") + 2)});
    answers.push_back({status + " as an interim one", start + "\r\n" + sound});
  }
  return answers;
}

} // namespace Holdpost::Testing
