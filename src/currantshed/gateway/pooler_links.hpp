#ifndef CURRANTSHED_GATEWAY_POOLER_LINKS_HPP
#define CURRANTSHED_GATEWAY_POOLER_LINKS_HPP

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "currantshed/gateway/engine.hpp"
#include "currantshed/net/dealer.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::gateway {

/// Events of one thread's connections to poolers.
class link_events
{
public:
  virtual ~link_events() = default;

  virtual void PoolerAnswered(wire::group_answer aAnswer) = 0;
  virtual void NotSent(group::request_id aRequest) = 0;
  virtual void PoolerLost(const std::string& aVm) = 0;
};

/// One thread's connections to the poolers of this and other VMs, each opened
/// on first use. A request waits a short time for its connection to be
/// established; after that it fails and is never sent late. Events are
/// delivered from the io_context, never from within a call.
class pooler_links
{
public:
  pooler_links(boost::asio::io_context& aContext,
               zmq::context_t& aZmq,
               link_events& aEvents);
  ~pooler_links();

  pooler_links(const pooler_links&) = delete;
  pooler_links& operator=(const pooler_links&) = delete;

  /// Sets the current VMs and closes the connections to all others.
  void SetVms(std::vector<store::vm> aVms);

  void Send(send_to_pooler aMessage);
  void Cancel(const std::string& aVm, group::request_id aRequest);

private:
  struct queued_request
  {
    wire::group_request message;
    clock::time_point expiresAt;
  };

  struct link
  {
    store::vm vm;
    std::unique_ptr<net::dealer> socket;
    bool up = false;
    std::vector<queued_request> queue;
  };

  link* Find(const std::string& aVm);
  void Open(link& aLink);
  void OnLinkChanged(const std::string& aVm, bool aUp);
  void OnReceived(std::string_view aBytes);
  void Transmit(link& aLink, const wire::group_request& aMessage);
  void Fail(group::request_id aRequest);
  void ScheduleExpiry();
  void FailExpired();

  boost::asio::io_context& mContext;
  zmq::context_t& mZmq;
  link_events& mEvents;
  absl::flat_hash_map<std::string, std::unique_ptr<link>> mLinks;
  boost::asio::steady_timer mTimer;
  bool mTimerSet = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::gateway

#endif
