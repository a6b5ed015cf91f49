#ifndef CURRANTSHED_NEWS_FWD_HPP
#define CURRANTSHED_NEWS_FWD_HPP

namespace currantshed::news {

class exchange;
struct peer;

} // namespace currantshed::news

#endif
