#include "placement.hpp"

#include "currantshed/member/membership.hpp"

namespace currantshed::place {

namespace {

class rendezvous final : public placement
{
public:
  void SetVms(const std::vector<store::vm>& aVms) override { mVms = aVms; }

  [[nodiscard]] std::vector<store::vm> Owners(const group::group_name& aGroup,
                                              unsigned aCount) const override
  {
    return member::ChooseOwners(aGroup, mVms, aCount);
  }

private:
  std::vector<store::vm> mVms;
};

} // namespace

std::unique_ptr<placement>
MakeRendezvous()
{
  return std::make_unique<rendezvous>();
}

} // namespace currantshed::place
