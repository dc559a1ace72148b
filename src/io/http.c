#include "http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/table.h"
#include "net.h"

#define STOP_CHECK_MS 250 /* interval to check the stop flag */
/* Detects a dead connection in KEEPALIVE_S * (KEEPALIVE_PROBES + 1) seconds. */
#define KEEPALIVE_S 1
#define KEEPALIVE_PROBES 2

/* -- client -------------------------------------------------------------- */

enum jj_status htc_init(struct htc *htc, uint32_t ip, uint16_t port,
			const _Atomic int *stop)
{
	memset(htc, 0, sizeof(*htc));
	snprintf(htc->host, sizeof(htc->host), "%u.%u.%u.%u", ip >> 24,
		 ip >> 16 & 255, ip >> 8 & 255, ip & 255);
	htc->port = port;
	htc->stop = stop;
	htc->base = event_base_new();
	return htc->base ? JJ_OK : JJ_SYSTEM;
}

static void close_connection(struct htc *htc)
{
	if (htc->conn)
		evhttp_connection_free(htc->conn);
	htc->conn = NULL;
}

void htc_finish(struct htc *htc)
{
	close_connection(htc);
	event_base_free(htc->base);
	free(htc->body);
}

/* request is null, or has no code, when the connection has failed. */
static void on_response(struct evhttp_request *request, void *ctx)
{
	struct htc *htc = ctx;
	const char *header = NULL;
	struct evbuffer *in;

	htc->done = 1;
	event_base_loopbreak(htc->base);
	if (!request)
		return;
	htc->code = evhttp_request_get_response_code(request);
	if (htc->header_name)
		header = evhttp_find_header(
			evhttp_request_get_input_headers(request),
			htc->header_name);
	snprintf(htc->header_value, sizeof(htc->header_value), "%s",
		 header ? header : "");
	in = evhttp_request_get_input_buffer(request);
	htc->len = evbuffer_get_length(in);
	if (!htc->code || !htc->len)
		return;
	htc->body = malloc(htc->len + 1);
	if (!htc->body) {
		htc->code = 0;
		return;
	}
	evbuffer_remove(in, htc->body, htc->len);
	htc->body[htc->len] = '\0';
}

static void enable_keepalive(struct evhttp_connection *conn)
{
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));
	int on = 1;
	int idle = KEEPALIVE_S;
	int count = KEEPALIVE_PROBES;
	unsigned limit_ms = KEEPALIVE_S * (KEEPALIVE_PROBES + 1) * 1000;

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
		   sizeof(limit_ms));
}

static int send_request(struct htc *htc, enum evhttp_cmd_type method,
			const char *path, const char *body, size_t len)
{
	struct evhttp_request *request;
	struct evkeyvalq *headers;
	char host[32];

	if (!htc->conn) {
		htc->conn = evhttp_connection_base_new(htc->base, NULL,
						       htc->host, htc->port);
		if (!htc->conn)
			return 0;
		evhttp_connection_set_max_body_size(htc->conn,
						    HTC_RESPONSE_MAX);
	}
	request = evhttp_request_new(on_response, htc);
	if (!request)
		return 0;
	headers = evhttp_request_get_output_headers(request);
	snprintf(host, sizeof(host), "%s:%u", htc->host, htc->port);
	evhttp_add_header(headers, "Host", host);
	if (body) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     len);
	}
	if (evhttp_make_request(htc->conn, request, method, path))
		return 0;
	enable_keepalive(htc->conn);
	return 1;
}

/* Bytes of the response that have arrived and were not read yet. */
static size_t received(const struct htc *htc)
{
	struct bufferevent *stream;

	if (htc->done || !htc->conn)
		return 0;
	stream = evhttp_connection_get_bufferevent(htc->conn);
	return evbuffer_get_length(bufferevent_get_input(stream));
}

static void wait_for_response(struct htc *htc, uint32_t timeout_ms)
{
	uint64_t now = net_now_ms();
	uint64_t until = now + timeout_ms;
	uint64_t latest = until + HTC_RESPONSE_MAX_MS;
	size_t before = 0;

	while (!htc->done && now < until && !(htc->stop && *htc->stop)) {
		uint64_t slice = until - now < STOP_CHECK_MS ? until - now :
							       STOP_CHECK_MS;
		struct timeval tv = { .tv_usec = (long)slice * 1000 };

		event_base_loopexit(htc->base, &tv);
		event_base_dispatch(htc->base);
		now = net_now_ms();
		if (received(htc) > before && until < now + HTC_STALL_MS)
			until = now + HTC_STALL_MS < latest ?
					now + HTC_STALL_MS :
					latest;
		before = received(htc);
	}
}

int htc_call(struct htc *htc, enum evhttp_cmd_type method, const char *path,
	     const char *request, size_t request_len, uint32_t timeout_ms,
	     char **body, size_t *len)
{
	htc->done = 0;
	htc->code = 0;
	htc->body = NULL;
	htc->len = 0;
	*htc->header_value = '\0';
	if (send_request(htc, method, path, request, request_len))
		wait_for_response(htc, timeout_ms);
	if (!htc->code)
		close_connection(htc);
	*body = htc->body;
	*len = htc->len;
	htc->body = NULL;
	return htc->code;
}

/* -- server -------------------------------------------------------------- */

static void on_request(struct evhttp_request *from, void *ctx)
{
	struct hts_address *address = ctx;
	struct evbuffer *in = evhttp_request_get_input_buffer(from);
	struct evbuffer *out = evhttp_request_get_output_buffer(from);
	struct hts_request request = {
		.tag = address->tag,
		.method = evhttp_request_get_command(from),
		.path = evhttp_request_get_uri(from),
		.len = evbuffer_get_length(in),
	};
	struct hts_response response = { .code = 404,
					 .type = "application/json" };

	request.body = request.len ? (char *)evbuffer_pullup(in, -1) : "";
	address->hts->handler(address->hts->ctx, &request, &response);
	evhttp_add_header(evhttp_request_get_output_headers(from),
			  "Content-Type", response.type);
	if (response.body)
		evbuffer_add(out, response.body, strlen(response.body));
	free(response.body);
	evhttp_send_reply(from, response.code, NULL, NULL);
}

enum jj_status hts_init(struct hts *hts, hts_handler handler, void *ctx,
			struct jj_error *err)
{
	memset(hts, 0, sizeof(*hts));
	hts->handler = handler;
	hts->ctx = ctx;
	hts->base = event_base_new();
	if (!hts->base)
		return st_fail(err, JJ_SYSTEM, "cannot create a libevent base");
	return JJ_OK;
}

enum jj_status hts_listen(struct hts *hts, const char *address, uint32_t tag,
			  struct jj_error *err)
{
	struct hts_address *to = &hts->addresses[hts->count];
	uint32_t ip;
	uint16_t port;
	char host[16];

	if (hts->count == HTS_ADDRESSES)
		return st_fail(err, JJ_FULL, "too many listening addresses");
	if (tbl_parse_address(address, &ip, &port, err) != JJ_OK)
		return JJ_INVALID;
	snprintf(host, sizeof(host), "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		 ip >> 8 & 255, ip & 255);
	*to = (struct hts_address){ .hts = hts,
				    .tag = tag,
				    .http = evhttp_new(hts->base) };
	if (!to->http || evhttp_bind_socket(to->http, host, port))
		return st_fail(err, JJ_SYSTEM, "cannot listen on %s", address);
	evhttp_set_allowed_methods(to->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
						     EVHTTP_REQ_POST |
						     EVHTTP_REQ_DELETE);
	evhttp_set_max_body_size(to->http, HTS_REQUEST_MAX);
	evhttp_set_gencb(to->http, on_request, to);
	hts->count++;
	return JJ_OK;
}

static void *run_server(void *arg)
{
	struct hts *hts = arg;

	while (!hts->stopping) {
		struct timeval tv = { .tv_usec = STOP_CHECK_MS * 1000 };

		event_base_loopexit(hts->base, &tv);
		event_base_dispatch(hts->base);
	}
	return NULL;
}

enum jj_status hts_start(struct hts *hts, struct jj_error *err)
{
	if (pthread_create(&hts->thread, NULL, run_server, hts))
		return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	hts->running = 1;
	return JJ_OK;
}

void hts_finish(struct hts *hts)
{
	uint32_t i;

	hts->stopping = 1;
	if (hts->running)
		pthread_join(hts->thread, NULL);
	for (i = 0; i < hts->count; i++)
		evhttp_free(hts->addresses[i].http);
	event_base_free(hts->base);
}
