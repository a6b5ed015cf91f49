// Keys that are too long for one message: VMs that lack them get a copy in
// parts from a VM that follows the store, so that what the store sends grows
// with the failure domains, not with the VMs.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "currantshed/log/log.hpp"
#include "currantshed/node/forwarders.hpp"

namespace currantshed::node {

namespace {

news::KeysPart
ToWire(std::size_t aPrefix, const snapshot_chunk& aPart)
{
  news::KeysPart made;
  made.set_prefix(static_cast<std::uint32_t>(aPrefix));
  made.set_of(aPart.of.number);
  made.set_of_era(aPart.of.era);
  made.set_from(aPart.from);
  made.set_length(aPart.length);
  made.set_content(aPart.content);
  return made;
}

snapshot_chunk
FromWire(const news::KeysPart& aPart)
{
  return { { aPart.of_era(), aPart.of() },
           static_cast<std::size_t>(aPart.from()),
           static_cast<std::size_t>(aPart.length()),
           aPart.content() };
}

} // namespace

// The VM has more than it may tell at once. Where a copy does not come in time,
// the store is read.
void
control::AskParts(const std::string& aVm,
                  std::size_t aPrefix,
                  clock::time_point aNow)
{
  auto& collector = mCollectors.at(aPrefix);
  if (collector.Begin(aVm, aNow)) {
    SendWantedPart(aPrefix, aVm, aNow);
  }
}

void
control::SendWantedPart(std::size_t aPrefix,
                        const std::string& aVm,
                        clock::time_point aNow)
{
  const auto& collector = mCollectors.at(aPrefix);
  auto& view = *Views().at(aPrefix);
  view.ForwardedUntil(collector.Until());
  view.DelayFirstReadUntil(collector.Until());
  news::News told;
  FillChanges(told);
  *told.add_parts_wanted() = ToWire(aPrefix, collector.Wanted());
  mNews.Send(aVm, std::move(told), aNow);
}

void
control::AnswerParts(const news::News& aNews, clock::time_point aNow)
{
  for (const auto& wanted : aNews.parts_wanted()) {
    const std::size_t prefix = wanted.prefix();
    if (prefix >= mCutters.size() || !Views().at(prefix)->IsKnown()) {
      continue;
    }
    const auto& view = *Views().at(prefix);
    const auto part = mCutters.at(prefix).GetChunk(
      FromWire(wanted),
      MaxUpdateBytes(mSettings.linkMegabits),
      view.Seen(),
      aNow,
      [this, prefix, &view] {
        news::KeysUpdate whole;
        FillUpdate(whole, prefix, view.UpdateSince({}));
        return whole.SerializeAsString();
      });
    news::News told;
    FillChanges(told);
    *told.add_parts() = ToWire(prefix, part);
    mNews.Send(aNews.vm(), std::move(told), aNow);
  }
}

void
control::TakeParts(const news::News& aNews, clock::time_point aNow)
{
  for (const auto& part : aNews.parts()) {
    const std::size_t prefix = part.prefix();
    if (prefix >= mCollectors.size()) {
      continue;
    }
    auto& collector = mCollectors.at(prefix);
    const auto copy = collector.Take(aNews.vm(), FromWire(part), aNow);
    if (!copy) {
      if (collector.IsInProgress(aNow) && collector.IsFrom(aNews.vm())) {
        SendWantedPart(prefix, aNews.vm(), aNow);
      }
      continue;
    }
    news::KeysUpdate update;
    const bool isReadable =
      update.ParseFromString(*copy) && update.prefix() == prefix;
    log::Write(isReadable ? log::level::kDebug : log::level::kWarning,
               "copy_taken",
               { { "prefix", static_cast<std::int64_t>(prefix) },
                 { "from", aNews.vm() },
                 { "bytes", static_cast<std::int64_t>(copy->size()) },
                 { "revision", static_cast<std::int64_t>(update.up_to()) },
                 { "readable", isReadable } });
    if (isReadable) {
      // How old the copy is, and what has changed since, the next question
      // tells.
      TakeUpdate(aNews.vm(), update, {}, aNow);
      SendWanted(aNews.vm(), aNow);
    }
  }
}

// A VM that starts learns who is there by the own keys, and the rest from those
// that follow the store, if there are some.
void
control::HoldFirstReadings(bool aHasForwarders, clock::time_point aNow)
{
  const auto until =
    aHasForwarders ? mStartedAt + mForwardingTimeouts.DiscoveryTimeout() : aNow;
  for (auto* view : { &mConfigurationView, &mServersView }) {
    view->DelayFirstReadUntil(until);
  }
}

} // namespace currantshed::node
