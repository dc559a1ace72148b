/*
 * spray - stand-in for a network fabric with per-packet load balancing
 *
 * The balancers' sockets on a service address form a SO_REUSEPORT group. This
 * program joins each group briefly and attaches a classic BPF program that
 * selects the socket by a random number modulo COUNT, so that any balancer may
 * get any packet. The BPF program stays attached after the socket is closed.
 *
 * usage: spray COUNT IP:PORT...
 */
#include <arpa/inet.h>
#include <linux/filter.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int attach(unsigned count, const char *address)
{
	struct sock_filter code[] = {
		{ BPF_LD | BPF_W | BPF_ABS, 0, 0,
		  (unsigned)(SKF_AD_OFF + SKF_AD_RANDOM) },
		{ BPF_ALU | BPF_MOD | BPF_K, 0, 0, count },
		{ BPF_RET | BPF_A, 0, 0, 0 },
	};
	struct sock_fprog prog = { 3, code };
	struct sockaddr_in addr = { .sin_family = AF_INET };
	char ip[16] = "";
	int on = 1;
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	unsigned port;

	if (sscanf(address, "%15[0-9.]:%u", ip, &port) != 2)
		return -1;
	inet_pton(AF_INET, ip, &addr.sin_addr);
	addr.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    setsockopt(fd, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &prog,
		       sizeof(prog))) {
		perror(address);
		close(fd);
		return -1;
	}
	close(fd);
	return 0;
}

int main(int argc, char **argv)
{
	int i;

	if (argc < 3 || atoi(argv[1]) < 1) {
		fprintf(stderr, "usage: spray COUNT IP:PORT...\n");
		return 2;
	}
	for (i = 2; i < argc; i++)
		if (attach((unsigned)atoi(argv[1]), argv[i]))
			return 1;
	return 0;
}
