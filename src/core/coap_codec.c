#include "jujube/coap_codec.h"

#include <coap3/coap.h>
#include <string.h>
#include "jujube/rank.h"

#define CX_HEADER 4
#define CX_PAYLOAD_MARK 0xff
#define CX_ECHO_NUMBER 252

/* -- decoding ------------------------------------------------------------ */

static uint32_t decode_uint(const coap_opt_t *option)
{
	return coap_decode_var_bytes(coap_opt_value(option),
				     coap_opt_length(option));
}

static void parse_block2(struct cx_msg *msg, const coap_opt_t *option)
{
	uint32_t value = decode_uint(option);

	msg->block2 = (int)(value >> 4);
	msg->more_blocks = value >> 3 & 1;
}

/* Sets the deadline of a query deadline_ms=N; one that is not a number is none. */
static void parse_deadline(struct cx_msg *msg, const coap_opt_t *option)
{
	static const char name[] = "deadline_ms=";
	const uint8_t *text = coap_opt_value(option);
	size_t len = coap_opt_length(option);
	uint64_t number = 0;
	size_t i;

	if (len < sizeof(name) - 1 || memcmp(text, name, sizeof(name) - 1) != 0)
		return;
	for (i = sizeof(name) - 1; i < len; i++) {
		if (text[i] < '0' || text[i] > '9')
			return;
		number = number * 10 + (uint64_t)(text[i] - '0');
		if (number > UINT32_MAX)
			number = UINT32_MAX;
	}
	msg->deadline_ms = (uint32_t)number;
}

static uint64_t hash_field(uint64_t digest, uint64_t tag, const uint8_t *data,
			   size_t len)
{
	uint64_t parts[3] = { digest, tag, rnk_hash(data, len) };

	return rnk_hash(parts, sizeof(parts));
}

static void parse_option(struct cx_msg *msg, uint16_t number,
			 const coap_opt_t *option)
{
	size_t len = coap_opt_length(option);

	if (number == CX_ECHO_NUMBER) {
		if (len <= sizeof(msg->echo)) {
			memcpy(msg->echo, coap_opt_value(option), len);
			msg->echo_len = (uint8_t)len;
		}
		return;
	}
	if (number == COAP_OPTION_OBSERVE)
		msg->observe = (int)decode_uint(option);
	else if (number == COAP_OPTION_BLOCK2)
		parse_block2(msg, option);
	else if (number == COAP_OPTION_URI_QUERY)
		parse_deadline(msg, option);
	msg->digest =
		hash_field(msg->digest, number, coap_opt_value(option), len);
}

static int is_unsafe(uint8_t code)
{
	return (code >= COAP_REQUEST_CODE_POST &&
		code <= COAP_REQUEST_CODE_DELETE) ||
	       code == COAP_REQUEST_CODE_PATCH ||
	       code == COAP_REQUEST_CODE_IPATCH;
}

static enum cx_kind message_kind(uint8_t code)
{
	if (!code)
		return CX_EMPTY;
	return code >> 5 ? CX_RESPONSE : CX_REQUEST;
}

static void parse_pdu(const coap_pdu_t *pdu, struct cx_msg *msg)
{
	coap_bin_const_t token = coap_pdu_get_token(pdu);
	coap_opt_iterator_t iter;
	const uint8_t *payload;
	coap_opt_t *option;
	size_t len = 0;

	msg->type = (uint8_t)coap_pdu_get_type(pdu);
	msg->code = (uint8_t)coap_pdu_get_code(pdu);
	msg->mid = (uint16_t)coap_pdu_get_mid(pdu);
	msg->kind = message_kind(msg->code);
	msg->unsafe = is_unsafe(msg->code);
	msg->digest = msg->code;
	msg->token_len = (uint8_t)token.length;
	if (token.length)
		memcpy(msg->token, token.s, token.length);
	if (coap_option_iterator_init(pdu, &iter, COAP_OPT_ALL))
		while ((option = coap_option_next(&iter)))
			parse_option(msg, iter.number, option);
	if (!coap_get_data(pdu, &len, &payload))
		return;
	msg->payload_len = (uint16_t)len;
	msg->digest = hash_field(msg->digest, UINT64_MAX, payload, len);
}

enum jj_status cx_parse(const uint8_t *data, size_t len, struct cx_msg *msg)
{
	enum jj_status status = JJ_MALFORMED;
	coap_pdu_t *pdu;

	memset(msg, 0, sizeof(*msg));
	msg->observe = -1;
	msg->block2 = -1;
	if (len < CX_HEADER || len > CX_DATAGRAM_MAX ||
	    (data[0] & 0x0f) > CX_TOKEN_MAX)
		return JJ_MALFORMED;
	pdu = coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, len);
	if (!pdu)
		return JJ_SYSTEM;
	if (coap_pdu_parse(COAP_PROTO_UDP, data, len, pdu)) {
		parse_pdu(pdu, msg);
		status = JJ_OK;
	}
	coap_delete_pdu(pdu);
	return status;
}

/* -- encoding ------------------------------------------------------------ */

static size_t write_header(uint8_t *buf, uint8_t type, uint8_t code,
			   uint16_t mid, const uint8_t *token,
			   uint8_t token_len)
{
	buf[0] = (uint8_t)(1 << 6 | type << 4 | token_len);
	buf[1] = code;
	cx_set_mid(buf, mid);
	if (token_len)
		memcpy(buf + CX_HEADER, token, token_len);
	return CX_HEADER + (size_t)token_len;
}

void cx_set_mid(uint8_t *data, uint16_t mid)
{
	data[2] = (uint8_t)(mid >> 8);
	data[3] = (uint8_t)mid;
}

void cx_set_type(uint8_t *data, enum cx_type type)
{
	data[0] = (uint8_t)((data[0] & 0xcf) | type << 4);
}

size_t cx_write_empty(uint8_t *buf, size_t size, enum cx_type type,
		      uint16_t mid)
{
	if (size < CX_HEADER)
		return 0;
	return write_header(buf, (uint8_t)type, 0, mid, NULL, 0);
}

size_t cx_rewrite_answer(uint8_t *buf, size_t size,
			 const struct cx_msg *request, const uint8_t *answer,
			 size_t len)
{
	uint8_t type = request->type == CX_CON ? CX_ACK : CX_NON;
	size_t skip = CX_HEADER;
	size_t used;

	if (len < CX_HEADER || size < len + CX_TOKEN_MAX)
		return 0;
	skip += answer[0] & 0x0f;
	if (skip > len)
		return 0;
	used = write_header(buf, type, answer[1], request->mid, request->token,
			    request->token_len);
	memcpy(buf + used, answer + skip, len - skip);
	return used + len - skip;
}

size_t cx_write_answer(uint8_t *buf, size_t size, const struct cx_msg *request,
		       const struct cx_answer *answer)
{
	uint8_t type = request->type == CX_CON ? CX_ACK : CX_NON;
	size_t text_len = answer->text ? strlen(answer->text) : 0;
	uint16_t last = 0;
	uint8_t age[4];
	size_t used;

	if (size < CX_HEADER + CX_TOKEN_MAX + CX_ECHO_MAX + 16 + text_len)
		return 0;
	used = write_header(buf, type, answer->code, request->mid,
			    request->token, request->token_len);
	if (answer->max_age_s) {
		unsigned len = coap_encode_var_safe(age, sizeof(age),
						    answer->max_age_s);

		used += coap_opt_encode(buf + used, size - used,
					COAP_OPTION_MAXAGE, age, len);
		last = COAP_OPTION_MAXAGE;
	}
	if (answer->echo)
		used += coap_opt_encode(buf + used, size - used,
					(uint16_t)(CX_ECHO_NUMBER - last),
					answer->echo, answer->echo_len);
	if (text_len) {
		buf[used++] = CX_PAYLOAD_MARK;
		memcpy(buf + used, answer->text, text_len);
		used += text_len;
	}
	return used;
}
