#include "currantshed/gateway/shared_state.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "currantshed/member/membership.hpp"

namespace currantshed::gateway {

namespace {

/// One step of the SplitMix64 generator (Steele, Lea, Flood 2014).
std::uint64_t
NextRandom(std::uint64_t& aState) noexcept
{
  constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;
  constexpr std::uint64_t kFirstFactor = 0xbf58476d1ce4e5b9;
  constexpr std::uint64_t kSecondFactor = 0x94d049bb133111eb;
  constexpr unsigned kFirstShift = 30;
  constexpr unsigned kSecondShift = 27;
  constexpr unsigned kThirdShift = 31;
  aState += kIncrement;
  std::uint64_t mixed = aState;
  mixed = (mixed ^ (mixed >> kFirstShift)) * kFirstFactor;
  mixed = (mixed ^ (mixed >> kSecondShift)) * kSecondFactor;
  return mixed ^ (mixed >> kThirdShift);
}

} // namespace

bool
MayUse(const policy::work_class& aClass, const group::group_name& aGroup)
{
  const auto& groups = aClass.groups;
  return groups.empty() ||
         std::find(groups.begin(), groups.end(), aGroup) != groups.end();
}

shared_state::shared_state(const engine_settings& aSettings,
                           session::key_ring aKeys)
  : settings(aSettings)
  , keys(std::move(aKeys))
  , retries(aSettings.retriesPerRequest, aSettings.retryCapacity)
  , mRandom(aSettings.seed)
{
}

std::shared_ptr<const policy::work_class>
shared_state::Rule(const std::string& aClass) const
{
  const auto found = rules.find(aClass);
  return found == rules.end() ? nullptr : found->second;
}

std::vector<std::string>
shared_state::WriteDomains(const group::group_name& aGroup) const
{
  std::set<std::string> domains;
  for (const auto& [name, rule] : rules) {
    if (rule->kind == policy::access::kWrite && MayUse(*rule, aGroup)) {
      domains.insert(rule->servedIn.begin(), rule->servedIn.end());
    }
  }
  return { domains.begin(), domains.end() };
}

bool
shared_state::HasGroup(const group::group_name& aGroup) const
{
  const auto& groups = view.groups;
  return std::find(groups.begin(), groups.end(), aGroup) != groups.end();
}

bool
shared_state::IsLive(const std::string& aVm) const
{
  return std::any_of(view.live.begin(),
                     view.live.end(),
                     [&aVm](const auto& aLive) { return aLive.id == aVm; });
}

const std::vector<std::string>&
shared_state::Owners(const group::group_name& aGroup)
{
  const auto [place, added] = mOwners.try_emplace(aGroup);
  if (added) {
    std::vector<store::vm> activeVms;
    std::copy_if(view.live.begin(),
                 view.live.end(),
                 std::back_inserter(activeVms),
                 [](const auto& aVm) { return !aVm.leaving; });
    for (const auto& vm :
         member::ChooseOwners(aGroup, activeVms, view.owners)) {
      place->second.push_back(vm.id);
    }
  }
  return place->second;
}

std::chrono::milliseconds
shared_state::AddJitter(std::chrono::milliseconds aTime)
{
  const auto half = static_cast<std::uint64_t>(aTime.count()) / 2;
  const std::uint64_t added = NextRandom(mRandom) % (half + 1);
  return aTime + std::chrono::milliseconds(added);
}

void
shared_state::SetView(fleet_view aView)
{
  view = std::move(aView);
  mOwners.clear();
}

void
shared_state::SetConfiguration(class_rules aConfiguration)
{
  configurationVersion = aConfiguration.version;
  rules.clear();
  for (auto& rule : aConfiguration.classes) {
    std::string name = rule.name;
    rules[std::move(name)] =
      std::make_shared<policy::work_class>(std::move(rule));
  }
}

} // namespace currantshed::gateway
