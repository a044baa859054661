// SPDX-License-Identifier: Apache-2.0
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "Common/Log.h"

int main(int argc, char** argv)
{
  Holdpost::Common::SetLogLevel(Holdpost::Common::LogLevel::Error);
  return doctest::Context(argc, argv).run();
}
