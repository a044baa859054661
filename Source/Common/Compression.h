// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// Packs texts for the way between processes. A text that differs little from a `base` which both
// sides hold packs into little more than the difference.
namespace Holdpost::Common
{
std::string Compress(std::string_view text, std::string_view base = {});
// Empty if the bytes are damaged, belong to another base, or would become longer than `bytes_most`.
std::optional<std::string> Decompress(std::string_view packed, std::string_view base,
                                      std::size_t bytes_most);
} // namespace Holdpost::Common
