#ifndef CURRANTSHED_POOLER_GROUP_RUNNER_HPP
#define CURRANTSHED_POOLER_GROUP_RUNNER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>

#include "currantshed/group/engine.hpp"
#include "currantshed/net/tick_timer.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/metrics.hpp"
#include "currantshed/pooler/server_channel.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/upstream/dialect.hpp"
#include "currantshed/upstream/pq_connection.hpp"

namespace currantshed::pooler {

/// Runs the engine of one group on the traffic thread: executes its actions on
/// connections to the servers and reports the results back to it.
class group_runner
{
public:
  using answer_callback = std::function<void(group::answer)>;

  group_runner(boost::asio::io_context& aContext,
               const settings& aSettings,
               const upstream::dialect& aDialect,
               prometheus::Registry& aMetrics,
               const group::group_name& aGroup,
               answer_callback aAnswer);
  group_runner(const group_runner&) = delete;
  group_runner& operator=(const group_runner&) = delete;
  ~group_runner();

  /// Updates the group's servers. The engine closes connections to servers that
  /// were removed or have moved.
  void Configure(const group::description& aGroup);

  void Submit(group::request aRequest);
  void Cancel(group::request_id aRequest);
  void Drain();

  /// Number of requests and transactions in progress.
  [[nodiscard]] std::size_t Pending() const noexcept;

  [[nodiscard]] group_metrics& Metrics() noexcept { return mMetrics; }

private:
  struct link
  {
    std::unique_ptr<upstream::pq_connection> connection;
    upstream::server_id server;
  };

  void ExecuteActions();
  void Execute(const group::open_connection& aAction);
  void Execute(const group::close_connection& aAction);
  void Execute(group::run_batch& aAction);
  void Execute(const group::request_status& aAction);
  void Execute(group::give_answer& aAction);
  void Opened(group::connection_id aConnection, bool aIsOpen);
  void Lost(group::connection_id aConnection);
  void Drop(group::connection_id aConnection);
  void StatusReplied(const upstream::server_id& aServer,
                     const std::optional<upstream::reply>& aReply,
                     clock::time_point aSentAt);
  [[nodiscard]] const group::member* Find(
    const upstream::server_id& aServer) const;
  [[nodiscard]] upstream::endpoint EndpointOf(const group::member& aMember,
                                              bool aReadOnly) const;

  boost::asio::io_context& mContext;
  const settings& mSettings;
  const upstream::dialect& mDialect;
  group_metrics mMetrics;
  answer_callback mAnswer;
  std::unique_ptr<group::engine> mEngine;
  std::chrono::milliseconds mStatusTimeout;
  group::description mGroup;
  absl::flat_hash_map<group::connection_id, link> mLinks;
  absl::flat_hash_map<upstream::server_id, std::unique_ptr<server_channel>>
    mChannels;
  bool mIsExecuting = false;
  net::tick_timer mTimer;
};

} // namespace currantshed::pooler

#endif
