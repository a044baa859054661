// SPDX-License-Identifier: Apache-2.0
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Common/Error.h"

using namespace Holdpost::Common;

TEST_CASE("The page of error kinds says what the code does")
{
  std::ifstream file(DOCS_DIR "/ERRORS.md");
  REQUIRE(file.good());
  std::string rows;
  for (std::string line; std::getline(file, line);)
  {
    if (line.starts_with("| `"))
      rows += line + "\n";
  }
  std::string expected;
  for (const ErrorAnswer& answer : ErrorTable())
  {
    expected += fmt::format("| `{}` | {} | {} | {} |\n", answer.name, answer.http_status,
                            OutcomeName(answer.outcome), answer.retry_after.count());
  }
  CHECK(rows == expected);
}
