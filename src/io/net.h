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
/* Monotonic time that includes suspension of the host. */
uint64_t net_boot_ms(void);
/* Wall clock, milliseconds since 1970. */
uint64_t net_wall_ms(void);

struct sockaddr_in net_address(uint32_t ip, uint16_t port);

/* Parses dotted-decimal "ip" to host byte order; 0: invalid. */
uint32_t net_parse_ip(const char *text);

/* Formats "ip:port" in a thread-local buffer that the next call overwrites. */
const char *net_format_address(uint32_t ip, uint16_t port);

enum net_option {
	NET_REUSE_PORT = 1, /* several sockets can share the address */
	NET_TIMESTAMPS = 2, /* arrival times by SO_TIMESTAMPNS */
};

/* UDP socket bound to ip:port; -1 and err on failure. */
int net_udp(uint32_t ip, uint16_t port, unsigned options, struct jj_error *err);

#define NET_CONTROL_BYTES 64 /* msg_control space that a timestamp needs */

/*
 * Milliseconds that a datagram was queued in a socket opened with
 * NET_TIMESTAMPS; 0 without a timestamp.
 */
uint64_t net_queue_age_ms(struct msghdr *msg, uint64_t wall_ms);

/* Listening TCP socket; blocking, but accept() times out. */
int net_listen(uint32_t ip, uint16_t port, struct jj_error *err);

/* Connects a blocking TCP socket with timeouts; -1 on failure. */
int net_connect(uint32_t ip, uint16_t port, uint32_t timeout_ms);

/*
 * Starts to connect without blocking; -1 and errno on failure. The result is
 * polled: 0 connected, EINPROGRESS not yet, else the errno value.
 */
int net_connect_begin(uint32_t ip, uint16_t port);
int net_connect_result(int fd);

/* Sets the timeout of blocking calls on fd. */
void net_set_timeout(int fd, uint32_t timeout_ms);

/*
 * One frame on a TCP connection: length in 4 bytes, most significant first,
 * then the bytes. net_recv_frame() returns a heap buffer, or null on failure;
 * the whole frame must arrive within timeout_ms.
 */
int net_send_frame(int fd, const uint8_t *data, size_t len);
uint8_t *net_recv_frame(int fd, size_t *len, size_t max, uint32_t timeout_ms);

#endif
