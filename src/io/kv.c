#include "kv.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INDEX_MAX 9007199254740992.0 /* 2^53 */

enum jj_status kv_init(struct kv *kv, const char *url, uint32_t timeout_ms,
		       struct met *met, const _Atomic int *stop)
{
	static const char scheme[] = "http://";
	uint32_t ip;
	uint16_t port;

	memset(kv, 0, sizeof(*kv));
	kv->timeout_ms = timeout_ms;
	kv->met = met;
	if (strncmp(url, scheme, strlen(scheme)) != 0 ||
	    tbl_parse_address(url + strlen(scheme), &ip, &port, NULL) != JJ_OK)
		return JJ_INVALID;
	if (htc_init(&kv->http, ip, port, stop) != JJ_OK)
		return JJ_SYSTEM;
	kv->http.header_name = "X-Consul-Index";
	return JJ_OK;
}

void kv_finish(struct kv *kv)
{
	htc_finish(&kv->http);
	free(kv->body);
}

/* Returns the HTTP status code, 0: no response. */
static int call(struct kv *kv, enum evhttp_cmd_type method, const char *path,
		const uint8_t *value, size_t len, uint32_t timeout_ms)
{
	int code;

	free(kv->body);
	kv->body = NULL;
	met_add(kv->met, MET_PLATFORM_CALLS, 1);
	code = htc_call(&kv->http, method, path, (const char *)value, len,
			timeout_ms, &kv->body, &kv->body_len);
	kv->header_index = strtoull(kv->http.header_value, NULL, 10);
	return code;
}

/* -- reading ------------------------------------------------------------- */

/*
 * Decodes the entry of a key. Writers may set "Flags" to any unsigned 64-bit
 * number, which jansson only reads as a real; indexes up to 2^53 stay exact.
 */
static enum edt_read decode(struct kv *kv, uint8_t **value, size_t *len,
			    uint64_t *index)
{
	json_t *root = json_loadb(kv->body ? kv->body : "", kv->body_len,
				  JSON_DECODE_INT_AS_REAL, NULL);
	json_t *entry = json_array_get(root, 0);
	const char *text = json_string_value(json_object_get(entry, "Value"));
	double modified =
		json_real_value(json_object_get(entry, "ModifyIndex"));
	enum edt_read result = EDT_READ_FAILED;

	*value = NULL;
	if (text && modified >= 1 && modified <= INDEX_MAX) {
		*value = malloc(strlen(text) + 1);
		if (*value &&
		    !sodium_base642bin(*value, strlen(text) + 1, text,
				       strlen(text), NULL, len, NULL,
				       sodium_base64_VARIANT_ORIGINAL)) {
			*index = (uint64_t)modified;
			result = EDT_READ_VALUE;
		}
	}
	if (result != EDT_READ_VALUE) {
		free(*value);
		*value = NULL;
	}
	json_decref(root);
	return result;
}

enum edt_read kv_get(struct kv *kv, const char *key, uint64_t after,
		     uint32_t wait_s, uint8_t **value, size_t *len,
		     uint64_t *index)
{
	char path[700];
	int code;

	*value = NULL;
	if (wait_s)
		snprintf(path, sizeof(path), "/v1/kv/%s?index=%llu&wait=%us",
			 key, (unsigned long long)after, wait_s);
	else
		snprintf(path, sizeof(path), "/v1/kv/%s?consistent", key);
	/* The platform may hold a blocking read for 1/16 longer than asked. */
	code = call(kv, EVHTTP_REQ_GET, path, NULL, 0,
		    kv->timeout_ms + wait_s * 1000 + wait_s * 1000 / 16);
	if (code == 404) {
		*index = kv->header_index;
		return EDT_READ_ABSENT;
	}
	return code == 200 ? decode(kv, value, len, index) : EDT_READ_FAILED;
}

enum edt_swap kv_swap(struct kv *kv, const char *key, uint64_t index,
		      const uint8_t *value, size_t len)
{
	char path[700];
	int code;

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=%llu", key,
		 (unsigned long long)index);
	code = call(kv, EVHTTP_REQ_PUT, path, value, len, kv->timeout_ms);
	if (code != 200 || !kv->body)
		return EDT_SWAP_UNKNOWN;
	if (!strncmp(kv->body, "true", 4))
		return EDT_SWAP_DONE;
	if (!strncmp(kv->body, "false", 5))
		return EDT_SWAP_MISMATCH;
	return EDT_SWAP_UNKNOWN;
}
