#ifndef CURRANTSHED_GROUP_ROUNDS_HPP
#define CURRANTSHED_GROUP_ROUNDS_HPP

#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/engine.hpp"

namespace currantshed::group {

/// What the engine's requests ask of the rounds.
struct demand
{
  /// Whether nothing but newer words can help some request on.
  bool someoneWaits = false;
  /// Requests in the engine. One that is alone is not kept waiting for
  /// others to share its question; many share each one.
  std::size_t requests = 0;
};

/// When each server is asked for its status: at the usual interval, and as
/// soon as the last answer is in while somebody waits for newer words. All
/// who wait share the same questions. One question a server is under way.
class rounds
{
public:
  explicit rounds(const engine_settings& aSettings);

  void SetMembers(const std::vector<upstream::server_id>& aServers);

  /// The server answered, or the question failed.
  void Answered(const upstream::server_id& aServer);
  void Failed(const upstream::server_id& aServer);

  /// Somebody will need words asked for since the given time.
  void Want(clock::time_point aAskedSince);

  /// The servers to be asked now.
  [[nodiscard]] std::vector<upstream::server_id> Due(const demand& aDemand,
                                                     clock::time_point aNow);

  /// When Due is to be asked again.
  [[nodiscard]] clock::time_point NextDue(const demand& aDemand) const;

private:
  struct question
  {
    upstream::server_id server;
    bool underWay = false;
    bool failed = false;
    bool asked = false;
    clock::time_point askedAt;
  };

  [[nodiscard]] clock::time_point DueAt(const question& aQuestion,
                                        const demand& aDemand) const;
  [[nodiscard]] question* Find(const upstream::server_id& aServer);

  std::chrono::milliseconds mInterval;
  std::chrono::milliseconds mTimeout;
  clock::time_point mWantedSince = clock::time_point::min();
  std::vector<question> mQuestions;
};

} // namespace currantshed::group

#endif
