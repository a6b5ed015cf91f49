#ifndef CURRANTSHED_TEST_PROXY_RELAY_LINK_HPP
#define CURRANTSHED_TEST_PROXY_RELAY_LINK_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/proxy/engine.hpp"
#include "test/currantshed/proxy/simulated_cluster.hpp"

namespace currantshed::test {

/// One-way latency between two VMs.
inline constexpr std::chrono::milliseconds kRelayHop{ 1 };

/// A link to a server through another VM's engine.
class relay_link final
  : public proxy::upstream_link
  , public proxy::caller
{
public:
  relay_link(timeline& aTime,
             proxy::engine& aThrough,
             const std::string& aServer,
             proxy::link_listener& aListener,
             std::function<bool()> aIsEnding,
             bool aSendsAttributes = false)
    : mTime(aTime)
    , mThrough(aThrough)
    , mListener(&aListener)
    , mIsEnding(std::move(aIsEnding))
    , mSendsAttributes(aSendsAttributes)
  {
    mSession = mThrough.OpenRelay(aServer, *this);
    mTime.After(kRelayHop, Guarded([this] {
                  if (!mSession) {
                    End();
                  } else if (mListener != nullptr) {
                    mListener->Opened(std::nullopt, mTime.Now());
                  }
                }));
  }
  relay_link(const relay_link&) = delete;
  relay_link& operator=(const relay_link&) = delete;
  ~relay_link() override
  {
    *mAlive = false;
    if (mSession && !mIsEnding()) {
      mThrough.Close(*mSession, mTime.Now());
    }
  }

  void Send(const std::vector<proxy::command>& aCommands) override
  {
    for (const auto& one : aCommands) {
      mTime.After(kRelayHop, Guarded([this, one] {
                    if (mSession) {
                      auto made = Translate(one);
                      if (!mSendsAttributes) {
                        made.attributes.reset();
                      }
                      mThrough.Submit(*mSession, made, mTime.Now());
                    }
                  }));
    }
  }

  void Deliver(const proxy::answer& aAnswer) override
  {
    mTime.After(kRelayHop, Guarded([this, aAnswer] {
                  if (mListener != nullptr && mSession) {
                    mListener->Answered(aAnswer, mTime.Now());
                  }
                }));
  }

  /// Ends the link as if the relay had been killed: nothing in between arrives.
  void Break()
  {
    if (mSession) {
      mThrough.Close(*mSession, mTime.Now());
      mSession.reset();
    }
    mTime.After(kRelayHop, Guarded([this] { End(); }));
  }

  /// Becomes false when the link is destroyed.
  [[nodiscard]] std::shared_ptr<const bool> IsAlive() const { return mAlive; }

  void Close() override
  {
    mTime.After(kRelayHop, Guarded([this] { End(); }));
  }

private:
  std::function<void()> Guarded(std::function<void()> aWhat)
  {
    return [alive = mAlive, what = std::move(aWhat)] {
      if (*alive) {
        what();
      }
    };
  }

  void End()
  {
    if (auto* listener = std::exchange(mListener, nullptr)) {
      listener->Ended(proxy::link_close_reason::kBroken, mTime.Now());
    }
  }

  static proxy::session_statement Translate(const proxy::command& aCommand)
  {
    proxy::session_statement made;
    made.id = aCommand.id;
    made.text = aCommand.text;
    made.name = aCommand.name;
    made.argument = aCommand.argument;
    made.writes = aCommand.writes;
    made.floor = aCommand.floor;
    made.customer = aCommand.customer;
    made.attributes = aCommand.attributes;
    switch (aCommand.kind) {
      case proxy::command_kind::kBegin:
        made.kind = proxy::statement_kind::kBegin;
        break;
      case proxy::command_kind::kBeginReadOnly:
        made.kind = proxy::statement_kind::kBeginReadOnly;
        break;
      case proxy::command_kind::kRollback:
        made.kind = proxy::statement_kind::kRollback;
        break;
      case proxy::command_kind::kReset:
        made.kind = proxy::statement_kind::kReset;
        break;
      case proxy::command_kind::kSet:
        made.kind = proxy::statement_kind::kSet;
        break;
      case proxy::command_kind::kPrepare:
        made.kind = proxy::statement_kind::kPrepare;
        break;
      case proxy::command_kind::kExecute:
        made.kind = proxy::statement_kind::kExecute;
        break;
      default:
        made.kind = aCommand.text == "COMMIT" ? proxy::statement_kind::kCommit
                    : aCommand.text.starts_with("WRITE")
                      ? proxy::statement_kind::kWrite
                      : proxy::statement_kind::kRead;
        break;
    }
    return made;
  }

  timeline& mTime;
  proxy::engine& mThrough;
  proxy::link_listener* mListener;
  // Whether the engines are being destroyed.
  std::function<bool()> mIsEnding;
  // A VM of an older build sends none.
  bool mSendsAttributes;
  std::optional<proxy::engine::session_id> mSession;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::test

#endif
