/*
 * kv - client of the platform's key-value service
 *
 * Speaks the Consul KV interface over HTTP: reads with an index, blocking
 * reads as watches, and check-and-set writes. One struct kv per thread.
 */
#ifndef JUJUBE_KV_H
#define JUJUBE_KV_H

#include "http.h"
#include "jujube/edit.h"
#include "jujube/metric.h"

#define KV_VALUE_MAX (1u << 20) /* bytes; limit of the platform */

struct kv {
	struct htc http;
	uint32_t timeout_ms;
	struct met *met;
	char *body;
	size_t body_len;
	uint64_t header_index;
};

/*
 * JJ_INVALID: url is not "http://ip:port"; JJ_SYSTEM: out of memory. A non-zero
 * *stop ends a call early.
 */
enum jj_status kv_init(struct kv *kv, const char *url, uint32_t timeout_ms,
		       struct met *met, const JJ_ATOMIC(int) * stop);
void kv_finish(struct kv *kv);

/*
 * Reads a key. With wait_s > 0 the platform responds when the key's index is
 * higher than after, or when wait_s have passed. *value is on the heap for
 * EDT_READ_VALUE. *index is the key's index, or for an absent key the index to
 * pass as after in the next read.
 */
enum edt_read kv_get(struct kv *kv, const char *key, uint64_t after,
		     uint32_t wait_s, uint8_t **value, size_t *len,
		     uint64_t *index);

/* Writes a key if its index still equals index (0: if it is still absent). */
enum edt_swap kv_swap(struct kv *kv, const char *key, uint64_t index,
		      const uint8_t *value, size_t len);

#endif
