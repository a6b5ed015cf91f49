#include "currantshed/node/message_conversion.hpp"

namespace currantshed::node {

namespace {

news::Position*
Fill(news::Position* aOut, const position::log_position& aPosition)
{
  aOut->set_term(aPosition.term);
  aOut->set_index(aPosition.index);
  return aOut;
}

} // namespace

void
Fill(news::Watch& aOut,
     const std::string& aService,
     const lead::watch_update& aUpdate)
{
  aOut.set_group(aService);
  aOut.set_term(aUpdate.confirmation.term);
  aOut.set_primary(aUpdate.confirmation.primary);
  aOut.set_asked_at_us(lead::ToWire(aUpdate.confirmation.askedAt).count());
  aOut.set_revoked_term(aUpdate.revokedTerm);
  aOut.set_epoch(aUpdate.epoch);
  aOut.set_sequence(aUpdate.sequence);
  if (aUpdate.sample) {
    aOut.set_sample_term(aUpdate.sample->term);
    Fill(aOut.mutable_sample(), aUpdate.sample->position);
    aOut.set_sampled_at_us(lead::ToWire(aUpdate.sample->askedAt).count());
  }
}

void
Fill(news::Reach& aOut,
     const std::string& aService,
     const lead::reach_update& aUpdate)
{
  aOut.set_group(aService);
  aOut.set_term(aUpdate.term);
  aOut.set_primary(aUpdate.primary);
  aOut.set_heard_at_us(lead::ToWire(aUpdate.heardAt).count());
  aOut.set_obeyed_term(aUpdate.acknowledgedTerm);
}

lead::watch_update
ReadWatch(const news::Watch& aWatch,
          const news::exchange::clock_converter& aClock)
{
  lead::watch_update made;
  made.confirmation = { aWatch.term(),
                        aWatch.primary(),
                        aClock(aWatch.asked_at_us()) };
  made.revokedTerm = aWatch.revoked_term();
  made.epoch = aWatch.epoch();
  made.sequence = aWatch.sequence();
  if (aWatch.has_sample()) {
    made.sample = { aWatch.sample_term(),
                    { aWatch.sample().term(), aWatch.sample().index() },
                    aClock(aWatch.sampled_at_us()) };
  }
  return made;
}

lead::reach_update
ReadReach(const news::Reach& aReach,
          std::int64_t aSentAt,
          const news::exchange::clock_converter& aClock)
{
  const bool isForwarded = !aReach.vm().empty();
  return { aReach.term(),
           aReach.primary(),
           aClock(aReach.heard_at_us()),
           aReach.obeyed_term(),
           aClock(isForwarded ? aReach.said_at_us() : aSentAt) };
}

std::array<store::revision, 3>
ReadRevisions(const news::News& aMessage)
{
  return { { { aMessage.configuration_era(), aMessage.configuration_change() },
             { aMessage.servers_era(), aMessage.servers_change() },
             { aMessage.own_era(), aMessage.own_change() } } };
}

} // namespace currantshed::node
