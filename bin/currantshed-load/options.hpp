#ifndef CURRANTSHED_BIN_LOAD_OPTIONS_HPP
#define CURRANTSHED_BIN_LOAD_OPTIONS_HPP

#include <chrono>
#include <string>

#include "currantshed/settings/parser.hpp"

namespace currantshed::load {

/// Settings of the program.
struct options
{
  std::string shapeFile;
  std::string declarationFile;
  std::string gateways;
  std::string classes;
  std::string cuts;
  std::string jsonFile;
  std::string recordsFile;
  bool printShape = false;
  unsigned threads = 2;
  unsigned sessions = 24;
  unsigned ratePerSecond = 0;
  unsigned activities = 0;
  unsigned readPercent = 70;
  unsigned transactionPercent = 10;
  unsigned repeatPercent = 10;
  unsigned seed = 1;
  std::chrono::milliseconds rest{ 20 };
  std::chrono::milliseconds clockInterval{ 50 };
  std::chrono::milliseconds length{ 10000 };
  std::chrono::milliseconds resolveTimeout{ 10000 };
};

/// Parses flags and environment.
[[nodiscard]] settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues);

} // namespace currantshed::load

#endif
