// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/RequestFingerprint.h"

#include <algorithm>

#include <fmt/format.h>

namespace Holdpost::Gateway
{
std::string RequestFingerprint::Short() const
{
  return fmt::format("{:02x}{:02x}{:02x}{:02x}", bytes[0], bytes[1], bytes[2], bytes[3]);
}

RequestFingerprint FingerprintOf(std::string_view organisation, std::string_view host,
                                 const Common::Digest& content)
{
  // Neither an organisation's name nor a host contains a line feed.
  std::string text = fmt::format("{}\n{}\n", organisation, host);
  text.append(reinterpret_cast<const char*>(content.bytes.data()), content.bytes.size());
  const Common::Digest digest = Common::Sha256(text);
  RequestFingerprint fingerprint;
  std::copy_n(digest.bytes.begin(), RequestFingerprint::BYTES, fingerprint.bytes.begin());
  return fingerprint;
}
} // namespace Holdpost::Gateway
