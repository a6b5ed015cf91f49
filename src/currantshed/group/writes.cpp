#include "currantshed/group/writes.hpp"

#include <utility>

#include "currantshed/outcome/request_digest.hpp"

namespace currantshed::group {

write_flow::write_flow(context& aContext,
                       request aRequest,
                       clock::time_point aNow)
  : change_flow(aContext, std::move(aRequest), aNow)
{
  outcome::request_digest digest;
  digest.Add(Request().statements);
  mDigest = digest.Text();
}

std::vector<upstream::statement>
write_flow::ComposeChange() const
{
  const auto& dialect = *Context().dialect;
  const auto& key = Request().key;
  std::vector<upstream::statement> batch;
  batch.push_back(dialect.Begin(false));
  batch.push_back(dialect.RecordOutcome(key.Text(), key.IssuedAt(), mDigest));
  batch.insert(
    batch.end(), Request().statements.begin(), Request().statements.end());
  batch.push_back(dialect.Status());
  batch.push_back(dialect.Commit());
  batch.push_back(dialect.Status());
  return batch;
}

std::size_t
write_flow::RecordIndex() const
{
  return 1;
}

bool
write_flow::MayBeResent() const
{
  return true;
}

std::optional<std::string>
write_flow::Digest() const
{
  return mDigest;
}

} // namespace currantshed::group
