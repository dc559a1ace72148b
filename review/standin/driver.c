/*
 * driver - callers, servers, routers and operator of a case
 *
 * usage: driver NET RECORD, commands on standard input, one a line
 *
 * The platform's interfaces are those of PROTOCOL.md. Server i has the address
 * 127.NET.2.i (packets and TCP at port 8165; its agent's ports are 8162 and
 * 8166), balancer i 127.NET.1.i (packets at 8172, readiness at 8167), the store
 * 127.NET.9.1:8169. Callers are at 127.NET.3.1:8172. Routes have the host 127.NET.8.1,
 * to which nothing is sent.
 *
 * Routers hash the four addresses and ports of a flow over the balancers in
 * rotation (hash = mod). Servers answer each request at once and keep a flow
 * until both ends have closed it. They send no resets.
 *
 * Commands:
 *   balancers COUNT            balancers that the routers know
 *   server N SERVICE ZONE SEQ [MS]  starts server N; SEQ is that of its first
 *                              heartbeat, which it sends after MS
 *   crash N                    ends server N
 *   mute N MS                  its next heartbeat comes after MS
 *   drain N                    from the next heartbeat on it reports "draining"
 *   writer N TEXT              from now on TEXT is put to N's agent as the body of
 *                              /instances/x-other, once a heartbeat; "-" ends this
 *   config FILE | evacuate ZONE | delete KEY    changes of the store
 *   open COUNT PORT            opens flows to 127.NET.8.1:PORT and keeps them
 *   load PER_S PORT [COUNT MS] opens flows of COUNT requests (1), MS after each
 *                              answer; PER_S 0 ends it
 *   slow N MS                  server N sends its packets MS later
 *   talk                       sends a request on each flow that is kept
 *   probe PORT open|none|any   one flow; "open": no reset is allowed, "none": no
 *                              run is allowed
 *   since                      starts the clock of CONFIG_MS: a probe after that is judged
 *   ready                      waits until all balancers are in rotation
 *   sleep MS | sh TEXT | note TEXT
 *
 * At the end of the input it exits with 1 if a rule was broken, with 0 if not, and
 * with 2 if fewer than half of the flows that it was to open were opened.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD 34
#define SYN 1
#define RST 2
#define FIN 16
#define BOUNCED 64
#define ACK 128
#define SERVERS 24
#define BALANCERS 8
#define FLOWS 16384
#define LATE 512
#define HEARTBEAT_MS 770
#define READY_MS 500
#define REQUEST 100 /* bytes */
#define RESPONSE 60
/* bounds of the pages for the small sites */
#define DRAIN_MS 3000
#define CONFIG_MS 3000
#define IDLE_MS 15000
#define TTL_MS 60000

enum state { FREE, OPENING, ASKING, OPEN, DONE };

struct flow {
	enum state state;
	uint16_t port; /* the caller's */
	uint16_t dport;
	uint32_t isn;
	uint32_t seq;
	uint32_t ack;
	int copies;
	long long opened_at;
	long long sent_at; /* first packet of the attempt or request */
	long long active_at; /* last packet of either end */
	long long next;
	long long wait;
	int kept;
	int more; /* requests to be sent after the present one */
	int pause; /* ms */
	int waits; /* for next, to send the next request */
	int probe; /* 0: none, else what is expected: 'o', 'n', 'a' */
	int judged; /* the probe was sent later than CONFIG_MS after "since" */
	int holder; /* server at which the flow is open, 0: none */
	uint32_t server_isn[SERVERS]; /* 0: the server has got no opening */
};

/* A packet that a slow server is still to send. */
struct late {
	long long due; /* 0: free */
	size_t len;
	uint8_t data[HEAD + REQUEST];
};

struct server {
	int late_ms; /* 0: it sends its packets at once */
	struct late late[LATE];
	int udp;
	int tcp;
	char service[64];
	char zone[32];
	long long born;
	long long seq;
	int draining;
	long long acked_at; /* of the drain */
	long long next;
	long long next_foreign;
	char foreign[512]; /* body of another writer's heartbeats */
	long long openings;
};

static int net;
static FILE *record;
static long long start_ms;
static struct flow flows[FLOWS];
static int flow_count;
static struct server servers[SERVERS];
static int balancer_count;
static int misses[BALANCERS]; /* of the readiness check, in a row */
static long long next_ready;
static int client_fd;
static double load_per_s;
static int load_port;
static int load_requests = 1;
static int load_pause;
static double load_due;
static long long load_at;
static long long since_ms;
static int wanted;
static int opened;
static int broken;

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static void write_record(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", (double)(now_ms() - start_ms) / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

static uint32_t address(int group, int number)
{
	return 127u << 24 | (uint32_t)net << 16 | (uint32_t)group << 8 |
	       (uint32_t)number;
}

static struct sockaddr_in socket_address(uint32_t ip, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(ip) };

	return at;
}

static void cannot_run(const char *what)
{
	perror(what);
	exit(2);
}

static int open_socket(int type, uint32_t ip, int port)
{
	struct sockaddr_in at = socket_address(ip, port);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;
	int size = 1 << 20;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    (type == SOCK_STREAM && listen(fd, 64)))
		cannot_run("socket");
	return fd;
}

static void put16(uint8_t *at, unsigned v)
{
	at[0] = (uint8_t)(v >> 8);
	at[1] = (uint8_t)v;
}

static void put32(uint8_t *at, uint32_t v)
{
	put16(at, v >> 16);
	put16(at + 2, v & 0xffff);
}

static unsigned get16(const uint8_t *at)
{
	return (unsigned)at[0] << 8 | at[1];
}

static uint32_t get32(const uint8_t *at)
{
	return get16(at) << 16 | get16(at + 2);
}

static uint32_t random32(void)
{
	return (uint32_t)random() << 16 ^ (uint32_t)random();
}

/* -- HTTP ---------------------------------------------------------------- */

/* Returns the status, 0: no answer within a second. */
static int call_http(uint32_t ip, int port, const char *method,
		     const char *path, const char *body)
{
	struct sockaddr_in to = socket_address(ip, port);
	struct timeval tv = { .tv_sec = 1 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	size_t len = strlen(body);
	char *text = malloc(len + 512);
	char reply[512];
	size_t size;
	int code = 0;
	ssize_t got;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	size = (size_t)sprintf(text,
			       "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: "
			       "%zu\r\nContent-Type: application/json\r\n"
			       "Connection: close\r\n\r\n",
			       method, path, len);
	memcpy(text + size, body, len);
	size += len;
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    send(fd, text, size, MSG_NOSIGNAL) == (ssize_t)size) {
		got = recv(fd, reply, sizeof(reply) - 1, 0);
		if (got > 12)
			code = atoi(reply + 9);
	}
	free(text);
	close(fd);
	return code;
}

static void check_ready(void)
{
	int i;

	for (i = 0; i < balancer_count; i++) {
		int code =
			call_http(address(1, i + 1), 8167, "GET", "/ready", "");

		misses[i] = code == 200 ? 0 : misses[i] + 1;
	}
	next_ready = now_ms() + READY_MS;
}

/* -- callers ------------------------------------------------------------- */

/* The balancer that the routers choose for a flow, 0: none is in rotation. */
static int choose_balancer(const struct flow *f)
{
	uint64_t hash =
		((uint64_t)f->port << 16 | f->dport) * 0x9e3779b97f4a7c15ull;
	int in[BALANCERS];
	int count = 0;
	int i;

	for (i = 0; i < balancer_count; i++)
		if (misses[i] < 2)
			in[count++] = i + 1;
	return count ? in[(hash >> 33) % (unsigned)count] : 0;
}

static void send_packet(struct flow *f, int flags, uint32_t ack, unsigned len)
{
	int via = choose_balancer(f);
	struct sockaddr_in to = socket_address(address(1, via), 8172);
	uint8_t p[HEAD + REQUEST] = { 0 };

	put32(p, f->seq);
	put32(p + 4, ack);
	put32(p + 12, address(8, 1));
	put32(p + 16, address(3, 1));
	put16(p + 20, f->port);
	put16(p + 22, f->dport);
	put32(p + 24, 0x5eed5eed);
	p[28] = (uint8_t)flags;
	put16(p + 32, len);
	f->active_at = now_ms();
	if (via)
		sendto(client_fd, p, HEAD + len, 0, (struct sockaddr *)&to,
		       sizeof(to));
}

static struct flow *start_flow(int dport, int kept, int probe)
{
	struct flow *f = &flows[flow_count];

	if (flow_count == FLOWS)
		return NULL;
	*f = (struct flow){ .state = OPENING,
			    .port = (uint16_t)(10000 + flow_count++),
			    .dport = (uint16_t)dport,
			    .isn = random32(),
			    .kept = kept,
			    .probe = probe,
			    .sent_at = now_ms(),
			    .next = now_ms() + 200 };
	f->seq = f->isn;
	f->judged = probe && since_ms && now_ms() > since_ms + CONFIG_MS;
	wanted += !probe;
	send_packet(f, SYN, 0, 0);
	return f;
}

static void ask(struct flow *f)
{
	f->state = ASKING;
	f->sent_at = now_ms();
	f->wait = 200;
	f->next = now_ms() + f->wait;
	send_packet(f, ACK, f->ack, REQUEST);
}

static void on_reset(struct flow *f, const uint8_t *p)
{
	const struct server *holder = f->holder ? &servers[f->holder] : NULL;
	long long now = now_ms();
	int open = f->state == ASKING || f->state == OPEN;

	if (f->state == FREE || f->state == DONE)
		return;
	if (open && get32(p) - f->ack + 76800 > 2 * 76800) {
		write_record("caller %u: ignores a reset, seq %u", f->port,
			     get32(p));
		return;
	}
	write_record("caller %u: reset, %s", f->port,
		     open ? "flow was open" : "flow was not open");
	if (holder && holder->udp >= 0 && now < f->opened_at + TTL_MS &&
	    now < f->active_at + IDLE_MS) {
		broken++;
		write_record(
			"BROKEN FLOW: caller %u gets a reset that its server "
			"%d, which holds the flow, did not send",
			f->port, f->holder);
	}
	if (f->judged && f->probe == 'o') {
		broken++;
		write_record("BROKEN CONFIG: caller %u is refused at port %u, "
			     "though the route has been there for over %d ms",
			     f->port, f->dport, CONFIG_MS);
	}
	f->state = DONE;
}

static void on_caller_packet(const uint8_t *p, size_t len)
{
	unsigned port = get16(p + 22);
	struct flow *f = port >= 10000 && port < 10000u + (unsigned)flow_count ?
				 &flows[port - 10000] :
				 NULL;

	if (!f || len < HEAD)
		return;
	if (p[28] & RST) {
		on_reset(f, p);
		return;
	}
	f->active_at = now_ms();
	if (p[28] & SYN) {
		if (f->state != OPENING)
			return;
		f->seq++;
		f->ack = get32(p) + 1;
		f->opened_at = now_ms();
		opened += !f->probe;
		ask(f);
		return;
	}
	if (!get16(p + 32) || f->state != ASKING || get32(p) != f->ack)
		return;
	f->seq += REQUEST;
	f->ack += RESPONSE;
	f->state = OPEN;
	if (f->more) {
		f->more--;
		f->next = now_ms() + f->pause;
		f->waits = 1;
		return;
	}
	if (f->kept) {
		send_packet(f, ACK, f->ack, 0);
		return;
	}
	send_packet(f, FIN | ACK, f->ack, 0);
	f->state = DONE;
}

static void on_caller_timer(struct flow *f, long long now)
{
	if (now < f->next)
		return;
	if (f->state == OPEN && f->waits) {
		f->waits = 0;
		ask(f);
	}
	if (f->state != OPENING && f->state != ASKING)
		return;
	if (f->state == ASKING) {
		f->wait = f->wait < 1600 ? 2 * f->wait : 1600;
		f->next = now + f->wait;
		send_packet(f, ACK, f->ack, REQUEST);
		return;
	}
	if (f->copies == 2) {
		f->state = DONE;
		write_record("caller %u: no answer to its opening at port %u",
			     f->port, f->dport);
		return;
	}
	send_packet(f, SYN, (uint32_t)++f->copies, 0);
	f->next = now + (f->copies == 1 ? 400 : 800);
}

/* -- servers ------------------------------------------------------------- */

static void send_at_once(struct server *s, const uint8_t *p, size_t len)
{
	struct sockaddr_in to =
		socket_address(address(2, (int)(s - servers)), 8162);

	sendto(s->udp, p, len, 0, (struct sockaddr *)&to, sizeof(to));
}

static void send_from_server(struct server *s, const uint8_t *p, size_t len)
{
	int i = 0;

	if (!s->late_ms) {
		send_at_once(s, p, len);
		return;
	}
	while (i < LATE && s->late[i].due)
		i++;
	if (i == LATE || len > sizeof(s->late[i].data))
		return;
	s->late[i].due = now_ms() + s->late_ms;
	s->late[i].len = len;
	memcpy(s->late[i].data, p, len);
}

static void send_late(struct server *s, long long now)
{
	int i;

	for (i = 0; i < LATE && s->udp > 0; i++)
		if (s->late[i].due && s->late[i].due <= now) {
			s->late[i].due = 0;
			send_at_once(s, s->late[i].data, s->late[i].len);
		}
}

static void answer(struct server *s, const uint8_t *p, int flags, uint32_t seq,
		   uint32_t ack, unsigned len)
{
	uint8_t out[HEAD + RESPONSE] = { 0 };

	put32(out, seq);
	put32(out + 4, ack);
	memcpy(out + 12, p + 16, 4);
	memcpy(out + 16, p + 12, 4);
	memcpy(out + 20, p + 22, 2);
	memcpy(out + 22, p + 20, 2);
	put32(out + 24, 0x5eed5eed);
	out[28] = (uint8_t)flags;
	put16(out + 32, len);
	send_from_server(s, out, HEAD + len);
}

static void on_opening(struct server *s, struct flow *f, const uint8_t *p)
{
	int number = (int)(s - servers);

	if (!f->server_isn[number]) {
		f->server_isn[number] = random32() | 1;
		s->openings++;
		write_record(
			"server %d: takes the opening of caller %u, port %u",
			number, f->port, f->dport);
		if (s->acked_at && now_ms() > s->acked_at + DRAIN_MS &&
		    f->sent_at > s->acked_at + DRAIN_MS) {
			broken++;
			write_record(
				"BROKEN DRAIN: server %d gets an opening %lld "
				"ms after its drain was acknowledged",
				number, now_ms() - s->acked_at);
		}
	}
	answer(s, p, SYN | ACK, f->server_isn[number], get32(p) + 1, 0);
}

static void on_server_packet(struct server *s, uint8_t *p, size_t len)
{
	int number = (int)(s - servers);
	unsigned port = get16(p + 20);
	struct flow *f = port >= 10000 && port < 10000u + (unsigned)flow_count ?
				 &flows[port - 10000] :
				 NULL;
	uint32_t isn;

	if (!f || len < HEAD)
		return;
	if (p[28] & SYN) {
		on_opening(s, f, p);
		return;
	}
	isn = f->server_isn[number];
	if (isn && !f->holder && p[28] & ACK && get32(p + 4) == isn + 1) {
		f->holder = number;
		write_record("server %d: flow of caller %u is open", number,
			     f->port);
	}
	if (f->holder != number) {
		p[28] |= BOUNCED;
		memset(p + 29, 0, 3);
		send_from_server(s, p, len);
		return;
	}
	if (get16(p + 32)) {
		uint32_t served = (get32(p) - f->isn - 1) / REQUEST;

		write_record("server %d: runs request %u of caller %u", number,
			     served, f->port);
		if (f->judged && f->probe == 'n') {
			broken++;
			write_record(
				"BROKEN CONFIG: server %d runs a request for "
				"port %u, whose route was dropped over %d "
				"ms before",
				number, f->dport, CONFIG_MS);
		}
		answer(s, p, ACK, isn + 1 + served * RESPONSE,
		       get32(p) + REQUEST, RESPONSE);
	}
	if (p[28] & FIN) {
		answer(s, p, FIN | ACK, get32(p + 4), get32(p) + 1, 0);
		f->holder = 0;
	}
}

static void send_heartbeat(struct server *s)
{
	int number = (int)(s - servers);
	char path[64];
	char body[512];
	int code;

	snprintf(path, sizeof(path), "/instances/i-%d", number);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"127.%d.2.%d:8165\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		 "\"state\":\"%s\",\"warmupLeftMs\":0,\"seq\":%lld,"
		 "\"born\":%lld}",
		 s->service, net, number, s->zone,
		 s->draining ? "draining" : "ready", s->seq++, s->born);
	code = call_http(address(2, number), 8166, "PUT", path, body);
	write_record("server %d: heartbeat %lld, %s: answer %d", number,
		     s->seq - 1, s->draining ? "draining" : "ready", code);
	if (code == 200 && s->draining && !s->acked_at)
		s->acked_at = now_ms();
	s->next = now_ms() + HEARTBEAT_MS;
	s->next_foreign = now_ms() + HEARTBEAT_MS / 2;
}

static void send_foreign_heartbeat(struct server *s)
{
	int number = (int)(s - servers);
	int code = call_http(address(2, number), 8166, "PUT",
			     "/instances/x-other", s->foreign);

	write_record("other writer at agent %d: %s: answer %d", number,
		     s->foreign, code);
	s->next_foreign = s->next + HEARTBEAT_MS;
}

static void start_server(int number, const char *service, const char *zone,
			 long long seq)
{
	struct server *s = &servers[number];
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	memset(s, 0, sizeof(*s));
	snprintf(s->service, sizeof(s->service), "%.60s", service);
	snprintf(s->zone, sizeof(s->zone), "%.30s", zone);
	s->udp = open_socket(SOCK_DGRAM, address(2, number), 8165);
	s->tcp = open_socket(SOCK_STREAM, address(2, number), 8165);
	s->born = ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
	s->seq = seq;
}

static void crash_server(struct server *s)
{
	int number = (int)(s - servers);
	int i;

	close(s->udp);
	close(s->tcp);
	memset(s, 0, sizeof(*s));
	for (i = 0; i < flow_count; i++) {
		flows[i].server_isn[number] = 0;
		if (flows[i].holder == number)
			flows[i].holder = 0;
	}
}

static void run_server(struct server *s, long long now)
{
	int fd;

	while ((fd = accept(s->tcp, NULL, NULL)) >= 0)
		close(fd);
	if (now >= s->next)
		send_heartbeat(s);
	if (*s->foreign && now >= s->next_foreign)
		send_foreign_heartbeat(s);
}

/* -- loop ---------------------------------------------------------------- */

static void receive_packets(void)
{
	struct pollfd fds[SERVERS + 1];
	int numbers[SERVERS + 1];
	uint8_t p[2048];
	int count = 0;
	ssize_t len;
	int i;

	for (i = 1; i < SERVERS; i++)
		if (servers[i].udp > 0) {
			numbers[count] = i;
			fds[count++] =
				(struct pollfd){ servers[i].udp, POLLIN, 0 };
		}
	numbers[count] = 0;
	fds[count++] = (struct pollfd){ client_fd, POLLIN, 0 };
	if (poll(fds, (nfds_t)count, 2) <= 0)
		return;
	for (i = 0; i < count; i++)
		while ((len = recv(fds[i].fd, p, sizeof(p), 0)) >= HEAD) {
			if (numbers[i])
				on_server_packet(&servers[numbers[i]], p,
						 (size_t)len);
			else
				on_caller_packet(p, (size_t)len);
		}
}

static void run_once(void)
{
	long long now = now_ms();
	int i;

	if (balancer_count && now >= next_ready)
		check_ready();
	for (i = 1; i < SERVERS; i++)
		if (servers[i].udp > 0)
			run_server(&servers[i], now);
	load_due += (double)(now - load_at) * load_per_s / 1000;
	load_at = now;
	for (; load_due >= 1; load_due--) {
		struct flow *f = start_flow(load_port, 0, 0);

		if (!f)
			continue;
		f->more = load_requests - 1;
		f->pause = load_pause;
	}
	for (i = 1; i < SERVERS; i++)
		send_late(&servers[i], now);
	receive_packets();
	for (i = 0; i < flow_count; i++)
		on_caller_timer(&flows[i], now);
}

static void run_for(long long ms)
{
	long long until = now_ms() + ms;

	while (now_ms() < until)
		run_once();
}

static void wait_ready(void)
{
	long long until = now_ms() + 15000;
	int count = 0;
	int i;

	while (count < balancer_count) {
		run_for(100);
		count = 0;
		for (i = 0; i < balancer_count; i++)
			count += !misses[i];
		if (now_ms() > until) {
			fprintf(stderr, "the balancers are not ready\n");
			exit(2);
		}
	}
}

static void write_item(const char *method, const char *key, const char *body)
{
	char path[300];
	int tries = 50;
	int code;

	snprintf(path, sizeof(path), "/operator?key=%s", key);
	/* The store may still be starting. */
	while (!(code = call_http(address(9, 1), 8169, method, path, body)) &&
	       tries--)
		usleep(100000);
	write_record("operator: %s %s, %zu bytes: answer %d", method, key,
		     strlen(body), code);
	if (code != 200) {
		fprintf(stderr, "the store does not answer\n");
		exit(2);
	}
}

static void write_config(const char *path)
{
	static char text[1 << 20];
	FILE *in = fopen(path, "r");

	if (!in)
		cannot_run(path);
	text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
	fclose(in);
	write_item("POST", "op/config", text);
}

static void execute(char *line)
{
	char word[4][128] = { "", "", "", "" };
	char *rest = strchr(line, ' ');
	int i;

	sscanf(line, "%127s %127s %127s %127s", word[0], word[1], word[2],
	       word[3]);
	rest = rest ? rest + 1 : "";
	if (!*word[0] || *word[0] == '#')
		return;
	if (strcmp(word[0], "sleep"))
		write_record("> %s", line);
	if (!strcmp(word[0], "balancers"))
		balancer_count = atoi(word[1]);
	else if (!strcmp(word[0], "server")) {
		long long seq = 1;
		int delay_ms = 0;

		sscanf(line, "%*s %*s %*s %*s %lld %d", &seq, &delay_ms);
		start_server(atoi(word[1]), word[2], word[3], seq);
		servers[atoi(word[1])].next = now_ms() + delay_ms;
	} else if (!strcmp(word[0], "crash"))
		crash_server(&servers[atoi(word[1])]);
	else if (!strcmp(word[0], "mute"))
		servers[atoi(word[1])].next = now_ms() + atoll(word[2]);
	else if (!strcmp(word[0], "drain"))
		servers[atoi(word[1])].draining = 1;
	else if (!strcmp(word[0], "writer")) {
		struct server *s = &servers[atoi(word[1])];
		char *text = strchr(rest, ' ') + 1;

		snprintf(s->foreign, sizeof(s->foreign), "%s",
			 *text == '-' ? "" : text);
	} else if (!strcmp(word[0], "config"))
		write_config(word[1]);
	else if (!strcmp(word[0], "evacuate")) {
		char key[160];

		snprintf(key, sizeof(key), "op/evacuate/%s", word[1]);
		write_item("POST", key, "{}");
	} else if (!strcmp(word[0], "delete"))
		write_item("DELETE", word[1], "");
	else if (!strcmp(word[0], "open"))
		for (i = 0; i < atoi(word[1]); i++) {
			start_flow(atoi(word[2]), 1, 0);
			run_for(10);
		}
	else if (!strcmp(word[0], "load")) {
		load_per_s = atof(word[1]);
		load_port = atoi(word[2]);
		load_requests = 1;
		load_pause = 0;
		sscanf(line, "%*s %*s %*s %d %d", &load_requests, &load_pause);
	} else if (!strcmp(word[0], "slow"))
		servers[atoi(word[1])].late_ms = atoi(word[2]);
	else if (!strcmp(word[0], "talk")) {
		for (i = 0; i < flow_count; i++)
			if (flows[i].kept && flows[i].state == OPEN)
				ask(&flows[i]);
	} else if (!strcmp(word[0], "probe"))
		start_flow(atoi(word[1]), 0, word[2][0]);
	else if (!strcmp(word[0], "since"))
		since_ms = now_ms();
	else if (!strcmp(word[0], "ready"))
		wait_ready();
	else if (!strcmp(word[0], "sleep"))
		run_for(atoll(word[1]));
	else if (!strcmp(word[0], "sh")) {
		if (system(rest))
			write_record("the command failed");
	} else if (strcmp(word[0], "note")) {
		fprintf(stderr, "unknown command %s\n", word[0]);
		exit(2);
	}
}

int main(int argc, char **argv)
{
	char line[2048];

	if (argc != 3)
		return 2;
	net = atoi(argv[1]);
	record = fopen(argv[2], "w");
	if (!record)
		cannot_run(argv[2]);
	start_ms = now_ms();
	load_at = start_ms;
	srandom((unsigned)getpid());
	client_fd = open_socket(SOCK_DGRAM, address(3, 1), 8172);
	while (fgets(line, sizeof(line), stdin)) {
		line[strcspn(line, "\n")] = '\0';
		execute(line);
	}
	write_record("end: %d flows to be opened, %d opened, %d times broken",
		     wanted, opened, broken);
	printf("wanted=%d opened=%d broken=%d\n", wanted, opened, broken);
	if (broken)
		return 1;
	return opened * 2 < wanted ? 2 : 0;
}
