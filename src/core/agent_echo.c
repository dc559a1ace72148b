/* Echo values (RFC 9175): bind a request to an agent and its incarnation. */
#include "agent_internal.h"

#include <sodium.h>
#include <string.h>

/*
 * Encoding: agent, incarnation, time of issue in seconds, hash of the token of
 * the challenged request, SipHash tag truncated to 12 bytes. The tag also
 * covers the flow key.
 */
#define ECHO_AGENT 0
#define ECHO_INCARNATION 8
#define ECHO_ISSUED 16
#define ECHO_TOKEN_HASH 20
#define ECHO_TAG 28
#define ECHO_TAG_BYTES 12

static void compute_echo_tag(const struct agt_echo_key *key,
			     const uint8_t *echo, uint64_t flow,
			     uint8_t tag[16])
{
	uint8_t tagged_data[ECHO_TAG + sizeof(flow)];

	memcpy(tagged_data, echo, ECHO_TAG);
	memcpy(tagged_data + ECHO_TAG, &flow, sizeof(flow));
	crypto_shorthash_siphashx24(tag, tagged_data, sizeof(tagged_data),
				    key->key);
}

void agt_write_echo(const struct agt_rx *rx, uint8_t echo[AGT_ECHO_BYTES])
{
	const struct agt *agt = rx->call->agt;
	uint32_t issued = (uint32_t)(rx->call->now / 1000000);
	uint64_t token_hash = rnk_hash(rx->msg.token, rx->msg.token_len);
	uint8_t tag[16];

	memcpy(echo + ECHO_AGENT, &agt->desc.id, 8);
	memcpy(echo + ECHO_INCARNATION, &agt->desc.incarnation, 8);
	memcpy(echo + ECHO_ISSUED, &issued, 4);
	memcpy(echo + ECHO_TOKEN_HASH, &token_hash, 8);
	compute_echo_tag(&agt->echo_keys[0], echo, rx->packet->flow, tag);
	memcpy(echo + ECHO_TAG, tag, ECHO_TAG_BYTES);
}

static const struct agt_echo_key *find_echo_key(const struct agt *agt,
						uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < agt->echo_key_count; i++)
		if (agt->echo_keys[i].incarnation == incarnation)
			return &agt->echo_keys[i];
	return NULL;
}

/*
 * The issue time is from the clock of the issuing agent. For a value of another
 * agent, age_s is only a hint whether that agent may still be missing from the
 * view because it has just started.
 */
enum agt_echo agt_read_echo(const struct agt_rx *rx, uint64_t *agent,
			    uint32_t *age_s)
{
	const struct agt *agt = rx->call->agt;
	const uint8_t *echo = rx->msg.echo;
	const struct agt_echo_key *key;
	uint64_t incarnation;
	uint32_t issued;
	uint8_t tag[16];

	if (rx->msg.echo_len != AGT_ECHO_BYTES)
		return AGT_ECHO_NONE;
	memcpy(agent, echo + ECHO_AGENT, 8);
	memcpy(&incarnation, echo + ECHO_INCARNATION, 8);
	memcpy(&issued, echo + ECHO_ISSUED, 4);
	*age_s = (uint32_t)(rx->call->now / 1000000) - issued;
	if (*agent != agt->desc.id)
		return AGT_ECHO_OTHER;
	key = find_echo_key(agt, incarnation);
	if (!key)
		return AGT_ECHO_KEY_LOST;
	compute_echo_tag(key, echo, rx->packet->flow, tag);
	if (sodium_memcmp(tag, echo + ECHO_TAG, ECHO_TAG_BYTES))
		return AGT_ECHO_NONE;
	return AGT_ECHO_OWN;
}

uint64_t agt_echo_token_hash(const struct cx_msg *msg)
{
	uint64_t token_hash;

	memcpy(&token_hash, msg->echo + ECHO_TOKEN_HASH, 8);
	return token_hash;
}
