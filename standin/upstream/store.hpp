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

/// Whoever has the open write transaction of a server.
class write_owner
{
public:
  write_owner() = default;
  write_owner(const write_owner&) = delete;
  write_owner& operator=(const write_owner&) = delete;
  virtual ~write_owner() = default;

  /// The transaction was rolled back because the server's term changed.
  virtual void Revoked() = 0;
};

/// Hears of changes of a store.
class store_listener
{
public:
  store_listener() = default;
  store_listener(const store_listener&) = delete;
  store_listener& operator=(const store_listener&) = delete;
  virtual ~store_listener() = default;

  /// Records were added to a primary's log.
  virtual void Appended() = 0;
  /// The term or the role has changed, or the primary that is followed.
  virtual void TermsChanged() = 0;
};

/// One server's term, log and data. The committed data serve the readers,
/// who are never held up; the one write transaction that may be open has data
/// of its own, and its statements are replayed on the committed data once it
/// commits, just as on a replica. Takes the time as a parameter.
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

  /// Data as of the last record applied.
  [[nodiscard]] database& Committed() noexcept;
  /// Data as the open write transaction sees them.
  [[nodiscard]] database& Working() noexcept;

  /// Opens the one write transaction; refused unless primary.
  [[nodiscard]] sql_outcome BeginWrite(write_owner& aOwner,
                                       std::uint64_t aUnixMs);
  /// Runs a statement in the open write transaction.
  [[nodiscard]] sql_outcome Write(const statement& aStatement,
                                  row_sink aSink,
                                  std::uint64_t& aAffected);
  void CommitWrite();
  void RollbackWrite();

  /// A replica heard from the primary of the term it is in.
  void HeardFromPrimary(clock::time_point aNow);
  /// Drops the records of a replica that its primary's history lacks.
  void Align(log_index aCommon);
  /// Stores a record from the primary of a term; false when that term's
  /// records aren't taken any more.
  [[nodiscard]] bool Store(term_id aTerm,
                           log_record aRecord,
                           clock::time_point aNow);
  /// Applies what was stored at least the lag ago, up to a bound; gives the
  /// time to call again.
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
  /// When each record that is not applied was stored.
  std::deque<clock::time_point> mStoredAt;
  clock::time_point mLastHeard;
};

} // namespace currantshed::standin::postgres

#endif
