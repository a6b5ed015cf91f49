#ifndef CURRANTSHED_STANDIN_UPSTREAM_STORE_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_STORE_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/upstream/status.hpp"
#include "standin/upstream/database.hpp"
#include "standin/upstream/journal.hpp"
#include "standin/upstream/log.hpp"
#include "standin/upstream/term_state.hpp"

namespace currantshed::standin::postgres {

using currantshed::upstream::server_status;

/// Callback interface of the owner of a server's open write transaction.
class write_owner
{
public:
  write_owner() = default;
  write_owner(const write_owner&) = delete;
  write_owner& operator=(const write_owner&) = delete;
  virtual ~write_owner() = default;

  /// Called when the transaction was rolled back because the server's term
  /// changed.
  virtual void Revoked() = 0;
};

/// Callback interface for changes of a store.
class store_listener
{
public:
  store_listener() = default;
  store_listener(const store_listener&) = delete;
  store_listener& operator=(const store_listener&) = delete;
  virtual ~store_listener() = default;

  /// Called when records were appended to a primary's log.
  virtual void Appended() = 0;
  /// Called when the term, the role or the followed primary has changed.
  virtual void TermsChanged() = 0;
};

/// One server's term, log and data. Readers use the committed data and are
/// never blocked. The one open write transaction has its own copy of the data;
/// on commit its statements are replayed on the committed data, as on a
/// replica. The current time is passed as a parameter.
class store
{
public:
  store(durable_state aState, journal& aJournal, store_listener& aListener);

  /// Makes an empty server the primary of term 1, with a first record.
  void StartAsFirstPrimary(const std::vector<std::string>& aSchema);

  [[nodiscard]] sql_outcome Fence(term_id aTerm);
  [[nodiscard]] sql_outcome Promote(term_id aTerm);
  [[nodiscard]] sql_outcome Follow(term_id aTerm,
                                   const primary_address& aPrimary,
                                   clock::time_point aNow);
  [[nodiscard]] server_status Status(clock::time_point aNow) const;
  [[nodiscard]] const term_state& Terms() const noexcept;
  [[nodiscard]] const record_log& Log() const noexcept;

  /// The data as of the last applied record.
  [[nodiscard]] database& Committed() noexcept;
  /// The data as seen by the open write transaction.
  [[nodiscard]] database& Working() noexcept;

  /// Opens the write transaction; refused unless this server is primary.
  [[nodiscard]] sql_outcome BeginWrite(write_owner& aOwner,
                                       std::uint64_t aUnixMs);
  /// Runs a statement in the open write transaction.
  [[nodiscard]] sql_outcome Write(const statement& aStatement,
                                  row_sink aSink,
                                  std::uint64_t& aAffected);
  void CommitWrite();
  void RollbackWrite();

  /// Records that a replica received a message from the primary of its current
  /// term.
  void HeardFromPrimary(clock::time_point aNow);
  /// Drops the replica's records that are not in its primary's log.
  void Align(log_index aCommon);
  /// Stores a record from the primary of a term; returns false if records of
  /// that term are no longer accepted.
  [[nodiscard]] bool Store(term_id aTerm,
                           log_record aRecord,
                           clock::time_point aNow);
  /// Applies records stored at least the replication lag ago, up to a bounded
  /// number; returns the time of the next call.
  [[nodiscard]] std::optional<clock::time_point> Apply(clock::time_point aNow,
                                                       clock::duration aLag);

private:
  void ChangeTerms();
  void ApplyNext();
  void ApplyAll();
  void AppendOwn(log_record aRecord);

  journal& mJournal;
  store_listener& mListener;
  term_state mTerms;
  record_log mLog;
  std::unique_ptr<database> mCommitted;
  database mWorking;
  write_owner* mOwner = nullptr;
  log_record mOpen;
  log_index mApplied = 0;
  /// Time at which each unapplied record was stored.
  std::deque<clock::time_point> mStoredAt;
  clock::time_point mLastHeard;
};

} // namespace currantshed::standin::postgres

#endif
