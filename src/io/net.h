/*
 * net - sockets and clocks
 *
 * IPv4 only; addresses are in host byte order. Descriptors are non-blocking
 * and closed on exec unless a note says otherwise.
 */
#ifndef JUJUBE_NET_H
#define JUJUBE_NET_H

#include <netinet/in.h>
#include <sys/socket.h>
#include "jujube/status.h"

/* Monotonic time. */
uint64_t net_now_us(void);
uint64_t net_now_ms(void);
/* Monotonic, and goes on while the host is suspended. */
uint64_t net_boot_ms(void);
/* Wall clock, milliseconds since 1970. */
uint64_t net_wall_ms(void);

struct sockaddr_in net_address(uint32_t ip, uint16_t port);

/* Reads "ip", host byte order; 0 when it is none. */
uint32_t net_parse_ip(const char *text);

/* Text of an address in a static buffer of the thread. */
const char *net_format_address(uint32_t ip, uint16_t port);

enum net_option {
	NET_REUSE_PORT = 1, /* several sockets share the address */
	NET_TIMESTAMPS = 2, /* arrival times, as by SO_TIMESTAMPNS */
};

/* UDP socket bound to ip:port; -1 and err on failure. */
int net_udp(uint32_t ip, uint16_t port, unsigned options, struct jj_error *err);

#define NET_CONTROL_BYTES 64 /* of a msghdr that receives timestamps */

/*
 * Milliseconds that a datagram waited in the buffer of a socket opened with
 * NET_TIMESTAMPS.
 */
uint64_t net_queue_age_ms(struct msghdr *msg, uint64_t wall_ms);

/* TCP socket that listens; blocking, with accept() timing out. */
int net_listen(uint32_t ip, uint16_t port, struct jj_error *err);

/* Connected blocking TCP socket whose calls time out; -1 on failure. */
int net_connect(uint32_t ip, uint16_t port, uint32_t timeout_ms);

/*
 * Begins to connect without blocking; -1 on failure, with errno. The result
 * later: 0 connected, EINPROGRESS not yet, else the error.
 */
int net_connect_begin(uint32_t ip, uint16_t port);
int net_connect_result(int fd);

/* Sets the time after which blocking calls on fd fail. */
void net_set_timeout(int fd, uint32_t timeout_ms);

/*
 * One frame on a TCP connection: length in 4 bytes, most significant first,
 * then the bytes. net_recv_frame() answers a heap buffer or null; the whole
 * frame must come within timeout_ms.
 */
int net_send_frame(int fd, const uint8_t *data, size_t len);
uint8_t *net_recv_frame(int fd, size_t *len, size_t max, uint32_t timeout_ms);

#endif
