// Keys that are too large for one message: VMs that lack them get a snapshot in
// chunks from a VM that follows the store, so that the store's outgoing traffic
// grows with the number of failure domains, not with the number of VMs.
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
ToWire(std::size_t aPrefix, const snapshot_chunk& aChunk)
{
  news::KeysPart made;
  made.set_prefix(static_cast<std::uint32_t>(aPrefix));
  made.set_of(aChunk.revision.number);
  made.set_of_era(aChunk.revision.era);
  made.set_from(aChunk.offset);
  made.set_length(aChunk.totalBytes);
  made.set_content(aChunk.data);
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

// The update is too large for one message. If the snapshot does not arrive in
// time, this VM reads the store.
void
control::BeginSnapshotTransfer(const std::string& aVm,
                               std::size_t aPrefix,
                               clock::time_point aNow)
{
  auto& assembler = mAssemblers.at(aPrefix);
  auto& view = *Views().at(aPrefix);
  view.ForwardedUntil(
    std::max(view.ForwardedUntil(), mForwardingTimeouts.AnnouncedUntil(aNow)));
  const auto lost = assembler.PartialBytes();
  const auto pause =
    std::min(view.TransferPause(), mForwardingTimeouts.MaxTransferPause());
  if (assembler.Begin(aVm, aNow, pause)) {
    if (lost > 0) {
      log::Write(log::level::kInfo,
                 "copy_abandoned",
                 { { "prefix", static_cast<std::int64_t>(aPrefix) },
                   { "bytes", static_cast<std::int64_t>(lost) } });
    }
    RequestNextChunk(aPrefix, aVm, aNow);
  }
}

void
control::RequestNextChunk(std::size_t aPrefix,
                          const std::string& aVm,
                          clock::time_point aNow)
{
  const auto& assembler = mAssemblers.at(aPrefix);
  auto& view = *Views().at(aPrefix);
  view.ForwardedUntil(std::max(view.ForwardedUntil(), assembler.Deadline()));
  view.DelayFirstReadUntil(assembler.Deadline());
  news::News message;
  FillRevisions(message);
  *message.add_parts_wanted() = ToWire(aPrefix, assembler.NextRequest());
  mExchange.Send(aVm, std::move(message), aNow);
}

void
control::AnswerChunkRequests(const news::News& aMessage, clock::time_point aNow)
{
  for (const auto& wanted : aMessage.parts_wanted()) {
    const std::size_t prefix = wanted.prefix();
    if (prefix >= mSplitters.size() || !Views().at(prefix)->IsKnown()) {
      continue;
    }
    const auto& view = *Views().at(prefix);
    const auto part = mSplitters.at(prefix).GetChunk(
      FromWire(wanted),
      MaxUpdateBytes(mSettings.linkMegabits),
      view.Seen(),
      aNow,
      [this, prefix, &view] {
        news::KeysUpdate whole;
        FillUpdate(whole, prefix, view.UpdateSince({}));
        auto bytes = whole.SerializeAsString();
        log::Write(
          log::level::kInfo,
          "copy_made",
          { { "prefix", static_cast<std::int64_t>(prefix) },
            { "bytes", static_cast<std::int64_t>(bytes.size()) },
            { "subscribers",
              static_cast<std::int64_t>(mSubscribers.All().size()) } });
        return bytes;
      });
    news::News message;
    FillRevisions(message);
    *message.add_parts() = ToWire(prefix, part);
    mExchange.Send(aMessage.vm(), std::move(message), aNow);
  }
}

void
control::ApplyChunks(const news::News& aMessage, clock::time_point aNow)
{
  for (const auto& part : aMessage.parts()) {
    const std::size_t prefix = part.prefix();
    if (prefix >= mAssemblers.size()) {
      continue;
    }
    auto& assembler = mAssemblers.at(prefix);
    const auto copy = assembler.AddChunk(aMessage.vm(), FromWire(part), aNow);
    if (!copy) {
      if (assembler.IsInProgress(aNow) && assembler.IsFrom(aMessage.vm())) {
        RequestNextChunk(prefix, aMessage.vm(), aNow);
      }
      continue;
    }
    news::KeysUpdate update;
    const bool isReadable =
      update.ParseFromString(*copy) && update.prefix() == prefix;
    log::Write(isReadable ? log::level::kInfo : log::level::kWarning,
               "copy_taken",
               { { "prefix", static_cast<std::int64_t>(prefix) },
                 { "from", aMessage.vm() },
                 { "bytes", static_cast<std::int64_t>(copy->size()) },
                 { "revision", static_cast<std::int64_t>(update.up_to()) },
                 { "readable", isReadable } });
    if (isReadable) {
      // The answer to this request tells how old the snapshot is and what has
      // changed since.
      ApplyKeysUpdate(aMessage.vm(), update, {}, aNow);
      SendPoll(aMessage.vm(), aNow);
    }
  }
}

// A VM that starts learns from the cluster state which VMs exist, and gets the
// other keys from the forwarders, if there are any.
void
control::DelayFirstReads(bool aHasForwarders, clock::time_point aNow)
{
  const auto until =
    aHasForwarders ? mStartedAt + mForwardingTimeouts.DiscoveryTimeout() : aNow;
  for (auto* view : { &mConfigurationView, &mServersView }) {
    view->DelayFirstReadUntil(until);
  }
}

} // namespace currantshed::node
