// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include <fmt/format.h>

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

struct BrokenLine
{
  std::string name;
  std::string text; // with the ends of its lines
  bool is_folded = false;
};

// Lines that stand where a field must, for a head that has the fields given besides.
inline std::vector<BrokenLine> BrokenLines(const std::string& id_field)
{
  const std::string id_name = id_field.substr(0, id_field.find(':'));
  const std::string id_value = id_field.substr(id_name.size());
  const auto with = [](const std::string& name, char byte)
  { return name.substr(0, 1) + std::string(1, byte) + name.substr(1) + ": 1\r\n"; };
  return {
      {"a blank in a name", with("X-Bad", ' ')},
      {"a tab in a name", with("X-Bad", '\t')},
      {"NUL in a name", with("X-Bad", '\0')},
      {"a control byte in a name", with("X-Bad", '\x01')},
      {"a line feed in a name", with("X-Bad", '\n')},
      {"a carriage return in a name", with("X-Bad", '\r')},
      {"DEL in a name", with("X-Bad", '\x7f')},
      {"a byte over 127 in a name", with("X-Bad", '\xe9')},
      {"a separator in a name", with("X-Bad", '@')},
      {"a blank before the colon", "X-Bad : 1\r\n"},
      {"a tab before the colon", "X-Bad\t: 1\r\n"},
      {"no name", ": 1\r\n"},
      {"no colon", "X-Bad\r\n"},
      {"a folded line", " X-Bad: 1\r\n", true},
      {"a folded line with a tab", "\tX-Bad: 1\r\n", true},
      {"a folded line of blanks", "  \r\n", true},
      {"a field whose value is folded", "X-Bad: 1\r\n 2\r\n", true},
      {"a field whose whole value is folded", "X-Bad:\r\n 2\r\n", true},
      {"NUL in a value", "X-Bad: a" + std::string(1, '\0') + "b\r\n"},
      {"a control byte in a value", "X-Bad: a\x01z\r\n"},
      {"a carriage return in a value", "X-Bad: a\rb\r\n"},
      {"DEL in a value", "X-Bad: a\x7fz\r\n"},
      {"a blank behind the length's name", "Content-Length : 5\r\n"},
      {"a blank in the length's name", "Content Length: 5\r\n"},
      {"a control byte in the length's name", "Content-Length\x0b: 5\r\n"},
      {"a blank behind the coding's name", "Transfer-Encoding : chunked\r\n"},
      {"a control byte in the coding's name", "Transfer-Encoding\x0b: chunked\r\n"},
      {"a blank behind the id's name", id_name + " " + id_value + "\r\n"},
      {"a control byte in the id's name", with(id_name, '\x02')},
  };
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

// Answers that are sound but for a line of their head, or of an interim head before them.
inline std::vector<BrokenAnswer> AnswersWithBrokenLine(const std::string& id_field,
                                                       const std::string& body)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string id = id_field + "\r\n";
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunks = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
  std::vector<BrokenAnswer> answers;
  for (const BrokenLine& line : BrokenLines(id_field))
  {
    answers.push_back({line.name + ", first", ok + line.text + id + length + "\r\n" + body});
    answers.push_back({line.name + ", last", ok + length + id + line.text + "\r\n" + body});
    answers.push_back({line.name + ", before chunks",
                       ok + id + line.text + "Transfer-Encoding: chunked\r\n\r\n" + chunks});
    answers.push_back(
        {line.name + ", in an interim head", "HTTP/1.1 103 Early Hints\r\nX-One: 1\r\n" +
                                                 line.text + "\r\n" + SoundAnswer(id_field, body)});
  }
  return answers;
}

// Answers that are sound but for a line behind their last chunk.
inline std::vector<BrokenAnswer> AnswersWithBrokenTrailer(const std::string& id_field,
                                                          const std::string& body)
{
  const std::string chunked = "HTTP/1.1 200 OK\r\n" + id_field +
                              "\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              fmt::format("{:x}\r\n{}\r\n0\r\n", body.size(), body);
  std::vector<BrokenAnswer> answers;
  for (const BrokenLine& line : BrokenLines(id_field))
  {
    // Trailers are dropped, with the lines that they are folded in.
    if (line.is_folded)
      continue;
    answers.push_back({line.name + ", first", chunked + line.text + "X-One: 1\r\n\r\n"});
    answers.push_back({line.name + ", last", chunked + "X-One: 1\r\n" + line.text + "\r\n"});
  }
  return answers;
}
} // namespace Holdpost::Testing
