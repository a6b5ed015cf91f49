#ifndef CURRANTSHED_POLICY_FWD_HPP
#define CURRANTSHED_POLICY_FWD_HPP

namespace currantshed::policy {

enum class access;
struct declaration;
struct fault;
struct group_settings;
struct parsed_declaration;
struct work_class;

} // namespace currantshed::policy

#endif
