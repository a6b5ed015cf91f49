#ifndef CURRANTSHED_TEST_MATRIX_OPERATORS_HPP
#define CURRANTSHED_TEST_MATRIX_OPERATORS_HPP

#include <memory>
#include <optional>
#include <string>

#include "currantshed/store/apply.hpp"
#include "test/matrix/process.hpp"
#include "test/matrix/surroundings.hpp"

namespace currantshed::matrix {

/// An operator that applies one configuration change.
class operator_call final : public process
{
public:
  operator_call(surroundings& aAround, std::string aDeclaration);

  /// Applies the change on top of the version that the store holds now.
  void Apply();

protected:
  void CreateEngines() override;
  void Ended() override {}
  void Collect() override;
  void Tick() override;
  [[nodiscard]] clock::time_point NextTick() const override;

private:
  void Do(const store::read_configuration& aAction,
          const fault_effect& aEffect);
  void Do(const store::swap_configuration& aAction,
          const fault_effect& aEffect);
  void Note();

  surroundings& mAround;
  std::string mDeclaration;
  std::optional<store::applier> mApplier;
  bool mNoted = false;
};

} // namespace currantshed::matrix

#endif
