#include "member_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/rank.h"

/* -- start and finish ---------------------------------------------------- */

static uint32_t value_or_default(uint32_t value, uint32_t fallback)
{
	return value ? value : fallback;
}

enum jj_status mbr_resolve(struct mbr_desc *desc, struct jj_error *err)
{
	desc->capacity = value_or_default(desc->capacity, MBR_CAPACITY);
	desc->probe_ms = value_or_default(desc->probe_ms, 500);
	desc->suspect_ms = value_or_default(desc->suspect_ms, 2000);
	desc->gossip_ms = value_or_default(desc->gossip_ms, 200);
	if (!*desc->self.name)
		return st_fail(err, JJ_INVALID, "member has no name");
	if (!desc->self.incarnation)
		return st_fail(err, JJ_INVALID, "member has no incarnation");
	if (desc->seed_count > MBR_SEEDS_MAX)
		return st_fail(err, JJ_INVALID, "more than %d seeds",
			       MBR_SEEDS_MAX);
	if (desc->gossip_ms > desc->probe_ms)
		return st_fail(err, JJ_INVALID,
			       "gossip_ms %u is above probe_ms %u",
			       desc->gossip_ms, desc->probe_ms);
	return JJ_OK;
}

enum jj_status mbr_init(struct mbr *mbr, const struct mbr_desc *desc,
			uint64_t now)
{
	uint32_t cells = map_cells_for(desc->capacity);

	memset(mbr, 0, sizeof(*mbr));
	mbr->desc = *desc;
	mbr->members = calloc(desc->capacity, sizeof(*mbr->members));
	mbr->cells = calloc(cells, sizeof(*mbr->cells));
	mbr->probe_list = calloc(desc->capacity, sizeof(*mbr->probe_list));
	if (!mbr->members || !mbr->cells || !mbr->probe_list) {
		mbr_finish(mbr);
		return JJ_SYSTEM;
	}
	map_init(&mbr->index, mbr->cells, cells);
	mbr->rng = desc->random_seed | 1;
	mbr->members[0] = desc->self;
	mbr->members[0].id = rnk_name_id(desc->self.name);
	mbr->members[0].used = 1;
	mbr->members[0].version = 1;
	mbr->members[0].liveness_since = now;
	map_put(&mbr->index, mbr->members[0].id, 0);
	mbr->count = 1;
	mbr->live_count = 1;
	mbr->last_tick = now;
	mbr->next_probe = now;
	mbr->next_gossip = now;
	mbr->next_rejoin = now;
	return JJ_OK;
}

void mbr_finish(struct mbr *mbr)
{
	free(mbr->members);
	free(mbr->cells);
	free(mbr->probe_list);
	mbr->members = NULL;
	mbr->cells = NULL;
	mbr->probe_list = NULL;
}

/* -- helpers ------------------------------------------------------------- */

/* xorshift64*; with a fixed seed, runs of the module are reproducible. */
static uint64_t random_next(struct mbr *mbr)
{
	mbr->rng ^= mbr->rng >> 12;
	mbr->rng ^= mbr->rng << 25;
	mbr->rng ^= mbr->rng >> 27;
	return mbr->rng * 0x2545f4914f6cdd1dull;
}

uint32_t mbr_random_below(struct mbr *mbr, uint32_t limit)
{
	return (uint32_t)((random_next(mbr) >> 32) * limit >> 32);
}

struct mbr_member *mbr_self(struct mbr *mbr)
{
	return &mbr->members[0];
}

struct mbr_member *mbr_record(const struct mbr *mbr, uint64_t id)
{
	uint32_t at = map_get(&mbr->index, id);

	return at == MAP_NONE ? NULL : &mbr->members[at];
}

const struct mbr_member *mbr_find(const struct mbr *mbr, uint64_t id)
{
	return mbr_record(mbr, id);
}

uint64_t mbr_confirmed(const struct mbr *mbr)
{
	return mbr->confirmed_at;
}

uint32_t mbr_send_limit(const struct mbr *mbr)
{
	uint32_t bits = 1;

	while (mbr->live_count >> bits)
		bits++;
	return 3 * bits;
}

void mbr_queue_record(struct mbr *mbr, struct mbr_member *member)
{
	if (mbr->suppress_gossip)
		return;
	if (!member->sends_left)
		mbr->records_to_send++;
	member->sends_left = mbr_send_limit(mbr);
}

void mbr_report_event(struct mbr *mbr, const struct mbr_member *member,
		      enum mbr_event event)
{
	static const enum log_event events[] = {
		EV_MEMBER_JOINED,  EV_MEMBER_SUSPECT, EV_MEMBER_DEAD,
		EV_MEMBER_LEFT,	   EV_MEMBER_CHANGED, EV_MEMBER_JOINED,
		EV_MEMBER_CHANGED,
	};

	log_put(mbr->desc.log, events[event],
		"name=%s incarnation=%llu version=%u phase=%d", member->name,
		(unsigned long long)member->incarnation, member->version,
		member->phase);
	if (mbr->desc.hooks.changed)
		mbr->desc.hooks.changed(mbr->desc.hooks.ctx, member, event);
}

void mbr_to_msg(const struct mbr_member *member, Jj__Member *msg)
{
	jj__member__init(msg);
	msg->id = member->id;
	msg->name = (char *)member->name;
	msg->role = member->role;
	msg->data_centre = (char *)member->data_centre;
	msg->service = (char *)member->service;
	msg->target = (char *)member->target;
	msg->ip = member->ip;
	msg->control_port = member->control_port;
	msg->data_port = member->data_port;
	msg->incarnation = member->incarnation;
	msg->version = member->version;
	msg->liveness = member->liveness;
	msg->phase = member->phase;
}

/* -- records ------------------------------------------------------------- */

void mbr_set_liveness(struct mbr *mbr, struct mbr_member *member,
		      Jj__Liveness liveness, uint64_t now)
{
	int was_live = mbr_live(member);

	mbr->suspect_count -= member->liveness == JJ__LIVENESS__LIVE_SUSPECT;
	mbr->suspect_count += liveness == JJ__LIVENESS__LIVE_SUSPECT;
	member->liveness = liveness;
	member->liveness_since = now;
	if (was_live && !mbr_live(member))
		mbr->live_count--;
	if (!was_live && mbr_live(member))
		mbr->live_count++;
	mbr_queue_record(mbr, member);
}

/*
 * Returns a free record. When all are used, reuses one whose member has been
 * dead or gone for over suspect_ms; null: there is none.
 */
static struct mbr_member *allocate_record(struct mbr *mbr, uint64_t now)
{
	uint32_t i;

	if (mbr->count < mbr->desc.capacity)
		return &mbr->members[mbr->count++];
	for (i = 1; i < mbr->count; i++) {
		struct mbr_member *member = &mbr->members[i];

		if (!mbr_live(member) &&
		    now - member->liveness_since > mbr->desc.suspect_ms) {
			map_del(&mbr->index, member->id);
			if (member->sends_left)
				mbr->records_to_send--;
			return member;
		}
	}
	return NULL;
}

static int is_name(const char *text)
{
	return *text && strlen(text) < MBR_NAME_MAX;
}

/* The first field that is missing or out of range, or null. */
static const char *find_odd_field(const Jj__Member *record)
{
	int agent = record->role == JJ__ROLE__ROLE_AGENT;

	if (!is_name(record->name))
		return "name";
	if (record->id != rnk_name_id(record->name))
		return "id";
	if (!agent && record->role != JJ__ROLE__ROLE_BALANCER)
		return "role";
	if (strlen(record->data_centre) >= MBR_NAME_MAX)
		return "data_centre";
	if (agent ? !is_name(record->service) :
		    strlen(record->service) >= MBR_NAME_MAX)
		return "service";
	if (strlen(record->target) >= MBR_NAME_MAX)
		return "target";
	if (!record->ip)
		return "ip";
	if (!record->control_port || record->control_port > UINT16_MAX)
		return "control_port";
	if (!record->data_port || record->data_port > UINT16_MAX)
		return "data_port";
	if (!record->incarnation || record->incarnation > MBR_INCARNATION_MAX)
		return "incarnation";
	if ((unsigned)record->liveness > JJ__LIVENESS__LIVE_LEFT)
		return "liveness";
	if ((unsigned)record->phase > JJ__PHASE__PHASE_DOWN)
		return "phase";
	return NULL;
}

enum jj_status mbr_check_record(const Jj__Member *record, struct jj_error *err)
{
	const char *odd = find_odd_field(record);

	return odd ? st_fail(err, JJ_INVALID, "%s is missing or out of range",
			     odd) :
		     JJ_OK;
}

static void copy_update(struct mbr_member *member, const Jj__Member *update)
{
	member->id = update->id;
	snprintf(member->name, sizeof(member->name), "%s", update->name);
	snprintf(member->data_centre, sizeof(member->data_centre), "%s",
		 update->data_centre);
	snprintf(member->service, sizeof(member->service), "%s",
		 update->service);
	snprintf(member->target, sizeof(member->target), "%s", update->target);
	member->role = update->role;
	member->ip = update->ip;
	member->control_port = (uint16_t)update->control_port;
	member->data_port = (uint16_t)update->data_port;
	member->incarnation = update->incarnation;
	member->version = update->version;
	member->phase = update->phase;
}

static void add_member(struct mbr *mbr, const Jj__Member *update, uint64_t now)
{
	struct mbr_member *member;

	/* Don't add unknown members that are already dead or have left. */
	if (update->liveness > JJ__LIVENESS__LIVE_SUSPECT)
		return;
	member = allocate_record(mbr, now);
	if (!member) {
		log_put(mbr->desc.log, EV_MEMBERS_FULL, "capacity=%u name=%s",
			mbr->desc.capacity, update->name);
		return;
	}
	memset(member, 0, sizeof(*member));
	copy_update(member, update);
	member->liveness = JJ__LIVENESS__LIVE_DEAD;
	member->used = 1;
	map_put(&mbr->index, member->id, (uint32_t)(member - mbr->members));
	mbr_set_liveness(mbr, member, update->liveness, now);
	mbr_report_event(mbr, member, MBR_JOINED);
}

/* Compares by (incarnation, version, liveness): > 0 if update is newer. */
static int compare_update(const Jj__Member *update,
			  const struct mbr_member *held)
{
	if (update->incarnation != held->incarnation)
		return update->incarnation > held->incarnation ? 1 : -1;
	if (update->version != held->version)
		return update->version > held->version ? 1 : -1;
	if (update->liveness != held->liveness)
		return update->liveness > held->liveness ? 1 : -1;
	return 0;
}

/*
 * Another member reported this one as suspect, dead or left, or with a newer
 * version: raises the version above that.
 */
static void refute(struct mbr *mbr, const Jj__Member *update)
{
	struct mbr_member *me = mbr_self(mbr);

	if (update->incarnation != me->incarnation || mbr->has_left)
		return;
	if (update->version < me->version ||
	    (update->version == me->version &&
	     update->liveness == JJ__LIVENESS__LIVE_ALIVE))
		return;
	me->version = update->version + 1;
	mbr->suppress_gossip = 0;
	mbr_queue_record(mbr, me);
	log_put(mbr->desc.log, EV_REFUTED, "version=%u", me->version);
}

/* The event to report when a record has changed from before to after. */
static enum mbr_event classify_event(const struct mbr_member *before,
				     const struct mbr_member *after)
{
	if (after->liveness == JJ__LIVENESS__LIVE_LEFT)
		return MBR_DEPARTED;
	if (after->liveness == JJ__LIVENESS__LIVE_DEAD)
		return MBR_DIED;
	if (after->incarnation != before->incarnation)
		return MBR_RESTARTED;
	if (after->phase != before->phase)
		return MBR_PHASE_CHANGED;
	if (after->liveness == JJ__LIVENESS__LIVE_SUSPECT)
		return MBR_SUSPECTED;
	return MBR_ALIVE_AGAIN;
}

static void merge_update(struct mbr *mbr, uint64_t now,
			 const Jj__Member *update)
{
	struct mbr_member before;
	struct mbr_member *held;

	if (mbr_check_record(update, NULL) != JJ_OK)
		return;
	if (update->id == mbr_self(mbr)->id) {
		refute(mbr, update);
		return;
	}
	held = mbr_record(mbr, update->id);
	if (!held) {
		add_member(mbr, update, now);
		return;
	}
	if (compare_update(update, held) <= 0)
		return;
	before = *held;
	copy_update(held, update);
	if (held->incarnation != before.incarnation)
		held->revision = 0;
	else if (before.liveness == JJ__LIVENESS__LIVE_DEAD)
		mbr->healing_until = now + MBR_HEAL_MS;
	if (update->liveness != before.liveness)
		mbr_set_liveness(mbr, held, update->liveness, now);
	else
		mbr_queue_record(mbr, held);
	if (mbr_live(held) || mbr_live(&before))
		mbr_report_event(mbr, held, classify_event(&before, held));
}

static void merge_updates(struct mbr *mbr, uint64_t now,
			  Jj__Member *const *updates, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		merge_update(mbr, now, updates[i]);
}

void mbr_merge(struct mbr *mbr, uint64_t now, Jj__Member *const *updates,
	       size_t count)
{
	mbr->suppress_gossip = 1;
	merge_updates(mbr, now, updates, count);
	mbr->suppress_gossip = 0;
}

/* -- receiving ----------------------------------------------------------- */

/* Updates the sender's record, and reports a higher table revision. */
static void note_sender(struct mbr *mbr, uint64_t now, uint32_t ip,
			uint16_t port, const Jj__Envelope *env)
{
	struct mbr_member *member = mbr_record(mbr, env->sender);

	if (member && member != mbr_self(mbr) &&
	    member->incarnation == env->incarnation) {
		member->last_heard = now;
		if (env->revision > member->revision)
			member->revision = env->revision;
	}
	if (env->revision > mbr->revision && mbr->desc.hooks.newer_revision)
		mbr->desc.hooks.newer_revision(mbr->desc.hooks.ctx, ip, port,
					       env->revision);
}

/*
 * Updates the time of the last confirmation, see member.h. Relayed acks and
 * acks to pings whose send time is no longer kept don't count.
 */
static void note_confirmation(struct mbr *mbr, const Jj__Envelope *env)
{
	uint64_t sent = mbr->ping_sent[env->ack->seq % MBR_PINGS_MAX];

	if (mbr->seq - env->ack->seq >= MBR_PINGS_MAX || env->ack->from)
		return;
	if (env->revision <= mbr->revision && sent > mbr->confirmed_at)
		mbr->confirmed_at = sent;
}

/*
 * Handles a reply from the pinged member, maybe through another one. Only the
 * member itself can end a suspicion, by raising its version; but its reply
 * restarts the timeout after which this process would declare it dead.
 */
static void on_ack(struct mbr *mbr, uint64_t now, const Jj__Envelope *env)
{
	const Jj__Ack *ack = env->ack;
	uint64_t replier = ack->from ? ack->from : env->sender;
	struct mbr_member *member = mbr_record(mbr, replier);
	uint32_t i;

	note_confirmation(mbr, env);
	if (mbr->probe_seq && replier == mbr->probe_id)
		mbr->probe_seq = 0;
	if (member && member->liveness == JJ__LIVENESS__LIVE_SUSPECT)
		member->liveness_since = now;
	for (i = 0; i < MBR_INDIRECT_PROBES_MAX; i++) {
		struct mbr_indirect_probe *relay = &mbr->indirect_probes[i];

		if (relay->seq && relay->seq == ack->seq) {
			mbr_send_ack(mbr, relay->requester_id, relay->ip,
				     relay->port, relay->requester_seq,
				     env->sender);
			relay->seq = 0;
		}
	}
}

/* Pings a third member; on_ack() forwards its reply to the requester. */
static void on_ping_req(struct mbr *mbr, uint64_t now, uint64_t from,
			uint32_t ip, uint16_t port, const Jj__PingReq *req)
{
	struct mbr_member *target = mbr_record(mbr, req->target);
	struct mbr_indirect_probe *relay;

	if (!target)
		return;
	mbr_ping(mbr, now, target);
	relay = &mbr->indirect_probes[mbr->next_indirect_probe++ %
				      MBR_INDIRECT_PROBES_MAX];
	*relay = (struct mbr_indirect_probe){ .seq = mbr->seq,
					      .requester_seq = req->seq,
					      .requester_id = from,
					      .ip = ip,
					      .port = port };
}

void mbr_message(struct mbr *mbr, uint64_t now, uint32_t ip, uint16_t port,
		 const Jj__Envelope *env)
{
	if (env->sender == mbr_self(mbr)->id)
		return;
	switch (env->body_case) {
	case JJ__ENVELOPE__BODY_PING:
		merge_updates(mbr, now, env->ping->news, env->ping->n_news);
		note_sender(mbr, now, ip, port, env);
		if (!mbr->has_left)
			mbr_send_ack(mbr, env->sender, ip, port, env->ping->seq,
				     0);
		return;
	case JJ__ENVELOPE__BODY_ACK:
		merge_updates(mbr, now, env->ack->news, env->ack->n_news);
		note_sender(mbr, now, ip, port, env);
		on_ack(mbr, now, env);
		return;
	case JJ__ENVELOPE__BODY_PING_REQ:
		merge_updates(mbr, now, env->ping_req->news,
			      env->ping_req->n_news);
		note_sender(mbr, now, ip, port, env);
		if (!mbr->has_left)
			on_ping_req(mbr, now, env->sender, ip, port,
				    env->ping_req);
		return;
	default:
		note_sender(mbr, now, ip, port, env);
		return;
	}
}

/* -- own changes --------------------------------------------------------- */

void mbr_set_revision(struct mbr *mbr, uint64_t revision)
{
	if (revision <= mbr->revision)
		return;
	mbr->revision = revision;
	mbr_self(mbr)->revision = revision;
	mbr->push_periods_left = mbr_send_limit(mbr);
}

void mbr_set_incarnation(struct mbr *mbr, uint64_t incarnation)
{
	struct mbr_member *me = mbr_self(mbr);

	me->incarnation = incarnation;
	mbr_queue_record(mbr, me);
	mbr_report_event(mbr, me, MBR_RESTARTED);
}

void mbr_set_phase(struct mbr *mbr, Jj__Phase phase)
{
	struct mbr_member *me = mbr_self(mbr);

	if (me->phase == phase)
		return;
	me->phase = phase;
	me->version++;
	mbr_queue_record(mbr, me);
	mbr_report_event(mbr, me, MBR_PHASE_CHANGED);
}

void mbr_leave(struct mbr *mbr, uint64_t now)
{
	uint32_t sends = 2 * mbr_send_limit(mbr);
	uint32_t i;

	mbr_self(mbr)->liveness = JJ__LIVENESS__LIVE_LEFT;
	mbr_self(mbr)->version++;
	for (i = 0; i < sends; i++) {
		struct mbr_member *member = mbr_random_live(mbr, 0);

		if (member)
			mbr_ping(mbr, now, member);
	}
	mbr->has_left = 1;
}
