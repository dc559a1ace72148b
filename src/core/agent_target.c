/* Messages of the target: answers, notifications, and what they need. */
#include "agent_internal.h"

#include <string.h>

#define FEED_ENDED "feed ended"
#define ASK_AGAIN_S 1

/* -- towards the target -------------------------------------------------- */

static void to_target(const struct agt_call *call, struct agt_shard *shard,
		      struct agt_flow *flow, enum cx_type type, uint16_t mid)
{
	struct agt *agt = call->agt;
	uint8_t buf[8];
	size_t len = cx_write_empty(buf, sizeof(buf), type, mid);

	if (agt->desc.hooks.send_to_target(agt->desc.hooks.ctx,
					   agt_flow_handle(agt, shard, flow),
					   buf, len) > 0)
		agt_fail_flow(call, shard, flow, NULL);
}

/* -- feeds --------------------------------------------------------------- */

static struct agt_observation *find_feed(struct agt_flow *flow,
					 const struct cx_msg *msg)
{
	uint8_t i;

	for (i = 0; i < flow->observation_count; i++) {
		struct agt_observation *feed = &flow->observations[i];

		if (feed->token_len == msg->token_len &&
		    !memcmp(feed->token, msg->token, msg->token_len))
			return feed;
	}
	return NULL;
}

/* The feed of a notification, entered when it is new; null: no room. */
static struct agt_observation *obtain_feed(struct agt_flow *flow,
					   const struct cx_msg *msg)
{
	struct agt_observation *feed = find_feed(flow, msg);

	flow->observed = 1;
	if (feed || flow->observation_count == AGT_OBSERVATIONS_MAX)
		return feed;
	feed = &flow->observations[flow->observation_count++];
	*feed = (struct agt_observation){ .token_len = msg->token_len };
	memcpy(feed->token, msg->token, msg->token_len);
	return feed;
}

/* Tells the caller that its feeds on this flow have ended (RFC 7641, 3.2). */
void agt_end_feeds(const struct agt_call *call, struct agt_flow *flow)
{
	struct cx_answer answer = { .code = CX_UNAVAILABLE,
				    .max_age_s = ASK_AGAIN_S,
				    .text = FEED_ENDED };
	uint8_t i;

	for (i = 0; i < flow->observation_count; i++) {
		struct agt_observation *feed = &flow->observations[i];
		struct cx_msg msg = { .type = CX_NON, .mid = flow->next_mid++ };
		uint8_t buf[128];
		size_t len;

		msg.token_len = feed->token_len;
		memcpy(msg.token, feed->token, feed->token_len);
		len = cx_answer(buf, sizeof(buf), &msg, &answer);
		agt_reply_flow(call, flow, buf, len);
	}
	flow->observation_count = 0;
	flow->observed = 0;
}

/*
 * A notification, or an answer that comes after its request was given up. A
 * feed whose caller is gone is refused, so that the target ends it.
 */
static void on_notification(const struct agt_call *call,
			    struct agt_shard *shard, struct agt_flow *flow,
			    const struct cx_msg *msg, uint8_t *data, size_t len)
{
	struct agt_observation *feed =
		msg->observe >= 0 ? obtain_feed(flow, msg) : NULL;

	if (feed && feed->ended) {
		to_target(call, shard, flow, CX_RST, msg->mid);
		return;
	}
	if (msg->type == CX_CON)
		to_target(call, shard, flow, CX_ACK, msg->mid);
	if (feed) {
		/* Over all balancers in turn, so that each learns the holder. */
		flow->via_id = 0;
		flow->balancer_rotation++;
		feed->mid = msg->mid;
		if (msg->type == CX_CON &&
		    ++feed->unacknowledged >= AGT_UNACKED_MAX)
			feed->ended = 1;
	} else {
		cx_set_type(data, CX_NON);
		cx_set_mid(data, flow->next_mid++);
	}
	agt_reply_flow(call, flow, data, len);
}

/* An acknowledgement, a reset or a ping of the caller. */
void agt_on_empty(const struct agt_work *work, struct agt_flow *flow)
{
	uint8_t buf[8];
	size_t len;
	uint8_t i;

	if (work->msg.type == CX_CON) {
		len = cx_write_empty(buf, sizeof(buf), CX_RST, work->msg.mid);
		agt_reply_flow(work->call, flow, buf, len);
		return;
	}
	for (i = 0; i < flow->observation_count; i++) {
		struct agt_observation *feed = &flow->observations[i];

		if (feed->mid != work->msg.mid)
			continue;
		feed->unacknowledged = 0;
		if (work->msg.type == CX_RST)
			feed->ended = 1;
	}
}

/* -- everything that comes from the target ------------------------------- */

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
		to_target(call, shard, flow, CX_ACK, msg->mid);
	if (msg->observe >= 0)
		obtain_feed(flow, msg);
	agt_answered(call, shard, pending, msg, data, len);
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
	shard = agt_handle_shard(call->agt, handle);
	pthread_mutex_lock(&shard->lock);
	flow = agt_handle_flow(call->agt, shard, handle);
	if (flow && msg.kind == CX_RESPONSE) {
		flow->last_active = call->now;
		on_response(call, shard, flow, &msg, copy, len);
	}
	pthread_mutex_unlock(&shard->lock);
	agt_start_waiting(call);
}

void agt_on_target_refused(const struct agt_call *call, uint32_t handle)
{
	struct agt_shard *shard = agt_handle_shard(call->agt, handle);
	struct agt_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = agt_handle_flow(call->agt, shard, handle);
	if (flow)
		agt_fail_flow(call, shard, flow, NULL);
	pthread_mutex_unlock(&shard->lock);
	agt_start_waiting(call);
}
