#include "currantshed/wire/codec.hpp"

#include <utility>

#include <google/protobuf/stubs/logging.h>

#include "currantshed/wire/convert.hpp"
#include "currantshed/wire/errors.hpp"

namespace currantshed::wire {

namespace {

/// Writes the body that a message holds into an envelope.
class body_writer
{
public:
  body_writer(Envelope& aTo, clock::time_point aNow)
    : mTo(aTo)
    , mNow(aNow)
  {
  }

  void operator()(const group_request& aFrom) const
  {
    internal::Put(aFrom, mNow, *mTo.mutable_request());
  }

  void operator()(const cancel_request& aFrom) const
  {
    mTo.mutable_cancel()->set_id(aFrom.id);
  }

  void operator()(const group_answer& aFrom) const
  {
    internal::Put(aFrom, *mTo.mutable_answer());
  }

  void operator()(const subscribe_request& aFrom) const
  {
    auto* to = mTo.mutable_subscribe();
    to->set_view_version(aFrom.viewVersion);
    to->set_configuration_version(aFrom.configurationVersion);
  }

  void operator()(const view& aFrom) const
  {
    internal::Put(aFrom, *mTo.mutable_view());
  }

  void operator()(const member::heartbeat& aFrom) const
  {
    internal::Put(aFrom, *mTo.mutable_heartbeat());
  }

  void operator()(const configuration_request& aFrom) const
  {
    mTo.mutable_configuration_request()->set_known_version(aFrom.knownVersion);
  }

  void operator()(const configuration& aFrom) const
  {
    internal::Put(aFrom, *mTo.mutable_configuration());
  }

private:
  Envelope& mTo;
  clock::time_point mNow;
};

template<typename Body, typename... From>
decoded
TakeBody(From&&... aFrom)
{
  Body body;
  const std::error_code error =
    internal::Take(std::forward<From>(aFrom)..., body);
  return { error, std::move(body) };
}

decoded
TakeEnvelope(Envelope& aFrom, clock::time_point aNow)
{
  switch (aFrom.body_case()) {
    case Envelope::kRequest:
      return TakeBody<group_request>(*aFrom.mutable_request(), aNow);
    case Envelope::kCancel:
      return { {}, cancel_request{ aFrom.cancel().id() } };
    case Envelope::kAnswer:
      return TakeBody<group_answer>(*aFrom.mutable_answer());
    case Envelope::kSubscribe:
      return { {},
               subscribe_request{ aFrom.subscribe().view_version(),
                                  aFrom.subscribe().configuration_version() } };
    case Envelope::kView:
      return TakeBody<view>(aFrom.view());
    case Envelope::kHeartbeat:
      return TakeBody<member::heartbeat>(aFrom.heartbeat());
    case Envelope::kConfigurationRequest:
      return { {},
               configuration_request{
                 aFrom.configuration_request().known_version() } };
    case Envelope::kConfiguration:
      return TakeBody<configuration>(aFrom.configuration());
    case Envelope::BODY_NOT_SET:
      break;
  }
  return { wire_errc::kMalformed, {} };
}

/// Stops the library from writing to stderr for each malformed message; the
/// caller gets an error code and decides what to log.
void
SilenceLibrary()
{
  [[maybe_unused]] static const auto sPrevious =
    google::protobuf::SetLogHandler(nullptr);
}

} // namespace

std::string
Encode(const message& aMessage, clock::time_point aNow)
{
  Envelope envelope;
  std::visit(body_writer(envelope, aNow), aMessage);
  return envelope.SerializeAsString();
}

std::string
Encode(const group_answer& aAnswer)
{
  Envelope envelope;
  body_writer(envelope, {})(aAnswer);
  return envelope.SerializeAsString();
}

std::string
Encode(const group_request& aRequest, clock::time_point aNow)
{
  Envelope envelope;
  body_writer(envelope, aNow)(aRequest);
  return envelope.SerializeAsString();
}

decoded
Decode(std::string_view aBytes, clock::time_point aNow)
{
  if (aBytes.size() > kLongestMessage) {
    return { wire_errc::kTooLarge, {} };
  }
  SilenceLibrary();
  Envelope envelope;
  const bool isEnvelope =
    envelope.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (!isEnvelope) {
    return { wire_errc::kMalformed, {} };
  }
  return TakeEnvelope(envelope, aNow);
}

} // namespace currantshed::wire
