/*
 * relay - throughput of the balancer's packet path against a bare relay
 *
 * Runs two relays one after the other, each with one thread on loopback: a
 * bare one that forwards batches with recvmmsg and sendmmsg, and one that
 * also does the balancer's work for each packet: it enters the flow in the
 * route cache and seals the packet. A sender keeps a window of datagrams in
 * flight for SECONDS. usage: bench_relay [SECONDS [SEED]]
 */
#include <pthread.h>
#include <poll.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "bench.h"
#include "jujube/frame.h"
#include "jujube/route.h"
#include "net.h"

#define BATCH 32
#define PAYLOAD 100
#define FLOWS 20000
#define LOOPBACK_IP 0x7f4d0001u /* 127.77.0.1 */

static _Atomic int stop;
static struct frm_key key = { { 7 } };

struct batch {
	struct mmsghdr msgs[BATCH];
	struct iovec iov[BATCH];
	struct sockaddr_in addr[BATCH];
	uint8_t data[BATCH][FRM_MAX_DATAGRAM];
};

static void init_batch(struct batch *b)
{
	int i;

	memset(b, 0, sizeof(*b));
	for (i = 0; i < BATCH; i++) {
		b->iov[i].iov_base = b->data[i];
		b->iov[i].iov_len = sizeof(b->data[i]);
		b->msgs[i].msg_hdr.msg_iov = &b->iov[i];
		b->msgs[i].msg_hdr.msg_iovlen = 1;
		b->msgs[i].msg_hdr.msg_name = &b->addr[i];
		b->msgs[i].msg_hdr.msg_namelen = sizeof(b->addr[i]);
	}
}

static int receive(int fd, struct batch *b)
{
	struct pollfd pfd = { .fd = fd, .events = POLLIN };
	int i;

	for (i = 0; i < BATCH; i++)
		b->iov[i].iov_len = sizeof(b->data[i]);
	poll(&pfd, 1, 50);
	return recvmmsg(fd, b->msgs, BATCH, MSG_DONTWAIT, NULL);
}

static const JJ_ATOMIC(uint64_t) incarnation = 1;

/*
 * Relays from fd to port "to" on the same address. rt is null for the bare
 * relay; else each packet also gets the balancer's processing.
 */
struct relay {
	int fd;
	uint16_t to;
	struct rt *rt;
	struct frm_sender out;
	uint64_t rng;
};

static size_t process_packet(struct relay *r, struct batch *in, int i,
			     uint8_t *out)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Packet packet = JJ__PACKET__INIT;
	uint64_t flow = bench_random(&r->rng) % FLOWS;

	packet.flow = rnk_hash(&flow, 8);
	rt_learn(r->rt, packet.flow, 1, 1000);
	packet.service = 1;
	packet.caller_ip = LOOPBACK_IP;
	packet.caller_port = 5;
	packet.data.data = in->data[i];
	packet.data.len = in->msgs[i].msg_len;
	env.body_case = JJ__ENVELOPE__BODY_PACKET;
	env.packet = &packet;
	return frm_seal(&r->out, &env, out, FRM_MAX_DATAGRAM);
}

static void *run_relay(void *arg)
{
	struct relay *r = arg;
	struct batch *in = calloc(1, sizeof(*in));
	struct batch *out = calloc(1, sizeof(*out));

	init_batch(in);
	init_batch(out);
	while (!stop) {
		int count = receive(r->fd, in);
		int i;

		for (i = 0; i < count; i++) {
			size_t len = in->msgs[i].msg_len;

			if (r->rt)
				len = process_packet(r, in, i, out->data[i]);
			else
				memcpy(out->data[i], in->data[i], len);
			out->iov[i].iov_len = len;
			out->addr[i] = net_address(LOOPBACK_IP, r->to);
		}
		if (count > 0)
			sendmmsg(r->fd, out->msgs, (unsigned)count, 0);
	}
	free(in);
	free(out);
	return NULL;
}

/* Datagrams per second through the relay, with a full window of 512. */
static double measure(struct relay *r, uint16_t port, double seconds)
{
	struct batch *b = calloc(1, sizeof(*b));
	int to = net_udp(LOOPBACK_IP, 0, 0, NULL);
	int sink = net_udp(LOOPBACK_IP, r->to, 0, NULL);
	uint64_t end_ns = bench_ns() + (uint64_t)(seconds * 1e9);
	uint64_t sent = 0;
	uint64_t received = 0;
	pthread_t thread;
	int i;

	stop = 0;
	r->fd = net_udp(LOOPBACK_IP, port, 0, NULL);
	pthread_create(&thread, NULL, run_relay, r);
	while (bench_ns() < end_ns) {
		int count;

		if (sent - received < 512) {
			init_batch(b);
			for (i = 0; i < BATCH; i++) {
				b->iov[i].iov_len = PAYLOAD;
				b->addr[i] = net_address(LOOPBACK_IP, port);
			}
			sendmmsg(to, b->msgs, BATCH, 0);
			sent += BATCH;
		}
		init_batch(b);
		count = recvmmsg(sink, b->msgs, BATCH, MSG_DONTWAIT, NULL);
		if (count > 0)
			received += (uint64_t)count;
	}
	stop = 1;
	pthread_join(thread, NULL);
	close(to);
	close(sink);
	close(r->fd);
	free(b);
	return (double)received / seconds;
}

int main(int argc, char **argv)
{
	double seconds = argc > 1 ? atof(argv[1]) : 3;
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 20261204;
	struct rt_desc desc = { .max_flows = 100000 };
	struct rt rt;
	struct relay bare = { .to = 7802, .rng = seed };
	struct relay balancer = { .to = 7804,
				  .rt = &rt,
				  .out = { .key = &key,
					   .sender = 1,
					   .incarnation = &incarnation },
				  .rng = seed };
	double bare_rate;
	double balancer_rate;

	if (sodium_init() < 0 || rt_init(&rt, &desc) != JJ_OK)
		return 1;
	bare_rate = measure(&bare, 7801, seconds);
	balancer_rate = measure(&balancer, 7803, seconds);
	printf("bare relay\t%.0f datagrams/s\nbalancer's work\t%.0f "
	       "datagrams/s\nratio\t%.2f\n",
	       bare_rate, balancer_rate, balancer_rate / bare_rate);
	rt_finish(&rt);
	return 0;
}
