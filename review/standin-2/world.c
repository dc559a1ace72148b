/*
 * world - servers, clients and routers of the users' platform for the cases 6
 * to 10, as PROTOCOL.md describes them. One process, one event loop.
 *
 * usage: world NET RECORD HEARTBEAT_MS BALANCERS SERVER...
 *   SERVER: number:service:zone:slots
 *
 * Server i has the address 127.NET.2.i: packets and TCP at port 8165; it sends
 * to port 8162 and its heartbeats to port 8166. Balancer i has 127.NET.1.i:
 * packets at 8172, /ready at 8167. Clients have 127.NET.3.x:8172. The routers
 * check /ready twice a second, take a balancer out after two misses and choose
 * one by the hash of the four addresses and ports, modulo the number of
 * balancers in rotation.
 *
 * Commands on standard input, one a line:
 *   open COUNT PORT PAUSE_MS   clients open flows and keep them; PAUSE_MS passes
 *                              from an answer to the next request
 *   once COUNT PORT PER_S      clients with one request a flow, PER_S a second
 *   start N | crash N | drain N  server N starts, crashes, or says it leaves
 *   cold N WARMUP_MS           server N says that it is cold for so long
 *   deaf N                     server N no longer listens for TCP connections
 *   quiet                      clients send no further requests
 *   mark TEXT                  a line for the record
 *   end                        writes the totals and ends
 *
 * The record has a line for each opening, request, run, answer and reset.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEADER 34
#define SYN 1
#define RST 2
#define FIN 16
#define BOUNCED 64
#define ACK 128
#define SERVERS 250
#define BALANCERS 16
#define CLIENT_IPS 8
#define FLOWS 16384
#define REQUEST_BYTES 40
#define RESPONSE_BYTES 80
#define RESET_SPAN 76800u
#define ROUTE_IP (127u << 24 | 2u << 16 | 1u) /* 127.2.0.1 */

enum held { NOT_HELD, HALF_OPEN, HELD };

struct server {
	int number;
	char service[64];
	char zone[32];
	int slots;
	int fd; /* -1: down */
	int listener;
	int starts;
	long long born;
	long long seq;
	long long beat_at;
	int draining;
	long long drain_acked;
	long long cold_until;
	int runs;
};

enum state { UNUSED, OPENING, WAITING, PAUSING, ENDED };

struct flow {
	enum state state;
	uint32_t ip;
	uint16_t port;
	uint16_t dport;
	uint32_t isn;
	uint32_t seq; /* of the next request */
	uint32_t ack; /* last acknowledgement */
	uint32_t server_isn[SERVERS]; /* of each server that answered, 0: none */
	uint8_t held[SERVERS]; /* enum held */
	int holder; /* index of the server where the flow is open, -1 */
	int pause_ms; /* 0: one request only */
	int copies;
	int tries;
	long long started;
	long long next;
	long long last_answer;
	int answers;
	int runs_of_request; /* of the present one */
	int ever_open;
};

static int net;
static int heartbeat_ms;
static FILE *record;
static struct server servers[SERVERS];
static int server_count;
static struct flow flows[FLOWS];
static int flow_count;
static int balancer_count;
static int ready[BALANCERS + 1];
static int misses[BALANCERS + 1];
static long long ready_at;
static int client_fds[CLIENT_IPS];
static int quiet;
static int once_left, once_port;
static double once_per_s, once_due;
static long long once_from;
static long long began;

static int opened, answered, given_up, refused, runs, twice, broken, strays;

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static long long wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static void note(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", (double)(now_ms() - began) / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
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

static int bound_socket(int type, uint32_t ip, int port)
{
	struct sockaddr_in at = socket_address(ip, port);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int size = 4 << 20;
	int on = 1;

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	else
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    (type == SOCK_STREAM && listen(fd, 64))) {
		perror("world: bind");
		exit(2);
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

/* -- one HTTP call over a new connection --------------------------------- */

/* Returns the status, 0: no response within timeout_ms. */
static int call_http(uint32_t ip, int port, const char *text, int timeout_ms)
{
	struct sockaddr_in to = socket_address(ip, port);
	struct timeval tv = { .tv_sec = timeout_ms / 1000,
			      .tv_usec = timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char buf[1024];
	int code = 0;
	ssize_t len;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0) {
		len = recv(fd, buf, sizeof(buf) - 1, 0);
		if (len > 12)
			code = atoi(buf + 9);
	}
	close(fd);
	return code;
}

/* -- routers ------------------------------------------------------------- */

static void check_ready(long long now)
{
	int i;

	if (now < ready_at)
		return;
	ready_at = now + 500;
	for (i = 1; i <= balancer_count; i++) {
		int code = call_http(address(1, i), 8167,
				     "GET /ready HTTP/1.1\r\nHost: x\r\n"
				     "Connection: close\r\n\r\n",
				     100);
		int was = ready[i];

		misses[i] = code == 200 ? 0 : misses[i] + 1;
		if (code == 200)
			ready[i] = 1;
		else if (misses[i] >= 2)
			ready[i] = 0;
		if (ready[i] != was)
			note("router: balancer %d %s rotation", i,
			     ready[i] ? "in" : "out of");
	}
}

static int choose_balancer(const struct flow *f)
{
	uint64_t hash = ((uint64_t)f->ip << 32 | (uint64_t)f->port << 16 |
			 f->dport) *
			0x9e3779b97f4a7c15ull;
	int list[BALANCERS];
	int count = 0;
	int i;

	for (i = 1; i <= balancer_count; i++)
		if (ready[i])
			list[count++] = i;
	if (!count)
		for (i = 1; i <= balancer_count; i++)
			list[count++] = i;
	return list[(hash >> 33) % (uint64_t)count];
}

/* -- clients ------------------------------------------------------------- */

static void send_from_client(struct flow *f, int flags, uint32_t seq,
			     uint32_t ack, int len)
{
	struct sockaddr_in to =
		socket_address(address(1, choose_balancer(f)), 8172);
	uint8_t p[HEADER + REQUEST_BYTES] = { 0 };

	put32(p, seq);
	put32(p + 4, ack);
	put32(p + 12, ROUTE_IP);
	put32(p + 16, f->ip);
	put16(p + 20, f->port);
	put16(p + 22, f->dport);
	p[28] = (uint8_t)flags;
	put16(p + 32, len);
	sendto(client_fds[f->ip & (CLIENT_IPS - 1)], p, HEADER + (size_t)len, 0,
	       (struct sockaddr *)&to, sizeof(to));
}

static void open_flow(int dport, int pause_ms)
{
	struct flow *f;

	if (flow_count == FLOWS)
		return;
	f = &flows[flow_count];
	f->state = OPENING;
	f->ip = address(3, flow_count & (CLIENT_IPS - 1));
	f->port = (uint16_t)(10000 + flow_count);
	f->dport = (uint16_t)dport;
	f->isn = (uint32_t)random() << 1;
	f->seq = f->isn + 1;
	f->holder = -1;
	f->pause_ms = pause_ms;
	f->started = now_ms();
	f->next = f->started + 200;
	flow_count++;
	note("open flow=%u to=%d", f->port, dport);
	send_from_client(f, SYN, f->isn, 0, 0);
}

static void send_request(struct flow *f, long long now)
{
	if (f->state != WAITING) {
		f->tries = 0;
		f->runs_of_request = 0;
		note("request flow=%u seq=%u", f->port, f->seq);
	}
	f->state = WAITING;
	send_from_client(f, ACK, f->seq, f->ack, REQUEST_BYTES);
	f->next = now + (200 << (f->tries < 3 ? f->tries : 3));
	f->tries++;
}

static void on_client_packet(const uint8_t *p, size_t size)
{
	int number = get16(p + 22) - 10000;
	struct flow *f;
	long long now = now_ms();

	if (size < HEADER || number < 0 || number >= flow_count)
		return;
	f = &flows[number];
	if (f->state == ENDED || f->state == UNUSED)
		return;
	if (p[28] & RST) {
		if (f->state != OPENING &&
		    get32(p) - f->ack + RESET_SPAN > 2 * RESET_SPAN)
			return;
		if (f->holder >= 0 && servers[f->holder].fd >= 0) {
			broken++;
			note("RESET of an open flow: flow=%u server=%d age_ms=%lld "
			     "idle_ms=%lld awaiting_answer=%d",
			     f->port, servers[f->holder].number,
			     now - f->started, now - f->last_answer,
			     f->state == WAITING);
		} else {
			refused++;
			note("reset flow=%u not open at a live server", f->port);
		}
		f->state = ENDED;
		return;
	}
	if (p[28] & SYN) {
		if (f->state != OPENING)
			return;
		f->ack = get32(p) + 1;
		f->last_answer = now;
		f->ever_open = 1;
		opened++;
		send_request(f, now);
		return;
	}
	if (get16(p + 32) != RESPONSE_BYTES || f->state != WAITING ||
	    get32(p) != f->ack)
		return;
	answered++;
	f->answers++;
	f->seq += REQUEST_BYTES;
	f->ack += RESPONSE_BYTES;
	f->last_answer = now;
	note("answer flow=%u", f->port);
	if (!f->pause_ms || p[28] & FIN) {
		send_from_client(f, FIN | ACK, f->seq, f->ack, 0);
		f->state = ENDED;
		return;
	}
	send_from_client(f, ACK, f->seq, f->ack, 0);
	f->state = PAUSING;
	f->next = now + f->pause_ms * 3 / 4 + random() % (f->pause_ms / 2 + 1);
}

static void run_client(struct flow *f, long long now)
{
	if (f->state == UNUSED || f->state == ENDED || now < f->next)
		return;
	if (f->state == OPENING) {
		if (f->copies == 2) {
			given_up++;
			note("given up flow=%u: no answer to its opening",
			     f->port);
			f->state = ENDED;
			return;
		}
		send_from_client(f, SYN, f->isn, (uint32_t)++f->copies, 0);
		f->next = f->started + (f->copies == 1 ? 600 : 1400);
		return;
	}
	if (f->state == PAUSING && quiet)
		return;
	send_request(f, now);
}

/* -- servers ------------------------------------------------------------- */

static struct flow *flow_of(const uint8_t *p)
{
	int number = get16(p + 20) - 10000;

	return number >= 0 && number < flow_count ? &flows[number] : NULL;
}

static void send_from_server(struct server *s, const uint8_t *p, size_t len)
{
	struct sockaddr_in to = socket_address(address(2, s->number), 8162);

	sendto(s->fd, p, len, 0, (struct sockaddr *)&to, sizeof(to));
}

static void respond(struct server *s, const uint8_t *p, int flags, uint32_t seq,
		    uint32_t ack, int len)
{
	uint8_t out[HEADER + RESPONSE_BYTES] = { 0 };

	put32(out, seq);
	put32(out + 4, ack);
	memcpy(out + 12, p + 16, 4);
	memcpy(out + 16, p + 12, 4);
	memcpy(out + 20, p + 22, 2);
	memcpy(out + 22, p + 20, 2);
	out[28] = (uint8_t)flags;
	put16(out + 32, len);
	send_from_server(s, out, HEADER + (size_t)len);
}

static void run_request(struct server *s, struct flow *f, const uint8_t *p)
{
	uint32_t at = get32(p);
	uint32_t before = at - f->isn - 1;
	uint32_t seq = f->server_isn[s - servers] + 1 +
		       before / REQUEST_BYTES * RESPONSE_BYTES;

	/* A copy of a request that has run is answered again, not run. */
	if (at == f->seq && !f->runs_of_request) {
		f->runs_of_request = 1;
		s->runs++;
		runs++;
		note("run flow=%u seq=%u server=%d", f->port, at, s->number);
	}
	/* A server that leaves closes each flow after its next response. */
	respond(s, p, s->draining ? ACK | FIN : ACK, seq, at + REQUEST_BYTES,
		RESPONSE_BYTES);
}

static void on_server_packet(struct server *s, uint8_t *p, size_t size)
{
	struct flow *f = size >= HEADER ? flow_of(p) : NULL;
	int i = (int)(s - servers);

	if (!f)
		return;
	if (p[28] & SYN) {
		if (!f->held[i]) {
			f->held[i] = HALF_OPEN;
			f->server_isn[i] = (uint32_t)random() << 1 | 1;
			note("opening flow=%u server=%d cold=%d", f->port,
			     s->number, now_ms() < s->cold_until);
			if (s->drain_acked)
				note("opening after the drain: flow=%u server=%d "
				     "after_ms=%lld",
				     f->port, s->number,
				     now_ms() - s->drain_acked);
		}
		respond(s, p, SYN | ACK, f->server_isn[i], get32(p) + 1, 0);
		return;
	}
	if (f->held[i] == HALF_OPEN && p[28] & ACK &&
	    get32(p + 4) == f->server_isn[i] + 1) {
		f->held[i] = HELD;
		if (f->holder >= 0) {
			twice++;
			note("TWO SERVERS hold flow=%u: %d and %d", f->port,
			     servers[f->holder].number, s->number);
		}
		f->holder = i;
	}
	if (f->held[i] != HELD) {
		if (f->holder >= 0) {
			strays++;
			note("stray flow=%u at server=%d, open at server=%d",
			     f->port, s->number, servers[f->holder].number);
		}
		p[28] |= BOUNCED;
		memset(p + 29, 0, 3);
		send_from_server(s, p, size);
		return;
	}
	if (get16(p + 32) == REQUEST_BYTES)
		run_request(s, f, p);
	if (p[28] & FIN)
		respond(s, p, FIN | ACK,
			f->server_isn[i] + 1 +
				(uint32_t)f->answers * RESPONSE_BYTES,
			get32(p) + 1, 0);
}

static void start_server(struct server *s)
{
	s->fd = bound_socket(SOCK_DGRAM, address(2, s->number), 8165);
	s->listener = bound_socket(SOCK_STREAM, address(2, s->number), 8165);
	s->born = wall_ms();
	s->starts++;
	s->seq = 0;
	s->beat_at = 0;
	s->draining = 0;
	s->drain_acked = 0;
	note("server %d starts", s->number);
}

static void crash_server(struct server *s)
{
	int i;

	close(s->fd);
	if (s->listener >= 0)
		close(s->listener);
	s->fd = -1;
	s->listener = -1;
	for (i = 0; i < flow_count; i++) {
		flows[i].held[s - servers] = NOT_HELD;
		if (flows[i].holder == s - servers)
			flows[i].holder = -1;
	}
	note("server %d crashes", s->number);
}

static void send_heartbeat(struct server *s, long long now)
{
	char body[400];
	char text[700];
	long long left = s->cold_until > now ? s->cold_until - now : 0;
	int code;
	int len = snprintf(body, sizeof(body),
			   "{\"service\":\"%s\",\"address\":\"127.%d.2.%d:8165\","
			   "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
			   "\"state\":\"%s\",\"warmupLeftMs\":%lld,\"seq\":%lld,"
			   "\"born\":%lld}",
			   s->service, net, s->number, s->zone, s->slots,
			   s->draining ? "draining" : "ready", left, ++s->seq,
			   s->born);

	snprintf(text, sizeof(text),
		 "PUT /instances/i-%d HTTP/1.1\r\nHost: x\r\nContent-Length: "
		 "%d\r\nContent-Type: application/json\r\nConnection: "
		 "close\r\n\r\n%s",
		 s->number, len, body);
	code = call_http(address(2, s->number), 8166, text, 300);
	if (code == 200 && s->draining && !s->drain_acked) {
		s->drain_acked = now_ms();
		note("drain of server %d acknowledged", s->number);
	}
	s->beat_at = now + heartbeat_ms;
}

static void run_server(struct server *s, long long now)
{
	int fd;

	if (s->fd < 0)
		return;
	while (s->listener >= 0 && (fd = accept(s->listener, NULL, NULL)) >= 0) {
		static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0"
					 "\r\nConnection: close\r\n\r\n";

		(void)!send(fd, ok, sizeof(ok) - 1, MSG_NOSIGNAL);
		close(fd);
	}
	if (now >= s->beat_at)
		send_heartbeat(s, now);
}

/* -- commands ------------------------------------------------------------ */

static struct server *find_server(int number)
{
	int i;

	for (i = 0; i < server_count; i++)
		if (servers[i].number == number)
			return &servers[i];
	fprintf(stderr, "world: no server %d\n", number);
	exit(2);
}

static void end(void)
{
	int silent = 0;
	int open = 0;
	int i;

	for (i = 0; i < flow_count; i++) {
		struct flow *f = &flows[i];

		if (f->state != WAITING && f->state != PAUSING)
			continue;
		open++;
		silent += f->state == WAITING &&
			  now_ms() > f->last_answer + 5000;
	}
	note("totals: opened=%d answered=%d runs=%d given_up=%d refused=%d "
	     "broken=%d twice=%d strays=%d open_at_end=%d silent_at_end=%d",
	     opened, answered, runs, given_up, refused, broken, twice, strays,
	     open, silent);
	fclose(record);
	exit(0);
}

static void run_command(char *line)
{
	char text[200];
	int a, b, c;

	if (sscanf(line, "open %d %d %d", &a, &b, &c) == 3) {
		while (a-- > 0)
			open_flow(b, c);
	} else if (sscanf(line, "once %d %d %d", &a, &b, &c) == 3) {
		once_left = a;
		once_port = b;
		once_per_s = c;
		once_due = 0;
		once_from = now_ms();
	} else if (sscanf(line, "start %d", &a) == 1) {
		start_server(find_server(a));
	} else if (sscanf(line, "crash %d", &a) == 1) {
		crash_server(find_server(a));
	} else if (sscanf(line, "drain %d", &a) == 1) {
		find_server(a)->draining = 1;
		find_server(a)->beat_at = 0;
	} else if (sscanf(line, "cold %d %d", &a, &b) == 2) {
		find_server(a)->cold_until = now_ms() + b;
		find_server(a)->beat_at = 0;
	} else if (sscanf(line, "deaf %d", &a) == 1) {
		close(find_server(a)->listener);
		find_server(a)->listener = -1;
		note("server %d no longer listens for connections", a);
	} else if (!strncmp(line, "quiet", 5)) {
		quiet = 1;
	} else if (sscanf(line, "mark %199[^\n]", text) == 1) {
		note("-- %s", text);
	} else if (!strncmp(line, "end", 3)) {
		end();
	}
}

static void read_commands(void)
{
	static char buf[4096];
	static size_t have;
	ssize_t len = read(0, buf + have, sizeof(buf) - 1 - have);
	char *line = buf;
	char *stop;

	if (!len)
		end();
	if (len < 0)
		return;
	have += (size_t)len;
	buf[have] = '\0';
	while ((stop = strchr(line, '\n'))) {
		*stop = '\0';
		run_command(line);
		line = stop + 1;
	}
	have = strlen(line);
	memmove(buf, line, have + 1);
}

/* -- loop ---------------------------------------------------------------- */

static void receive(struct pollfd *fds, int count)
{
	uint8_t p[2048];
	int i;

	if (poll(fds, (nfds_t)count, 2) <= 0)
		return;
	if (fds[0].revents)
		read_commands();
	for (i = 1; i < count; i++) {
		int budget = 200;
		ssize_t len;

		if (!(fds[i].revents & POLLIN))
			continue;
		while (budget-- && (len = recv(fds[i].fd, p, sizeof(p), 0)) >= 0) {
			if (i <= CLIENT_IPS)
				on_client_packet(p, (size_t)len);
			else
				on_server_packet(&servers[i - 1 - CLIENT_IPS], p,
						 (size_t)len);
		}
	}
}

int main(int argc, char **argv)
{
	static struct pollfd fds[1 + CLIENT_IPS + SERVERS];
	int i;

	if (argc < 6)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	net = atoi(argv[1]);
	record = fopen(argv[2], "w");
	heartbeat_ms = atoi(argv[3]);
	balancer_count = atoi(argv[4]);
	if (!record)
		return 2;
	setvbuf(record, NULL, _IOLBF, 0);
	srandom((unsigned)getpid() * 2654435761u ^ (unsigned)wall_ms());
	began = now_ms();
	for (i = 5; i < argc && server_count < SERVERS; i++) {
		struct server *s = &servers[server_count++];

		if (sscanf(argv[i], "%d:%63[^:]:%31[^:]:%d", &s->number,
			   s->service, s->zone, &s->slots) != 4)
			return 2;
		s->fd = -1;
		s->listener = -1;
	}
	for (i = 0; i < CLIENT_IPS; i++)
		client_fds[i] = bound_socket(SOCK_DGRAM, address(3, i), 8172);
	fcntl(0, F_SETFL, O_NONBLOCK);
	for (;;) {
		long long now = now_ms();

		/* No case lasts longer. */
		if (now > began + 115000)
			end();
		check_ready(now);
		for (i = 0; i < server_count; i++)
			run_server(&servers[i], now);
		while (once_left > 0 &&
		       once_due <= (double)(now - once_from) * once_per_s / 1000) {
			open_flow(once_port, 0);
			once_left--;
			once_due++;
		}
		for (i = 0; i < flow_count; i++)
			run_client(&flows[i], now);
		fds[0] = (struct pollfd){ 0, POLLIN, 0 };
		for (i = 0; i < CLIENT_IPS; i++)
			fds[1 + i] = (struct pollfd){ client_fds[i], POLLIN, 0 };
		for (i = 0; i < server_count; i++)
			fds[1 + CLIENT_IPS + i] =
				(struct pollfd){ servers[i].fd, POLLIN, 0 };
		receive(fds, 1 + CLIENT_IPS + server_count);
	}
}
