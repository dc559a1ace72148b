/* Requests at the agent: ledger, admission, answers. */
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

/* Where an answer goes: the caller, and the balancer it goes through. */
struct path {
	uint64_t flow;
	uint64_t via_id;
	uint32_t caller_ip;
	uint32_t via_ip;
	uint16_t caller_port;
	uint16_t via_port;
	uint16_t turn; /* picks another balancer when via is gone */
	uint8_t held; /* this agent holds the flow: balancers may learn it */
};

static void reply(const struct agt_call *call, const struct path *path,
		  const uint8_t *data, size_t len)
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
	agt->desc.hooks.to_balancer(agt->desc.hooks.ctx, call->thread, ip, port,
				    &msg);
}

void agt_reply_flow(const struct agt_call *call, const struct agt_flow *flow,
		    const uint8_t *data, size_t len)
{
	struct path path = { .flow = flow->key,
			     .caller_ip = flow->caller_ip,
			     .caller_port = flow->caller_port,
			     .via_id = flow->via_id,
			     .via_ip = flow->via_ip,
			     .via_port = flow->via_port,
			     .turn = flow->turn,
			     .held = !flow->guest };

	reply(call, &path, data, len);
}

static void reply_packet(const struct agt_work *work, int held,
			 const uint8_t *data, size_t len)
{
	const Jj__Packet *packet = work->packet;
	struct path path = { .flow = packet->flow,
			     .caller_ip = packet->caller_ip,
			     .caller_port = (uint16_t)packet->caller_port,
			     .via_id = packet->via_id,
			     .via_ip = packet->via_ip,
			     .via_port = (uint16_t)packet->via_port,
			     .held = (uint8_t)held };

	reply(work->call, &path, data, len);
}

void agt_say_unknown(const struct agt_work *work)
{
	struct cx_answer answer = { .code = CX_GATEWAY_TIMEOUT,
				    .text = OUTCOME_UNKNOWN };
	uint8_t buf[128];
	size_t len = cx_answer(buf, sizeof(buf), &work->msg, &answer);

	met_add(work->call->agt->desc.met, MET_UNKNOWN, 1);
	reply_packet(work, 0, buf, len);
}

static size_t refusal(uint8_t *buf, size_t size, const struct cx_msg *msg)
{
	struct cx_answer answer = { .code = CX_UNAVAILABLE,
				    .max_age_s = RETRY_AFTER_S,
				    .text = NOT_RUN };

	return cx_answer(buf, size, msg, &answer);
}

static void challenge(const struct agt_work *work, int held)
{
	uint8_t echo[AGT_ECHO_BYTES];
	struct cx_answer answer = { .code = CX_UNAUTHORIZED,
				    .echo = echo,
				    .echo_len = sizeof(echo) };
	uint8_t buf[160];
	size_t len;

	agt_write_echo(work, echo);
	len = cx_answer(buf, sizeof(buf), &work->msg, &answer);
	met_add(work->call->agt->desc.met, MET_CHALLENGED, 1);
	reply_packet(work, held, buf, len);
}

/* -- requests under way -------------------------------------------------- */

static uint64_t active_id(uint64_t flow, const struct cx_msg *msg)
{
	uint8_t bytes[8 + 1 + CX_TOKEN_MAX] = { 0 };

	memcpy(bytes, &flow, 8);
	bytes[8] = msg->token_len;
	memcpy(bytes + 9, msg->token, msg->token_len);
	return rnk_hash(bytes, sizeof(bytes));
}

/*
 * A request is its flow, the token of its first copy and its content. Message
 * ids differ between copies, and stock clients repeat a request under another
 * token for each Echo that they get: the Echo tells the first one.
 */
static uint64_t request_id(uint64_t flow, const struct cx_msg *msg)
{
	uint64_t parts[3] = { flow, agt_asked_token(msg), msg->digest };
	uint64_t id = rnk_hash(parts, sizeof(parts));

	return id ? id : 1;
}

static struct agt_pending *find_pending(struct agt_shard *shard,
					uint64_t active)
{
	uint32_t at = map_get(&shard->pending_index, active);

	return at == MAP_NONE ? NULL : &shard->pending[at];
}

struct agt_pending *agt_find_pending(struct agt_shard *shard, uint64_t flow,
				     const struct cx_msg *msg)
{
	return find_pending(shard, active_id(flow, msg));
}

/* Threads read the clock before they get the lock: it may seem to go back. */
static uint64_t passed_since(const struct agt_call *call,
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

static struct agt_pending *new_pending(const struct agt_work *work,
				       struct agt_flow *flow, uint64_t active)
{
	struct agt *agt = work->call->agt;
	struct agt_shard *shard = work->shard;
	uint32_t limit = agt->desc.deadline_ms;
	uint32_t at = shard->pending_free;
	struct agt_pending *pending;

	if (at == AGT_NONE || work->packet->data.len > CX_MAX ||
	    map_put(&shard->pending_index, active, at) != JJ_OK)
		return NULL;
	pending = &shard->pending[at];
	shard->pending_free = pending->next_free;
	pending->generation++;
	pending->flow = (uint32_t)(flow - shard->flows);
	pending->active = active;
	pending->ledger_id = 0;
	pending->msg = work->msg;
	pending->len = (uint16_t)work->packet->data.len;
	memcpy(pending->data, work->packet->data.data, pending->len);
	if (work->msg.deadline_ms && work->msg.deadline_ms < limit)
		limit = work->msg.deadline_ms;
	pending->deadline = work->call->now + (uint64_t)limit * 1000;
	pending->arrived = work->call->now;
	pending->started = work->call->now;
	pending->acknowledged = 0;
	flow->busy++;
	return pending;
}

static void free_pending(struct agt_shard *shard, struct agt_pending *pending)
{
	shard->flows[pending->flow].busy--;
	map_del(&shard->pending_index, pending->active);
	pending->state = AGT_FREE;
	pending->next_free = shard->pending_free;
	shard->pending_free = (uint32_t)(pending - shard->pending);
}

static void settle(struct agt_shard *shard, const struct agt_pending *pending,
		   enum ldg_state state, const uint8_t *data, size_t len)
{
	struct ldg_entry *entry;

	if (!pending->ledger_id)
		return;
	entry = ldg_find(&shard->ledger, pending->ledger_id);
	if (entry)
		ldg_settle(&shard->ledger, entry, state, data, len);
}

/*
 * Turns the target's answer into one for the caller: the acknowledgement of
 * its request as long as it waits for one, else a message of its own.
 */
static void address_answer(struct agt_shard *shard,
			   const struct agt_pending *pending, uint8_t *data)
{
	struct agt_flow *flow = &shard->flows[pending->flow];

	if (pending->msg.type == CX_CON && !pending->acknowledged) {
		cx_set_type(data, CX_ACK);
		cx_set_mid(data, pending->msg.mid);
	} else {
		cx_set_type(data, CX_NON);
		cx_set_mid(data, flow->next_mid++);
	}
}

/* Says "not run" for a request that was never passed to the target. */
static void refuse_pending(const struct agt_call *call, struct agt_shard *shard,
			   struct agt_pending *pending)
{
	uint8_t buf[128];
	size_t len = refusal(buf, sizeof(buf), &pending->msg);

	address_answer(shard, pending, buf);
	settle(shard, pending, LDG_REFUSED, buf, len);
	agt_reply_flow(call, &shard->flows[pending->flow], buf, len);
	met_add(call->agt->desc.met, MET_REFUSED, 1);
	free_pending(shard, pending);
}

/* The target has it, or may have: only "unknown" is true. */
static void lose_pending(const struct agt_call *call, struct agt_shard *shard,
			 struct agt_pending *pending)
{
	struct cx_answer answer = { .code = CX_GATEWAY_TIMEOUT,
				    .text = pending->ledger_id ?
						    OUTCOME_UNKNOWN :
						    TRY_LATER };
	uint8_t buf[128];
	size_t len = cx_answer(buf, sizeof(buf), &pending->msg, &answer);

	address_answer(shard, pending, buf);
	settle(shard, pending, LDG_UNKNOWN, buf, len);
	agt_reply_flow(call, &shard->flows[pending->flow], buf, len);
	adm_done(&call->agt->adm, passed_since(call, pending), ADM_LOST,
		 call->now);
	if (pending->ledger_id) {
		met_add(call->agt->desc.met, MET_UNKNOWN, 1);
		log_put(call->agt->desc.log, EV_REQUEST_OUTCOME_UNKNOWN,
			"flow=%016llx",
			(unsigned long long)shard->flows[pending->flow].key);
	}
	free_pending(shard, pending);
}

static void pass_to_target(const struct agt_call *call, struct agt_shard *shard,
			   struct agt_pending *pending)
{
	struct agt *agt = call->agt;
	struct agt_flow *flow = &shard->flows[pending->flow];
	int sent;

	pending->state = AGT_PASSED;
	pending->started = call->now;
	met_add(agt->desc.met, pending->ledger_id ? MET_RUN : MET_SAFE, 1);
	sent = agt->desc.hooks.to_target(agt->desc.hooks.ctx,
					 agt_flow_handle(agt, shard, flow),
					 pending->data, pending->len);
	if (sent > 0)
		agt_fail_flow(call, shard, flow, pending);
	else if (sent < 0)
		lose_pending(call, shard, pending);
}

static void submit(const struct agt_work *work, struct agt_pending *pending)
{
	struct agt *agt = work->call->agt;

	pending->state = AGT_QUEUED;
	switch (adm_request(&agt->adm,
			    pending_handle(agt, work->shard, pending),
			    work->call->now)) {
	case ADM_START:
		pass_to_target(work->call, work->shard, pending);
		return;
	case ADM_WAIT:
		return;
	case ADM_FULL:
		refuse_pending(work->call, work->shard, pending);
		return;
	}
}

/* -- serving ------------------------------------------------------------- */

/* Sends what the ledger stored, as an answer to this copy of the request. */
static void repeat_answer(const struct agt_work *work,
			  const struct ldg_entry *entry, int held)
{
	uint8_t stored[LDG_ANSWER_MAX];
	uint8_t buf[LDG_ANSWER_MAX + CX_TOKEN_MAX];
	size_t len;

	/* Under way under another token: the next copy finds its answer. */
	if (entry->state == LDG_PENDING)
		return;
	len = ldg_answer(&work->shard->ledger, entry, stored, sizeof(stored));
	len = cx_readdress(buf, sizeof(buf), &work->msg, stored, len);
	if (len)
		reply_packet(work, held, buf, len);
	else
		agt_say_unknown(work);
}

/*
 * A copy of a request that waits or runs: the answer goes to the newest. A
 * safe one that the target may not have got is passed to it again.
 */
static void on_copy_under_way(const struct agt_work *work,
			      struct agt_pending *pending)
{
	struct agt *agt = work->call->agt;

	met_add(agt->desc.met, MET_DUPLICATES, 1);
	pending->msg.mid = work->msg.mid;
	pending->msg.type = work->msg.type;
	pending->acknowledged = 0;
	if (pending->ledger_id || pending->state != AGT_PASSED)
		return;
	agt->desc.hooks.to_target(
		agt->desc.hooks.ctx,
		agt_flow_handle(agt, work->shard,
				&work->shard->flows[pending->flow]),
		work->packet->data.data, work->packet->data.len);
}

/* Keeps the answer to a safe request in case it is lost on its way. */
static void keep_last(struct agt_shard *shard,
		      const struct agt_pending *pending, const uint8_t *data,
		      size_t len)
{
	struct agt_last *last = &shard->last[pending->flow];

	if (pending->ledger_id || len > sizeof(last->data))
		return;
	last->active = pending->active;
	last->mid = pending->msg.mid;
	last->len = (uint16_t)len;
	memcpy(last->data, data, len);
}

/* Whether this is a copy of the flow's last safe request; answers it. */
static int repeat_last(const struct agt_work *work, uint64_t active)
{
	struct agt_last *last;

	if (!work->flow)
		return 0;
	last = &work->shard->last[work->flow - work->shard->flows];
	if (!last->len || last->active != active || last->mid != work->msg.mid)
		return 0;
	met_add(work->call->agt->desc.met, MET_DUPLICATES, 1);
	reply_packet(work, !work->flow->guest, last->data, last->len);
	return 1;
}

/* Refuses without a claim whether the request was run. */
static void say_later(const struct agt_work *work, const char *why)
{
	struct cx_answer answer = { .code = CX_UNAVAILABLE,
				    .max_age_s = RETRY_AFTER_S,
				    .text = why };
	uint8_t buf[128];
	size_t len = cx_answer(buf, sizeof(buf), &work->msg, &answer);

	reply_packet(work, 0, buf, len);
}

static void refuse_unheld(const struct agt_work *work, struct ldg_entry *entry)
{
	uint8_t buf[128];
	size_t len = refusal(buf, sizeof(buf), &work->msg);

	if (entry)
		ldg_settle(&work->shard->ledger, entry, LDG_REFUSED, buf, len);
	met_add(work->call->agt->desc.met, MET_REFUSED, 1);
	reply_packet(work, 0, buf, len);
}

static int takes_requests(const struct agt_work *work)
{
	return work->me->phase != JJ__PHASE__PHASE_DOWN &&
	       work->me->phase != JJ__PHASE__PHASE_JOINING;
}

/*
 * The flow to serve on, opened when there is none. A flow that was only a
 * guest's becomes held when this agent turns out to be the one to hold it.
 */
static struct agt_flow *obtain_flow(const struct agt_work *work, int guest)
{
	struct agt_flow *flow = work->flow;

	if (!flow)
		return agt_open_flow(work, guest);
	if (flow->guest && !guest)
		agt_become_holder(work->call, work->shard, flow);
	return flow;
}

static void run_once(const struct agt_work *work, int guest, uint64_t id)
{
	struct agt_flow *flow;
	struct agt_shard *shard = work->shard;
	uint64_t active = active_id(work->packet->flow, &work->msg);
	struct ldg_entry *entry;
	struct agt_pending *pending;

	/*
	 * Without an entry no tombstone can be kept, so "not run" is not
	 * claimed; nor while another request uses this token on this flow.
	 */
	entry = NULL;
	if (!find_pending(shard, active))
		entry = ldg_add(&shard->ledger, id, work->packet->flow,
				work->call->now / 1000);
	if (!entry) {
		say_later(work, TRY_LATER);
		return;
	}
	flow = takes_requests(work) ? obtain_flow(work, guest) : NULL;
	pending = flow ? new_pending(work, flow, active) : NULL;
	if (!pending) {
		refuse_unheld(work, entry);
		return;
	}
	pending->ledger_id = id;
	submit(work, pending);
}

static void serve_unsafe(const struct agt_work *work, int guest)
{
	uint64_t active = active_id(work->packet->flow, &work->msg);
	struct agt_pending *pending = find_pending(work->shard, active);
	struct ldg_entry *entry;
	uint64_t agent;
	uint32_t age_s;
	uint64_t id;

	if (agt_read_echo(work, &agent, &age_s) != AGT_ECHO_MINE) {
		challenge(work, !guest);
		return;
	}
	id = request_id(work->packet->flow, &work->msg);
	if (pending && pending->ledger_id == id) {
		on_copy_under_way(work, pending);
		return;
	}
	entry = ldg_find(&work->shard->ledger, id);
	if (entry) {
		met_add(work->call->agt->desc.met, MET_DUPLICATES, 1);
		repeat_answer(work, entry, !guest);
		return;
	}
	if (age_s > AGT_ECHO_FRESH_S) {
		challenge(work, !guest);
		return;
	}
	run_once(work, guest, id);
}

static void serve_safe(const struct agt_work *work, int guest)
{
	struct agt_flow *flow;
	uint64_t active = active_id(work->packet->flow, &work->msg);
	struct agt_pending *pending = find_pending(work->shard, active);

	if (pending) {
		on_copy_under_way(work, pending);
		return;
	}
	if (repeat_last(work, active))
		return;
	/* The blocks before came from a target that is gone: mixing them
	 * with another's would make a document that nobody has. */
	if (!work->flow && work->msg.block2 > 0) {
		say_later(work, TRANSFER_ENDED);
		return;
	}
	flow = takes_requests(work) ? obtain_flow(work, guest) : NULL;
	pending = flow ? new_pending(work, flow, active) : NULL;
	if (pending)
		submit(work, pending);
	else
		refuse_unheld(work, NULL);
}

void agt_serve(const struct agt_work *work, int guest)
{
	if (work->msg.unsafe)
		serve_unsafe(work, guest);
	else
		serve_safe(work, guest);
}

/* -- answers of the target ----------------------------------------------- */

static enum adm_result result_of(const struct cx_msg *msg)
{
	return msg->code == CX_UNAVAILABLE || msg->code == CODE_TOO_MANY ?
		       ADM_SHED :
		       ADM_GOOD;
}

void agt_answered(const struct agt_call *call, struct agt_shard *shard,
		  struct agt_pending *pending, const struct cx_msg *msg,
		  uint8_t *data, size_t len)
{
	struct agt *agt = call->agt;

	address_answer(shard, pending, data);
	settle(shard, pending, LDG_ANSWERED, data, len);
	keep_last(shard, pending, data, len);
	agt_reply_flow(call, &shard->flows[pending->flow], data, len);
	adm_done(&agt->adm, passed_since(call, pending), result_of(msg),
		 call->now);
	met_add(agt->desc.met, MET_ANSWERED, 1);
	free_pending(shard, pending);
}

/* -- waiting and losing -------------------------------------------------- */

static void start_one(const struct agt_call *call, uint64_t handle)
{
	struct agt *agt = call->agt;
	struct agt_shard *shard = &agt->shards[handle >> 48];
	struct agt_pending *pending = &shard->pending[(uint32_t)handle];

	pthread_mutex_lock(&shard->lock);
	if (pending->state != AGT_QUEUED ||
	    pending_handle(agt, shard, pending) != handle) {
		adm_done(&agt->adm, 0, ADM_CANCELLED, call->now);
	} else if (pending->deadline <= call->now) {
		adm_done(&agt->adm, 0, ADM_CANCELLED, call->now);
		refuse_pending(call, shard, pending);
	} else {
		pass_to_target(call, shard, pending);
	}
	pthread_mutex_unlock(&shard->lock);
}

void agt_start_waiting(const struct agt_call *call)
{
	uint64_t handle;

	while (adm_next(&call->agt->adm, &handle, call->now))
		start_one(call, handle);
}

/* The caller would soon give up repeating a request that takes long. */
static void acknowledge_slow(const struct agt_call *call,
			     struct agt_shard *shard,
			     struct agt_pending *pending)
{
	uint8_t buf[8];
	size_t len;

	if (pending->acknowledged || pending->msg.type != CX_CON ||
	    call->now < pending->arrived + AGT_ACK_US)
		return;
	len = cx_empty(buf, sizeof(buf), CX_ACK, pending->msg.mid);
	agt_reply_flow(call, &shard->flows[pending->flow], buf, len);
	pending->acknowledged = 1;
}

void agt_expire_requests(const struct agt_call *call, struct agt_shard *shard)
{
	uint32_t i;

	for (i = 0; i < call->agt->pending_capacity; i++) {
		struct agt_pending *pending = &shard->pending[i];

		if (pending->state == AGT_FREE)
			continue;
		if (pending->deadline > call->now) {
			acknowledge_slow(call, shard, pending);
			continue;
		}
		if (pending->state == AGT_QUEUED)
			refuse_pending(call, shard, pending);
		else
			lose_pending(call, shard, pending);
	}
}

void agt_fail_flow(const struct agt_call *call, struct agt_shard *shard,
		   struct agt_flow *flow, const struct agt_pending *except)
{
	uint32_t at = (uint32_t)(flow - shard->flows);
	uint32_t i;

	for (i = 0; i < call->agt->pending_capacity; i++) {
		struct agt_pending *pending = &shard->pending[i];

		if (pending != except && pending->state == AGT_PASSED &&
		    pending->flow == at)
			lose_pending(call, shard, pending);
	}
}
