/*
 * platform - stand-in for the platform's key-value service
 *
 * Speaks the part of the Consul KV interface that the product uses:
 *   GET /v1/kv/KEY[?index=N&wait=Ns]   PUT /v1/kv/KEY[?cas=N]
 * and injects its failures:
 *   PUT /fault/down     no request is answered  PUT /fault/up   ends all faults
 *   PUT /fault/slow?ms=N   each request takes N ms longer
 *   PUT /fault/lose?n=N    the next N writes take effect without a reply
 *   PUT /fault/late?ms=N   the next write is applied and answered N ms late
 *   PUT /fault/older       reads show the value before the last write
 *   PUT /fault/restore     the last write of each key is undone for good
 *   PUT /fault/flags       entries have the flags of another writer: 2^64 - 1
 *   GET /stats             "reads N writes N watches N"
 *
 * usage: platform IP PORT
 */
#include <microhttpd.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define KEYS 16
#define CLOSE_CONNECTION ((enum MHD_Result)MHD_NO)

struct value {
	char *bytes;
	size_t len;
	unsigned long long index;
};

struct key {
	char name[128];
	struct value now;
	struct value before;
};

static struct key keys[KEYS];
static unsigned long long next_index = 10;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static volatile int down;
static volatile int slow_ms;
static int replies_to_lose;
static int late_ms;
static int serve_previous;
static unsigned long long flags;
static unsigned long long reads, writes, watches;

struct upload {
	char *bytes;
	size_t len;
};

static struct key *find_key(const char *name, int create)
{
	int i;

	for (i = 0; i < KEYS; i++)
		if (!strcmp(keys[i].name, name))
			return &keys[i];
	for (i = 0; create && i < KEYS; i++) {
		if (!*keys[i].name) {
			snprintf(keys[i].name, sizeof(keys[i].name), "%s",
				 name);
			return &keys[i];
		}
	}
	return NULL;
}

static enum MHD_Result reply(struct MHD_Connection *conn, unsigned code,
			     char *text, unsigned long long index)
{
	char header[32];
	enum MHD_Result result;
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_COPY);

	snprintf(header, sizeof(header), "%llu", index);
	MHD_add_response_header(response, "X-Consul-Index", header);
	result = MHD_queue_response(conn, code, response);
	MHD_destroy_response(response);
	return result;
}

static unsigned long long number_arg(struct MHD_Connection *conn,
				     const char *name)
{
	const char *text =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return text ? strtoull(text, NULL, 10) : 0;
}

static void wait_for_newer(struct key *key, unsigned long long after,
			   unsigned long long seconds)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)seconds;
	while (!down && (key ? key->now.index : 0) <= after && seconds)
		if (pthread_cond_timedwait(&changed, &lock, &until))
			break;
}

static enum MHD_Result get(struct MHD_Connection *conn, const char *name)
{
	unsigned long long after = number_arg(conn, "index");
	unsigned long long wait = number_arg(conn, "wait");
	struct value *value;
	struct key *key;
	enum MHD_Result result;
	size_t room;
	char *text;
	char *b64;

	pthread_mutex_lock(&lock);
	key = find_key(name, 1);
	if (wait && after) {
		watches++;
		wait_for_newer(key, after, wait);
	} else {
		reads++;
	}
	if (down || !key) {
		pthread_mutex_unlock(&lock);
		return CLOSE_CONNECTION;
	}
	value = serve_previous && key->before.bytes ? &key->before : &key->now;
	if (!value->bytes) {
		pthread_mutex_unlock(&lock);
		return reply(conn, MHD_HTTP_NOT_FOUND, "", next_index);
	}
	room = sodium_base64_encoded_len(value->len,
					 sodium_base64_VARIANT_ORIGINAL);
	b64 = malloc(room);
	text = malloc(room + 200);
	sodium_bin2base64(b64, room, (unsigned char *)value->bytes, value->len,
			  sodium_base64_VARIANT_ORIGINAL);
	sprintf(text,
		"[{\"LockIndex\":0,\"Key\":\"%s\",\"Flags\":%llu,"
		"\"Value\":\"%s\",\"CreateIndex\":1,\"ModifyIndex\":%llu}]",
		name, flags, b64, value->index);
	result = reply(conn, MHD_HTTP_OK, text, value->index);
	pthread_mutex_unlock(&lock);
	free(text);
	free(b64);
	return result;
}

static int store(struct key *key, const char *cas, const struct upload *up)
{
	if (cas &&
	    strtoull(cas, NULL, 10) != (key->now.bytes ? key->now.index : 0))
		return 0;
	free(key->before.bytes);
	key->before = key->now;
	key->now.bytes = malloc(up->len + 1);
	if (up->len)
		memcpy(key->now.bytes, up->bytes, up->len);
	key->now.len = up->len;
	key->now.index = ++next_index;
	pthread_cond_broadcast(&changed);
	return 1;
}

static enum MHD_Result put(struct MHD_Connection *conn, const char *name,
			   const struct upload *up)
{
	const char *cas =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "cas");
	int lost = 0;
	int late = 0;
	int done;

	pthread_mutex_lock(&lock);
	late = late_ms;
	late_ms = 0;
	pthread_mutex_unlock(&lock);
	if (late)
		usleep((unsigned)late * 1000);
	pthread_mutex_lock(&lock);
	writes++;
	done = store(find_key(name, 1), cas, up);
	if (replies_to_lose > 0) {
		replies_to_lose--;
		lost = 1;
	}
	pthread_mutex_unlock(&lock);
	if (lost)
		return CLOSE_CONNECTION;
	return reply(conn, MHD_HTTP_OK, done ? "true" : "false", next_index);
}

static void undo_last_writes(void)
{
	int i;

	for (i = 0; i < KEYS; i++) {
		struct key *key = &keys[i];

		if (!key->before.bytes)
			continue;
		free(key->now.bytes);
		key->now = key->before;
		key->before = (struct value){ 0 };
	}
	pthread_cond_broadcast(&changed);
}

static enum MHD_Result set_fault(struct MHD_Connection *conn, const char *name)
{
	pthread_mutex_lock(&lock);
	if (!strcmp(name, "down")) {
		down = 1;
		pthread_cond_broadcast(&changed);
	} else if (!strcmp(name, "up")) {
		down = slow_ms = replies_to_lose = late_ms = serve_previous = 0;
		flags = 0;
	} else if (!strcmp(name, "slow")) {
		slow_ms = (int)number_arg(conn, "ms");
	} else if (!strcmp(name, "lose")) {
		replies_to_lose = (int)number_arg(conn, "n");
	} else if (!strcmp(name, "late")) {
		late_ms = (int)number_arg(conn, "ms");
	} else if (!strcmp(name, "older")) {
		serve_previous = 1;
	} else if (!strcmp(name, "flags")) {
		flags = ~0ull;
	} else if (!strcmp(name, "restore")) {
		undo_last_writes();
	}
	pthread_mutex_unlock(&lock);
	return reply(conn, MHD_HTTP_OK, "ok\n", next_index);
}

static enum MHD_Result dispatch(struct MHD_Connection *conn, const char *url,
				const char *method, const struct upload *up)
{
	char text[128];

	if (!strncmp(url, "/fault/", 7))
		return set_fault(conn, url + 7);
	if (!strcmp(url, "/stats")) {
		snprintf(text, sizeof(text),
			 "reads %llu writes %llu watches %llu\n", reads, writes,
			 watches);
		return reply(conn, MHD_HTTP_OK, text, next_index);
	}
	if (slow_ms)
		usleep((unsigned)slow_ms * 1000);
	if (down || strncmp(url, "/v1/kv/", 7) != 0)
		return CLOSE_CONNECTION;
	if (!strcmp(method, "PUT"))
		return put(conn, url + 7, up);
	return get(conn, url + 7);
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct upload *up = *state;

	(void)ctx;
	(void)version;
	if (!up) {
		*state = calloc(1, sizeof(*up));
		return MHD_YES;
	}
	if (!*len)
		return dispatch(conn, url, method, up);
	up->bytes = realloc(up->bytes, up->len + *len);
	memcpy(up->bytes + up->len, data, *len);
	up->len += *len;
	*len = 0;
	return MHD_YES;
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct upload *up = *state;

	(void)ctx;
	(void)conn;
	(void)code;
	if (up)
		free(up->bytes);
	free(up);
}

int main(int argc, char **argv)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct MHD_Daemon *daemon;
	sigset_t set;
	int sig;

	if (argc != 3 || inet_pton(AF_INET, argv[1], &addr.sin_addr) != 1) {
		fprintf(stderr, "usage: platform IP PORT\n");
		return 2;
	}
	addr.sin_port = htons((uint16_t)atoi(argv[2]));
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &addr,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!daemon) {
		fprintf(stderr, "platform: cannot listen\n");
		return 1;
	}
	sigwait(&set, &sig);
	_exit(0);
}
