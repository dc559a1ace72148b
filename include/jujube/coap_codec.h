/*
 * coap_codec - CoAP decoding and encoding for the callers' datagrams
 *
 * CoAP: RFC 7252, 7641 (Observe), 7959 (Block), 9175 (Echo, Request-Tag),
 * parsed and encoded by libcoap. The rest of the code uses only struct cx_msg,
 * so that another protocol needs only another codec.
 * Stateless and thread safe.
 */
#ifndef JUJUBE_COAP_CODEC_H
#define JUJUBE_COAP_CODEC_H

#include "jujube/status.h"

#define CX_DATAGRAM_MAX 1400 /* bytes */
#define CX_TOKEN_MAX 8
#define CX_ECHO_MAX 40

enum cx_kind {
	CX_EMPTY, /* acknowledgement, reset or ping */
	CX_REQUEST,
	CX_RESPONSE,
};

enum cx_type { CX_CON, CX_NON, CX_ACK, CX_RST };

struct cx_msg {
	enum cx_kind kind;
	uint8_t type; /* enum cx_type */
	uint8_t code;
	uint16_t mid;
	uint8_t token_len;
	uint8_t token[CX_TOKEN_MAX];
	uint8_t echo_len;
	uint8_t echo[CX_ECHO_MAX];
	int observe; /* Observe value, -1: absent */
	int block2; /* Block2 block number, -1: absent */
	uint8_t more_blocks; /* M bit of Block2 */
	uint8_t unsafe; /* POST, PUT, PATCH, iPATCH, DELETE */
	uint32_t deadline_ms; /* query deadline_ms=N, 0: none */
	uint16_t payload_len; /* the last bytes of the datagram */
	uint64_t digest; /* of code, options except Echo, and payload */
};

/* Returns JJ_MALFORMED if the datagram is not a CoAP message. */
enum jj_status cx_parse(const uint8_t *data, size_t len, struct cx_msg *msg);

#define CX_UNAUTHORIZED 0x81 /* 4.01 */
#define CX_UNAVAILABLE 0xa3 /* 5.03 */
#define CX_GATEWAY_TIMEOUT 0xa4 /* 5.04 */

struct cx_answer {
	uint8_t code;
	const uint8_t *echo; /* null: none */
	uint8_t echo_len;
	uint32_t max_age_s; /* 0: none */
	const char *text; /* diagnostic payload, null: none */
};

/* Encodes an answer to request; returns its length, 0: buf is too small. */
size_t cx_write_answer(uint8_t *buf, size_t size, const struct cx_msg *request,
		       const struct cx_answer *answer);

/*
 * Copies a stored answer to buf with the type, message id and token that
 * answer request. Returns its length, 0: buf is too small, or no valid answer.
 */
size_t cx_rewrite_answer(uint8_t *buf, size_t size,
			 const struct cx_msg *request, const uint8_t *answer,
			 size_t len);

/* Encodes an empty message (acknowledgement or reset); returns its length. */
size_t cx_write_empty(uint8_t *buf, size_t size, enum cx_type type,
		      uint16_t mid);

/* Set a field of an encoded message. */
void cx_set_mid(uint8_t *data, uint16_t mid);
void cx_set_type(uint8_t *data, enum cx_type type);

#endif
