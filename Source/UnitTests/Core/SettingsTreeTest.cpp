// SPDX-License-Identifier: Apache-2.0
#include <cstdio>
#include <fstream>

#include <doctest/doctest.h>

#include "Core/Settings/Effective.h"
#include "Core/Settings/TreeFile.h"

using namespace Holdpost;
using namespace Holdpost::Settings;

namespace
{
// A tree file that goes away with the test.
class TempFile
{
public:
  explicit TempFile(const std::string& text)
  {
    std::snprintf(m_path, sizeof(m_path), "/tmp/holdpost-tree-XXXXXX");
    const int fd = mkstemp(m_path);
    REQUIRE(fd >= 0);
    close(fd);
    std::ofstream(m_path) << text;
  }
  ~TempFile() { std::remove(m_path); }

  // The problems with the path taken off, one line each.
  std::string Problems() const
  {
    const auto read = ReadTreeFile(m_path);
    if (!std::holds_alternative<Common::Problems>(read))
      return "";
    std::string text = Common::JoinProblems(std::get<Common::Problems>(read));
    for (auto at = text.find(m_path); at != std::string::npos; at = text.find(m_path))
      text.replace(at, std::string(m_path).size(), "T");
    return text;
  }
  Tree Read() const { return std::get<Tree>(ReadTreeFile(m_path)); }

private:
  char m_path[64];
};

const std::string DIGEST(64, 'a');

std::string GoodTree()
{
  return "nodes:\n"
         "  - path: /\n"
         "    settings: {heartbeat_ms: 400}\n"
         "  - path: /ost\n"
         "  - path: /ost/oslo-a\n"
         "    settings: {heartbeat_ms: 300, weigh: origin_bytes}\n"
         "  - path: \"/*/*/assist\"\n"
         "    settings: {pool: runners, model: m, version: " +
         DIGEST +
         "}\n"
         "  - path: /ost/oslo-a/assist\n"
         "    settings: {replicas: 3}\n"
         "  - path: \"/*/*/*/bygg\"\n"
         "    settings: {weight: 2}\n";
}
} // namespace

TEST_CASE("A level inherits from the one above")
{
  const Tree tree = TempFile(GoodTree()).Read();
  const Effective effective(tree, MakePlace("ost", "oslo-a", "assist", "bygg"));

  SUBCASE("the nearest statement wins, and its node is known")
  {
    CHECK(effective.Integer(Field::HeartbeatMs) == 300);
    CHECK(effective.Source(Field::HeartbeatMs)->ToString() == "/ost/oslo-a");
    CHECK(effective.Integer(Field::Replicas) == 3);
    CHECK(effective.Source(Field::Pool)->ToString() == "/*/*/assist");
    CHECK(effective.Integer(Field::Weight) == 2);
  }
  SUBCASE("what no level states has its fallback")
  {
    CHECK(effective.Integer(Field::Neighbours) == 16);
    CHECK_FALSE(effective.Source(Field::Neighbours).has_value());
  }
  SUBCASE("the tree is the same after writing and reading it")
  {
    CHECK(TempFile(WriteTree(tree)).Read() == tree);
  }
}

TEST_CASE("A broken tree is refused with file, line and field")
{
  SUBCASE("an unknown field")
  {
    const std::string text =
        TempFile(GoodTree() + "  - path: /vest\n    settings: {colour: 1}\n").Problems();
    CHECK(text.starts_with(
        "T:14: nodes[6].settings.colour: found an unknown field, expected one of "));
  }
  SUBCASE("a value out of range")
  {
    CHECK(TempFile("nodes:\n  - path: /\n    settings:\n      heartbeat_ms: 1\n").Problems() ==
          "T:4: / heartbeat_ms: found '1', expected a whole number from 50 to 60000\n");
  }
  SUBCASE("a missing parent")
  {
    CHECK(TempFile(GoodTree() + "  - path: /vest/bergen-a\n").Problems() ==
          "T:13: /vest/bergen-a: its region /vest is missing\n");
  }
  SUBCASE("a node that stands twice")
  {
    CHECK(TempFile(GoodTree() + "  - path: /ost\n").Problems() ==
          "T:13: nodes[6].path: found /ost twice, the first is on line 4\n");
  }
  SUBCASE("two halls of one name")
  {
    CHECK(TempFile(GoodTree() + "  - path: /vest\n  - path: /vest/oslo-a\n").Problems() ==
          "T:14: /vest/oslo-a: two halls have one name, the other is /ost/oslo-a\n");
  }
  SUBCASE("a model without a manifest's digest")
  {
    const std::string text = "nodes:\n  - path: /\n  - path: /ost\n  - path: /ost/h\n"
                             "  - path: /ost/h/s\n    settings: {pool: p, model: m}\n";
    CHECK(TempFile(text).Problems() ==
          "T:5: /ost/h/s version: found nothing, expected the digest of a manifest\n");
  }
  SUBCASE("a parent that names its own child cannot even be written")
  {
    const std::string text = TempFile("nodes:\n  - path: /a\n    parent: /a/b\n").Problems();
    CHECK(text == "T:3: nodes[0].parent: found an unknown field, expected one of path, settings\n");
  }
  SUBCASE("a setting at a level where it makes no sense")
  {
    const std::string text =
        TempFile("nodes:\n  - path: /\n    settings: {version: " + DIGEST + "}\n").Problems();
    CHECK(text == "T:3: / version: found at level root, expected from service to service\n");
  }
  SUBCASE("one credential for two organisations")
  {
    const std::string text =
        TempFile(
            GoodTree() + "  - path: \"/*/*/*/rens\"\n    settings: {credential_sha256: " + DIGEST +
            "}\n  - path: \"/*/*/*/flytt\"\n    settings: {credential_sha256: " + DIGEST + "}\n")
            .Problems();
    CHECK(text == "T:14: /*/*/*/rens credential_sha256: found the credential of flytt, expected "
                  "one of its own\n");
  }
  SUBCASE("no YAML at all")
  {
    CHECK(TempFile("nodes: [").Problems().starts_with("T:"));
  }
}

TEST_CASE("Paths")
{
  CHECK(Path::Parse("/ost/oslo-a/assist/bygg")->Depth() == Level::Organisation);
  CHECK_FALSE(Path::Parse("ost").has_value());
  CHECK_FALSE(Path::Parse("/ost/*").has_value());
  CHECK_FALSE(Path::Parse("/*/oslo-a/assist").has_value());
  CHECK_FALSE(Path::Parse("/*/*/*/*").has_value());
  CHECK(Path::Parse("/*/*/assist")->Covers(*Path::Parse("/ost/oslo-a/assist/bygg")));
  CHECK_FALSE(Path::Parse("/vest")->Covers(*Path::Parse("/ost/oslo-a")));
  CHECK(Path::Parse("/*/*/s")->AppliesBefore(*Path::Parse("/ost/*/s")));
  CHECK(Path::Parse("/ost/*/s")->AppliesBefore(*Path::Parse("/ost/h/s")));
}
