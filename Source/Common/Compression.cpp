// SPDX-License-Identifier: Apache-2.0
#include "Common/Compression.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

namespace Holdpost::Common
{
static constexpr int LEVEL = 1;
// Base and text have to fit into the window together; larger ones pack less well.
static constexpr int WINDOW_LOG_LEAST = 17;
static constexpr int WINDOW_LOG_MOST = 23;

struct FreeContext
{
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

std::string Compress(std::string_view text, std::string_view base)
{
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  const int window_log = static_cast<int>(std::bit_width(text.size() + base.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         std::clamp(window_log, WINDOW_LOG_LEAST, WINDOW_LOG_MOST));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, base.empty() ? 0 : 1);
  // Proves the base too.
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), packed.data(), packed.size(), text.data(), text.size());
  packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return packed;
}

std::optional<std::string> Decompress(std::string_view packed, std::string_view base,
                                      std::size_t bytes_most)
{
  const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > bytes_most)
    return std::nullopt;
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
      ZSTD_decompressDCtx(context.get(), text.data(), text.size(), packed.data(), packed.size());
  if (ZSTD_isError(written) != 0 || written != text.size())
    return std::nullopt;
  return text;
}
} // namespace Holdpost::Common
