#include "currantshed/upstream/pq_connection.hpp"

#include <utility>

#include "currantshed/upstream/pq_session.hpp"

namespace currantshed::upstream {

pq_connection::pq_connection(boost::asio::io_context& aContext,
                             endpoint aEndpoint)
  : mSession(std::make_shared<pq_session>(aContext, std::move(aEndpoint)))
{
}

pq_connection::~pq_connection()
{
  try {
    mSession->Abandon();
  } catch (...) {
    // Only cancelling a wait can throw; the session then closes with its last
    // handler.
    mSession.reset();
  }
}

void
pq_connection::Open(std::function<void(bool)> aOpened)
{
  mSession->Open(std::move(aOpened));
}

void
pq_connection::OnLost(std::function<void()> aLost)
{
  mSession->OnLost(std::move(aLost));
}

void
pq_connection::Run(const std::vector<statement>& aStatements,
                   std::size_t aAnswerLimitBytes,
                   std::function<void(reply)> aDone)
{
  mSession->Run(aStatements, aAnswerLimitBytes, std::move(aDone));
}

void
pq_connection::Close()
{
  mSession->Abandon();
}

bool
pq_connection::Idle() const noexcept
{
  return mSession->Idle();
}

std::error_code
pq_connection::LastError() const noexcept
{
  return mSession->LastError();
}

} // namespace currantshed::upstream
