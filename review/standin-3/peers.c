/*
 * peers - stand-in for the clients and the servers of the users' platform
 *
 * Clients open flows of packets to servers and send one HTTP request on each, or
 * one after the other with pauses. Servers answer, send heartbeats to the agent
 * on their machine, and return packets of flows that they don't hold. One
 * process, one loop, loopback addresses only.
 *
 * usage: standin-peers NET SECONDS RECORD -c CLIENT... -s SERVER...
 * CLIENT: BALANCER:PORT:PER_SECOND[:KEEP_MS], clients whose router sends to
 *   127.NET.1.BALANCER and that ask for 127.NET.4.1:PORT; with KEEP_MS they keep
 *   their flow for so long and send a request on it every 200 ms
 * SERVER: NUMBER:SERVICE:ZONE, a server at 127.NET.2.NUMBER
 *
 * RECORD gets a line for each event, with the Unix time in ms:
 *   sent ID client=B port=P          a client sent the first copy of its SYN
 *   opened ID server=N               a server has the end of the handshake
 *   run ID server=N arrived=MS       it runs a request; its SYN came at MS
 *   answered ID                      the client has the whole answer
 *   reset ID open=0|1 from=IP holder=N
 *                                    the client got a reset; a server holds it: 1
 *   wrong ID ...                     an answer that isn't the request's
 *   foreign server=N ...             a packet that no client wrote
 *   draining N, left N               acknowledged by the agent
 * Commands come in lines on standard input: "drain N", "leave N", "crash N",
 * "start N", "stop" (no new flows).
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
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
#define SYN 1
#define RST 2
#define FIN 16
#define BOUNCED 64
#define ACK 128
#define CLIENTS 16
#define SERVERS 32
#define FLOWS 8192
#define BEAT_MS 770
#define BEAT_TIMEOUT_MS 1000
#define CLIENT_DEADLINE_MS 2500
#define REPEAT_MS 200
#define PAUSE_MS 200
#define RESET_SPAN 76800u

struct client {
	int balancer;
	int port;
	double per_second;
	int keep_ms;
	double due;
	int fd;
};

struct server {
	int number;
	char service[64];
	char zone[64];
	int up;
	int draining;
	int drain_said;
	int fd;
	int listener;
	int starts;
	long long born;
	long long seq;
	long long beat_at;
	int beat_fd; /* a heartbeat that waits for its answer, -1: none */
	int beat_draining;
	long long beat_until;
	int leaving; /* DELETE is under way */
};

enum state { IDLE, OPENING, ASKING, PAUSING };

struct flow {
	enum state state;
	int id; /* of the request */
	struct client *client;
	uint32_t ip;
	uint16_t sport;
	uint32_t isn;
	uint32_t seq;
	uint32_t ack;
	int copies;
	int asked; /* length of the request that waits */
	long long started;
	long long next;
	long long tried;
	/* at the servers */
	int holder; /* number of the server, 0: none */
	uint32_t holder_isn;
	uint32_t holder_seq;
	uint32_t holder_ack;
	int closed;
	long long arrived[SERVERS]; /* when its SYN came there first */
};

static int net;
static FILE *record;
static struct client clients[CLIENTS];
static int client_count;
static struct server servers[SERVERS];
static int server_count;
static struct flow flows[FLOWS];
static int next_id;
static int next_flow;
static int stopped;

static long long wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
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

static uint32_t ip_of(int group, int number)
{
	return 127u << 24 | (uint32_t)net << 16 | (uint32_t)group << 8 |
	       (uint32_t)number;
}

static struct sockaddr_in sock_of(uint32_t ip, int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(ip) };

	return to;
}

static int open_socket(int type, uint32_t ip, int port)
{
	struct sockaddr_in at = sock_of(ip, port);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    (type == SOCK_STREAM && listen(fd, 64))) {
		perror("peers: bind");
		exit(2);
	}
	return fd;
}

/* A sum over the fields that ends write, and the data. */
static uint32_t sum_of(const uint8_t *p, int len)
{
	uint32_t h = 2166136261u;
	int i;

	for (i = 0; i < HEAD + len; i++) {
		uint8_t b = p[i];

		if ((i >= 8 && i < 12) || (i >= 24 && i < 28) ||
		    (i >= 29 && i < 32))
			continue;
		if (i == 28)
			b &= (uint8_t)~BOUNCED;
		h = (h ^ b) * 16777619u;
	}
	return h | 1;
}

static int is_whole(const uint8_t *p, ssize_t len)
{
	return len >= HEAD && len == HEAD + get16(p + 32) &&
	       get32(p + 24) == sum_of(p, get16(p + 32));
}

static void write_packet(int fd, struct sockaddr_in to, uint32_t src, int sport,
			 uint32_t dst, int dport, int flags, uint32_t seq,
			 uint32_t ack, const char *data, int len)
{
	uint8_t p[HEAD + 1200] = { 0 };

	put32(p, seq);
	put32(p + 4, ack);
	put32(p + 12, dst);
	put32(p + 16, src);
	put16(p + 20, sport);
	put16(p + 22, dport);
	p[28] = (uint8_t)flags;
	put16(p + 32, len);
	if (len)
		memcpy(p + HEAD, data, (size_t)len);
	put32(p + 24, sum_of(p, len));
	sendto(fd, p, (size_t)(HEAD + len), 0, (struct sockaddr *)&to,
	       sizeof(to));
}

/* -- clients -------------------------------------------------------------- */

#define ROUTE_IP ip_of(4, 1) /* only in the headers of packets */

static void client_send(struct flow *f, int flags, uint32_t seq, uint32_t ack,
			const char *data, int len)
{
	write_packet(f->client->fd, sock_of(ip_of(1, f->client->balancer), 8172),
		     f->ip, f->sport, ROUTE_IP, f->client->port, flags, seq,
		     ack, data, len);
}

static int request_text(const struct flow *f, char *buf, size_t size)
{
	return snprintf(buf, size,
			"GET /r/%d HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\n"
			"Content-Length: 0\r\n\r\n",
			f->id, f->id);
}

static void ask(struct flow *f)
{
	char buf[256];

	f->asked = request_text(f, buf, sizeof(buf));
	f->state = ASKING;
	f->next = wall_ms() + REPEAT_MS;
	client_send(f, ACK, f->seq, f->ack, buf, f->asked);
}

static void start_flow(struct client *c)
{
	int tries = FLOWS;
	struct flow *f;

	while (tries-- && flows[next_flow % FLOWS].state != IDLE)
		next_flow++;
	f = &flows[next_flow % FLOWS];
	if (f->state != IDLE)
		return;
	memset(f, 0, sizeof(*f));
	f->state = OPENING;
	f->client = c;
	f->id = ++next_id;
	f->ip = ip_of(3, (int)(c - clients) + 1);
	f->sport = (uint16_t)(10000 + next_flow++ % FLOWS);
	f->isn = (uint32_t)rand() * 2u + (uint32_t)(rand() & 1);
	f->seq = f->isn;
	f->started = f->tried = wall_ms();
	f->next = f->started + 200;
	fprintf(record, "%lld sent %d client=%d port=%d\n", f->started, f->id,
		c->balancer, c->port);
	client_send(f, SYN, f->seq, 0, NULL, 0);
}

static struct flow *flow_of_port(int sport)
{
	int i = sport - 10000;

	return i >= 0 && i < FLOWS && flows[i].sport == sport ? &flows[i] : NULL;
}

static void on_client_packet(const uint8_t *p, ssize_t len, const char *from)
{
	struct flow *f = len >= HEAD ? flow_of_port(get16(p + 22)) : NULL;
	char want[64];

	if (!f || f->state == IDLE || get32(p + 12) != f->ip)
		return;
	if (p[28] & RST && !get32(p + 24)) { /* a reset of the system */
		if (f->state != OPENING &&
		    get32(p) - f->ack + RESET_SPAN > 2 * RESET_SPAN)
			return;
		fprintf(record, "%lld reset %d open=%d from=%s holder=%d\n",
			wall_ms(), f->id, f->holder && !f->closed, from,
			f->holder);
		f->state = IDLE;
		return;
	}
	if (!is_whole(p, len)) {
		fprintf(record, "%lld wrong %d reason=sum\n", wall_ms(), f->id);
		return;
	}
	if (p[28] & RST) { /* of the server */
		fprintf(record, "%lld reset %d by=server\n", wall_ms(), f->id);
		f->state = IDLE;
		return;
	}
	if (p[28] & SYN) {
		if (f->state != OPENING || get32(p + 4) != f->isn + 1)
			return;
		f->seq = f->isn + 1;
		f->ack = get32(p) + 1;
		ask(f);
		return;
	}
	if (f->state != ASKING || !get16(p + 32) || get32(p) != f->ack ||
	    get32(p + 4) != f->seq + (uint32_t)f->asked)
		return;
	snprintf(want, sizeof(want), "\r\n\r\nid=%d.", f->id);
	if (!memmem(p + HEAD, (size_t)get16(p + 32), want, strlen(want)))
		fprintf(record, "%lld wrong %d reason=body\n", wall_ms(),
			f->id);
	else
		fprintf(record, "%lld answered %d\n", wall_ms(), f->id);
	f->seq += (uint32_t)f->asked;
	f->ack += (uint32_t)get16(p + 32);
	if (f->client->keep_ms && !stopped &&
	    wall_ms() < f->started + f->client->keep_ms) {
		client_send(f, ACK, f->seq, f->ack, NULL, 0);
		f->state = PAUSING;
		f->next = wall_ms() + PAUSE_MS;
		return;
	}
	client_send(f, FIN | ACK, f->seq, f->ack, NULL, 0);
	f->state = IDLE;
}

static void on_client_timer(struct flow *f, long long now)
{
	char buf[256];

	if (f->state == IDLE || now < f->next)
		return;
	if (f->state == PAUSING) {
		f->id = ++next_id;
		f->tried = now;
		fprintf(record, "%lld sent %d client=%d port=%d\n", now, f->id,
			f->client->balancer, f->client->port);
		ask(f);
		return;
	}
	if (now > f->tried + CLIENT_DEADLINE_MS ||
	    (f->state == OPENING && now > f->started + 1400)) {
		fprintf(record, "%lld gave-up %d open=%d\n", now, f->id,
			f->holder && !f->closed);
		f->state = IDLE;
		return;
	}
	if (f->state == OPENING) {
		if (f->copies < 2)
			client_send(f, SYN, f->isn, (uint32_t)++f->copies, NULL,
				    0);
		f->next = f->copies == 1 ? f->started + 600 : f->started + 1401;
		return;
	}
	client_send(f, ACK, f->seq, f->ack, buf,
		    request_text(f, buf, sizeof(buf)));
	f->next = now + REPEAT_MS;
}

/* -- servers -------------------------------------------------------------- */

static void server_send(struct server *s, const uint8_t *p, int flags,
			uint32_t seq, uint32_t ack, const char *data, int len)
{
	write_packet(s->fd, sock_of(ip_of(2, s->number), 8162), get32(p + 12),
		     get16(p + 22), get32(p + 16), get16(p + 20), flags, seq,
		     ack, data, len);
}

static uint32_t isn_at(const struct server *s, const struct flow *f)
{
	uint64_t h = (uint64_t)s->number << 48 ^ (uint64_t)s->starts << 40 ^
		     (uint64_t)f->isn << 8 ^ f->sport;

	h *= 0x9e3779b97f4a7c15ull;
	h ^= h >> 29;
	return (uint32_t)(h * 0xbf58476d1ce4e5b9ull >> 32);
}

static void server_return(struct server *s, uint8_t *p, ssize_t len)
{
	struct sockaddr_in to = sock_of(ip_of(2, s->number), 8162);

	p[28] |= BOUNCED;
	memset(p + 29, 0, 3);
	sendto(s->fd, p, (size_t)len, 0, (struct sockaddr *)&to, sizeof(to));
}

static void run_request(struct server *s, struct flow *f, const uint8_t *p)
{
	int len = get16(p + 32);
	char body[64];
	char text[512];
	char want[256];
	int n;

	if (get32(p) != f->holder_seq) { /* a copy: answered again */
		if (get32(p) + (uint32_t)len != f->holder_seq)
			return;
	} else {
		if (len != request_text(f, want, sizeof(want)) ||
		    memcmp(p + HEAD, want, (size_t)len))
			fprintf(record, "%lld foreign server=%d reason=data\n",
				wall_ms(), s->number);
		f->holder_seq += (uint32_t)len;
		fprintf(record,
			"%lld run %d server=%d service=%s zone=%s "
			"client=%d port=%d arrived=%lld\n",
			wall_ms(), f->id, s->number, s->service, s->zone,
			f->client->balancer, f->client->port,
			f->arrived[s - servers]);
	}
	snprintf(body, sizeof(body), "id=%d.", f->id);
	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 200 OK\r\nX-Server-Stamp: %d\r\n"
		     "Content-Length: %zu\r\n\r\n%s",
		     s->number, strlen(body), body);
	server_send(s, p, ACK, get32(p + 4), f->holder_seq, text, n);
}

static void on_server_packet(struct server *s, uint8_t *p, ssize_t len)
{
	struct flow *f;
	uint32_t isn;

	if (len < HEAD)
		return;
	f = flow_of_port(get16(p + 20));
	if (!is_whole(p, len) || !f || get32(p + 16) != f->ip ||
	    (p[28] & BOUNCED)) {
		fprintf(record, "%lld foreign server=%d flags=%d sport=%d\n",
			wall_ms(), s->number, p[28], get16(p + 20));
		return;
	}
	isn = isn_at(s, f);
	if (p[28] & SYN) {
		if (p[28] & ACK) {
			fprintf(record, "%lld foreign server=%d reason=syn+ack\n",
				wall_ms(), s->number);
			return;
		}
		if (get32(p) != f->isn)
			return; /* of a flow that is over */
		if (!f->arrived[s - servers])
			f->arrived[s - servers] = wall_ms();
		server_send(s, p, SYN | ACK, isn, f->isn + 1, NULL, 0);
		return;
	}
	if (!f->holder && f->arrived[s - servers] && get32(p + 4) == isn + 1 &&
	    get32(p) == f->isn + 1) {
		f->holder = s->number;
		f->holder_isn = isn;
		f->holder_seq = f->isn + 1;
		fprintf(record, "%lld opened %d server=%d\n", wall_ms(), f->id,
			s->number);
	}
	if (f->holder != s->number || f->holder_isn != isn) {
		server_return(s, p, len);
		return;
	}
	if (get16(p + 32))
		run_request(s, f, p);
	if (p[28] & FIN) {
		server_send(s, p, FIN | ACK, get32(p + 4), get32(p) + 1, NULL,
			    0);
		f->closed = 1;
	}
}

static void start_server(struct server *s)
{
	s->up = 1;
	s->draining = s->drain_said = s->leaving = 0;
	s->fd = open_socket(SOCK_DGRAM, ip_of(2, s->number), 8165);
	s->listener = open_socket(SOCK_STREAM, ip_of(2, s->number), 8165);
	s->starts++;
	s->born = wall_ms();
	s->seq = 0;
	s->beat_at = 0;
	s->beat_fd = -1;
}

static void end_server(struct server *s)
{
	int i;

	close(s->fd);
	close(s->listener);
	if (s->beat_fd >= 0)
		close(s->beat_fd);
	s->up = 0;
	for (i = 0; i < FLOWS; i++)
		if (flows[i].holder == s->number)
			flows[i].closed = 1;
}

static void accept_health(struct server *s)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	char buf[512];
	int fd;

	while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
		if (recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0)
			send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
		close(fd);
	}
}

static void send_call(struct server *s, const char *text)
{
	struct sockaddr_in to = sock_of(ip_of(2, s->number), 8166);

	s->beat_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	s->beat_until = wall_ms() + BEAT_TIMEOUT_MS;
	if (connect(s->beat_fd, (struct sockaddr *)&to, sizeof(to)) ||
	    send(s->beat_fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
		close(s->beat_fd);
		s->beat_fd = -1;
		return;
	}
	fcntl(s->beat_fd, F_SETFL, O_NONBLOCK);
}

static void beat(struct server *s, long long now)
{
	char body[384];
	char text[768];
	int len;

	s->beat_at = now + BEAT_MS;
	if (s->leaving) {
		snprintf(text, sizeof(text),
			 "DELETE /instances/i-%d HTTP/1.1\r\nHost: x\r\n"
			 "Connection: close\r\n\r\n",
			 s->number);
		send_call(s, text);
		return;
	}
	len = snprintf(body, sizeof(body),
		       "{\"service\":\"%s\",\"address\":\"127.%d.2.%d:8165\","
		       "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		       "\"state\":\"%s\",\"warmupLeftMs\":0,\"seq\":%lld,"
		       "\"born\":%lld}",
		       s->service, net, s->number, s->zone,
		       s->draining ? "draining" : "ready", ++s->seq, s->born);
	snprintf(text, sizeof(text),
		 "PUT /instances/i-%d HTTP/1.1\r\nHost: x\r\nContent-Type: "
		 "application/json\r\nContent-Length: %d\r\n"
		 "Connection: close\r\n\r\n%s",
		 s->number, len, body);
	s->beat_draining = s->draining;
	send_call(s, text);
}

static void check_beat(struct server *s, long long now)
{
	char buf[1024];
	ssize_t len;

	if (s->beat_fd < 0)
		return;
	len = recv(s->beat_fd, buf, sizeof(buf) - 1, 0);
	if (len < 0 && errno == EAGAIN && now < s->beat_until)
		return;
	close(s->beat_fd);
	s->beat_fd = -1;
	if (len < 12 || buf[9] != '2')
		return;
	if (s->leaving) {
		fprintf(record, "%lld left %d\n", now, s->number);
		end_server(s);
	} else if (s->beat_draining && !s->drain_said) {
		s->drain_said = 1;
		fprintf(record, "%lld draining %d\n", now, s->number);
	}
}

/* -- the loop ------------------------------------------------------------- */

static void read_commands(void)
{
	static char line[256];
	static size_t have;
	ssize_t len = read(0, line + have, sizeof(line) - 1 - have);
	char *end;

	if (len <= 0)
		return;
	have += (size_t)len;
	line[have] = '\0';
	while ((end = strchr(line, '\n'))) {
		char word[32] = "";
		int number = 0;
		int i;

		*end = '\0';
		sscanf(line, "%31s %d", word, &number);
		fprintf(record, "%lld command %s\n", wall_ms(), line);
		if (!strcmp(word, "stop"))
			stopped = 1;
		for (i = 0; i < server_count; i++) {
			struct server *s = &servers[i];

			if (s->number != number)
				continue;
			if (!strcmp(word, "drain"))
				s->draining = 1;
			else if (!strcmp(word, "leave"))
				s->leaving = 1;
			else if (!strcmp(word, "crash") && s->up)
				end_server(s);
			else if (!strcmp(word, "start") && !s->up)
				start_server(s);
			s->beat_at = 0;
		}
		have -= (size_t)(end + 1 - line);
		memmove(line, end + 1, have + 1);
	}
}

int main(int argc, char **argv)
{
	struct pollfd fds[CLIENTS + SERVERS];
	struct sockaddr_in from;
	long long until;
	long long last;
	uint8_t p[2048];
	int what = 0;
	int i;

	if (argc < 5)
		return 2;
	net = atoi(argv[1]);
	record = fopen(argv[3], "a");
	if (!record)
		return 2;
	setvbuf(record, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	fcntl(0, F_SETFL, O_NONBLOCK);
	srand((unsigned)getpid());
	for (i = 4; i < argc; i++) {
		if (!strcmp(argv[i], "-c") || !strcmp(argv[i], "-s")) {
			what = argv[i][1];
		} else if (what == 'c' && client_count < CLIENTS) {
			struct client *c = &clients[client_count++];

			if (sscanf(argv[i], "%d:%d:%lf:%d", &c->balancer,
				   &c->port, &c->per_second, &c->keep_ms) < 3)
				return 2;
			c->fd = open_socket(SOCK_DGRAM, ip_of(3, client_count),
					    8172);
		} else if (what == 's' && server_count < SERVERS) {
			struct server *s = &servers[server_count++];

			if (sscanf(argv[i], "%d:%63[^:]:%63s", &s->number,
				   s->service, s->zone) != 3)
				return 2;
			start_server(s);
		}
	}
	last = wall_ms();
	until = last + atoll(argv[2]) * 1000;
	while (wall_ms() < until) {
		long long now = wall_ms();
		int n = 0;

		read_commands();
		for (i = 0; i < client_count; i++)
			fds[n++] = (struct pollfd){ clients[i].fd, POLLIN, 0 };
		for (i = 0; i < server_count; i++) {
			struct server *s = &servers[i];

			if (s->up) {
				accept_health(s);
				if (s->beat_fd < 0 && now >= s->beat_at)
					beat(s, now);
				else
					check_beat(s, now);
			}
			fds[n++] = (struct pollfd){ s->up ? s->fd : -1, POLLIN,
						    0 };
		}
		for (i = 0; i < client_count; i++) {
			struct client *c = &clients[i];

			c->due += (double)(now - last) * c->per_second / 1000;
			for (; c->due >= 1; c->due--)
				if (!stopped && now < until - 2500)
					start_flow(c);
		}
		last = now;
		poll(fds, (nfds_t)n, 2);
		for (i = 0; i < n; i++) {
			ssize_t len;
			int most = 64;

			if (fds[i].fd < 0 || !(fds[i].revents & POLLIN))
				continue;
			while (most-- &&
			       (len = recvfrom(fds[i].fd, p, sizeof(p), 0,
					       (struct sockaddr *)&from,
					       &(socklen_t){ sizeof(from) })) >
				       0) {
				if (i < client_count)
					on_client_packet(
						p, len,
						inet_ntoa(from.sin_addr));
				else
					on_server_packet(
						&servers[i - client_count], p,
						len);
			}
		}
		for (i = 0; i < FLOWS; i++)
			on_client_timer(&flows[i], now);
	}
	return 0;
}
