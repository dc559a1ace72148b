/*
 * Asking all agents of a service which flows they hold.
 *
 * Answers a load that comes in a herd: after a loss of power, or of many
 * agents, packets of thousands of flows reach agents that know nothing of
 * them. Each agent gathers the flows for one tick and asks every other agent
 * once for all of them, so that the messages grow with the agents, not with
 * the flows, and no packet walks around a service of hundreds.
 *
 * An agent that answers "not held" knows all that its target holds; one that
 * answers "unknown" gets the flow's packets on trial. A flow is lost when each
 * agent of the round has surely not got it. An agent that is thought dead is
 * asked, too, and its silence leaves a doubt: its target may live. While there
 * is one, only those agents are asked again that have not answered for sure.
 */
#include "flow_internal.h"

#include <string.h>

/* -- rounds (lock held) -------------------------------------------------- */

static int has(const uint8_t *bits, uint32_t at)
{
	return bits[at / 8] >> at % 8 & 1;
}

static void set(uint8_t *bits, uint32_t at)
{
	bits[at / 8] |= (uint8_t)(1u << at % 8);
}

static struct flw_asked *find_asked(struct flw *flw, uint64_t key,
				    struct flw_round **round)
{
	int i;
	uint32_t j;

	for (i = 0; key && i < FLW_ROUNDS; i++) {
		*round = &flw->rounds[i];
		for (j = 0; (*round)->used && j < (*round)->key_count; j++)
			if ((*round)->asked[j].key == key)
				return &(*round)->asked[j];
	}
	return NULL;
}

/* The round that gathers flows; it may take the place of the oldest. */
static struct flw_round *gathering(struct flw *flw, uint64_t now)
{
	struct flw_round *use = &flw->rounds[0];
	int i;

	for (i = 0; i < FLW_ROUNDS; i++) {
		struct flw_round *round = &flw->rounds[i];

		if (round->used && !round->asked_at &&
		    round->key_count < FLW_ROUND_KEYS)
			return round;
		if (round->used < use->used)
			use = round;
	}
	use->asked_at = 0;
	use->begun = now;
	use->used = now;
	use->key_count = 0;
	use->agent_count = 0;
	return use;
}

static uint32_t position(const struct flw_round *round, uint64_t agent)
{
	uint32_t at = 0;

	while (at < round->agent_count && round->agents[at] != agent)
		at++;
	return at;
}

/* It is part of the round under way. */
static int is_asked(const struct flw_asked *asked)
{
	return asked->key && !asked->again_at;
}

static void keep_packet(struct flw_asked *asked, const Jj__Packet *packet)
{
	asked->via_id = packet->via_id;
	asked->via_ip = packet->via_ip;
	asked->via_port = (uint16_t)packet->via_port;
	asked->searched = packet->searched;
	asked->len = 0;
	if (packet->data.len > FLW_ASK_PACKET)
		return;
	asked->len = (uint16_t)packet->data.len;
	memcpy(asked->packet, packet->data.data, packet->data.len);
}

static struct flw_verdict verdict_of(const struct flw_round *round,
				     const struct flw_asked *asked)
{
	struct flw_verdict verdict = { .asked = round->agent_count,
				       .searched = asked->searched,
				       .partial = round->partial,
				       .again = asked->rounds > 1 };
	uint32_t i;

	for (i = 0; i < round->agent_count; i++) {
		if (has(asked->not_held, i))
			continue;
		if (has(asked->unknown, i))
			verdict.unknown++;
		else
			verdict.silent++;
	}
	return verdict;
}

static int is_over(const struct flw_round *round, uint64_t now)
{
	return round->asked_at &&
	       (!round->left || now > round->asked_at + FLW_ASK_US);
}

/* -- sending ------------------------------------------------------------- */

/* What this agent itself would answer. */
static void answer_self(const struct flw_call *call, struct flw_round *round)
{
	uint32_t at = position(round, call->flw->desc.id);
	int known = flw_knows_all(call);
	uint32_t i;

	if (at == round->agent_count)
		return;
	round->heard[at] = 1;
	for (i = 0; i < round->key_count; i++)
		set(known || round->asked[i].not_here ?
			    round->asked[i].not_held :
			    round->asked[i].unknown,
		    at);
}

/* Asks an agent for those flows that it has not answered for sure. */
static void ask_one(const struct flw_call *call, struct flw_round *round,
		    const struct viw_agent *me, const struct viw_agent *to,
		    int dead)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Inquiry inquiry = JJ__INQUIRY__INIT;
	uint64_t keys[FLW_ROUND_KEYS];
	uint32_t at = position(round, to->id);
	uint32_t i;

	if (at == FLW_PEERS) {
		round->partial = 1;
		return;
	}
	if (at == round->agent_count)
		round->agents[round->agent_count++] = to->id;
	round->heard[at] = 1;
	if (to == me)
		return;
	for (i = 0; i < round->key_count; i++)
		if (is_asked(&round->asked[i]) &&
		    !has(round->asked[i].not_held, at))
			keys[inquiry.n_flows++] = round->asked[i].key;
	if (!inquiry.n_flows)
		return;
	round->heard[at] = (uint8_t)dead;
	round->left += !dead;
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

/* Live agents of the service, and dead ones whose targets may live. */
static void send_round(const struct flw_call *call, struct flw_round *round)
{
	const struct viw *view = call->view;
	const struct viw_service *service =
		viw_service(view, call->flw->service);
	const struct viw_agent *me = viw_agent(view, call->flw->desc.id);
	uint32_t i;

	if (!service || !me)
		return;
	round->asked_at = call->now;
	round->left = 0;
	round->partial = 0;
	for (i = 0; i < service->count; i++)
		ask_one(call, round, me, &view->agents[service->first + i], 0);
	for (i = 0; i < view->recently_dead_count; i++)
		if (&view->services[view->recently_dead[i].service] == service)
			ask_one(call, round, me, &view->recently_dead[i], 1);
	answer_self(call, round);
}

/* -- results ------------------------------------------------------------- */

/* What is to be done with the packet of a flow that was asked for. */
struct outcome {
	struct flw_asked asked;
	struct flw_verdict verdict;
	uint32_t try_count; /* agents that get the packet on trial */
	uint64_t try_at[FLW_PEERS];
};

/*
 * Lock held. The flow is forgotten when it is surely lost, and else asked for
 * again: its caller's next packet may be 1.6 s away.
 */
static void conclude(struct flw_round *round, struct flw_asked *asked,
		     uint64_t now, struct outcome *out)
{
	uint32_t i;

	out->verdict = verdict_of(round, asked);
	out->try_count = 0;
	for (i = 0; out->verdict.unknown && i < round->agent_count; i++)
		if (has(asked->unknown, i) && !has(asked->not_held, i))
			out->try_at[out->try_count++] = round->agents[i];
	out->asked = *asked;
	asked->tried = out->try_count > 0;
	if (!asked->again_at)
		asked->again_at = now + FLW_ASK_AGAIN_US;
	if (!out->verdict.unknown && !out->verdict.silent)
		asked->key = 0;
}

static int resume(const struct flw_call *call, struct flw_asked *asked,
		  struct flw_work *work, Jj__Packet *packet)
{
	if (!asked->len || !flw_resume(call, work, packet, asked->key,
				       asked->packet, asked->len))
		return 0;
	packet->via_id = asked->via_id;
	packet->via_ip = asked->via_ip;
	packet->via_port = asked->via_port;
	return 1;
}

/* Shard lock held. */
static void try_agents(const struct flw_work *work, const struct outcome *out)
{
	const struct viw *view = work->call->view;
	uint64_t self = work->call->flw->desc.id;
	struct flw_work trial = *work;
	Jj__Packet packet = *work->packet;
	uint32_t i;

	packet.origin = self;
	packet.hops = 0;
	trial.packet = &packet;
	for (i = 0; i < out->try_count; i++) {
		const struct viw_agent *to = viw_agent(view, out->try_at[i]);

		if (out->try_at[i] == self)
			flw_try_target(work, self);
		else if (to)
			flw_forward(&trial, to, FLW_TRIAL);
	}
}

static void act(const struct flw_call *call, struct outcome *out)
{
	struct flw_work work;
	Jj__Packet packet;

	if (!resume(call, &out->asked, &work, &packet))
		return;
	pthread_mutex_lock(&work.shard->lock);
	if (flw_find(work.shard, out->asked.key))
		; /* the target turned out to hold it meanwhile */
	else if (out->try_count)
		try_agents(&work, out);
	else
		flw_on_unfound(&work, &out->verdict);
	pthread_mutex_unlock(&work.shard->lock);
}

/* The next flow of a round that is over and was not concluded; 0: none. */
static int take_over(struct flw *flw, uint64_t now, struct outcome *out)
{
	int i;
	uint32_t j;

	for (i = 0; i < FLW_ROUNDS; i++) {
		struct flw_round *round = &flw->rounds[i];

		if (!round->used || !is_over(round, now))
			continue;
		for (j = 0; j < round->key_count; j++) {
			struct flw_asked *asked = &round->asked[j];

			if (!is_asked(asked))
				continue;
			conclude(round, asked, now, out);
			return 1;
		}
	}
	return 0;
}

static void conclude_all(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct outcome out;
	int found = 1;

	while (found) {
		pthread_mutex_lock(&flw->ask_lock);
		found = take_over(flw, call->now, &out);
		pthread_mutex_unlock(&flw->ask_lock);
		if (found)
			act(call, &out);
	}
}

/* -- asking -------------------------------------------------------------- */

static struct flw_asked *gather(struct flw *flw, uint64_t key, uint64_t now)
{
	struct flw_round *round = gathering(flw, now);
	struct flw_asked *asked = &round->asked[round->key_count++];

	asked->key = key;
	asked->since = now;
	asked->again_at = 0;
	asked->rounds = 1;
	asked->tried = 0;
	asked->not_here = 0;
	memset(asked->not_held, 0, sizeof(asked->not_held));
	memset(asked->unknown, 0, sizeof(asked->unknown));
	return asked;
}

/*
 * Lock held. Takes up the flows that are due: one that waited for its trial
 * here, and those about which a doubt was left. 1: there are some.
 */
static int take_up(struct flw_round *round, uint64_t now)
{
	uint32_t i;
	int found = 0;

	for (i = 0; i < round->key_count; i++) {
		struct flw_asked *asked = &round->asked[i];

		if (!asked->key || !asked->again_at || now < asked->again_at)
			continue;
		if (now > asked->since + FLW_ASK_KEEP_US) {
			asked->key = 0;
			continue;
		}
		asked->again_at = 0;
		asked->tried = 0;
		asked->rounds++;
		memset(asked->unknown, 0, sizeof(asked->unknown));
		found = 1;
	}
	return found;
}

void flw_forget_asked(struct flw *flw, uint64_t key)
{
	struct flw_round *round;
	struct flw_asked *asked;

	pthread_mutex_lock(&flw->ask_lock);
	asked = find_asked(flw, key, &round);
	if (asked)
		asked->key = 0;
	pthread_mutex_unlock(&flw->ask_lock);
}

/*
 * Whether a round that gathers has done so for long enough: the larger the
 * service, the more flows share a message.
 */
static int is_due(const struct flw_call *call, const struct flw_round *round)
{
	const struct viw_service *service =
		viw_service(call->view, call->flw->service);
	uint32_t i;

	if (round->asked_at || !service ||
	    call->now < round->begun + service->count * FLW_GATHER_US)
		return 0;
	for (i = 0; i < round->key_count; i++)
		if (is_asked(&round->asked[i]))
			return 1;
	return 0;
}

void flw_check_rounds(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	int i;

	pthread_mutex_lock(&flw->ask_lock);
	for (i = 0; i < FLW_ROUNDS; i++) {
		struct flw_round *round = &flw->rounds[i];

		if (call->now > round->used + FLW_ROUND_US)
			round->used = 0;
		if (!round->used ||
		    (round->asked_at && !is_over(round, call->now)))
			continue;
		if (take_up(round, call->now) || is_due(call, round))
			send_round(call, round);
	}
	pthread_mutex_unlock(&flw->ask_lock);
	conclude_all(call);
}

/* Lock held. One agent's word on some flows. */
static void note_answers(struct flw *flw, uint64_t agent, const uint64_t *keys,
			 size_t count, int known)
{
	struct flw_round *round;
	size_t i;
	uint32_t at;

	for (i = 0; i < count; i++) {
		struct flw_asked *asked = find_asked(flw, keys[i], &round);

		if (!asked || !round->asked_at)
			continue;
		at = position(round, agent);
		if (at == round->agent_count)
			continue;
		set(known ? asked->not_held : asked->unknown, at);
		if (!round->heard[at])
			round->left--;
		round->heard[at] = 1;
	}
}

/*
 * One that is being asked for waits for the answers; one that may be at agents
 * which do not know goes there at once.
 */
void flw_ask(const struct flw_work *work, int not_here)
{
	struct flw *flw = work->call->flw;
	uint64_t now = work->call->now;
	uint64_t key = work->packet->flow;
	struct flw_round *round = NULL;
	struct flw_asked *asked;
	struct outcome out = { .try_count = 0 };
	int tried;

	pthread_mutex_lock(&flw->ask_lock);
	asked = find_asked(flw, key, &round);
	if (!asked)
		asked = gather(flw, key, now);
	else
		round->used = now;
	asked->since = now;
	asked->not_here |= (uint8_t)not_here;
	if (!asked->rounds) /* it was to be asked for later */
		asked->again_at = now;
	keep_packet(asked, work->packet);
	if (not_here)
		note_answers(flw, flw->desc.id, &key, 1, 1);
	tried = asked->tried;
	if (tried)
		conclude(round, asked, now, &out);
	pthread_mutex_unlock(&flw->ask_lock);
	if (out.try_count)
		try_agents(work, &out);
	else if (tried)
		flw_on_unfound(work, &out.verdict);
}

void flw_ask_later(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	uint64_t key = work->packet->flow;
	struct flw_round *round;
	struct flw_asked *asked;

	pthread_mutex_lock(&flw->ask_lock);
	asked = find_asked(flw, key, &round);
	if (!asked) {
		asked = gather(flw, key, work->call->now);
		asked->again_at = work->call->now + FLW_ASK_AGAIN_US;
		asked->rounds = 0;
	}
	keep_packet(asked, work->packet);
	pthread_mutex_unlock(&flw->ask_lock);
}

/* -- answers ------------------------------------------------------------- */

void flw_on_inquiry(const struct flw_call *call, const Jj__Inquiry *inquiry)
{
	struct flw *flw = call->flw;
	int known = flw_knows_all(call);
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__InquiryReply reply = JJ__INQUIRY_REPLY__INIT;
	Jj__Holding items[FLW_ROUND_KEYS];
	Jj__Holding *held[FLW_ROUND_KEYS];
	uint64_t not_held[FLW_ROUND_KEYS];
	uint64_t unknown[FLW_ROUND_KEYS];
	size_t i;

	reply.held = held;
	reply.not_held = not_held;
	reply.unknown = unknown;
	for (i = 0; i < inquiry->n_flows && i < FLW_ROUND_KEYS; i++) {
		uint64_t key = inquiry->flows[i];
		struct flw_shard *shard = flw_shard_of(flw, key);
		const struct flw_exception *e;
		const struct flw_flow *flow;

		pthread_mutex_lock(&shard->lock);
		flow = flw_find(shard, key);
		e = flw_exception(shard, key);
		if (flow) {
			held[reply.n_held] = &items[reply.n_held];
			flw_fill_holding(&items[reply.n_held++], flw, flow);
		} else if (known || (e && e->not_here)) {
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
	struct flw_round *round;
	struct flw_asked *asked;
	struct outcome out = { .try_count = 0 };
	int over = 0;

	pthread_mutex_lock(&flw->ask_lock);
	note_answers(flw, agent, &key, 1, 1);
	asked = find_asked(flw, key, &round);
	/* The last of those that did not know: nobody is left. */
	if (asked && asked->tried && !verdict_of(round, asked).unknown) {
		conclude(round, asked, call->now, &out);
		over = 1;
	}
	pthread_mutex_unlock(&flw->ask_lock);
	if (over)
		act(call, &out);
}

/*
 * An agent holds a flow that was asked for: its packet goes there, unless that
 * agent's target only answered another copy of the opening.
 */
static void on_found(const struct flw_call *call, const Jj__Holding *item)
{
	struct flw *flw = call->flw;
	const struct viw_agent *holder =
		viw_find_holder(call->view, item->holder);
	struct flw_exception e = { .key = item->flow,
				   .holder = item->holder,
				   .first = item->first,
				   .first_known = item->known,
				   .at = call->now };
	struct flw_round *round;
	struct flw_asked *asked;
	struct flw_asked found = { 0 };
	struct flw_work work;
	Jj__Packet packet;
	int fits;

	pthread_mutex_lock(&flw->ask_lock);
	asked = find_asked(flw, item->flow, &round);
	if (asked)
		found = *asked;
	fits = found.key && holder && resume(call, &found, &work, &packet) &&
	       (!work.head.acknowledges || !item->known ||
		flw_fits(work.head.ack, item->first));
	if (fits)
		asked->key = 0;
	else
		note_answers(flw, item->holder, &item->flow, 1, 1);
	pthread_mutex_unlock(&flw->ask_lock);
	if (!fits)
		return;
	pthread_mutex_lock(&work.shard->lock);
	flw_put_exception(work.shard, &e);
	flw_forward(&work, holder, FLW_HELD);
	pthread_mutex_unlock(&work.shard->lock);
}

void flw_on_inquiry_reply(const struct flw_call *call, uint64_t sender,
			  const Jj__InquiryReply *reply)
{
	struct flw *flw = call->flw;
	size_t i;

	for (i = 0; i < reply->n_held; i++)
		on_found(call, reply->held[i]);
	pthread_mutex_lock(&flw->ask_lock);
	note_answers(flw, sender, reply->unknown, reply->n_unknown, 0);
	note_answers(flw, sender, reply->not_held, reply->n_not_held, 1);
	pthread_mutex_unlock(&flw->ask_lock);
	for (i = 0; i < reply->n_not_held; i++)
		flw_note_not_held(call, sender, reply->not_held[i]);
	conclude_all(call);
}
