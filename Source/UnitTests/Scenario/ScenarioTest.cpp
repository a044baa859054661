// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "UnitTests/Scenario/Script.h"

// Every file in Data/Scenarios is run; where a golden file stands beside it, the whole transcript
// must be the same. HOLDPOST_WRITE_GOLDEN=1 writes the golden files that exist anew.
namespace
{
namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<fs::path> ScenarioFiles()
{
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(SCENARIO_DIR))
  {
    if (entry.path().extension() == ".scenario")
      files.push_back(entry.path());
  }
  std::ranges::sort(files);
  return files;
}

void CheckGolden(const fs::path& scenario, const std::vector<std::string>& transcript)
{
  const fs::path golden = fs::path(scenario).replace_extension(".golden");
  if (!fs::exists(golden))
    return;
  std::string text;
  for (const std::string& line : transcript)
    text += line + "\n";
  if (std::getenv("HOLDPOST_WRITE_GOLDEN"))
  {
    std::ofstream(golden) << text;
    return;
  }
  CHECK_MESSAGE(text == ReadFile(golden), "the transcript differs from ", golden.string(), ":\n",
                text);
}
} // namespace

TEST_CASE("Scenarios")
{
  const auto files = ScenarioFiles();
  REQUIRE(!files.empty());
  for (const fs::path& file : files)
  {
    SUBCASE(file.stem().c_str())
    {
      const auto result = Holdpost::Scenario::RunScript(ReadFile(file));
      CHECK_MESSAGE(result.failure.empty(), file.filename().string(), ":", result.failure);
      if (!result.failure.empty())
      {
        for (const std::string& line : result.transcript)
          MESSAGE(line);
      }
      CheckGolden(file, result.transcript);
    }
  }
}
