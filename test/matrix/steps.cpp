#include "test/matrix/steps.hpp"

#include <array>
#include <stdexcept>
#include <string_view>
#include <variant>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/gateway/engine.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/store/apply.hpp"

namespace currantshed::matrix {

namespace {

/// One alternative of an action variant, and whether it is answered.
struct row
{
  std::string_view name;
  bool answered = false;
};

constexpr std::array kGatewayRows{
  row{ "send_to_pooler", true },
  row{ "cancel_at_pooler", false },
  row{ "give_answer", false },
};
constexpr std::array kGroupRows{
  row{ "open_connection", true }, row{ "close_connection", false },
  row{ "run_batch", true },       row{ "ask_status", true },
  row{ "give_answer", false },
};
constexpr std::array kFailoverRows{
  row{ "probe", true },       row{ "fence", true },
  row{ "promote", true },     row{ "follow", true },
  row{ "read_record", true }, row{ "swap_record", true },
  row{ "announce", false },   row{ "report_suspicion", false },
};
constexpr std::array kApplyRows{
  row{ "read_configuration", true },
  row{ "swap_configuration", true },
};

// Fails to compile if an action variant has an alternative without a row.
static_assert(kGatewayRows.size() == std::variant_size_v<gateway::action>);
static_assert(kGroupRows.size() == std::variant_size_v<group::action>);
static_assert(kFailoverRows.size() == std::variant_size_v<failover::action>);
static_assert(kApplyRows.size() == std::variant_size_v<store::apply_action>);

template<typename Rows>
void
Add(std::vector<step>& aSteps,
    layer aLayer,
    std::string_view aName,
    const Rows& aRows)
{
  for (std::size_t at = 0; at < aRows.size(); ++at) {
    const auto name = std::string(aName) + "." + std::string(aRows[at].name);
    aSteps.push_back({ name + ".asked", aLayer, at, moment::kAsked });
    if (aRows[at].answered) {
      aSteps.push_back({ name + ".done", aLayer, at, moment::kDone });
      aSteps.push_back({ name + ".answered", aLayer, at, moment::kAnswered });
    }
  }
}

std::vector<step>
MakeSteps()
{
  std::vector<step> steps;
  Add(steps, layer::kGateway, "gateway", kGatewayRows);
  Add(steps, layer::kGroup, "group", kGroupRows);
  Add(steps, layer::kFailover, "failover", kFailoverRows);
  Add(steps, layer::kApply, "apply", kApplyRows);
  return steps;
}

} // namespace

const std::vector<step>&
Steps()
{
  static const std::vector<step> kSteps = MakeSteps();
  return kSteps;
}

std::size_t
StepOf(layer aLayer, std::size_t aAlternative, moment aMoment)
{
  const auto& steps = Steps();
  for (std::size_t at = 0; at < steps.size(); ++at) {
    const auto& found = steps[at];
    if (found.of == aLayer && found.alternative == aAlternative &&
        found.at == aMoment) {
      return at;
    }
  }
  throw std::logic_error("the action has no step");
}

} // namespace currantshed::matrix
