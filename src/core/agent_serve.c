/* Handling of requests: deduplication, admission and answers. */
#include "agent_internal.h"

#include <assert.h>
#include <string.h>

#define NOT_RUN "not run"
#define OUTCOME_UNKNOWN "outcome unknown"
#define TRY_LATER "try later"
#define TRANSFER_ENDED "transfer ended"
#define RETRY_AFTER_S 1
#define CODE_TOO_MANY 0x9d /* 4.29 */

/* -- answers ------------------------------------------------------------- */

/* Destination of an answer: the caller, and the balancer to send through. */
struct reply_path {
	uint64_t flow;
	uint64_t via_id;
	uint32_t caller_ip;
	uint32_t via_ip;
	uint16_t caller_port;
	uint16_t via_port;
	uint16_t turn; /* picks another balancer if via is gone */
	uint8_t held; /* held here: balancers cache this agent as holder */
};

static void send_answer(const struct agt_call *call,
			const struct reply_path *path, const uint8_t *data,
			size_t len)
{
	struct agt *agt = call->agt;
	const struct viw_balancer *through = viw_return_balancer(
		call->view, path->via_id, path->flow + path->turn);
	Jj__Reply msg = JJ__REPLY__INIT;
	uint32_t ip = path->via_ip;
	uint16_t port = path->via_port;

	if (through && through->id != path->via_id) {
		ip = through->ip;
		port = through->data_port;
	}
	msg.service = agt->service;
	msg.caller_ip = path->caller_ip;
	msg.caller_port = path->caller_port;
	msg.flow = path->flow;
	msg.holder = path->held ? agt->desc.id : 0;
	msg.data.data = (uint8_t *)data;
	msg.data.len = len;
	agt->desc.hooks.send_to_balancer(agt->desc.hooks.ctx, call->thread, ip,
					 port, &msg);
}

void agt_send_to_caller(const struct agt_call *call,
			const struct agt_flow *flow, const uint8_t *data,
			size_t len)
{
	struct reply_path path = { .flow = flow->key,
				   .caller_ip = flow->caller_ip,
				   .caller_port = flow->caller_port,
				   .via_id = flow->via_id,
				   .via_ip = flow->via_ip,
				   .via_port = flow->via_port,
				   .turn = flow->balancer_rotation,
				   .held = !flow->guest };

	send_answer(call, &path, data, len);
}

static void reply_to_packet(const struct agt_rx *rx, int held,
			    const uint8_t *data, size_t len)
{
	const Jj__Packet *packet = rx->packet;
	struct reply_path path = { .flow = packet->flow,
				   .caller_ip = packet->caller_ip,
				   .caller_port = (uint16_t)packet->caller_port,
				   .via_id = packet->via_id,
				   .via_ip = packet->via_ip,
				   .via_port = (uint16_t)packet->via_port,
				   .held = (uint8_t)held };

	send_answer(rx->call, &path, data, len);
}

void agt_answer_outcome_unknown(const struct agt_rx *rx)
{
	struct cx_answer answer = { .code = CX_GATEWAY_TIMEOUT,
				    .text = OUTCOME_UNKNOWN };
	uint8_t buf[128];
	size_t len = cx_write_answer(buf, sizeof(buf), &rx->msg, &answer);

	met_add(rx->call->agt->desc.met, MET_UNKNOWN, 1);
	reply_to_packet(rx, 0, buf, len);
}

static size_t write_refusal(uint8_t *buf, size_t size, const struct cx_msg *msg)
{
	struct cx_answer answer = { .code = CX_UNAVAILABLE,
				    .max_age_s = RETRY_AFTER_S,
				    .text = NOT_RUN };

	return cx_write_answer(buf, size, msg, &answer);
}

static void send_echo_challenge(const struct agt_rx *rx, int held)
{
	uint8_t echo[AGT_ECHO_BYTES];
	struct cx_answer answer = { .code = CX_UNAUTHORIZED,
				    .echo = echo,
				    .echo_len = sizeof(echo) };
	uint8_t buf[160];
	size_t len;

	agt_write_echo(rx, echo);
	len = cx_write_answer(buf, sizeof(buf), &rx->msg, &answer);
	met_add(rx->call->agt->desc.met, MET_CHALLENGED, 1);
	reply_to_packet(rx, held, buf, len);
}

/* -- pending requests ---------------------------------------------------- */

static uint64_t hash_flow_token(uint64_t flow, const struct cx_msg *msg)
{
	uint8_t bytes[8 + 1 + CX_TOKEN_MAX] = { 0 };

	memcpy(bytes, &flow, 8);
	bytes[8] = msg->token_len;
	memcpy(bytes + 9, msg->token, msg->token_len);
	return rnk_hash(bytes, sizeof(bytes));
}

/*
 * A request is identified by its flow, the token of its first copy and its
 * content. Message ids differ between copies, and stock clients use a new
 * token when they repeat a request with an Echo value; the Echo value carries
 * the hash of the first token.
 */
static uint64_t request_id(uint64_t flow, const struct cx_msg *msg)
{
	uint64_t parts[3] = { flow, agt_echo_token_hash(msg), msg->digest };
	uint64_t id = rnk_hash(parts, sizeof(parts));

	return id ? id : 1;
}

static struct agt_pending *find_pending(struct agt_shard *shard,
					uint64_t flow_token_hash)
{
	uint32_t at = map_get(&shard->pending_index, flow_token_hash);

	return at == MAP_NONE ? NULL : &shard->pending[at];
}

struct agt_pending *agt_find_pending(struct agt_shard *shard, uint64_t flow,
				     const struct cx_msg *msg)
{
	return find_pending(shard, hash_flow_token(flow, msg));
}

/* Threads read the clock before they lock, so now may be before started. */
static uint64_t time_since_start(const struct agt_call *call,
				 const struct agt_pending *pending)
{
	return call->now > pending->started ? call->now - pending->started : 0;
}

static uint64_t pending_handle(const struct agt *agt,
			       const struct agt_shard *shard,
			       const struct agt_pending *pending)
{
	uint64_t at = (uint64_t)(shard - agt->shards);
	uint64_t index = (uint64_t)(pending - shard->pending);

	return at << 48 | (uint64_t)pending->generation << 32 | index;
}

static struct agt_pending *alloc_pending(const struct agt_rx *rx,
					 struct agt_flow *flow,
					 uint64_t flow_token_hash)
{
	struct agt *agt = rx->call->agt;
	struct agt_shard *shard = rx->shard;
	uint32_t limit = agt->desc.deadline_ms;
	uint32_t at = shard->pending_free;
	struct agt_pending *pending;

	if (at == AGT_NO_INDEX || rx->packet->data.len > CX_DATAGRAM_MAX ||
	    map_put(&shard->pending_index, flow_token_hash, at) != JJ_OK)
		return NULL;
	pending = &shard->pending[at];
	shard->pending_free = pending->next_free;
	pending->generation++;
	pending->flow = (uint32_t)(flow - shard->flows);
	pending->flow_token_hash = flow_token_hash;
	pending->ledger_id = 0;
	pending->msg = rx->msg;
	pending->len = (uint16_t)rx->packet->data.len;
	memcpy(pending->data, rx->packet->data.data, pending->len);
	if (rx->msg.deadline_ms && rx->msg.deadline_ms < limit)
		limit = rx->msg.deadline_ms;
	pending->deadline = rx->call->now + (uint64_t)limit * 1000;
	pending->arrived = rx->call->now;
	pending->started = rx->call->now;
	pending->ack_sent = 0;
	flow->open_requests++;
	return pending;
}

static void free_pending(struct agt_shard *shard, struct agt_pending *pending)
{
	shard->flows[pending->flow].open_requests--;
	map_del(&shard->pending_index, pending->flow_token_hash);
	pending->state = AGT_REQUEST_FREE;
	pending->next_free = shard->pending_free;
	shard->pending_free = (uint32_t)(pending - shard->pending);
}

static void record_outcome(struct agt_shard *shard,
			   const struct agt_pending *pending,
			   enum ldg_state state, const uint8_t *data,
			   size_t len)
{
	struct ldg_entry *entry;

	if (!pending->ledger_id)
		return;
	entry = ldg_find(&shard->ledger, pending->ledger_id);
	if (entry)
		ldg_set_outcome(&shard->ledger, entry, state, data, len);
}

/*
 * Sets type and message id of an answer to the caller: the acknowledgement of
 * its request while the caller waits for one, else a separate message.
 */
static void set_answer_header(struct agt_shard *shard,
			      const struct agt_pending *pending, uint8_t *data)
{
	struct agt_flow *flow = &shard->flows[pending->flow];

	if (pending->msg.type == CX_CON && !pending->ack_sent) {
		cx_set_type(data, CX_ACK);
		cx_set_mid(data, pending->msg.mid);
	} else {
		cx_set_type(data, CX_NON);
		cx_set_mid(data, flow->next_mid++);
	}
}

/* Answers "not run" to a request that was never sent to the target. */
static void refuse_pending(const struct agt_call *call, struct agt_shard *shard,
			   struct agt_pending *pending)
{
	uint8_t buf[128];
	size_t len = write_refusal(buf, sizeof(buf), &pending->msg);

	set_answer_header(shard, pending, buf);
	record_outcome(shard, pending, LDG_REFUSED, buf, len);
	agt_send_to_caller(call, &shard->flows[pending->flow], buf, len);
	met_add(call->agt->desc.met, MET_REFUSED, 1);
	free_pending(shard, pending);
}

/*
 * Fails a request that the target may have received: the outcome of an unsafe
 * one is unknown, a safe one is to be repeated.
 */
static void fail_pending(const struct agt_call *call, struct agt_shard *shard,
			 struct agt_pending *pending)
{
	struct cx_answer answer = { .code = CX_GATEWAY_TIMEOUT,
				    .text = pending->ledger_id ?
						    OUTCOME_UNKNOWN :
						    TRY_LATER };
	uint8_t buf[128];
	size_t len = cx_write_answer(buf, sizeof(buf), &pending->msg, &answer);

	set_answer_header(shard, pending, buf);
	record_outcome(shard, pending, LDG_UNKNOWN, buf, len);
	agt_send_to_caller(call, &shard->flows[pending->flow], buf, len);
	adm_done(&call->agt->adm, time_since_start(call, pending),
		 ADM_NO_ANSWER, call->now);
	if (pending->ledger_id) {
		met_add(call->agt->desc.met, MET_UNKNOWN, 1);
		log_put(call->agt->desc.log, EV_REQUEST_OUTCOME_UNKNOWN,
			"flow=%016llx",
			(unsigned long long)shard->flows[pending->flow].key);
	}
	free_pending(shard, pending);
}

static void send_pending(const struct agt_call *call, struct agt_shard *shard,
			 struct agt_pending *pending)
{
	struct agt *agt = call->agt;
	struct agt_flow *flow = &shard->flows[pending->flow];
	int sent;

	pending->state = AGT_REQUEST_SENT;
	pending->started = call->now;
	met_add(agt->desc.met, pending->ledger_id ? MET_RUN : MET_SAFE, 1);
	sent = agt->desc.hooks.send_to_target(agt->desc.hooks.ctx,
					      agt_flow_handle(agt, shard, flow),
					      pending->data, pending->len);
	if (sent > 0)
		agt_fail_sent_requests(call, shard, flow, pending);
	else if (sent < 0)
		fail_pending(call, shard, pending);
}

/* Starts, queues or refuses the request, as admission control decides. */
static void submit(const struct agt_rx *rx, struct agt_pending *pending)
{
	struct agt *agt = rx->call->agt;

	pending->state = AGT_REQUEST_QUEUED;
	switch (adm_request(&agt->adm, pending_handle(agt, rx->shard, pending),
			    rx->call->now)) {
	case ADM_START:
		send_pending(rx->call, rx->shard, pending);
		return;
	case ADM_WAIT:
		return;
	case ADM_FULL:
		refuse_pending(rx->call, rx->shard, pending);
		return;
	}
}

/* -- serving ------------------------------------------------------------- */

/* Answers a copy of a request with the answer stored in the ledger. */
static void send_recorded_answer(const struct agt_rx *rx,
				 const struct ldg_entry *entry, int held)
{
	uint8_t stored[LDG_ANSWER_MAX];
	uint8_t buf[LDG_ANSWER_MAX + CX_TOKEN_MAX];
	size_t len;

	/* Still pending, under another token: a later copy gets the answer. */
	if (entry->state == LDG_PENDING)
		return;
	len = ldg_copy_answer(&rx->shard->ledger, entry, stored,
			      sizeof(stored));
	len = cx_rewrite_answer(buf, sizeof(buf), &rx->msg, stored, len);
	if (len)
		reply_to_packet(rx, held, buf, len);
	else
		agt_answer_outcome_unknown(rx);
}

/*
 * Handles a copy of a pending request: the answer will go to the latest copy.
 * A safe request is sent to the target again, as the first copy may be lost.
 */
static void on_retransmission(const struct agt_rx *rx,
			      struct agt_pending *pending)
{
	struct agt *agt = rx->call->agt;

	met_add(agt->desc.met, MET_DUPLICATES, 1);
	pending->msg.mid = rx->msg.mid;
	pending->msg.type = rx->msg.type;
	pending->ack_sent = 0;
	if (pending->ledger_id || pending->state != AGT_REQUEST_SENT)
		return;
	agt->desc.hooks.send_to_target(
		agt->desc.hooks.ctx,
		agt_flow_handle(agt, rx->shard,
				&rx->shard->flows[pending->flow]),
		rx->packet->data.data, rx->packet->data.len);
}

/* Stores the answer to a safe request, for resending if it gets lost. */
static void store_last_answer(struct agt_shard *shard,
			      const struct agt_pending *pending,
			      const uint8_t *data, size_t len)
{
	struct agt_last_answer *last = &shard->last_answers[pending->flow];

	if (pending->ledger_id || len > sizeof(last->data))
		return;
	last->flow_token_hash = pending->flow_token_hash;
	last->mid = pending->msg.mid;
	last->len = (uint16_t)len;
	memcpy(last->data, data, len);
}

/* Answers a copy of the flow's last safe request; 0: it is none. */
static int resend_last_answer(const struct agt_rx *rx, uint64_t flow_token_hash)
{
	struct agt_last_answer *last;

	if (!rx->flow)
		return 0;
	last = &rx->shard->last_answers[rx->flow - rx->shard->flows];
	if (!last->len || last->flow_token_hash != flow_token_hash ||
	    last->mid != rx->msg.mid)
		return 0;
	met_add(rx->call->agt->desc.met, MET_DUPLICATES, 1);
	reply_to_packet(rx, !rx->flow->guest, last->data, last->len);
	return 1;
}

/* Answers "unavailable", without a claim whether the request was run. */
static void answer_unavailable(const struct agt_rx *rx, const char *why)
{
	struct cx_answer answer = { .code = CX_UNAVAILABLE,
				    .max_age_s = RETRY_AFTER_S,
				    .text = why };
	uint8_t buf[128];
	size_t len = cx_write_answer(buf, sizeof(buf), &rx->msg, &answer);

	reply_to_packet(rx, 0, buf, len);
}

/* Answers "not run" to a request that was not queued. entry may be null. */
static void refuse_request(const struct agt_rx *rx, struct ldg_entry *entry)
{
	uint8_t buf[128];
	size_t len = write_refusal(buf, sizeof(buf), &rx->msg);

	if (entry)
		ldg_set_outcome(&rx->shard->ledger, entry, LDG_REFUSED, buf,
				len);
	met_add(rx->call->agt->desc.met, MET_REFUSED, 1);
	reply_to_packet(rx, 0, buf, len);
}

static int accepts_requests(const struct agt_rx *rx)
{
	return rx->self->phase != JJ__PHASE__PHASE_DOWN &&
	       rx->self->phase != JJ__PHASE__PHASE_JOINING;
}

/*
 * The flow of the packet, opened if there is none. Unless the request is served
 * as a guest, an existing guest flow becomes a held one.
 */
static struct agt_flow *get_or_open_flow(const struct agt_rx *rx, int guest)
{
	struct agt_flow *flow = rx->flow;

	if (!flow)
		return agt_open_flow(rx, guest);
	if (flow->guest && !guest)
		agt_become_holder(rx->call, rx->shard, flow);
	return flow;
}

/* Enters a new request in the ledger and submits it, or refuses it. */
static void start_unsafe_request(const struct agt_rx *rx, int guest,
				 uint64_t id)
{
	struct agt_flow *flow;
	struct agt_shard *shard = rx->shard;
	uint64_t flow_token_hash = hash_flow_token(rx->packet->flow, &rx->msg);
	struct ldg_entry *entry;
	struct agt_pending *pending;

	/*
	 * "Not run" may only be answered if it is also recorded in the ledger,
	 * so that later copies are not run. Without an entry, or while another
	 * request uses this token on this flow, the answer is "try later".
	 */
	entry = NULL;
	if (!find_pending(shard, flow_token_hash))
		entry = ldg_add(&shard->ledger, id, rx->packet->flow,
				rx->call->now / 1000);
	if (!entry) {
		answer_unavailable(rx, TRY_LATER);
		return;
	}
	flow = accepts_requests(rx) ? get_or_open_flow(rx, guest) : NULL;
	pending = flow ? alloc_pending(rx, flow, flow_token_hash) : NULL;
	if (!pending) {
		refuse_request(rx, entry);
		return;
	}
	pending->ledger_id = id;
	submit(rx, pending);
}

static void serve_unsafe(const struct agt_rx *rx, int guest)
{
	uint64_t flow_token_hash = hash_flow_token(rx->packet->flow, &rx->msg);
	struct agt_pending *pending = find_pending(rx->shard, flow_token_hash);
	struct ldg_entry *entry;
	uint64_t agent;
	uint32_t age_s;
	uint64_t id;

	if (agt_read_echo(rx, &agent, &age_s) != AGT_ECHO_OWN) {
		send_echo_challenge(rx, !guest);
		return;
	}
	id = request_id(rx->packet->flow, &rx->msg);
	if (pending && pending->ledger_id == id) {
		on_retransmission(rx, pending);
		return;
	}
	entry = ldg_find(&rx->shard->ledger, id);
	if (entry) {
		met_add(rx->call->agt->desc.met, MET_DUPLICATES, 1);
		send_recorded_answer(rx, entry, !guest);
		return;
	}
	if (age_s > AGT_ECHO_VALID_S) {
		send_echo_challenge(rx, !guest);
		return;
	}
	start_unsafe_request(rx, guest, id);
}

static void serve_safe(const struct agt_rx *rx, int guest)
{
	struct agt_flow *flow;
	uint64_t flow_token_hash = hash_flow_token(rx->packet->flow, &rx->msg);
	struct agt_pending *pending = find_pending(rx->shard, flow_token_hash);

	if (pending) {
		on_retransmission(rx, pending);
		return;
	}
	if (resend_last_answer(rx, flow_token_hash))
		return;
	/*
	 * The earlier blocks came from a target that is gone. Blocks of two
	 * targets must not be mixed into one representation.
	 */
	if (!rx->flow && rx->msg.block2 > 0) {
		answer_unavailable(rx, TRANSFER_ENDED);
		return;
	}
	flow = accepts_requests(rx) ? get_or_open_flow(rx, guest) : NULL;
	pending = flow ? alloc_pending(rx, flow, flow_token_hash) : NULL;
	if (pending)
		submit(rx, pending);
	else
		refuse_request(rx, NULL);
}

void agt_serve_request(const struct agt_rx *rx, int guest)
{
	if (rx->msg.unsafe)
		serve_unsafe(rx, guest);
	else
		serve_safe(rx, guest);
}

/* -- answers of the target ----------------------------------------------- */

static enum adm_result admission_result(const struct cx_msg *msg)
{
	return msg->code == CX_UNAVAILABLE || msg->code == CODE_TOO_MANY ?
		       ADM_OVERLOADED :
		       ADM_ANSWERED;
}

void agt_on_answer(const struct agt_call *call, struct agt_shard *shard,
		   struct agt_pending *pending, const struct cx_msg *msg,
		   uint8_t *data, size_t len)
{
	struct agt *agt = call->agt;

	set_answer_header(shard, pending, data);
	record_outcome(shard, pending, LDG_ANSWERED, data, len);
	store_last_answer(shard, pending, data, len);
	agt_send_to_caller(call, &shard->flows[pending->flow], data, len);
	adm_done(&agt->adm, time_since_start(call, pending),
		 admission_result(msg), call->now);
	met_add(agt->desc.met, MET_ANSWERED, 1);
	free_pending(shard, pending);
}

/* -- queue, deadlines and failures --------------------------------------- */

static void start_queued_request(const struct agt_call *call, uint64_t handle)
{
	struct agt *agt = call->agt;
	struct agt_shard *shard = &agt->shards[handle >> 48];
	struct agt_pending *pending = &shard->pending[(uint32_t)handle];

	pthread_mutex_lock(&shard->lock);
	if (pending->state != AGT_REQUEST_QUEUED ||
	    pending_handle(agt, shard, pending) != handle) {
		adm_done(&agt->adm, 0, ADM_CANCELLED, call->now);
	} else if (pending->deadline <= call->now) {
		adm_done(&agt->adm, 0, ADM_CANCELLED, call->now);
		refuse_pending(call, shard, pending);
	} else {
		send_pending(call, shard, pending);
	}
	pthread_mutex_unlock(&shard->lock);
}

void agt_start_queued(const struct agt_call *call)
{
	uint64_t handle;

	while (adm_start_next(&call->agt->adm, &handle, call->now))
		start_queued_request(call, handle);
}

/* Acknowledges a slow request before the caller gives up retransmitting. */
static void send_separate_ack(const struct agt_call *call,
			      struct agt_shard *shard,
			      struct agt_pending *pending)
{
	uint8_t buf[8];
	size_t len;

	if (pending->ack_sent || pending->msg.type != CX_CON ||
	    call->now < pending->arrived + AGT_SEPARATE_ACK_US)
		return;
	len = cx_write_empty(buf, sizeof(buf), CX_ACK, pending->msg.mid);
	agt_send_to_caller(call, &shard->flows[pending->flow], buf, len);
	pending->ack_sent = 1;
}

void agt_expire_requests(const struct agt_call *call, struct agt_shard *shard)
{
	uint32_t i;

	for (i = 0; i < call->agt->pending_capacity; i++) {
		struct agt_pending *pending = &shard->pending[i];

		if (pending->state == AGT_REQUEST_FREE)
			continue;
		if (pending->deadline > call->now) {
			send_separate_ack(call, shard, pending);
			continue;
		}
		if (pending->state == AGT_REQUEST_QUEUED)
			refuse_pending(call, shard, pending);
		else
			fail_pending(call, shard, pending);
	}
}

/* Fails all sent requests of the flow but except, see fail_pending(). */
void agt_fail_sent_requests(const struct agt_call *call,
			    struct agt_shard *shard, struct agt_flow *flow,
			    const struct agt_pending *except)
{
	uint32_t at = (uint32_t)(flow - shard->flows);
	uint32_t i;

	for (i = 0; i < call->agt->pending_capacity; i++) {
		struct agt_pending *pending = &shard->pending[i];

		if (pending != except && pending->state == AGT_REQUEST_SENT &&
		    pending->flow == at)
			fail_pending(call, shard, pending);
	}
}
