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
     const lead::watch_update& aNews)
{
  aOut.set_group(aService);
  aOut.set_term(aNews.confirmation.term);
  aOut.set_primary(aNews.confirmation.primary);
  aOut.set_asked_at_us(lead::ToWire(aNews.confirmation.askedAt).count());
  aOut.set_revoked_term(aNews.revokedTerm);
  aOut.set_epoch(aNews.epoch);
  aOut.set_sequence(aNews.sequence);
  if (aNews.sample) {
    aOut.set_sample_term(aNews.sample->term);
    Fill(aOut.mutable_sample(), aNews.sample->position);
    aOut.set_sampled_at_us(lead::ToWire(aNews.sample->askedAt).count());
  }
}

void
Fill(news::Reach& aOut,
     const std::string& aService,
     const lead::reach_update& aNews)
{
  aOut.set_group(aService);
  aOut.set_term(aNews.term);
  aOut.set_primary(aNews.primary);
  aOut.set_heard_at_us(lead::ToWire(aNews.heardAt).count());
  aOut.set_obeyed_term(aNews.acknowledgedTerm);
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
  const bool isPassedOn = !aReach.vm().empty();
  return { aReach.term(),
           aReach.primary(),
           aClock(aReach.heard_at_us()),
           aReach.obeyed_term(),
           aClock(isPassedOn ? aReach.said_at_us() : aSentAt) };
}

std::array<store::revision, 3>
ReadChanges(const news::News& aNews)
{
  return { { { aNews.configuration_era(), aNews.configuration_change() },
             { aNews.servers_era(), aNews.servers_change() },
             { aNews.own_era(), aNews.own_change() } } };
}

} // namespace currantshed::node
