#include "node_internal.h"

#include <errno.h>
#include <poll.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>
#include "net.h"

#define CONTROL_BATCH 256 /* messages handled per round */
#define TICK_MS 20 /* longest wait of the control thread */

/* -- sending ------------------------------------------------------------- */

void nod_lane_init(struct nod *nod, struct nod_lane *lane, uint32_t id)
{
	lane->out = (struct frm_sender){ .key = &nod->key,
					 .sender = nod->id,
					 .incarnation = &nod->incarnation,
					 .lane = id,
					 .revision = &nod->revision };
}

void nod_send(struct nod *nod, struct nod_lane *lane, uint32_t ip,
	      uint16_t port, Jj__Envelope *env)
{
	struct sockaddr_in addr = net_address(ip, port);
	size_t len = frm_seal(&lane->out, env, lane->buf, sizeof(lane->buf));

	if (!len)
		return;
	met_add(&nod->met, MET_CONTROL_OUT, len);
	sendto(nod->control_fd, lane->buf, len, MSG_DONTWAIT,
	       (struct sockaddr *)&addr, sizeof(addr));
}

/* -- membership hooks (lock held) ---------------------------------------- */

static void send_member_message(void *ctx, uint32_t ip, uint16_t port,
				Jj__Envelope *env)
{
	struct nod *nod = ctx;

	nod_send(nod, &nod->control_lane, ip, port, env);
}

static void on_changed(void *ctx, const struct mbr_member *member,
		       enum mbr_event event)
{
	struct nod *nod = ctx;

	(void)member;
	if (event != MBR_SUSPECTED)
		nod->view_outdated = 1;
}

static void schedule_pull(struct nod *nod, uint32_t ip, uint16_t port,
			  int members)
{
	pthread_mutex_lock(&nod->pull_lock);
	nod->pull.ip = ip;
	nod->pull.port = port;
	nod->pull.with_members |= members;
	nod->pull.pending = 1;
	pthread_cond_signal(&nod->pull_wake);
	pthread_mutex_unlock(&nod->pull_lock);
}

static void on_newer_revision(void *ctx, uint32_t ip, uint16_t port,
			      uint64_t revision)
{
	(void)revision;
	schedule_pull(ctx, ip, port, 0);
}

/* -- table and view ------------------------------------------------------ */

/* Lock held. */
enum jj_status nod_merge_table_locked(struct nod *nod, const Jj__Table *table,
				      struct jj_error *err)
{
	uint64_t before = nod->tbl.revision;
	enum jj_status status = tbl_merge(&nod->tbl, table, err);

	if (nod->tbl.revision != before) {
		nod->revision = nod->tbl.revision;
		mbr_set_revision(&nod->mbr, nod->tbl.revision);
		nod->view_outdated = 1;
		log_put(&nod->desc.log->sink, EV_TABLE_APPLIED,
			"revision=%s before=%s rows=%u removed=%u",
			tbl_format_revision(nod->tbl.revision).text,
			tbl_format_revision(before).text, nod->tbl.count,
			tbl_count_removed(&nod->tbl));
	}
	return status;
}

enum jj_status nod_merge_table(struct nod *nod, const Jj__Table *table,
			       struct jj_error *err)
{
	enum jj_status status;

	pthread_mutex_lock(&nod->lock);
	status = nod_merge_table_locked(nod, table, err);
	pthread_mutex_unlock(&nod->lock);
	return status;
}

const struct viw *nod_view(struct nod *nod)
{
	return rcu_dereference(nod->view);
}

void nod_set_phase(struct nod *nod, Jj__Phase phase)
{
	pthread_mutex_lock(&nod->lock);
	mbr_set_phase(&nod->mbr, phase);
	pthread_mutex_unlock(&nod->lock);
}

/*
 * Announces the table's revision and marks the view outdated, unless the
 * revision is still "before" and no row changed. Lock held.
 */
static void publish_revision(struct nod *nod, uint64_t before, uint32_t changed)
{
	if (nod->tbl.revision == before && !changed)
		return;
	nod->revision = nod->tbl.revision;
	mbr_set_revision(&nod->mbr, nod->tbl.revision);
	nod->view_outdated = 1;
	log_put(&nod->desc.log->sink, EV_TABLE_APPLIED,
		"revision=%s before=%s changed=%u rows=%u removed=%u",
		tbl_format_revision(nod->tbl.revision).text,
		tbl_format_revision(before).text, changed, nod->tbl.count,
		tbl_count_removed(&nod->tbl));
}

enum jj_status nod_replace_source(struct nod *nod,
				  const struct tbl_source *source)
{
	struct tbl_update update;
	enum jj_status status;
	struct jj_error err;
	uint64_t before;

	pthread_mutex_lock(&nod->lock);
	before = nod->tbl.revision;
	status = tbl_replace_source(&nod->tbl, source, &update, &err);
	if (status != JJ_OK)
		log_put(&nod->desc.log->sink,
			status == JJ_FULL ? EV_TABLE_FULL : EV_TABLE_INVALID,
			"source=%s version=%llu revision=%s rows=%u reason=%s",
			source->name, (unsigned long long)source->version,
			tbl_format_revision(source->revision).text,
			source->count, err.message);
	met_add(&nod->met, MET_ROWS_LEFT_OUT, update.left_out);
	if (update.ignored)
		log_put(&nod->desc.log->sink, EV_ITEM_OUTDATED,
			"source=%s version=%llu revision=%s table=%s "
			"ignored=%u held=%u",
			source->name, (unsigned long long)source->version,
			tbl_format_revision(source->revision).text,
			tbl_format_revision(before).text, update.ignored,
			update.held);
	publish_revision(nod, before, update.changed);
	pthread_mutex_unlock(&nod->lock);
	return status;
}

uint32_t nod_retain_sources(struct nod *nod, const char *const *sources,
			    uint32_t count, uint64_t revision, int hold)
{
	struct tbl_update update;
	uint64_t before;

	pthread_mutex_lock(&nod->lock);
	before = nod->tbl.revision;
	tbl_retain_sources(&nod->tbl, sources, count, revision, hold, &update);
	if (update.changed)
		tbl_raise_revision(&nod->tbl, revision);
	publish_revision(nod, before, update.changed);
	pthread_mutex_unlock(&nod->lock);
	return update.held;
}

void nod_raise_revision(struct nod *nod, uint64_t revision)
{
	uint64_t before;

	pthread_mutex_lock(&nod->lock);
	before = nod->tbl.revision;
	tbl_raise_revision(&nod->tbl, revision);
	publish_revision(nod, before, 0);
	pthread_mutex_unlock(&nod->lock);
}

int nod_ranks_first(struct nod *nod, int same_role, uint32_t limit)
{
	const struct mbr *mbr = &nod->mbr;
	const struct mbr_member *self = &mbr->members[0];
	uint64_t own = rnk_hash(&self->id, sizeof(self->id));
	uint32_t ahead = 0;
	uint32_t i;

	pthread_mutex_lock(&nod->lock);
	for (i = 1; i < mbr->count && ahead < limit; i++) {
		const struct mbr_member *member = &mbr->members[i];

		if (mbr_live(member) &&
		    (!same_role || member->role == self->role) &&
		    !strcmp(member->data_centre, self->data_centre) &&
		    rnk_hash(&member->id, sizeof(member->id)) < own)
			ahead++;
	}
	pthread_mutex_unlock(&nod->lock);
	return ahead < limit;
}

int nod_find_turn(struct nod *nod, uint32_t per_data_centre, struct trn *trn)
{
	int found;

	pthread_mutex_lock(&nod->lock);
	found = trn_find(&nod->mbr, per_data_centre, trn);
	pthread_mutex_unlock(&nod->lock);
	return found;
}

Jj__Member *nod_own_record(struct nod *nod)
{
	Jj__Member msg;
	Jj__Member *copy = NULL;
	uint8_t packed[512];

	pthread_mutex_lock(&nod->lock);
	mbr_to_msg(&nod->mbr.members[0], &msg);
	if (jj__member__get_packed_size(&msg) <= sizeof(packed))
		copy = jj__member__unpack(NULL, jj__member__pack(&msg, packed),
					  packed);
	pthread_mutex_unlock(&nod->lock);
	return copy;
}

void nod_raise_incarnation(struct nod *nod, uint64_t previous)
{
	pthread_mutex_lock(&nod->lock);
	/* The next one must be valid, too: mbr_check_record(). */
	if (previous >= nod->incarnation && previous < MBR_INCARNATION_MAX) {
		nod->incarnation = previous + 1;
		mbr_set_incarnation(&nod->mbr, nod->incarnation);
	}
	pthread_mutex_unlock(&nod->lock);
}

void nod_add_member(struct nod *nod, Jj__Member *member)
{
	const struct mbr_member *known;

	pthread_mutex_lock(&nod->lock);
	mbr_merge(&nod->mbr, net_now_ms(), &member, 1);
	known = mbr_find(&nod->mbr, member->id);
	if (known && member->id != nod->id)
		mbr_ping(&nod->mbr, net_now_ms(), known);
	pthread_mutex_unlock(&nod->lock);
}

/* Builds and publishes a new view when members or table have changed. */
static void rebuild_view(struct nod *nod)
{
	struct viw *fresh = NULL;
	struct viw *old = nod->view;

	pthread_mutex_lock(&nod->lock);
	if (nod->view_outdated) {
		fresh = viw_build(&nod->tbl, &nod->mbr);
		if (fresh)
			nod->view_outdated = 0;
	}
	nod->confirmed_ms = mbr_confirmed(&nod->mbr);
	nod->live_peers = nod->mbr.live_count - 1;
	pthread_mutex_unlock(&nod->lock);
	if (!fresh)
		return;
	fresh->serial = ++nod->views_published;
	rcu_assign_pointer(nod->view, fresh);
	if (nod->desc.hooks.view_changed) {
		rcu_read_lock();
		nod->desc.hooks.view_changed(nod->desc.hooks.ctx,
					     &nod->control_lane, fresh);
		rcu_read_unlock();
	}
	synchronize_rcu();
	viw_free(old);
}

/* -- control thread ------------------------------------------------------ */

void nod_count_rejected(struct nod *nod, enum jj_status status, uint32_t ip,
			uint16_t port)
{
	enum met_counter counter = MET_BAD_FRAME;

	if (status == JJ_UNAUTHENTICATED)
		counter = MET_BAD_AUTH;
	else if (status == JJ_REPLAYED)
		counter = MET_REPLAYED;
	met_add(&nod->met, counter, 1);
	log_put(&nod->desc.log->sink, EV_BAD_FRAME, "from=%s reason=%s",
		net_format_address(ip, port), st_name(status));
}

static void handle_control(struct nod *nod, const Jj__Envelope *env,
			   const struct sockaddr_in *from)
{
	uint32_t ip = ntohl(from->sin_addr.s_addr);
	uint16_t port = ntohs(from->sin_port);

	pthread_mutex_lock(&nod->lock);
	mbr_message(&nod->mbr, net_now_ms(), ip, port, env);
	pthread_mutex_unlock(&nod->lock);
	if (!nod->desc.hooks.control || !nod->view)
		return;
	rcu_read_lock();
	nod->desc.hooks.control(nod->desc.hooks.ctx, &nod->control_lane,
				nod_view(nod), env);
	rcu_read_unlock();
}

static void receive_control(struct nod *nod, struct frm_arena *arena)
{
	uint8_t buf[FRM_MAX_DATAGRAM];
	int budget = CONTROL_BATCH;

	while (budget--) {
		struct sockaddr_in from = { 0 };
		socklen_t from_len = sizeof(from);
		Jj__Envelope *env;
		enum jj_status status;
		ssize_t len = recvfrom(nod->control_fd, buf, sizeof(buf), 0,
				       (struct sockaddr *)&from, &from_len);

		if (len < 0)
			return;
		met_add(&nod->met, MET_CONTROL_IN, (uint64_t)len);
		status = frm_open(&nod->key, &nod->replay, arena, buf,
				  (size_t)len, &env);
		if (status == JJ_OK)
			handle_control(nod, env, &from);
		else
			nod_count_rejected(nod, status,
					   ntohl(from.sin_addr.s_addr),
					   ntohs(from.sin_port));
	}
}

uint64_t nod_pause_ms(uint64_t *last_ms)
{
	uint64_t now = net_boot_ms();
	uint64_t gap = now - *last_ms;

	*last_ms = now;
	return gap > NOD_PAUSE_MS ? gap : 0;
}

static void log_pause(struct nod *nod, uint64_t *last_ms)
{
	uint64_t pause_ms = nod_pause_ms(last_ms);

	if (pause_ms)
		log_put(&nod->desc.log->sink, EV_PAUSED, "for_ms=%llu",
			(unsigned long long)pause_ms);
}

static void *run_control(void *arg)
{
	struct nod *nod = arg;
	struct frm_arena *arena = calloc(1, sizeof(*arena));
	uint64_t last_ms = net_boot_ms();

	if (!arena)
		abort();
	rcu_register_thread();
	frm_arena_init(arena);
	while (nod->stopping < 2) {
		struct pollfd pfd = { .fd = nod->control_fd, .events = POLLIN };

		poll(&pfd, 1, TICK_MS);
		log_pause(nod, &last_ms);
		receive_control(nod, arena);
		pthread_mutex_lock(&nod->lock);
		mbr_tick(&nod->mbr, net_now_ms());
		pthread_mutex_unlock(&nod->lock);
		rebuild_view(nod);
		if (nod->desc.hooks.tick) {
			rcu_read_lock();
			nod->desc.hooks.tick(nod->desc.hooks.ctx,
					     &nod->control_lane, nod_view(nod));
			rcu_read_unlock();
		}
	}
	rcu_unregister_thread();
	free(arena);
	return NULL;
}

/* -- dump ---------------------------------------------------------------- */

static void dump_members(struct nod *nod, FILE *out)
{
	static const char *const liveness[] = { "alive", "suspect", "dead",
						"left" };
	static const char *const phases[] = { "-",    "joining",  "cold",
					      "warm", "draining", "down" };
	uint32_t i;

	for (i = 0; i < nod->mbr.count; i++) {
		const struct mbr_member *member = &nod->mbr.members[i];

		fprintf(out,
			"member name=%s data_centre=%s service=%s state=%s "
			"phase=%s revision=%s incarnation=%llu version=%u\n",
			member->name, member->data_centre,
			*member->service ? member->service : "-",
			liveness[member->liveness], phases[member->phase],
			tbl_format_revision(member->revision).text,
			(unsigned long long)member->incarnation,
			member->version);
	}
}

void nod_dump(struct nod *nod, FILE *out)
{
	uint64_t now = net_now_ms();
	int i;

	pthread_mutex_lock(&nod->lock);
	fprintf(out,
		"process name=%s incarnation=%llu uptime_s=%llu "
		"revision=%s rows=%u removed=%u left_out=%u members=%u "
		"confirmed_ms_ago=%lld\n",
		nod->desc.name, (unsigned long long)nod->incarnation,
		(unsigned long long)((now - nod->started_ms) / 1000),
		tbl_format_revision(nod->tbl.revision).text, nod->tbl.count,
		tbl_count_removed(&nod->tbl), tbl_count_left_out(&nod->tbl),
		nod->mbr.live_count,
		nod->confirmed_ms ? (long long)(now - nod->confirmed_ms) : -1);
	dump_members(nod, out);
	pthread_mutex_unlock(&nod->lock);
	for (i = 0; i < MET_COUNT; i++)
		fprintf(out, "counter %s=%llu\n",
			met_counter_name((enum met_counter)i),
			(unsigned long long)met_get(&nod->met,
						    (enum met_counter)i));
	if (nod->desc.hooks.dump)
		nod->desc.hooks.dump(nod->desc.hooks.ctx, out);
}

char *nod_dump_text(struct nod *nod)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return NULL;
	nod_dump(nod, out);
	fclose(out);
	return text;
}

/* -- start and finish ---------------------------------------------------- */

static void parse_seeds(const char *text, struct mbr_desc *desc)
{
	char copy[2048];
	char *rest = copy;
	char *item;

	snprintf(copy, sizeof(copy), "%s", text);
	while ((item = strsep(&rest, ",")) &&
	       desc->seed_count < MBR_SEEDS_MAX) {
		struct mbr_seed *seed = &desc->seeds[desc->seed_count];

		item += strspn(item, " ");
		if (tbl_parse_address(item, &seed->ip, &seed->port, NULL) ==
		    JJ_OK)
			desc->seed_count++;
	}
}

static enum jj_status init_member(struct nod *nod, struct jj_error *err)
{
	const struct nod_desc *desc = &nod->desc;
	struct mbr_desc mbr = {
		.self = { .role = desc->role,
			  .ip = nod->ip,
			  .control_port = desc->control_port,
			  .data_port = desc->data_port,
			  .incarnation = nod->incarnation,
			  .phase = desc->phase },
		.capacity = desc->members_max,
		.probe_ms = desc->probe_ms,
		.suspect_ms = desc->suspect_ms,
		.gossip_ms = desc->gossip_ms,
		.hooks = { send_member_message, on_changed, on_newer_revision,
			   nod },
		.log = &desc->log->sink,
	};
	enum jj_status status;

	snprintf(mbr.self.name, sizeof(mbr.self.name), "%s", desc->name);
	snprintf(mbr.self.data_centre, sizeof(mbr.self.data_centre), "%s",
		 desc->data_centre);
	snprintf(mbr.self.service, sizeof(mbr.self.service), "%s",
		 desc->service ? desc->service : "");
	snprintf(mbr.self.target, sizeof(mbr.self.target), "%s",
		 desc->target ? desc->target : "");
	randombytes_buf(&mbr.random_seed, sizeof(mbr.random_seed));
	parse_seeds(desc->seeds, &mbr);
	status = mbr_resolve(&mbr, err);
	if (status != JJ_OK)
		return status;
	return mbr_init(&nod->mbr, &mbr, net_now_ms());
}

enum jj_status nod_init(struct nod *nod, const struct nod_desc *desc,
			struct jj_error *err)
{
	memset(nod, 0, sizeof(*nod));
	if (sodium_init() < 0)
		return st_fail(err, JJ_SYSTEM,
			       "libsodium cannot be initialized");
	nod->desc = *desc;
	nod->id = rnk_name_id(desc->name);
	nod->incarnation = net_wall_ms();
	nod->started_ms = net_now_ms();
	nod->ip = net_parse_ip(desc->ip);
	nod->control_fd = -1;
	nod->listen_fd = -1;
	nod->view_outdated = 1;
	pthread_mutex_init(&nod->lock, NULL);
	pthread_mutex_init(&nod->pull_lock, NULL);
	pthread_cond_init(&nod->pull_wake, NULL);
	if (frm_key_parse(&nod->key, desc->key, err) != JJ_OK)
		return JJ_INVALID;
	if (!frm_replay_init(&nod->replay, desc->lanes_max) ||
	    !tbl_init(&nod->tbl, desc->rows_max))
		return st_fail(err, JJ_SYSTEM, "out of memory");
	if (init_member(nod, err) != JJ_OK)
		return err ? err->status : JJ_INVALID;
	nod_lane_init(nod, &nod->control_lane, NOD_LANE_CONTROL);
	nod_lane_init(nod, &nod->handover_lane, NOD_LANE_HANDOVER);
	nod->control_fd = net_udp(nod->ip, desc->control_port, 0, err);
	if (nod->control_fd < 0)
		return JJ_SYSTEM;
	nod->listen_fd = net_listen(nod->ip, desc->control_port, err);
	if (nod->listen_fd < 0)
		return JJ_SYSTEM;
	nod->view = viw_build(&nod->tbl, &nod->mbr);
	return nod->view ? JJ_OK : st_fail(err, JJ_SYSTEM, "out of memory");
}

enum jj_status nod_start(struct nod *nod, struct jj_error *err)
{
	int i;

	if (pthread_create(&nod->control_thread, NULL, run_control, nod) ||
	    pthread_create(&nod->pull_thread, NULL, nod_run_pull, nod))
		return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	for (i = 0; i < NOD_TRANSFERS; i++)
		if (pthread_create(&nod->transfer_threads[i], NULL,
				   nod_run_transfer, nod))
			return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void nod_leave(struct nod *nod)
{
	pthread_mutex_lock(&nod->lock);
	mbr_leave(&nod->mbr, net_now_ms());
	pthread_mutex_unlock(&nod->lock);
}

void nod_stop(struct nod *nod)
{
	int i;

	nod->stopping = 2;
	pthread_join(nod->control_thread, NULL);
	pthread_join(nod->pull_thread, NULL);
	for (i = 0; i < NOD_TRANSFERS; i++)
		pthread_join(nod->transfer_threads[i], NULL);
}

void nod_finish(struct nod *nod)
{
	close(nod->control_fd);
	close(nod->listen_fd);
	viw_free(nod->view);
	mbr_finish(&nod->mbr);
	tbl_finish(&nod->tbl);
	frm_replay_finish(&nod->replay);
}
