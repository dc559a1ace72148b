/*
 * http - HTTP client and small HTTP server, on libevent
 *
 * struct htc: client of one thread, with one persistent connection. A call
 * blocks until the response is complete, *stop is set, or the response has not
 * begun within timeout_ms. Once it has, it may take as long as its size needs:
 * the call ends when no byte arrives for HTC_STALL_MS. After a call without a response the connection is closed. TCP
 * keep-alive detects a dead connection even during a long blocking read.
 *
 * struct hts: server with one thread and several listening addresses. The
 * handler runs in that thread.
 */
#ifndef JUJUBE_HTTP_H
#define JUJUBE_HTTP_H

#include <event2/event.h>
#include <event2/http.h>
#include <pthread.h>
#include "jujube/atomic.h"
#include "jujube/status.h"

#define HTC_RESPONSE_MAX (8u << 20) /* bytes of a response body */
#define HTC_STALL_MS 1000 /* longest pause within a response */
#define HTC_RESPONSE_MAX_MS 10000 /* longest time of a response, once begun */
#define HTS_REQUEST_MAX 65536 /* bytes of a request body */
#define HTS_ADDRESSES 4

struct htc {
	struct event_base *base;
	struct evhttp_connection *conn; /* null: opened by the next call */
	char host[16];
	uint16_t port;
	const JJ_ATOMIC(int) * stop;
	const char *header_name; /* response header to read, or null */
	char header_value[64]; /* its value in the last response, or "" */
	/* state of the call in progress */
	int done;
	int code;
	char *body;
	size_t len;
};

/* JJ_SYSTEM: out of memory. */
enum jj_status htc_init(struct htc *htc, uint32_t ip, uint16_t port,
			const JJ_ATOMIC(int) * stop);
void htc_finish(struct htc *htc);

/*
 * Returns the status code of the response, 0: there was none. *body is on the
 * heap (null when empty) and ends with a zero byte that *len does not count.
 */
int htc_call(struct htc *htc, enum evhttp_cmd_type method, const char *path,
	     const char *request, size_t request_len, uint32_t timeout_ms,
	     char **body, size_t *len);

struct hts_request {
	uint32_t tag; /* of the listening address, see hts_listen() */
	enum evhttp_cmd_type method;
	const char *path;
	const char *body;
	size_t len;
};

struct hts_response {
	int code;
	const char *type;
	char *body; /* on the heap, freed by the server; null: empty */
};

typedef void (*hts_handler)(void *ctx, const struct hts_request *request,
			    struct hts_response *response);

struct hts_address {
	struct hts *hts;
	struct evhttp *http;
	uint32_t tag;
};

struct hts {
	struct event_base *base;
	struct hts_address addresses[HTS_ADDRESSES];
	uint32_t count;
	hts_handler handler;
	void *ctx;
	pthread_t thread;
	JJ_ATOMIC(int) stopping;
	int running;
};

enum jj_status hts_init(struct hts *hts, hts_handler handler, void *ctx,
			struct jj_error *err);
/* Listens on "ip:port"; requests to it carry tag. */
enum jj_status hts_listen(struct hts *hts, const char *address, uint32_t tag,
			  struct jj_error *err);
enum jj_status hts_start(struct hts *hts, struct jj_error *err);
void hts_finish(struct hts *hts);

#endif
