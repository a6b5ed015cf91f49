#include "test/matrix/report.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <boost/json.hpp>

#include "test/matrix/steps.hpp"
#include "test/matrix/world.hpp"

namespace currantshed::matrix {

namespace {

namespace json = boost::json;

constexpr std::size_t kMostShown = 20;
constexpr std::size_t kMostTexts = 4;
constexpr std::uint64_t kPairsInCi = 600;

/// The result of one cell (one plan).
struct cell_result
{
  bool struck = false;
  std::size_t changes = 0;
  std::size_t reads = 0;
  std::vector<violation> violations;
  std::vector<unsigned> reached;
};

cell_result
RunCell(const plan& aPlan)
{
  auto made = std::make_unique<world>(aPlan)->Run();
  cell_result result;
  result.struck = made.struck == aPlan.injections.size();
  result.changes = made.seen.changes.size();
  result.reads = made.seen.reads.size();
  result.violations = Check(made.seen);
  result.reached = std::move(made.reached);
  return result;
}

/// Names of the steps that no cell reached.
std::vector<std::string>
Unreached(const std::vector<cell_result>& aResults)
{
  std::vector<std::string> names;
  for (std::size_t at = 0; at < Steps().size(); ++at) {
    const bool met =
      std::any_of(aResults.begin(), aResults.end(), [&](const auto& aResult) {
        return aResult.reached[at] > 0;
      });
    if (!met) {
      names.push_back(Steps()[at].name);
    }
  }
  return names;
}

/// Runs numbered tasks on several threads.
void
Spread(std::size_t aCount,
       unsigned aThreads,
       const std::function<void(std::size_t)>& aWork)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> threads;
  for (unsigned made = 0; made < std::max(aThreads, 1U); ++made) {
    threads.emplace_back([&] {
      for (auto at = next++; at < aCount; at = next++) {
        aWork(at);
      }
    });
  }
  for (auto& running : threads) {
    running.join();
  }
}

bug_search_result
RunBugSearch(const bug_search& aSearch)
{
  bug_search_result result;
  result.broken = aSearch.broken;
  result.expected = aSearch.expected;
  for (const auto& cell : CellsFor(aSearch)) {
    ++result.runs;
    for (const auto& found : RunCell(cell).violations) {
      if (found.broken == aSearch.expected) {
        result.caught = true;
        result.cell = Print(cell);
        result.text = found.text;
        return result;
      }
    }
  }
  return result;
}

void
PrintPart(const part_result& aPart)
{
  std::cout << aPart.name << ": " << aPart.cells << " runs, in " << aPart.struck
            << " every fault struck, " << aPart.changes << " changes, "
            << aPart.reads << " reads, " << aPart.bad.size() << " in breach\n";
  for (std::size_t at = 0; at < kInvariants; ++at) {
    if (aPart.runsInViolation[at] > 0) {
      std::cout << "  " << Name(static_cast<invariant>(at)) << ": "
                << aPart.runsInViolation[at] << " runs\n";
    }
  }
  for (const auto& name : aPart.unreached) {
    std::cout << "  never reached: " << name << '\n';
  }
  const auto shown = std::min(aPart.bad.size(), kMostShown);
  for (std::size_t at = 0; at < shown; ++at) {
    const auto& run = aPart.bad[at];
    std::cout << "  [" << Print(run.cell) << "]\n";
    const auto texts = std::min(run.violations.size(), kMostTexts);
    for (std::size_t text = 0; text < texts; ++text) {
      std::cout << "    " << Name(run.violations[text].broken) << ": "
                << run.violations[text].text << '\n';
    }
  }
}

void
PrintBugSearches(const std::vector<bug_search_result>& aSearches)
{
  for (const auto& shown : aSearches) {
    std::cout << (shown.caught ? "caught  " : "MISSED  ") << Name(shown.broken)
              << " (" << Name(shown.expected) << ") after " << shown.runs
              << " runs";
    if (shown.caught) {
      std::cout << ": [" << shown.cell << "] " << shown.text;
    }
    std::cout << '\n';
  }
}

json::object
ToJson(const part_result& aPart)
{
  json::object promises;
  for (std::size_t at = 0; at < kInvariants; ++at) {
    promises[Name(static_cast<invariant>(at))] = aPart.runsInViolation[at];
  }
  json::array bad;
  for (const auto& run : aPart.bad) {
    json::array texts;
    for (const auto& found : run.violations) {
      texts.emplace_back(std::string(Name(found.broken)) + ": " + found.text);
    }
    bad.push_back(json::object{ { "cell", Print(run.cell) },
                                { "seed", run.cell.seed },
                                { "breaches", std::move(texts) } });
  }
  return { { "part", aPart.name },
           { "cells", aPart.cells },
           { "all_faults_struck", aPart.struck },
           { "changes", aPart.changes },
           { "reads", aPart.reads },
           { "runs_in_breach", std::move(promises) },
           { "bad", std::move(bad) },
           { "unreached_steps", json::value_from(aPart.unreached) } };
}

json::object
ToJson(const bug_search_result& aSearch)
{
  return { { "rule_switched_off", Name(aSearch.broken) },
           { "promise", Name(aSearch.expected) },
           { "caught", aSearch.caught },
           { "runs", aSearch.runs },
           { "cell", aSearch.cell },
           { "breach", aSearch.text } };
}

void
WriteJson(const std::string& aFile,
          const std::vector<part_result>& aParts,
          const std::vector<bug_search_result>& aSearches)
{
  json::array steps;
  for (const auto& listed : Steps()) {
    steps.emplace_back(listed.name);
  }
  json::array faults;
  for (std::size_t at = 0; at < kFaults; ++at) {
    faults.emplace_back(Name(static_cast<fault>(at)));
  }
  json::array parts;
  for (const auto& part : aParts) {
    parts.push_back(ToJson(part));
  }
  json::array searches;
  for (const auto& found : aSearches) {
    searches.push_back(ToJson(found));
  }
  const json::object all{ { "steps", std::move(steps) },
                          { "faults", std::move(faults) },
                          { "parts", std::move(parts) },
                          { "switched_off_rules", std::move(searches) } };
  std::ofstream out(aFile);
  out << json::serialize(all) << '\n';
  if (!out) {
    throw std::runtime_error("cannot write " + aFile);
  }
}

/// Options from the command line.
struct options
{
  std::string file;
  bool seeded = false;
  std::uint64_t seed = 1;
  std::uint64_t count = 1;
  unsigned threads = 4;
  std::string only;
  bool proofsOnly = false;
};

options
Parse(const std::vector<std::string>& aArguments)
{
  options made;
  for (std::size_t at = 0; at < aArguments.size(); ++at) {
    const auto& flag = aArguments[at];
    if (flag == "--ci") {
      continue;
    }
    if (flag == "--proofs") {
      made.proofsOnly = true;
      continue;
    }
    if (at + 1 == aArguments.size()) {
      throw std::invalid_argument("a value is missing after " + flag);
    }
    const auto& value = aArguments[++at];
    if (flag == "--json") {
      made.file = value;
    } else if (flag == "--seed") {
      made.seeded = true;
      made.seed = std::stoull(value);
    } else if (flag == "--count") {
      made.seeded = true;
      made.count = std::stoull(value);
    } else if (flag == "--only") {
      made.only = value;
    } else if (flag == "--threads") {
      made.threads = static_cast<unsigned>(std::stoul(value));
    } else {
      throw std::invalid_argument("unknown flag " + flag);
    }
  }
  return made;
}

/// Runs the cells whose description contains the text, and prints each of them.
int
ReplayOnly(const std::string& aText)
{
  auto cells = SingleCells();
  const auto twice = DoubleCells();
  cells.insert(cells.end(), twice.begin(), twice.end());
  bool kept = true;
  for (const auto& cell : cells) {
    if (Print(cell).find(aText) == std::string::npos) {
      continue;
    }
    const auto made = std::make_unique<world>(cell)->Run();
    std::cout << Print(cell) << '\n';
    for (const auto& raised : made.seen.promotions) {
      std::cout << "  " << raised.at.count() << " " << raised.server
                << " leads term " << raised.term << '\n';
    }
    for (const auto& found : Check(made.seen)) {
      kept = false;
      std::cout << "  " << Name(found.broken) << ": " << found.text << '\n';
    }
  }
  return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

part_result
RunPart(std::string aName, const std::vector<plan>& aCells, unsigned aThreads)
{
  std::vector<cell_result> results(aCells.size());
  Spread(aCells.size(), aThreads, [&](std::size_t aAt) {
    results[aAt] = RunCell(aCells[aAt]);
  });
  part_result part;
  part.name = std::move(aName);
  part.cells = aCells.size();
  part.unreached = Unreached(results);
  for (std::size_t at = 0; at < results.size(); ++at) {
    auto& result = results[at];
    part.struck += result.struck ? 1 : 0;
    part.changes += result.changes;
    part.reads += result.reads;
    std::array<bool, kInvariants> broken{};
    for (const auto& found : result.violations) {
      broken.at(static_cast<std::size_t>(found.broken)) = true;
    }
    for (std::size_t which = 0; which < kInvariants; ++which) {
      part.runsInViolation[which] += broken[which] ? 1 : 0;
    }
    if (!result.violations.empty()) {
      part.bad.push_back({ aCells[at], std::move(result.violations) });
    }
  }
  return part;
}

std::vector<bug_search_result>
RunBugSearches(unsigned aThreads)
{
  const auto& searches = BugSearches();
  std::vector<bug_search_result> results(searches.size());
  Spread(searches.size(), aThreads, [&](std::size_t aAt) {
    results[aAt] = RunBugSearch(searches[aAt]);
  });
  return results;
}

int
RunProgram(const std::vector<std::string>& aArguments)
{
  const auto asked = Parse(aArguments);
  if (!asked.only.empty()) {
    return ReplayOnly(asked.only);
  }
  std::vector<part_result> parts;
  std::vector<bug_search_result> searches;
  if (asked.seeded) {
    parts.push_back(
      RunPart("pairs", PairCells(asked.seed, asked.count), asked.threads));
  } else if (asked.proofsOnly) {
    searches = RunBugSearches(asked.threads);
  } else {
    parts.push_back(RunPart("single", SingleCells(), asked.threads));
    parts.push_back(RunPart("twice", DoubleCells(), asked.threads));
    parts.push_back(RunPart("pairs", PairCells(1, kPairsInCi), asked.threads));
    searches = RunBugSearches(asked.threads);
  }
  for (const auto& part : parts) {
    PrintPart(part);
  }
  PrintBugSearches(searches);
  if (!asked.file.empty()) {
    WriteJson(asked.file, parts, searches);
  }
  const bool kept =
    std::all_of(parts.begin(), parts.end(), [](const part_result& aPart) {
      return aPart.bad.empty();
    });
  const bool complete =
    parts.empty() || asked.seeded || parts.front().unreached.empty();
  const bool proved = std::all_of(
    searches.begin(), searches.end(), [](const bug_search_result& aSearch) {
      return aSearch.caught;
    });
  return kept && proved && complete ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace currantshed::matrix
