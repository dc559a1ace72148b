/*
 * relay - a proxy between one machine and the platform's store
 *
 * Passes on TCP connections. It logs "watch" whenever a request for a watch goes
 * through, and "read" for a list of the operator's items that may be stale. On
 * SIGUSR1 it resets all connections, and every new one, until SIGUSR2.
 * usage: standin-relay IP PORT TO_IP TO_PORT LOG
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS 64

static int pairs[PAIRS][2];
static int pair_count;
static volatile sig_atomic_t refusing;

static void on_signal(int sig)
{
	refusing = sig == SIGUSR1;
}

/* Closes with a reset. */
static void cut(int fd)
{
	struct linger linger = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void drop_pair(int i)
{
	cut(pairs[i][0]);
	close(pairs[i][1]);
	pair_count--;
	memcpy(pairs[i], pairs[pair_count], sizeof(pairs[i]));
}

static void note(FILE *log, const char *what)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	fprintf(log, "%lld %s\n", ts.tv_sec * 1000LL + ts.tv_nsec / 1000000,
		what);
	fflush(log);
}

int main(int argc, char **argv)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	struct sockaddr_in to = { .sin_family = AF_INET };
	static char buf[65536];
	int on = 1;
	FILE *log;
	int fd;

	if (argc != 6 || inet_pton(AF_INET, argv[1], &at.sin_addr) != 1 ||
	    inet_pton(AF_INET, argv[3], &to.sin_addr) != 1)
		return 2;
	at.sin_port = htons((uint16_t)atoi(argv[2]));
	to.sin_port = htons((uint16_t)atoi(argv[4]));
	log = fopen(argv[5], "a");
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!log || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, 64))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	for (;;) {
		struct pollfd fds[1 + 2 * PAIRS];
		int count = pair_count;
		int i;

		fds[0] = (struct pollfd){ fd, POLLIN, 0 };
		for (i = 0; i < count; i++) {
			fds[1 + 2 * i] =
				(struct pollfd){ pairs[i][0], POLLIN, 0 };
			fds[2 + 2 * i] =
				(struct pollfd){ pairs[i][1], POLLIN, 0 };
		}
		if (poll(fds, (nfds_t)(1 + 2 * count), 50) < 0 && errno != EINTR)
			return 1;
		if (refusing) {
			while (pair_count)
				drop_pair(0);
			if (fds[0].revents & POLLIN)
				cut(accept(fd, NULL, NULL));
			continue;
		}
		for (i = count - 1; i >= 0; i--) {
			int side;

			for (side = 0; side < 2; side++) {
				ssize_t len;

				if (!fds[1 + 2 * i + side].revents)
					continue;
				len = recv(pairs[i][side], buf, sizeof(buf) - 1,
					   0);
				if (len <= 0) {
					drop_pair(i);
					break;
				}
				buf[len] = '\0';
				if (!side && strstr(buf, "/kv-watch"))
					note(log, "watch");
				if (!side && strstr(buf, "/kv-range") &&
				    strstr(buf, "staleOk") &&
				    strstr(buf, "prefix=op"))
					note(log, "read");
				send(pairs[i][!side], buf, (size_t)len,
				     MSG_NOSIGNAL);
			}
		}
		if ((fds[0].revents & POLLIN) && pair_count < PAIRS) {
			int *pair = pairs[pair_count];

			pair[0] = accept(fd, NULL, NULL);
			pair[1] = socket(AF_INET, SOCK_STREAM, 0);
			if (pair[0] < 0)
				continue;
			pair_count++;
			if (connect(pair[1], (struct sockaddr *)&to,
				    sizeof(to)))
				drop_pair(pair_count - 1);
		}
	}
}
