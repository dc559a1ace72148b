/* Messages of the target: answers and notifications (RFC 7641). */
#include "agent_internal.h"

#include <string.h>

#define FEED_ENDED "feed ended"
#define OBSERVE_AGAIN_S 1

/* -- towards the target -------------------------------------------------- */

static void send_empty_to_target(const struct agt_call *call,
				 struct agt_shard *shard, struct agt_flow *flow,
				 enum cx_type type, uint16_t mid)
{
	struct agt *agt = call->agt;
	uint8_t buf[8];
	size_t len = cx_write_empty(buf, sizeof(buf), type, mid);

	if (agt->desc.hooks.send_to_target(agt->desc.hooks.ctx,
					   agt_flow_handle(agt, shard, flow),
					   buf, len) > 0)
		agt_fail_sent_requests(call, shard, flow, NULL);
}

/* -- observations -------------------------------------------------------- */

static struct agt_observation *find_observation(struct agt_flow *flow,
						const struct cx_msg *msg)
{
	uint8_t i;

	for (i = 0; i < flow->observation_count; i++) {
		struct agt_observation *observation = &flow->observations[i];

		if (observation->token_len == msg->token_len &&
		    !memcmp(observation->token, msg->token, msg->token_len))
			return observation;
	}
	return NULL;
}

/* Observation with msg's token, added if new; null: no space. */
static struct agt_observation *find_or_add_observation(struct agt_flow *flow,
						       const struct cx_msg *msg)
{
	struct agt_observation *observation = find_observation(flow, msg);

	flow->observed = 1;
	if (observation || flow->observation_count == AGT_OBSERVATIONS_MAX)
		return observation;
	observation = &flow->observations[flow->observation_count++];
	*observation = (struct agt_observation){ .token_len = msg->token_len };
	memcpy(observation->token, msg->token, msg->token_len);
	return observation;
}

/* Notifies the caller that its observations have ended (RFC 7641, 3.2). */
void agt_end_observations(const struct agt_call *call, struct agt_flow *flow)
{
	struct cx_answer answer = { .code = CX_UNAVAILABLE,
				    .max_age_s = OBSERVE_AGAIN_S,
				    .text = FEED_ENDED };
	uint8_t i;

	for (i = 0; i < flow->observation_count; i++) {
		struct agt_observation *observation = &flow->observations[i];
		struct cx_msg msg = { .type = CX_NON, .mid = flow->next_mid++ };
		uint8_t buf[128];
		size_t len;

		msg.token_len = observation->token_len;
		memcpy(msg.token, observation->token, observation->token_len);
		len = cx_write_answer(buf, sizeof(buf), &msg, &answer);
		agt_send_to_caller(call, flow, buf, len);
	}
	flow->observation_count = 0;
	flow->observed = 0;
}

/*
 * Handles a notification, or an answer whose request is no longer pending. If
 * the caller of an observation is gone, a reset makes the target end it.
 */
static void on_notification(const struct agt_call *call,
			    struct agt_shard *shard, struct agt_flow *flow,
			    const struct cx_msg *msg, uint8_t *data, size_t len)
{
	struct agt_observation *observation =
		msg->observe >= 0 ? find_or_add_observation(flow, msg) : NULL;

	if (observation && observation->ended) {
		send_empty_to_target(call, shard, flow, CX_RST, msg->mid);
		return;
	}
	if (msg->type == CX_CON)
		send_empty_to_target(call, shard, flow, CX_ACK, msg->mid);
	if (observation) {
		/* Rotate over the balancers, so that each learns the holder. */
		flow->via_id = 0;
		flow->balancer_rotation++;
		observation->mid = msg->mid;
		if (msg->type == CX_CON &&
		    ++observation->unacknowledged >= AGT_UNACKED_MAX)
			observation->ended = 1;
	} else {
		cx_set_type(data, CX_NON);
		cx_set_mid(data, flow->next_mid++);
	}
	agt_send_to_caller(call, flow, data, len);
}

/* Handles an acknowledgement, a reset or a ping of the caller. */
void agt_on_empty_message(const struct agt_rx *rx, struct agt_flow *flow)
{
	uint8_t buf[8];
	size_t len;
	uint8_t i;

	if (rx->msg.type == CX_CON) {
		len = cx_write_empty(buf, sizeof(buf), CX_RST, rx->msg.mid);
		agt_send_to_caller(rx->call, flow, buf, len);
		return;
	}
	for (i = 0; i < flow->observation_count; i++) {
		struct agt_observation *observation = &flow->observations[i];

		if (observation->mid != rx->msg.mid)
			continue;
		observation->unacknowledged = 0;
		if (rx->msg.type == CX_RST)
			observation->ended = 1;
	}
}

/* -- from the target ----------------------------------------------------- */

static void on_response(const struct agt_call *call, struct agt_shard *shard,
			struct agt_flow *flow, const struct cx_msg *msg,
			uint8_t *data, size_t len)
{
	struct agt_pending *pending = agt_find_pending(shard, flow->key, msg);

	if (!pending || pending->state != AGT_REQUEST_SENT) {
		on_notification(call, shard, flow, msg, data, len);
		return;
	}
	if (msg->type == CX_CON)
		send_empty_to_target(call, shard, flow, CX_ACK, msg->mid);
	if (msg->observe >= 0)
		find_or_add_observation(flow, msg);
	agt_on_answer(call, shard, pending, msg, data, len);
}

void agt_on_target_datagram(const struct agt_call *call, uint32_t handle,
			    const uint8_t *data, size_t len)
{
	struct agt_shard *shard;
	struct agt_flow *flow;
	uint8_t copy[CX_DATAGRAM_MAX];
	struct cx_msg msg;

	if (len > sizeof(copy) || cx_parse(data, len, &msg) != JJ_OK) {
		met_add(call->agt->desc.met, MET_BAD_FRAME, 1);
		return;
	}
	memcpy(copy, data, len);
	shard = agt_shard_by_handle(call->agt, handle);
	pthread_mutex_lock(&shard->lock);
	flow = agt_flow_by_handle(call->agt, shard, handle);
	if (flow && msg.kind == CX_RESPONSE) {
		flow->last_active = call->now;
		on_response(call, shard, flow, &msg, copy, len);
	}
	pthread_mutex_unlock(&shard->lock);
	agt_start_queued(call);
}

void agt_on_target_refused(const struct agt_call *call, uint32_t handle)
{
	struct agt_shard *shard = agt_shard_by_handle(call->agt, handle);
	struct agt_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = agt_flow_by_handle(call->agt, shard, handle);
	if (flow)
		agt_fail_sent_requests(call, shard, flow, NULL);
	pthread_mutex_unlock(&shard->lock);
	agt_start_queued(call);
}
