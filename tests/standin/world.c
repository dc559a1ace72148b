/*
 * Stand-in for the targets and callers of the users' platform: servers that
 * answer flows of packets, and a load of callers whose packets go to a
 * balancer drawn anew each time. One process, one loop.
 * usage: standin-world NET SECONDS PER_SECOND BALANCERS FIRST:COUNT:SERVICE...
 *
 * Server i of the platform lies at 127.NET.2.i (packets 8165, its agent's
 * 8162 and 8166), balancer i at 127.NET.1.i:8172, callers at 127.NET.3.x.
 * The first service gets the routes at port 443, the second those at 444.
 * Every FEED_SHARE-th caller keeps its flow and asks again and again. Servers
 * never end: whatever happens to the fleet, their open flows may go on.
 * SIGUSR1: server 1 says that it is draining. SIGUSR2: zone-1 was taken out by
 * an accepted change, or (the next time) may be taken back. Prints one line at
 * the end; the exit status tells whether a promise was broken.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD 34
#define SERVERS 32
#define CALLERS 4096
#define COPIES_MS 200 /* between the first two copies of an opening */
#define AGAIN_MS 200 /* an unanswered request is sent again */
#define GIVE_UP_MS 2500
#define BEAT_MS 300
#define LEAD_MS 500 /* the fleet hears of the targets before callers come */
#define DRAIN_MS 1000
#define EVACUATED_MS 8000 /* the users' 5 s, and the longest freeze of a test */
#define FEED_SHARE 16 /* every so many-th caller */
#define FEED_MS 300 /* between a feed's requests */
#define FEED_LOST_MS 5000 /* unanswered for so long at the end */
#define RESET_SPAN 76800u
#define REQUEST 20 /* bytes */
#define ANSWER 60 /* bytes */
#define SYN 1
#define RST 2
#define FIN 16
#define BOUNCED 64
#define ACK 128

struct server {
	int fd;
	int number;
	int service;
	long long beat_at;
	long long seq;
	int draining;
	long long drained_at; /* acknowledged */
	int late; /* openings taken DRAIN_MS after it */
	int strays; /* packets of flows that it does not hold */
	int evacuated; /* openings taken EVACUATED_MS after its zone was out */
};

enum state { IDLE, OPENING, ASKING, PAUSING, CLOSING };

struct caller {
	enum state state;
	uint32_t ip;
	uint16_t port;
	int service;
	uint32_t isn; /* its first sequence number */
	uint32_t seq;
	uint32_t ack;
	int feed;
	long long answered_at;
	int copies;
	long long started;
	long long next;
	uint32_t first; /* of the server that opened it */
	int holder; /* server + 1 */
};

static int net;
static struct server servers[SERVERS];
static int server_count;
static struct caller callers[CALLERS];
static int caller_fds[8];
static int balancers;
static int asked;
static int answered;
static int failed;
static int resets;
static int wrong; /* openings at a server of another service */
static int mixed; /* answers to another request than the caller's */
static int broken; /* resets of flows whose server has them open */
static long long out_since; /* zone-1, 0: in */
static volatile sig_atomic_t zone_switched;
static volatile sig_atomic_t drain_first;
static long long born_ms; /* of all servers, since 1970 */

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static uint32_t address(int group, int number)
{
	return 127u << 24 | (uint32_t)net << 16 | (uint32_t)group << 8 |
	       (uint32_t)number;
}

static struct sockaddr_in socket_address(uint32_t ip, int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(ip) };

	return to;
}

static int bound(uint32_t ip, int port)
{
	struct sockaddr_in at = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at))) {
		perror("bind");
		exit(1);
	}
	return fd;
}

static void put32(uint8_t *at, uint32_t v)
{
	v = htonl(v);
	memcpy(at, &v, 4);
}

static uint32_t get32(const uint8_t *at)
{
	uint32_t v;

	memcpy(&v, at, 4);
	return ntohl(v);
}

static void put16(uint8_t *at, int v)
{
	at[0] = (uint8_t)(v >> 8);
	at[1] = (uint8_t)v;
}

static int get16(const uint8_t *at)
{
	return at[0] << 8 | at[1];
}

/* -- servers ------------------------------------------------------------- */

static struct caller *caller_of(const uint8_t *p)
{
	int port = get16(p + 20);
	struct caller *c = &callers[port % CALLERS];

	return c->port == port ? c : NULL;
}

static void server_sends(struct server *s, uint8_t *p, size_t len)
{
	struct sockaddr_in to = socket_address(address(2, s->number), 8162);

	sendto(s->fd, p, len, 0, (struct sockaddr *)&to, sizeof(to));
}

static void answer(struct server *s, const uint8_t *p, int flags, uint32_t seq,
		   uint32_t ack, int len)
{
	uint8_t out[HEAD + 64] = { 0 };

	if (len) { /* names the request that it answers */
		memcpy(out + HEAD, p + 20, 2);
		memcpy(out + HEAD + 2, p, 4);
	}
	put32(out, seq);
	put32(out + 4, ack);
	memcpy(out + 12, p + 16, 4);
	memcpy(out + 16, p + 12, 4);
	memcpy(out + 20, p + 22, 2);
	memcpy(out + 22, p + 20, 2);
	out[28] = (uint8_t)flags;
	put16(out + 32, len);
	server_sends(s, out, HEAD + (size_t)len);
}

static void give_back(struct server *s, uint8_t *p, size_t len)
{
	p[28] |= BOUNCED;
	memset(p + 29, 0, 3);
	server_sends(s, p, len);
}

static uint32_t first_of(const struct server *s, const struct caller *c)
{
	uint64_t mixed = (uint64_t)s->number << 48 ^
			 (uint64_t)c->started << 16 ^ c->port;

	mixed *= 0x9e3779b97f4a7c15ull;
	mixed ^= mixed >> 29;
	return (uint32_t)(mixed * 0xbf58476d1ce4e5b9ull >> 32);
}

static void server_gets(struct server *s, uint8_t *p, size_t len)
{
	struct caller *c = caller_of(p);
	uint32_t served; /* requests of the flow before this one */
	uint32_t first;

	if (!c)
		return;
	first = first_of(s, c);
	if (p[28] & SYN) {
		if (c->service != s->service)
			wrong++;
		if (s->drained_at && now_ms() > s->drained_at + DRAIN_MS)
			s->late++;
		if (out_since && s->number % 2 &&
		    now_ms() > out_since + EVACUATED_MS)
			s->evacuated++;
		answer(s, p, SYN | ACK, first, get32(p) + 1, 0);
		return;
	}
	if (!c->holder && (p[28] & ACK) && get32(p + 4) == first + 1) {
		c->holder = s->number + 1;
		c->first = first;
	}
	if (c->holder != s->number + 1) {
		s->strays++;
		give_back(s, p, len);
		return;
	}
	served = (get32(p) - c->isn - 1) / REQUEST;
	if (get16(p + 32))
		answer(s, p, ACK, first + 1 + served * ANSWER,
		       get32(p) + REQUEST, ANSWER);
	if (p[28] & FIN)
		answer(s, p, FIN | ACK, first + 1 + served * ANSWER,
		       get32(p) + 1, 0);
}

/* One call on a connection of its own; the status code, 0: none. */
static int call(uint32_t ip, const char *text)
{
	struct sockaddr_in to = socket_address(ip, 8166);
	struct timeval tv = { .tv_usec = 200000 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buf[512];
	int code = 0;
	ssize_t len;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0) {
		len = recv(fd, buf, sizeof(buf) - 1, 0);
		if (len > 12)
			code = atoi(buf + 9);
	}
	close(fd);
	return code;
}

static void beat(struct server *s, const char *service)
{
	char body[256];
	char text[512];
	int len =
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"127.%d.2.%d:"
			 "8165\",\"zone\":\"zone-%d\",\"version\":\"v1\","
			 "\"slots\":8,\"state\":\"%s\",\"warmupLeftMs\":0,"
			 "\"seq\":%lld,\"born\":%lld}",
			 service, net, s->number, s->number % 2,
			 s->draining ? "draining" : "ready", ++s->seq, born_ms);

	snprintf(text, sizeof(text),
		 "PUT /instances/i-%d HTTP/1.1\r\nHost: x\r\nContent-Length: "
		 "%d\r\nContent-Type: application/json\r\nConnection: "
		 "close\r\n\r\n%s",
		 s->number, len, body);
	if (call(address(2, s->number), text) == 200 && s->draining &&
	    !s->drained_at)
		s->drained_at = now_ms();
	s->beat_at = now_ms() + BEAT_MS;
}

/* -- callers ------------------------------------------------------------- */

static void caller_sends(struct caller *c, int flags, uint32_t ack, int len)
{
	int via = rand() % balancers + 1;
	struct sockaddr_in to = socket_address(address(1, via), 8172);
	uint8_t p[HEAD + 64] = { 0 };

	put32(p, c->seq);
	put32(p + 4, ack);
	put32(p + 12, 0xc6120001u);
	put32(p + 16, c->ip);
	put16(p + 20, c->port);
	put16(p + 22, c->service ? 444 : 443);
	p[28] = (uint8_t)flags;
	put16(p + 32, len);
	sendto(caller_fds[c->ip & 7], p, HEAD + (size_t)len, 0,
	       (struct sockaddr *)&to, sizeof(to));
}

static void begin(int number, int service)
{
	struct caller *c = &callers[number % CALLERS];

	if (c->state != IDLE)
		return;
	*c = (struct caller){ .state = OPENING,
			      .ip = address(3, number & 7),
			      .port = (uint16_t)(8192 + number % CALLERS),
			      .service = service,
			      .isn = (uint32_t)rand(),
			      .feed = number % FEED_SHARE == FEED_SHARE - 1,
			      .started = now_ms() };
	c->seq = c->isn;
	asked++;
	caller_sends(c, SYN, 0, 0);
	c->next = now_ms() + COPIES_MS;
}

static void end(struct caller *c, int *counter)
{
	++*counter;
	c->state = IDLE;
}

static void ask(struct caller *c)
{
	c->state = ASKING;
	caller_sends(c, ACK, c->ack, REQUEST);
	c->next = now_ms() + AGAIN_MS;
}

static void caller_gets(const uint8_t *p)
{
	struct caller *c = &callers[get16(p + 22) % CALLERS];

	if (c->port != get16(p + 22) || c->state == IDLE)
		return;
	if (p[28] & RST) {
		/* Once it is open, a caller takes what fits its flow only. */
		if (c->state != OPENING &&
		    get32(p) - c->ack + RESET_SPAN > 2 * RESET_SPAN)
			return;
		resets++;
		if (c->holder) {
			broken++;
			fprintf(stderr, "open flow reset: %08x:%u seq=%u\n",
				c->ip, c->port, get32(p));
		}
		end(c, &failed);
		return;
	}
	if (p[28] & SYN) {
		if (c->state != OPENING)
			return;
		c->seq++;
		c->ack = get32(p) + 1;
		c->answered_at = now_ms();
		ask(c);
		return;
	}
	/* A late copy of an earlier answer is no answer to this request. */
	if (!get16(p + 32) || c->state != ASKING || get32(p) != c->ack)
		return;
	mixed += get16(p + HEAD) != c->port || get32(p + HEAD + 2) != c->seq;
	c->seq += REQUEST;
	c->ack += ANSWER;
	c->answered_at = now_ms();
	if (c->feed) {
		c->state = PAUSING;
		c->next = now_ms() + FEED_MS;
		return;
	}
	c->state = CLOSING;
	caller_sends(c, FIN | ACK, c->ack, 0);
	end(c, &answered);
}

static void caller_waits(struct caller *c, long long now)
{
	if (c->state == IDLE || now < c->next)
		return;
	if (now > c->started + GIVE_UP_MS &&
	    (!c->feed || c->state == OPENING)) {
		end(c, &failed);
		return;
	}
	if (c->state != OPENING) {
		ask(c);
		return;
	}
	caller_sends(c, SYN, (uint32_t)++c->copies, 0);
	c->next = now + 2 * COPIES_MS;
}

/* -- loop ---------------------------------------------------------------- */

static void on_signal(int sig)
{
	if (sig == SIGUSR1)
		drain_first = 1;
	else
		zone_switched = 1;
}

static void take_signals(void)
{
	if (drain_first)
		servers[0].draining = 1;
	if (zone_switched) {
		zone_switched = 0;
		out_since = out_since ? 0 : now_ms();
	}
}

/* Feeds that are open, and those of them that are not answered any more. */
static void count_feeds(int *open, int *lost)
{
	int i;

	for (i = 0; i < CALLERS; i++) {
		const struct caller *c = &callers[i];

		if (!c->feed || (c->state != ASKING && c->state != PAUSING))
			continue;
		++*open;
		*lost += now_ms() > c->answered_at + FEED_LOST_MS;
	}
}

static void round_of_packets(struct pollfd *fds, int count)
{
	uint8_t p[2048];
	int i;

	if (poll(fds, (nfds_t)count, 2) <= 0)
		return;
	for (i = 0; i < count; i++) {
		ssize_t len;

		while ((len = recv(fds[i].fd, p, sizeof(p), 0)) >= HEAD) {
			if (i < server_count)
				server_gets(&servers[i], p, (size_t)len);
			else
				caller_gets(p);
		}
	}
}

int main(int argc, char **argv)
{
	struct pollfd fds[SERVERS + 8];
	const char *services[2] = { "", "" };
	long long start = now_ms();
	long long until;
	int per_second;
	int number = 0;
	int strays = 0;
	int late = 0;
	int evacuated = 0;
	int feeds = 0;
	int lost = 0;
	int i;

	if (argc < 6)
		return 2;
	net = atoi(argv[1]);
	until = start + atoll(argv[2]) * 1000;
	per_second = atoi(argv[3]);
	balancers = atoi(argv[4]);
	/* Callers of a later run on the same ports begin other flows. */
	srand((unsigned)getpid());
	born_ms = time(NULL) * 1000LL;
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	for (i = 5; i < argc; i++) {
		int first;
		int count;
		char name[64];

		if (sscanf(argv[i], "%d:%d:%63s", &first, &count, name) != 3)
			return 2;
		services[(i - 5) & 1] =
			argv[i] + strlen(argv[i]) - strlen(name);
		while (count--) {
			struct server *s = &servers[server_count++];

			s->number = first++;
			s->service = i - 5;
			s->fd = bound(address(2, s->number), 8165);
		}
	}
	for (i = 0; i < 8; i++)
		caller_fds[i] = bound(address(3, i), 8172);
	for (i = 0; i < server_count; i++)
		fds[i] = (struct pollfd){ servers[i].fd, POLLIN, 0 };
	for (i = 0; i < 8; i++)
		fds[server_count + i] =
			(struct pollfd){ caller_fds[i], POLLIN, 0 };
	while (now_ms() < until + 3000) {
		long long now = now_ms();

		take_signals();
		for (i = 0; i < server_count; i++)
			if (now >= servers[i].beat_at)
				beat(&servers[i], services[servers[i].service]);
		while (now < until &&
		       number < (now - start - LEAD_MS) * per_second / 1000) {
			begin(number, number % 4 == 3);
			number++;
		}
		round_of_packets(fds, server_count + 8);
		for (i = 0; i < CALLERS; i++)
			caller_waits(&callers[i], now);
	}
	for (i = 0; i < server_count; i++) {
		strays += servers[i].strays;
		late += servers[i].late;
		evacuated += servers[i].evacuated;
	}
	count_feeds(&feeds, &lost);
	printf("asked=%d answered=%d failed=%d resets=%d strays=%d wrong=%d "
	       "late=%d evacuated=%d mixed=%d broken=%d feeds=%d lost=%d\n",
	       asked, answered, failed, resets, strays, wrong, late, evacuated,
	       mixed, broken, feeds, lost);
	return wrong || late || evacuated || mixed || broken || lost;
}
