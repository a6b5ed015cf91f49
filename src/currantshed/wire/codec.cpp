#include "currantshed/wire/codec.hpp"

#include <utility>

#include <google/protobuf/stubs/logging.h>

#include "currantshed/wire/convert.hpp"
#include "currantshed/wire/errors.hpp"

namespace currantshed::wire {

namespace {

/// Writes the body of a message into an envelope.
class envelope_writer
{
public:
  envelope_writer(Envelope& aTo, clock::time_point aNow)
    : mTo(aTo)
    , mNow(aNow)
  {
  }

  void operator()(const group_request& aFrom) const
  {
    internal::ToProto(aFrom, mNow, *mTo.mutable_request());
  }

  void operator()(const cancel_request& aFrom) const
  {
    mTo.mutable_cancel()->set_id(aFrom.id);
  }

  void operator()(const group_answer& aFrom) const
  {
    internal::ToProto(aFrom, *mTo.mutable_answer());
  }

  void operator()(const subscribe_request& aFrom) const
  {
    auto* to = mTo.mutable_subscribe();
    to->set_view_version(aFrom.viewVersion);
    to->set_configuration_version(aFrom.configurationVersion);
  }

  void operator()(const view& aFrom) const
  {
    internal::ToProto(aFrom, *mTo.mutable_view());
  }

  void operator()(const member::heartbeat& aFrom) const
  {
    internal::ToProto(aFrom, *mTo.mutable_heartbeat());
  }

  void operator()(const configuration_request& aFrom) const
  {
    mTo.mutable_configuration_request()->set_known_version(aFrom.knownVersion);
  }

  void operator()(const configuration& aFrom) const
  {
    internal::ToProto(aFrom, *mTo.mutable_configuration());
  }

private:
  Envelope& mTo;
  clock::time_point mNow;
};

template<typename Body, typename... From>
decoded
DecodeBody(From&&... aFrom)
{
  Body body;
  const std::error_code error =
    internal::FromProto(std::forward<From>(aFrom)..., body);
  return { error, std::move(body) };
}

decoded
DecodeEnvelope(Envelope& aFrom, clock::time_point aNow)
{
  switch (aFrom.body_case()) {
    case Envelope::kRequest:
      return DecodeBody<group_request>(*aFrom.mutable_request(), aNow);
    case Envelope::kCancel:
      return { {}, cancel_request{ aFrom.cancel().id() } };
    case Envelope::kAnswer:
      return DecodeBody<group_answer>(*aFrom.mutable_answer());
    case Envelope::kSubscribe:
      return { {},
               subscribe_request{ aFrom.subscribe().view_version(),
                                  aFrom.subscribe().configuration_version() } };
    case Envelope::kView:
      return DecodeBody<view>(aFrom.view());
    case Envelope::kHeartbeat:
      return DecodeBody<member::heartbeat>(aFrom.heartbeat());
    case Envelope::kConfigurationRequest:
      return { {},
               configuration_request{
                 aFrom.configuration_request().known_version() } };
    case Envelope::kConfiguration:
      return DecodeBody<configuration>(aFrom.configuration());
    case Envelope::BODY_NOT_SET:
      break;
  }
  return { wire_errc::kMalformed, {} };
}

/// Disables protobuf's log of malformed messages on standard error; the caller
/// receives an error code and decides what to log.
void
SilenceProtobufLog()
{
  [[maybe_unused]] static const auto sPrevious =
    google::protobuf::SetLogHandler(nullptr);
}

} // namespace

std::string
Encode(const message& aMessage, clock::time_point aNow)
{
  Envelope envelope;
  std::visit(envelope_writer(envelope, aNow), aMessage);
  return envelope.SerializeAsString();
}

std::string
Encode(const group_answer& aAnswer)
{
  Envelope envelope;
  envelope_writer(envelope, {})(aAnswer);
  return envelope.SerializeAsString();
}

std::string
Encode(const group_request& aRequest, clock::time_point aNow)
{
  Envelope envelope;
  envelope_writer(envelope, aNow)(aRequest);
  return envelope.SerializeAsString();
}

decoded
Decode(std::string_view aBytes, clock::time_point aNow)
{
  if (aBytes.size() > kMaxMessageBytes) {
    return { wire_errc::kTooLarge, {} };
  }
  SilenceProtobufLog();
  Envelope envelope;
  const bool isEnvelope =
    envelope.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (!isEnvelope) {
    return { wire_errc::kMalformed, {} };
  }
  return DecodeEnvelope(envelope, aNow);
}

} // namespace currantshed::wire
