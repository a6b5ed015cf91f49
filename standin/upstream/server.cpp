#include "standin/upstream/server.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include <boost/asio/post.hpp>

#include "standin/upstream/peers.hpp"

namespace currantshed::standin::postgres {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kBeatInterval{ 20 };

} // namespace

server::server(boost::asio::io_context& aContext,
               server_settings aSettings,
               const std::vector<std::string>& aSchema)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mJournal(mSettings.dataFile, mRestored)
  , mStore(std::move(mRestored), mJournal, *this)
  , mSlots(mSettings.slots)
  , mWriteLock(1)
  , mShared{ mStore, mSlots, mWriteLock, mSettings.serviceTime }
  , mAcceptor(aContext)
  , mBeatTimer(aContext)
  , mApplyTimer(aContext)
{
  StartTerms(aSchema);
}

// Starts a server without a stored term in term 1.
void
server::StartTerms(const std::vector<std::string>& aSchema)
{
  if (mStore.Terms().Term() != 0 || mSettings.firstPrimary.empty()) {
    FollowPrimary();
    return;
  }
  if (mSettings.firstPrimary == mSettings.id) {
    mStore.StartAsFirstPrimary(aSchema);
    return;
  }
  const auto primary = FindPeer(mSettings.peers, mSettings.firstPrimary);
  if (!primary) {
    throw std::invalid_argument(
      "the first primary is not in the list of peers");
  }
  static_cast<void>(
    mStore.Follow(1, *primary, std::chrono::steady_clock::now()));
}

void
server::Start()
{
  Listen();
  Accept();
  Beat();
}

void
server::Listen()
{
  const tcp::endpoint local(boost::asio::ip::make_address(mSettings.address),
                            mSettings.port);
  mAcceptor.open(local.protocol());
  mAcceptor.set_option(tcp::acceptor::reuse_address(true));
  mAcceptor.bind(local);
  mAcceptor.listen();
}

void
server::Accept()
{
  mAcceptor.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      auto made = std::make_shared<session>(*this, std::move(aSocket));
      mSessions.insert(made);
      if (mFaults.cutAll) {
        made->Freeze();
      }
      made->Start();
    }
    Accept();
  });
}

boost::asio::io_context&
server::Context() noexcept
{
  return mContext;
}

const server_settings&
server::Settings() const noexcept
{
  return mSettings;
}

const faults&
server::Faults() const noexcept
{
  return mFaults;
}

store&
server::Data() noexcept
{
  return mStore;
}

shared_parts&
server::Shared() noexcept
{
  return mShared;
}

server_counts
server::Counts() const
{
  return { mConnections,
           mPeakConnections,
           mSlots.InUse(),
           mSlots.Peak(),
           mShared.statementsRun };
}

std::vector<log_index>
server::ReplicaPositions() const
{
  std::vector<log_index> positions;
  for (const auto& replica : mFeeds) {
    positions.push_back(replica->Stored());
  }
  return positions;
}

void
server::SetFaults(faults aFaults)
{
  mFaults = std::move(aFaults);
  const auto sessions = mSessions;
  for (const auto& one : sessions) {
    if (mFaults.CutsVm(one->Vm())) {
      one->Freeze();
    } else if (one->IsFrozen()) {
      one->Close();
    }
  }
  if (mFaults.CutsReplication()) {
    CloseFeeds();
    // Its next connection attempts wait until the cut is over.
    FollowPrimary();
  }
  ApplyStored();
}

bool
server::Admit()
{
  if (mConnections >= mSettings.connections) {
    return false;
  }
  ++mConnections;
  mPeakConnections = std::max(mPeakConnections, mConnections);
  return true;
}

void
server::Leave(const std::shared_ptr<session>& aSession, bool aAdmitted)
{
  mConnections -= aAdmitted ? 1 : 0;
  mSessions.erase(aSession);
}

void
server::Leave(const std::shared_ptr<feed>& aFeed)
{
  mFeeds.erase(aFeed);
}

void
server::StartFeed(tcp::socket aSocket, std::string_view aHello)
{
  const auto hello = DecodeHello(aHello);
  const auto& terms = mStore.Terms();
  if (!hello || mFaults.CutsReplication() || hello->term != terms.Term() ||
      terms.Role() != server_role::kPrimary) {
    return;
  }
  auto made = std::make_shared<feed>(*this, std::move(aSocket));
  mFeeds.insert(made);
  made->Start(*hello);
}

void
server::ApplyStored()
{
  const auto next = mStore.Apply(std::chrono::steady_clock::now(), mFaults.lag);
  if (!next) {
    return;
  }
  mApplyTimer.expires_at(*next);
  mApplyTimer.async_wait([this](error_code aError) {
    if (!aError) {
      ApplyStored();
    }
  });
}

// Sends all records of one event-loop iteration together.
void
server::Appended()
{
  if (!std::exchange(mPumping, true)) {
    boost::asio::post(mContext, [this] { PumpFeeds(); });
  }
}

void
server::PumpFeeds()
{
  mPumping = false;
  const auto feeds = mFeeds;
  for (const auto& replica : feeds) {
    replica->Pump();
  }
}

void
server::TermsChanged()
{
  CloseFeeds();
  FollowPrimary();
}

void
server::CloseFeeds()
{
  const auto feeds = mFeeds;
  for (const auto& replica : feeds) {
    replica->Close();
  }
}

void
server::FollowPrimary()
{
  if (mLink) {
    mLink->Close();
    mLink.reset();
  }
  const auto& terms = mStore.Terms();
  if (terms.Role() == server_role::kReplica) {
    mLink =
      std::make_shared<replica_link>(*this, terms.Term(), terms.Primary());
    mLink->Start();
  }
}

void
server::Beat()
{
  for (const auto& replica : mFeeds) {
    replica->Beat();
  }
  const auto oldest =
    std::chrono::steady_clock::now() - mSettings.transactionIdle;
  const auto sessions = mSessions;
  for (const auto& one : sessions) {
    one->CloseIfIdle(oldest);
  }
  mBeatTimer.expires_after(kBeatInterval);
  mBeatTimer.async_wait([this](error_code aError) {
    if (!aError) {
      Beat();
    }
  });
}

} // namespace currantshed::standin::postgres
