#ifndef CURRANTSHED_NODE_FWD_HPP
#define CURRANTSHED_NODE_FWD_HPP

namespace currantshed::node {

class caller_server;
class control;
class document_codec;
class vm_membership;
class line_codec;
class line_splitter;
class line_stream;
class metrics;
class promoter;
class failover_orders;
class server_connector;
class server_list;
class traffic;
struct node_settings;
struct order_right;
struct server_change;
struct split_line;

} // namespace currantshed::node

#endif
