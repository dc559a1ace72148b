#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define UDP_BUFFER (4 << 20) /* requested receive buffer in bytes */
#define ACCEPT_TIMEOUT_MS 200

/* -- clocks and addresses ------------------------------------------------ */

static uint64_t clock_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t net_now_us(void)
{
	return clock_us(CLOCK_MONOTONIC);
}

uint64_t net_now_ms(void)
{
	return net_now_us() / 1000;
}

uint64_t net_boot_ms(void)
{
	return clock_us(CLOCK_BOOTTIME) / 1000;
}

uint64_t net_wall_ms(void)
{
	return clock_us(CLOCK_REALTIME) / 1000;
}

struct sockaddr_in net_address(uint32_t ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port),
				    .sin_addr.s_addr = htonl(ip) };

	return addr;
}

uint32_t net_parse_ip(const char *text)
{
	struct in_addr addr;

	return inet_pton(AF_INET, text, &addr) == 1 ? ntohl(addr.s_addr) : 0;
}

const char *net_format_address(uint32_t ip, uint16_t port)
{
	static __thread char text[32];

	snprintf(text, sizeof(text), "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255,
		 ip >> 8 & 255, ip & 255, port);
	return text;
}

/* -- sockets ------------------------------------------------------------- */

static int fail(int fd, struct jj_error *err, const char *what, uint32_t ip,
		uint16_t port)
{
	st_fail(err, JJ_SYSTEM, "%s %s: %s", what, net_format_address(ip, port),
		strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int net_udp(uint32_t ip, uint16_t port, unsigned options, struct jj_error *err)
{
	struct sockaddr_in addr = net_address(ip, port);
	int size = UDP_BUFFER;
	int on = 1;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return fail(fd, err, "socket", ip, port);
	if (options & NET_REUSE_PORT &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)))
		return fail(fd, err, "SO_REUSEPORT", ip, port);
	if (options & NET_TIMESTAMPS &&
	    setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on)))
		return fail(fd, err, "SO_TIMESTAMPNS", ip, port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)))
		return fail(fd, err, "bind", ip, port);
	return fd;
}

uint64_t net_queue_age_ms(struct msghdr *msg, uint64_t wall_ms)
{
	struct cmsghdr *c;

	for (c = CMSG_FIRSTHDR(msg); c; c = CMSG_NXTHDR(msg, c)) {
		if (c->cmsg_level == SOL_SOCKET &&
		    c->cmsg_type == SCM_TIMESTAMPNS) {
			struct timespec ts;
			uint64_t at;

			memcpy(&ts, CMSG_DATA(c), sizeof(ts));
			at = (uint64_t)ts.tv_sec * 1000 +
			     (uint64_t)ts.tv_nsec / 1000000;
			return wall_ms > at ? wall_ms - at : 0;
		}
	}
	return 0;
}

int net_connect_begin(uint32_t ip, uint16_t port)
{
	struct sockaddr_in to = net_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int saved;

	if (fd < 0)
		return -1;
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)) ||
	    errno == EINPROGRESS)
		return fd;
	saved = errno;
	close(fd);
	errno = saved;
	return -1;
}

int net_connect_result(int fd)
{
	struct pollfd pfd = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);

	if (poll(&pfd, 1, 0) <= 0)
		return EINPROGRESS;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		return errno;
	return error;
}

void net_set_timeout(int fd, uint32_t timeout_ms)
{
	struct timeval tv = { .tv_sec = timeout_ms / 1000,
			      .tv_usec = (timeout_ms % 1000) * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

int net_listen(uint32_t ip, uint16_t port, struct jj_error *err)
{
	struct sockaddr_in addr = net_address(ip, port);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return fail(fd, err, "socket", ip, port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) || listen(fd, 128))
		return fail(fd, err, "listen", ip, port);
	net_set_timeout(fd, ACCEPT_TIMEOUT_MS);
	return fd;
}

int net_connect(uint32_t ip, uint16_t port, uint32_t timeout_ms)
{
	struct sockaddr_in addr = net_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	net_set_timeout(fd, timeout_ms);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* -- frames on TCP ------------------------------------------------------- */

static int send_all(int fd, const uint8_t *data, size_t len)
{
	while (len) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return -1;
		data += sent;
		len -= (size_t)sent;
	}
	return 0;
}

static int recv_all(int fd, uint8_t *data, size_t len, uint64_t until_ms)
{
	while (len) {
		uint64_t now = net_now_ms();
		struct pollfd pfd = { .fd = fd, .events = POLLIN };
		ssize_t got;

		if (now >= until_ms ||
		    poll(&pfd, 1, (int)(until_ms - now)) <= 0)
			return -1;
		got = recv(fd, data, len, MSG_DONTWAIT);
		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (got <= 0)
			return -1;
		data += got;
		len -= (size_t)got;
	}
	return 0;
}

int net_send_frame(int fd, const uint8_t *data, size_t len)
{
	uint8_t head[4] = { (uint8_t)(len >> 24), (uint8_t)(len >> 16),
			    (uint8_t)(len >> 8), (uint8_t)len };

	if (send_all(fd, head, sizeof(head)))
		return -1;
	return send_all(fd, data, len);
}

uint8_t *net_recv_frame(int fd, size_t *len, size_t max, uint32_t timeout_ms)
{
	uint64_t until = net_now_ms() + timeout_ms;
	uint8_t head[4];
	uint8_t *data;

	if (recv_all(fd, head, sizeof(head), until))
		return NULL;
	*len = (size_t)head[0] << 24 | (size_t)head[1] << 16 |
	       (size_t)head[2] << 8 | head[3];
	if (*len > max)
		return NULL;
	data = malloc(*len + 1);
	if (data && recv_all(fd, data, *len, until)) {
		free(data);
		return NULL;
	}
	return data;
}
