#ifndef SAVORYWHEEL_TRANSPORT_FWD_HPP
#define SAVORYWHEEL_TRANSPORT_FWD_HPP

namespace savorywheel {

class asio_datagram_channel;
class asio_peer_network;
class byte_meter;
class datagram_channel;
class frame_handler;
class frame_router;
class frame_sink;
class null_byte_meter;
class peer_connection;
class peer_network;
class request_client;
struct frame_header;

} // namespace savorywheel

#endif
