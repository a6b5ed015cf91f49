#include <algorithm>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <curl/curl.h>

#include "bin/currantshed-load/options.hpp"
#include "currantshed/load/experiment.hpp"
#include "currantshed/load/report.hpp"
#include "currantshed/policy/declaration.hpp"

namespace {

namespace load = currantshed::load;
namespace policy = currantshed::policy;
namespace settings = currantshed::settings;

constexpr int kViolation = 1;
constexpr int kRunFailed = 3;

/// Prints an error and returns the exit code for a failed run.
int
Fail(const std::string& aFault)
{
  std::cerr << "currantshed-load: " << aFault << '\n';
  return kRunFailed;
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  const std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string>
Names(const std::string& aList)
{
  return absl::StrSplit(aList, ',', absl::SkipEmpty());
}

bool
IsSelected(const std::vector<std::string>& aNames, const std::string& aName)
{
  return aNames.empty() ||
         std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::string
AddClasses(const load::options& aOptions,
           const load::shape& aShape,
           load::plan& aPlan)
{
  const std::string path = aOptions.declarationFile.empty()
                             ? aShape.declaration
                             : aOptions.declarationFile;
  const auto text = ReadFile(path);
  if (!text) {
    return "cannot open " + path;
  }
  const auto parsed = policy::ParseDeclaration(*text);
  if (!parsed.faults.empty()) {
    return path + ": " + parsed.faults.front().message;
  }
  for (const policy::work_class& work : parsed.value.classes) {
    if (IsSelected(Names(aOptions.classes), work.name)) {
      aPlan.classes.push_back(work);
    }
  }
  const bool hasBothKinds =
    !load::ClassesOf(aPlan, policy::access::kRead).empty() &&
    !load::ClassesOf(aPlan, policy::access::kWrite).empty();
  return hasBothKinds
           ? ""
           : "at least one read class and one write class are required";
}

load::plan
MakePlan(const load::options& aOptions, const load::shape& aShape)
{
  load::plan plan;
  for (const load::shape_vm& vm : aShape.vms) {
    if (IsSelected(Names(aOptions.gateways), vm.id)) {
      plan.gateways.push_back({ vm.address, vm.callerPort });
    }
  }
  plan.groups = load::GroupsOf(aShape);
  plan.threads = aOptions.threads;
  plan.sessions = aOptions.sessions;
  plan.rate = aOptions.ratePerSecond;
  plan.rest = aOptions.rest;
  plan.clockInterval = aOptions.clockInterval;
  plan.length = aOptions.length;
  plan.activities = aOptions.activities;
  plan.resolveTimeout = aOptions.resolveTimeout;
  plan.readPercent = aOptions.readPercent;
  plan.transactionPercent = aOptions.transactionPercent;
  plan.repeatPercent = aOptions.repeatPercent;
  plan.seed = aOptions.seed;
  return plan;
}

int
Report(const load::options& aOptions, const load::experiment_result& aResult)
{
  std::cout << load::ReportText(aResult.found);
  if (!aOptions.jsonFile.empty()) {
    std::ofstream file(aOptions.jsonFile);
    file << load::ReportJson(aResult.found, aOptions.length) << '\n';
    if (!file.flush()) {
      return Fail("cannot write " + aOptions.jsonFile);
    }
  }
  if (!aOptions.recordsFile.empty()) {
    std::ofstream file(aOptions.recordsFile);
    load::WriteRecords(file, aResult.seen);
  }
  return load::HasNoViolations(aResult.found) ? EXIT_SUCCESS : kViolation;
}

int
Run(const load::options& aOptions)
{
  const auto text = ReadFile(aOptions.shapeFile);
  load::shape shape;
  std::string fault;
  if (!text || !load::ParseShape(*text, shape, fault)) {
    return Fail("cannot read " + aOptions.shapeFile + " " + fault);
  }
  if (aOptions.printShape) {
    std::cout << load::ShellLines(shape);
    return EXIT_SUCCESS;
  }
  load::plan plan = MakePlan(aOptions, shape);
  fault = AddClasses(aOptions, shape, plan);
  std::vector<load::cut_order> cuts;
  if (!load::ParseCuts(aOptions.cuts, cuts)) {
    fault = "cuts must have the form group@milliseconds";
  }
  if (plan.gateways.empty()) {
    fault = "none of the given VMs is in the shape";
  }
  if (!fault.empty()) {
    return Fail(fault);
  }
  const auto result = load::RunExperiment(plan, shape, cuts, std::cerr);
  return result.fault.empty() ? Report(aOptions, result) : Fail(result.fault);
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    load::options options;
    const auto parsed = load::ReadOptions(options, aCount, aValues);
    if (parsed.end == settings::parse_end::kExit) {
      return parsed.exitCode;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return Run(options);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return kRunFailed;
  }
}
