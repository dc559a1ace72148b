/*
 * Looking up which agent holds a flow.
 *
 * After a power failure, or the loss of many agents, packets of thousands of
 * flows arrive at agents that know nothing of them. Each agent therefore
 * collects such flows in a batch for a short time and sends one inquiry for all
 * of them to every other agent. The number of messages grows with the number of
 * agents, not of flows, and no packet is forwarded from agent to agent through
 * a service of hundreds of agents.
 *
 * An agent that replies "not held" knows every flow of its target, or has seen
 * its target return a packet of this one. An agent that replies "unknown" gets
 * the flow's packets on trial. Agents that are considered dead are asked, too;
 * if one does not reply, the result stays in doubt, since its target may be
 * alive. In that case only the agents without a definite reply are asked again.
 *
 * The first inquiry for a flow goes to the agents of this agent's service, all
 * later ones to those of all services. Which services a flow's address led to
 * is not known for certain: this process may have started after a change, may
 * not have heard of the latest one, or may have dropped the removed route. A
 * flow is therefore lost only when every agent of every service definitely does
 * not hold it, and in a fleet with more than FLW_LOOKUP_AGENTS_MAX agents never.
 *
 * An agent whose last known phase is down leaves no doubt: every packet for its
 * target passes through it, and it gives the target no flow until all members
 * have had time to learn that it left that phase (see flow_lost.c). It is asked
 * DOWN_ATTEMPTS times nevertheless, since the phase may be stale: that of an
 * incarnation that has ended, while the next one is not known here yet. This
 * requires probe_silence_ms above 0, which must be the same in the whole fleet.
 */
#include "flow_internal.h"

#include <string.h>

/*
 * Unanswered inquiries after which an agent in phase down does not hold a flow.
 * They take 0.8 s, longer than gossip takes to announce a new incarnation, and
 * callers are to be notified within 1 s.
 */
#define DOWN_ATTEMPTS 3

/* -- batches (lookup lock held) ------------------------------------------ */

static int bit_is_set(const uint8_t *bits, uint32_t at)
{
	return bits[at / 8] >> at % 8 & 1;
}

static void set_bit(uint8_t *bits, uint32_t at)
{
	bits[at / 8] |= (uint8_t)(1u << at % 8);
}

static struct flw_lookup *find_lookup(struct flw *flw, uint64_t key,
				      struct flw_lookup_batch **batch)
{
	int i;
	uint32_t j;

	for (i = 0; key && i < FLW_BATCHES; i++) {
		*batch = &flw->batches[i];
		for (j = 0;
		     (*batch)->last_used_at && j < (*batch)->lookup_count; j++)
			if ((*batch)->lookups[j].key == key)
				return &(*batch)->lookups[j];
	}
	return NULL;
}

/*
 * Returns the batch that collects flows; it may replace the least recently used
 * one.
 */
static struct flw_lookup_batch *open_batch(struct flw *flw, uint64_t now)
{
	struct flw_lookup_batch *use = &flw->batches[0];
	int i;

	for (i = 0; i < FLW_BATCHES; i++) {
		struct flw_lookup_batch *batch = &flw->batches[i];

		if (batch->last_used_at && !batch->sent_at &&
		    batch->lookup_count < FLW_BATCH_LOOKUPS)
			return batch;
		if (batch->last_used_at < use->last_used_at)
			use = batch;
	}
	use->sent_at = 0;
	use->created_at = now;
	use->last_used_at = now;
	use->lookup_count = 0;
	use->agent_count = 0;
	return use;
}

static uint32_t agent_position(const struct flw_lookup_batch *batch,
			       uint64_t agent)
{
	uint32_t at = 0;

	while (at < batch->agent_count && batch->agents[at] != agent)
		at++;
	return at;
}

/* Whether the lookup is part of the inquiry in progress. */
static int is_active(const struct flw_lookup *lookup)
{
	return lookup->key && !lookup->retry_at;
}

/* Whether agents of all services are asked for the flow. */
static int is_wide(const struct flw_lookup *lookup)
{
	return lookup->attempts > 1;
}

static void store_packet(struct flw_lookup *lookup, const Jj__Packet *packet)
{
	lookup->via_id = packet->via_id;
	lookup->via_ip = packet->via_ip;
	lookup->via_port = (uint16_t)packet->via_port;
	lookup->searched = packet->searched;
	lookup->len = 0;
	if (packet->data.len > FLW_LOOKUP_PACKET_BYTES)
		return;
	lookup->len = (uint16_t)packet->data.len;
	memcpy(lookup->packet, packet->data.data, packet->data.len);
}

static struct flw_lookup_result
make_result(const struct flw_call *call, const struct flw_lookup_batch *batch,
	    const struct flw_lookup *lookup)
{
	struct flw_lookup_result result = { .agent_count = batch->agent_count,
					    .searched = lookup->searched,
					    .partial = batch->partial,
					    .wide = is_wide(lookup),
					    .repeated = lookup->attempts > 1 };
	uint32_t i;

	for (i = 0; i < batch->agent_count; i++) {
		uint32_t attempts = lookup->attempts - batch->other_service[i];

		if (!attempts || bit_is_set(lookup->not_held, i))
			continue;
		if (bit_is_set(lookup->unknown, i))
			result.unknown++;
		else if (attempts < DOWN_ATTEMPTS ||
			 !flw_was_down(call, batch->agents[i]))
			result.silent++;
	}
	return result;
}

static int is_complete(const struct flw_lookup_batch *batch, uint64_t now)
{
	return batch->sent_at &&
	       (!batch->replies_left ||
		now > batch->sent_at + FLW_INQUIRY_TIMEOUT_US);
}

/* -- sending ------------------------------------------------------------- */

/* Records the reply that this agent itself would give. */
static void record_own_answer(const struct flw_call *call,
			      struct flw_lookup_batch *batch)
{
	uint32_t at = agent_position(batch, call->flw->desc.id);
	int definite = flw_knows_all_flows(call);
	uint32_t i;

	if (at == batch->agent_count)
		return;
	batch->replied[at] = 1;
	for (i = 0; i < batch->lookup_count; i++)
		set_bit(definite || batch->lookups[i].not_local ?
				batch->lookups[i].not_held :
				batch->lookups[i].unknown,
			at);
}

/* Asks an agent for the flows that it has not answered definitely. */
static void send_inquiry(const struct flw_call *call,
			 struct flw_lookup_batch *batch,
			 const struct viw_agent *me, const struct viw_agent *to,
			 int dead)
{
	int other_service = to->service != me->service;
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Inquiry inquiry = JJ__INQUIRY__INIT;
	uint64_t keys[FLW_BATCH_LOOKUPS];
	uint32_t at = agent_position(batch, to->id);
	uint32_t i;

	if (at == FLW_LOOKUP_AGENTS_MAX) {
		batch->partial = 1;
		return;
	}
	if (at == batch->agent_count)
		batch->agents[batch->agent_count++] = to->id;
	batch->other_service[at] = (uint8_t)other_service;
	batch->replied[at] = 1;
	if (to == me)
		return;
	for (i = 0; i < batch->lookup_count; i++)
		if (is_active(&batch->lookups[i]) &&
		    (!other_service || is_wide(&batch->lookups[i])) &&
		    !bit_is_set(batch->lookups[i].not_held, at))
			keys[inquiry.n_flows++] = batch->lookups[i].key;
	if (!inquiry.n_flows)
		return;
	batch->replied[at] = (uint8_t)dead;
	batch->replies_left += !dead;
	inquiry.ip = me->ip;
	inquiry.port = me->data_port;
	inquiry.flows = keys;
	env.body_case = JJ__ENVELOPE__BODY_INQUIRY;
	env.inquiry = &inquiry;
	met_add(call->flw->desc.met, MET_INQUIRIES, 1);
	call->flw->desc.hooks.to_process(call->flw->desc.hooks.ctx,
					 call->thread, to->ip, to->data_port,
					 &env);
}

/*
 * Whether a recently dead agent is asked; *awaited: its reply is waited for. One
 * in phase down may have returned; its reply then counts, not that phase.
 */
static int is_asked(const struct flw_call *call, const struct viw_agent *dead,
		    int *awaited)
{
	*awaited = dead->phase == JJ__PHASE__PHASE_DOWN;
	return !*awaited || flw_probes_target(call->flw);
}

/*
 * Asks live agents and dead ones whose targets may be alive: those of this
 * agent's service, or those of all others.
 */
static void ask_agents(const struct flw_call *call,
		       struct flw_lookup_batch *batch,
		       const struct viw_agent *me, int other_services)
{
	const struct viw *view = call->view;
	uint32_t i;

	for (i = 0; i < view->agent_count; i++) {
		const struct viw_agent *to = &view->agents[i];

		if ((to->service != me->service) == other_services)
			send_inquiry(call, batch, me, to, 0);
	}
	for (i = 0; i < view->recently_dead_count; i++) {
		const struct viw_agent *dead = &view->recently_dead[i];
		int awaited;

		if ((dead->service != me->service) == other_services &&
		    is_asked(call, dead, &awaited))
			send_inquiry(call, batch, me, dead, !awaited);
	}
}

static int has_wide_lookup(const struct flw_lookup_batch *batch)
{
	uint32_t i;

	for (i = 0; i < batch->lookup_count; i++)
		if (is_active(&batch->lookups[i]) &&
		    is_wide(&batch->lookups[i]))
			return 1;
	return 0;
}

static void send_batch(const struct flw_call *call,
		       struct flw_lookup_batch *batch)
{
	const struct viw_agent *me = viw_agent(call->view, call->flw->desc.id);

	if (!me)
		return;
	batch->sent_at = call->now;
	batch->replies_left = 0;
	batch->partial = 0;
	ask_agents(call, batch, me, 0);
	if (has_wide_lookup(batch))
		ask_agents(call, batch, me, 1);
	record_own_answer(call, batch);
}

/* -- completed lookups --------------------------------------------------- */

/* A completed lookup and what is to be done with its packet. */
struct completed_lookup {
	struct flw_lookup lookup;
	struct flw_lookup_result result;
	uint32_t trial_count; /* agents that get the packet on trial */
	uint64_t trial_agents[FLW_LOOKUP_AGENTS_MAX];
};

/* Whether no agent that was asked may hold the flow. */
static int is_definite(const struct flw_lookup_result *result)
{
	return !result->unknown && !result->silent;
}

/* Adds the agents that may hold the flow, and get its packet on trial. */
static void list_trials(const struct flw_lookup_batch *batch,
			const struct flw_lookup *lookup, int other_services,
			struct completed_lookup *out)
{
	uint32_t i;

	for (i = 0; i < batch->agent_count; i++)
		if (batch->other_service[i] == other_services &&
		    bit_is_set(lookup->unknown, i) &&
		    !bit_is_set(lookup->not_held, i))
			out->trial_agents[out->trial_count++] =
				batch->agents[i];
}

/*
 * Lookup lock held. A flow that is definitely lost is dropped from the batch.
 * One that no agent of this service holds is asked for elsewhere at once, any
 * other later, since the caller's next packet may take 1.6 s to arrive.
 */
static void complete_lookup(const struct flw_call *call,
			    struct flw_lookup_batch *batch,
			    struct flw_lookup *lookup,
			    struct completed_lookup *out)
{
	int definite;

	out->result = make_result(call, batch, lookup);
	out->trial_count = 0;
	list_trials(batch, lookup, 0, out);
	/* Targets of other services get few packets of flows they don't hold. */
	if (!out->trial_count)
		list_trials(batch, lookup, 1, out);
	out->lookup = *lookup;
	lookup->trials_sent = out->trial_count > 0;
	definite = is_definite(&out->result);
	if (definite && !is_wide(lookup))
		lookup->retry_at = call->now;
	else if (!lookup->retry_at)
		lookup->retry_at = call->now + FLW_INQUIRY_RETRY_US;
	if (definite && is_wide(lookup))
		lookup->key = 0;
}

static int restore_lookup(const struct flw_call *call,
			  struct flw_lookup *lookup, struct flw_work *work,
			  Jj__Packet *packet)
{
	if (!lookup->len || !flw_restore_work(call, work, packet, lookup->key,
					      lookup->packet, lookup->len))
		return 0;
	packet->via_id = lookup->via_id;
	packet->via_ip = lookup->via_ip;
	packet->via_port = lookup->via_port;
	return 1;
}

/* Shard lock held. */
static void send_trials(const struct flw_work *work,
			const struct completed_lookup *out)
{
	const struct viw *view = work->call->view;
	uint64_t self = work->call->flw->desc.id;
	struct flw_work trial = *work;
	Jj__Packet packet = *work->packet;
	uint32_t i;

	packet.origin = self;
	packet.hops = 0;
	trial.packet = &packet;
	for (i = 0; i < out->trial_count; i++) {
		const struct viw_agent *to =
			viw_agent(view, out->trial_agents[i]);

		if (out->trial_agents[i] == self)
			flw_try_target(work, self);
		else if (to)
			flw_forward(&trial, to, FLW_MODE_TRIAL);
	}
}

static void handle_completed(const struct flw_call *call,
			     struct completed_lookup *out)
{
	struct flw_work work;
	Jj__Packet packet;

	if (!restore_lookup(call, &out->lookup, &work, &packet))
		return;
	pthread_mutex_lock(&work.shard->lock);
	if (flw_find_flow(work.shard, out->lookup.key))
		; /* this agent's target was found to hold it */
	else if (out->trial_count)
		send_trials(&work, out);
	else
		flw_on_lookup_failed(&work, &out->result);
	pthread_mutex_unlock(&work.shard->lock);
}

/*
 * Completes the next lookup of a batch that has all replies or timed out.
 * Returns 0 if there is none.
 */
static int next_completed(const struct flw_call *call,
			  struct completed_lookup *out)
{
	struct flw *flw = call->flw;
	int i;
	uint32_t j;

	for (i = 0; i < FLW_BATCHES; i++) {
		struct flw_lookup_batch *batch = &flw->batches[i];

		if (!batch->last_used_at || !is_complete(batch, call->now))
			continue;
		for (j = 0; j < batch->lookup_count; j++) {
			struct flw_lookup *lookup = &batch->lookups[j];

			if (!is_active(lookup))
				continue;
			complete_lookup(call, batch, lookup, out);
			return 1;
		}
	}
	return 0;
}

static void handle_all_completed(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct completed_lookup out;
	int found = 1;

	while (found) {
		pthread_mutex_lock(&flw->lookup_lock);
		found = next_completed(call, &out);
		pthread_mutex_unlock(&flw->lookup_lock);
		if (found)
			handle_completed(call, &out);
	}
}

/* -- starting lookups ---------------------------------------------------- */

static struct flw_lookup *add_lookup(struct flw *flw, uint64_t key,
				     uint64_t now)
{
	struct flw_lookup_batch *batch = open_batch(flw, now);
	struct flw_lookup *lookup = &batch->lookups[batch->lookup_count++];

	lookup->key = key;
	lookup->last_packet_at = now;
	lookup->retry_at = 0;
	lookup->attempts = 1;
	lookup->trials_sent = 0;
	lookup->not_local = 0;
	memset(lookup->not_held, 0, sizeof(lookup->not_held));
	memset(lookup->unknown, 0, sizeof(lookup->unknown));
	return lookup;
}

/*
 * Lookup lock held. Restarts the lookups that are due: those that waited for a
 * trial at this agent's target, and those with a doubtful result. Returns 1 if
 * there are any.
 */
static int restart_due_lookups(struct flw_lookup_batch *batch, uint64_t now)
{
	uint32_t i;
	int found = 0;

	for (i = 0; i < batch->lookup_count; i++) {
		struct flw_lookup *lookup = &batch->lookups[i];

		if (!lookup->key || !lookup->retry_at || now < lookup->retry_at)
			continue;
		if (now > lookup->last_packet_at + FLW_LOOKUP_TTL_US) {
			lookup->key = 0;
			continue;
		}
		lookup->retry_at = 0;
		lookup->trials_sent = 0;
		lookup->attempts++;
		memset(lookup->unknown, 0, sizeof(lookup->unknown));
		found = 1;
	}
	return found;
}

void flw_cancel_lookup(struct flw *flw, uint64_t key)
{
	struct flw_lookup_batch *batch;
	struct flw_lookup *lookup;

	pthread_mutex_lock(&flw->lookup_lock);
	lookup = find_lookup(flw, key, &batch);
	if (lookup)
		lookup->key = 0;
	pthread_mutex_unlock(&flw->lookup_lock);
}

/*
 * Whether a batch has collected flows for long enough. The larger the service,
 * the longer it collects, so that more flows share a message.
 */
static int is_batch_due(const struct flw_call *call,
			const struct flw_lookup_batch *batch)
{
	const struct viw_service *service =
		viw_service(call->view, call->flw->service);
	uint32_t i;

	if (batch->sent_at || !service ||
	    call->now < batch->created_at + service->count * FLW_BATCH_DELAY_US)
		return 0;
	for (i = 0; i < batch->lookup_count; i++)
		if (is_active(&batch->lookups[i]))
			return 1;
	return 0;
}

void flw_check_lookups(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	int i;

	pthread_mutex_lock(&flw->lookup_lock);
	for (i = 0; i < FLW_BATCHES; i++) {
		struct flw_lookup_batch *batch = &flw->batches[i];

		if (call->now > batch->last_used_at + FLW_BATCH_IDLE_US)
			batch->last_used_at = 0;
		if (!batch->last_used_at ||
		    (batch->sent_at && !is_complete(batch, call->now)))
			continue;
		if (restart_due_lookups(batch, call->now) ||
		    is_batch_due(call, batch))
			send_batch(call, batch);
	}
	pthread_mutex_unlock(&flw->lookup_lock);
	handle_all_completed(call);
}

/*
 * Lookup lock held. Records one agent's reply for some flows; definite: it
 * definitely does not hold them.
 */
static void record_answers(struct flw *flw, uint64_t agent,
			   const uint64_t *keys, size_t count, int definite)
{
	struct flw_lookup_batch *batch;
	size_t i;
	uint32_t at;

	for (i = 0; i < count; i++) {
		struct flw_lookup *lookup = find_lookup(flw, keys[i], &batch);

		if (!lookup || !batch->sent_at)
			continue;
		at = agent_position(batch, agent);
		if (at == batch->agent_count)
			continue;
		set_bit(definite ? lookup->not_held : lookup->unknown, at);
		if (!batch->replied[at])
			batch->replies_left--;
		batch->replied[at] = 1;
	}
}

/*
 * A flow with an inquiry in progress waits for the replies. If agents replied
 * to the last one that they may hold the flow, the packet goes to them on trial
 * at once.
 */
void flw_look_up(const struct flw_work *work, int not_local)
{
	struct flw *flw = work->call->flw;
	uint64_t now = work->call->now;
	uint64_t key = work->packet->flow;
	struct flw_lookup_batch *batch = NULL;
	struct flw_lookup *lookup;
	struct completed_lookup out = { .trial_count = 0 };
	int tried;

	pthread_mutex_lock(&flw->lookup_lock);
	lookup = find_lookup(flw, key, &batch);
	if (!lookup)
		lookup = add_lookup(flw, key, now);
	else
		batch->last_used_at = now;
	lookup->last_packet_at = now;
	lookup->not_local |= (uint8_t)not_local;
	if (!lookup->attempts) /* scheduled by flw_look_up_later() */
		lookup->retry_at = now;
	store_packet(lookup, work->packet);
	if (not_local)
		record_answers(flw, flw->desc.id, &key, 1, 1);
	tried = lookup->trials_sent;
	if (tried)
		complete_lookup(work->call, batch, lookup, &out);
	pthread_mutex_unlock(&flw->lookup_lock);
	if (out.trial_count)
		send_trials(work, &out);
	else if (tried)
		flw_on_lookup_failed(work, &out.result);
}

void flw_look_up_later(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	uint64_t key = work->packet->flow;
	struct flw_lookup_batch *batch;
	struct flw_lookup *lookup;

	pthread_mutex_lock(&flw->lookup_lock);
	lookup = find_lookup(flw, key, &batch);
	if (!lookup) {
		lookup = add_lookup(flw, key, work->call->now);
		lookup->retry_at = work->call->now + FLW_INQUIRY_RETRY_US;
		lookup->attempts = 0;
	}
	store_packet(lookup, work->packet);
	pthread_mutex_unlock(&flw->lookup_lock);
}

/* -- inquiries and replies ----------------------------------------------- */

void flw_on_inquiry(const struct flw_call *call, const Jj__Inquiry *inquiry)
{
	struct flw *flw = call->flw;
	int definite = flw_knows_all_flows(call);
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__InquiryReply reply = JJ__INQUIRY_REPLY__INIT;
	Jj__Holding items[FLW_BATCH_LOOKUPS];
	Jj__Holding *held[FLW_BATCH_LOOKUPS];
	uint64_t not_held[FLW_BATCH_LOOKUPS];
	uint64_t unknown[FLW_BATCH_LOOKUPS];
	size_t i;

	reply.held = held;
	reply.not_held = not_held;
	reply.unknown = unknown;
	for (i = 0; i < inquiry->n_flows && i < FLW_BATCH_LOOKUPS; i++) {
		uint64_t key = inquiry->flows[i];
		struct flw_shard *shard = flw_shard_of(flw, key);
		const struct flw_location *location;
		const struct flw_flow *flow;

		pthread_mutex_lock(&shard->lock);
		flow = flw_find_flow(shard, key);
		location = flw_find_location(shard, key);
		if (flow) {
			held[reply.n_held] = &items[reply.n_held];
			flw_fill_holding(&items[reply.n_held++], flw, flow);
		} else if (definite || (location && location->not_local)) {
			not_held[reply.n_not_held++] = key;
		} else {
			unknown[reply.n_unknown++] = key;
		}
		pthread_mutex_unlock(&shard->lock);
	}
	env.body_case = JJ__ENVELOPE__BODY_INQUIRY_REPLY;
	env.inquiry_reply = &reply;
	flw->desc.hooks.to_process(flw->desc.hooks.ctx, call->thread,
				   inquiry->ip, (uint16_t)inquiry->port, &env);
}

void flw_note_not_held(const struct flw_call *call, uint64_t agent,
		       uint64_t key)
{
	struct flw *flw = call->flw;
	struct flw_lookup_batch *batch;
	struct flw_lookup *lookup;
	struct completed_lookup out = { .trial_count = 0 };
	int over = 0;

	pthread_mutex_lock(&flw->lookup_lock);
	record_answers(flw, agent, &key, 1, 1);
	lookup = find_lookup(flw, key, &batch);
	/* No agent that replied "unknown" can hold the flow any more. */
	if (lookup && lookup->trials_sent &&
	    !make_result(call, batch, lookup).unknown) {
		complete_lookup(call, batch, lookup, &out);
		over = 1;
	}
	pthread_mutex_unlock(&flw->lookup_lock);
	if (over)
		handle_completed(call, &out);
}

/*
 * Lookup lock held. The packet of the lookup does not go to the agent that
 * holds the flow. If the packet is known, it belongs to another flow than that
 * agent's. One that was too large to be kept leaves a doubt.
 */
static void record_holder(const struct flw_call *call, const Jj__Holding *item,
			  int packet_known)
{
	int definite = packet_known || !flw_probes_target(call->flw);

	record_answers(call->flw, item->holder, &item->flow, 1, definite);
}

/*
 * An agent holds a flow that was looked up: the packet goes there, unless that
 * agent's target only answered another copy of the opening.
 */
static void on_holder_found(const struct flw_call *call,
			    const Jj__Holding *item)
{
	struct flw *flw = call->flw;
	const struct viw_agent *holder =
		viw_find_holder(call->view, item->holder);
	struct flw_location location = { .key = item->flow,
					 .holder = item->holder,
					 .target_isn = item->first,
					 .target_isn_known = item->known,
					 .updated_at = call->now };
	struct flw_lookup_batch *batch;
	struct flw_lookup *lookup;
	struct flw_lookup found = { 0 };
	struct flw_work work;
	Jj__Packet packet;
	int known;
	int fits;

	/* It has returned from phase down. */
	if (!holder && flw_probes_target(flw))
		holder = viw_find_dead(call->view, item->holder);
	pthread_mutex_lock(&flw->lookup_lock);
	lookup = find_lookup(flw, item->flow, &batch);
	if (lookup)
		found = *lookup;
	known = found.key && holder &&
		restore_lookup(call, &found, &work, &packet);
	fits = known && (!work.head.acknowledges || !item->known ||
			 flw_ack_matches(work.head.ack, item->first));
	if (fits)
		lookup->key = 0;
	else
		record_holder(call, item, known);
	pthread_mutex_unlock(&flw->lookup_lock);
	if (!fits)
		return;
	pthread_mutex_lock(&work.shard->lock);
	flw_put_location(work.shard, &location);
	flw_forward(&work, holder, FLW_MODE_HOLDER);
	pthread_mutex_unlock(&work.shard->lock);
}

void flw_on_inquiry_reply(const struct flw_call *call, uint64_t sender,
			  const Jj__InquiryReply *reply)
{
	struct flw *flw = call->flw;
	size_t i;

	for (i = 0; i < reply->n_held; i++)
		on_holder_found(call, reply->held[i]);
	pthread_mutex_lock(&flw->lookup_lock);
	record_answers(flw, sender, reply->unknown, reply->n_unknown, 0);
	record_answers(flw, sender, reply->not_held, reply->n_not_held, 1);
	pthread_mutex_unlock(&flw->lookup_lock);
	for (i = 0; i < reply->n_not_held; i++)
		flw_note_not_held(call, sender, reply->not_held[i]);
	handle_all_completed(call);
}
