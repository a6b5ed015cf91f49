#ifndef CURRANTSHED_STANDIN_UPSTREAM_SERVER_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SERVER_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "standin/upstream/faults.hpp"
#include "standin/upstream/feed.hpp"
#include "standin/upstream/permits.hpp"
#include "standin/upstream/replica_link.hpp"
#include "standin/upstream/session.hpp"
#include "standin/upstream/settings.hpp"
#include "standin/upstream/store.hpp"

namespace currantshed::standin::postgres {

/// Counters of a server, for checks by tests.
struct server_counts
{
  std::size_t connections = 0;
  std::size_t peakConnections = 0;
  std::size_t slotsInUse = 0;
  std::size_t peakSlots = 0;
  std::uint64_t statementsRun = 0;
};

/// One database server of a group, with its connections, data and faults;
/// single-threaded, on the thread that runs the io_context.
class server : public store_listener
{
public:
  server(boost::asio::io_context& aContext,
         server_settings aSettings,
         const std::vector<std::string>& aSchema);

  /// Starts listening, and follows the first primary if one is set.
  void Start();

  [[nodiscard]] boost::asio::io_context& Context() noexcept;
  [[nodiscard]] const server_settings& Settings() const noexcept;
  [[nodiscard]] const faults& Faults() const noexcept;
  [[nodiscard]] store& Data() noexcept;
  [[nodiscard]] shared_parts& Shared() noexcept;
  [[nodiscard]] server_counts Counts() const;
  /// The last index stored by each connected replica.
  [[nodiscard]] std::vector<log_index> ReplicaPositions() const;

  void SetFaults(faults aFaults);

  /// Registers a connection; returns false if the connection limit is reached.
  [[nodiscard]] bool Admit();
  void Leave(const std::shared_ptr<session>& aSession, bool aAdmitted);
  void Leave(const std::shared_ptr<feed>& aFeed);
  /// Starts replication on a connection accepted from a replica.
  void StartFeed(boost::asio::ip::tcp::socket aSocket, std::string_view aHello);
  /// Applies stored records when their replication lag has passed.
  void ApplyStored();

  /// Opens a new connection to the followed primary, if there is one.
  void FollowPrimary();

  void Appended() override;
  void TermsChanged() override;

private:
  void Listen();
  void Accept();
  void StartTerms(const std::vector<std::string>& aSchema);
  void Beat();
  void PumpFeeds();
  void CloseFeeds();

  boost::asio::io_context& mContext;
  server_settings mSettings;
  faults mFaults;
  durable_state mRestored;
  journal mJournal;
  store mStore;
  permits mSlots;
  permits mWriteLock;
  shared_parts mShared;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mBeatTimer;
  boost::asio::steady_timer mApplyTimer;
  absl::flat_hash_set<std::shared_ptr<session>> mSessions;
  absl::flat_hash_set<std::shared_ptr<feed>> mFeeds;
  std::shared_ptr<replica_link> mLink;
  std::size_t mConnections = 0;
  std::size_t mPeakConnections = 0;
  bool mPumping = false;
};

} // namespace currantshed::standin::postgres

#endif
