/* Probes, failure detection and the gossip that probes carry. */
#include "member_internal.h"

/* -- sending ------------------------------------------------------------- */

struct update_list {
	Jj__Member records[MBR_UPDATES_MAX];
	Jj__Member *list[MBR_UPDATES_MAX];
	size_t count;
};

static void append_record(struct update_list *updates, struct mbr *mbr,
			  struct mbr_member *member)
{
	Jj__Member *msg = &updates->records[updates->count];

	mbr_to_msg(member, msg);
	updates->list[updates->count++] = msg;
	if (member->sends_left && --member->sends_left == 0)
		mbr->records_to_send--;
}

/*
 * Selects the records to send: first that of this process; then the receiver's
 * if it isn't alive, so that it can refute this; then queued records, starting
 * at a random position.
 */
static void collect_updates(struct mbr *mbr, struct update_list *updates,
			    uint64_t to)
{
	uint32_t start = mbr_random_below(mbr, mbr->count);
	struct mbr_member *receiver = mbr_record(mbr, to);
	uint32_t i;

	updates->count = 0;
	append_record(updates, mbr, mbr_self(mbr));
	if (receiver && receiver != mbr_self(mbr) &&
	    receiver->liveness != JJ__LIVENESS__LIVE_ALIVE)
		append_record(updates, mbr, receiver);
	else
		receiver = NULL;
	for (i = 0; i < mbr->count && mbr->records_to_send; i++) {
		struct mbr_member *member =
			&mbr->members[(start + i) % mbr->count];

		if (!member->sends_left || member == mbr_self(mbr) ||
		    member == receiver)
			continue;
		if (updates->count == MBR_UPDATES_MAX)
			break;
		append_record(updates, mbr, member);
	}
}

static void send_ping(struct mbr *mbr, uint64_t now, uint32_t ip, uint16_t port,
		      uint64_t to)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Ping ping = JJ__PING__INIT;
	struct update_list updates;

	collect_updates(mbr, &updates, to);
	ping.seq = ++mbr->seq;
	ping.to = to;
	ping.news = updates.list;
	ping.n_news = updates.count;
	env.body_case = JJ__ENVELOPE__BODY_PING;
	env.ping = &ping;
	mbr->ping_sent[ping.seq % MBR_PINGS_MAX] = now;
	mbr->desc.hooks.send(mbr->desc.hooks.ctx, ip, port, &env);
}

void mbr_ping(struct mbr *mbr, uint64_t now, const struct mbr_member *member)
{
	send_ping(mbr, now, member->ip, member->control_port, member->id);
}

void mbr_send_ack(struct mbr *mbr, uint64_t to, uint32_t ip, uint16_t port,
		  uint64_t seq, uint64_t from)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Ack ack = JJ__ACK__INIT;
	struct update_list updates;

	collect_updates(mbr, &updates, to);
	ack.seq = seq;
	ack.from = from;
	ack.news = updates.list;
	ack.n_news = updates.count;
	env.body_case = JJ__ENVELOPE__BODY_ACK;
	env.ack = &ack;
	mbr->desc.hooks.send(mbr->desc.hooks.ctx, ip, port, &env);
}

static void send_ping_req(struct mbr *mbr, const struct mbr_member *relay,
			  uint64_t target)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__PingReq req = JJ__PING_REQ__INIT;
	struct update_list updates;

	collect_updates(mbr, &updates, relay->id);
	req.seq = mbr->probe_seq;
	req.target = target;
	req.news = updates.list;
	req.n_news = updates.count;
	env.body_case = JJ__ENVELOPE__BODY_PING_REQ;
	env.ping_req = &req;
	mbr->desc.hooks.send(mbr->desc.hooks.ctx, relay->ip,
			     relay->control_port, &env);
}

struct mbr_member *mbr_random_live(struct mbr *mbr, uint64_t excluded_id)
{
	int tries;

	for (tries = 0; tries < 16 && mbr->count > 1; tries++) {
		struct mbr_member *member =
			&mbr->members[1 +
				      mbr_random_below(mbr, mbr->count - 1)];

		if (mbr_live(member) && member->id != excluded_id)
			return member;
	}
	return NULL;
}

/* -- probing ------------------------------------------------------------- */

static void shuffle_probe_list(struct mbr *mbr)
{
	uint32_t i;

	mbr->probe_list_count = 0;
	mbr->probe_at = 0;
	for (i = 1; i < mbr->count; i++)
		if (mbr_live(&mbr->members[i]))
			mbr->probe_list[mbr->probe_list_count++] = i;
	for (i = mbr->probe_list_count; i > 1; i--) {
		uint32_t j = mbr_random_below(mbr, i);
		uint32_t swap = mbr->probe_list[i - 1];

		mbr->probe_list[i - 1] = mbr->probe_list[j];
		mbr->probe_list[j] = swap;
	}
}

/* Next live member of the probe list, which is shuffled anew at its end. */
static struct mbr_member *next_to_probe(struct mbr *mbr)
{
	int round;

	for (round = 0; round < 2; round++) {
		while (mbr->probe_at < mbr->probe_list_count) {
			struct mbr_member *member =
				&mbr->members[mbr->probe_list[mbr->probe_at++]];

			if (mbr_live(member))
				return member;
		}
		shuffle_probe_list(mbr);
	}
	return NULL;
}

static void mark_suspect(struct mbr *mbr, uint64_t id, uint64_t now)
{
	struct mbr_member *member = mbr_record(mbr, id);

	if (!member || member->liveness != JJ__LIVENESS__LIVE_ALIVE)
		return;
	mbr_set_liveness(mbr, member, JJ__LIVENESS__LIVE_SUSPECT, now);
	mbr_report_event(mbr, member, MBR_SUSPECTED);
}

/* Suspects the last probed member if it hasn't replied; probes the next. */
static void start_probe(struct mbr *mbr, uint64_t now)
{
	struct mbr_member *member;

	if (mbr->probe_seq)
		mark_suspect(mbr, mbr->probe_id, now);
	mbr->probe_seq = 0;
	mbr->next_probe = now + mbr->desc.probe_ms;
	member = next_to_probe(mbr);
	if (!member)
		return;
	mbr_ping(mbr, now, member);
	mbr->probe_seq = mbr->seq;
	mbr->probe_id = member->id;
	mbr->probe_sent = now;
	mbr->indirect_probes_sent = 0;
}

static void request_indirect_probes(struct mbr *mbr)
{
	int i;

	mbr->indirect_probes_sent = 1;
	for (i = 0; i < MBR_INDIRECT_PROBES; i++) {
		struct mbr_member *relay = mbr_random_live(mbr, mbr->probe_id);

		if (relay)
			send_ping_req(mbr, relay, mbr->probe_id);
	}
}

static void expire_suspects(struct mbr *mbr, uint64_t now)
{
	uint32_t i;

	for (i = 1; i < mbr->count && mbr->suspect_count; i++) {
		struct mbr_member *member = &mbr->members[i];

		if (!member->used ||
		    member->liveness != JJ__LIVENESS__LIVE_SUSPECT ||
		    now - member->liveness_since < mbr->desc.suspect_ms)
			continue;
		mbr_set_liveness(mbr, member, JJ__LIVENESS__LIVE_DEAD, now);
		mbr_report_event(mbr, member, MBR_DIED);
	}
}

/* Pings random members while there are updates or a new revision to send. */
static void push_updates(struct mbr *mbr, uint64_t now)
{
	int i;

	mbr->next_gossip = now + mbr->desc.gossip_ms;
	if (!mbr->records_to_send && !mbr->push_periods_left)
		return;
	if (mbr->push_periods_left)
		mbr->push_periods_left--;
	for (i = 0; i < MBR_FANOUT; i++) {
		struct mbr_member *member = mbr_random_live(mbr, 0);

		if (member)
			mbr_ping(mbr, now, member);
	}
}

static uint32_t rejoin_period(const struct mbr *mbr, uint64_t now)
{
	if (now < mbr->healing_until)
		return mbr->desc.gossip_ms;
	return mbr->live_count < 2 ? mbr->desc.probe_ms : MBR_REJOIN_MS;
}

/* Pings a seed and a dead member, so that partitions merge again. */
static void try_rejoin(struct mbr *mbr, uint64_t now)
{
	uint32_t start = mbr_random_below(mbr, mbr->count);
	uint32_t i;

	mbr->next_rejoin = now + rejoin_period(mbr, now);
	if (mbr->desc.seed_count) {
		struct mbr_seed *seed = &mbr->desc.seeds[mbr_random_below(
			mbr, mbr->desc.seed_count)];

		if (seed->ip != mbr_self(mbr)->ip ||
		    seed->port != mbr_self(mbr)->control_port)
			send_ping(mbr, now, seed->ip, seed->port, 0);
	}
	for (i = 0; i < mbr->count; i++) {
		struct mbr_member *member =
			&mbr->members[(start + i) % mbr->count];

		if (member->used &&
		    member->liveness == JJ__LIVENESS__LIVE_DEAD &&
		    now - member->liveness_since < MBR_DEAD_RETENTION_MS) {
			mbr_queue_record(mbr, member);
			mbr_ping(mbr, now, member);
			return;
		}
	}
}

void mbr_tick(struct mbr *mbr, uint64_t now)
{
	/* This process was paused, so missing replies prove nothing. */
	if (now - mbr->last_tick > 2 * (uint64_t)mbr->desc.probe_ms) {
		uint32_t i;

		mbr->probe_seq = 0;
		for (i = 1; i < mbr->count; i++)
			if (mbr->members[i].liveness ==
			    JJ__LIVENESS__LIVE_SUSPECT)
				mbr->members[i].liveness_since = now;
	}
	mbr->last_tick = now;
	if (mbr->has_left)
		return;
	if (mbr->probe_seq && !mbr->indirect_probes_sent &&
	    now - mbr->probe_sent >= mbr->desc.probe_ms / 2)
		request_indirect_probes(mbr);
	if (now >= mbr->next_probe)
		start_probe(mbr, now);
	expire_suspects(mbr, now);
	if (now >= mbr->next_gossip)
		push_updates(mbr, now);
	if (now >= mbr->next_rejoin ||
	    mbr->next_rejoin > now + rejoin_period(mbr, now))
		try_rejoin(mbr, now);
}
