// SPDX-License-Identifier: Apache-2.0
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Core/Distribution/Manifest.h"
#include "OperatorTool/CommandLine.h"

namespace Holdpost::OperatorTool
{
using Distribution::Manifest;

static std::optional<std::string> ReadWeights(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

static bool WriteFile(const std::string& path, const std::string& content)
{
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file.write(content.data(), static_cast<std::streamsize>(content.size()));
  file.close();
  return file.good();
}

int RunManifest(const Arguments& arguments)
{
  std::string weights_file;
  std::string name;
  std::string directory;
  std::uint32_t piece_bytes = 1 << 20;
  CommandLine line("manifest WEIGHTS",
                   "Cuts a file of weights into pieces and prints its version, the SHA-256 of the "
                   "manifest. With --out, writes DIGEST.manifest and DIGEST.weights for an origin.",
                   "weights");
  line.Add()("weights", po::value(&weights_file)->required(), "the file of weights")(
      "name", po::value(&name)->default_value("weights"), "a name for people")(
      "piece-bytes", po::value(&piece_bytes), "size of a piece (default 1 MiB)")(
      "out", po::value(&directory)->value_name("DIR"), "where to write")("json", "print JSON");
  if (const auto done = line.Parse(arguments))
    return *done;
  if (piece_bytes < Distribution::MIN_PIECE_BYTES || piece_bytes > Distribution::MAX_PIECE_BYTES)
  {
    fmt::print(stderr, "holdpost manifest: --piece-bytes: found {}, expected from {} to {}\n",
               piece_bytes, Distribution::MIN_PIECE_BYTES, Distribution::MAX_PIECE_BYTES);
    return Common::EXIT_BAD_INPUT;
  }
  const auto weights = ReadWeights(weights_file);
  if (!weights || weights->empty())
  {
    fmt::print(stderr, "holdpost manifest: {}: the file cannot be read or is empty\n",
               weights_file);
    return Common::EXIT_BAD_INPUT;
  }
  const Manifest manifest = Distribution::MakeManifest(name, *weights, piece_bytes);
  const std::string text = Distribution::EncodeManifest(manifest);
  const std::string version = Common::Sha256(text).ToHex();
  const std::string stem = directory + "/" + version;
  if (!directory.empty() &&
      (!WriteFile(stem + ".manifest", text) || !WriteFile(stem + ".weights", *weights)))
  {
    fmt::print(stderr, "holdpost manifest: {}: cannot write\n", directory);
    return Common::EXIT_FAILED;
  }
  if (line.Has("json"))
  {
    fmt::print("{}\n", nlohmann::json{{"version", version},
                                      {"pieces", manifest.PieceCount()},
                                      {"bytes", manifest.total_bytes}}
                           .dump());
  }
  else
    fmt::print("{}\n", version);
  return Common::EXIT_OK;
}
} // namespace Holdpost::OperatorTool
