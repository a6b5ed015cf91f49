#ifndef CURRANTSHED_STORE_FWD_HPP
#define CURRANTSHED_STORE_FWD_HPP

namespace currantshed::store {

class applier;
class backoff;
class client;
class era_guard;
class key_value;
class lister;
class prefix_view;
class transport;
class watcher;
enum class apply_outcome;
enum class commit_outcome;
enum class errc;
enum class swap_outcome;
struct apply_request;
struct apply_result;
struct backoff_settings;
struct key_change;
struct condition;
struct entry;
struct http_response;
struct http_request;
struct item;
struct listing;
struct lister_settings;
struct transaction;
struct vm;
struct watcher_settings;

} // namespace currantshed::store

#endif
