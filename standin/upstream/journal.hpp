#ifndef CURRANTSHED_STANDIN_UPSTREAM_JOURNAL_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_JOURNAL_HPP

#include <fstream>
#include <string>

#include "standin/upstream/log.hpp"
#include "standin/upstream/term_state.hpp"

namespace currantshed::standin::postgres {

/// State that a server must keep over a restart.
struct durable_state
{
  term_state terms;
  record_log log;
};

/// A file that holds a server's term and log over a restart of its process.
/// Each change is written before it is answered. Without a path nothing is
/// stored.
class journal
{
public:
  /// Opens the file and reads its contents; an incomplete entry at its end is
  /// dropped.
  journal(std::string aPath, durable_state& aState);

  void WriteTerms(const term_state& aState);
  void WriteRecord(const log_record& aRecord);
  void WriteTruncation(log_index aLast);

private:
  void Write(const std::string& aEntry);

  std::string mPath;
  std::ofstream mFile;
};

} // namespace currantshed::standin::postgres

#endif
