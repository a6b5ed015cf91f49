#ifndef CURRANTSHED_CURRANTSHED_HPP
#define CURRANTSHED_CURRANTSHED_HPP

/// All that a program needs to embed the decisions of currantshed: state
/// machines that take events and the time and hand out actions, with no I/O
/// of their own. The adapters to sockets, the platform and the database stay
/// with the embedding program, or come from the modules net, platform,
/// upstream and http.

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/coordinator.hpp"
#include "currantshed/group/description.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/outcome/verdict.hpp"
#include "currantshed/policy/configuration_record.hpp"
#include "currantshed/policy/declaration.hpp"
#include "currantshed/policy/work_class.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/session/key_ring.hpp"
#include "currantshed/session/position_vector.hpp"
#include "currantshed/session/token.hpp"
#include "currantshed/store/apply.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/upstream/dialect.hpp"
#include "currantshed/upstream/statement.hpp"
#include "currantshed/upstream/status.hpp"

#endif
