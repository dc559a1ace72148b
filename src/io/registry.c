#include "registry.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "net.h"

/* -- items --------------------------------------------------------------- */

static void reg_items_cut(struct reg_items *items, size_t count)
{
	while (items->count > count)
		free(items->items[--items->count].value);
}

void reg_items_free(struct reg_items *items)
{
	reg_items_cut(items, 0);
	free(items->items);
	memset(items, 0, sizeof(*items));
}

struct reg_item *reg_items_add(struct reg_items *items)
{
	if (items->count == items->capacity) {
		size_t new_capacity = items->capacity ? items->capacity * 2 : 8;
		struct reg_item *grown =
			realloc(items->items, new_capacity * sizeof(*grown));

		if (!grown)
			return NULL;
		items->items = grown;
		items->capacity = new_capacity;
	}
	memset(&items->items[items->count], 0, sizeof(*items->items));
	return &items->items[items->count++];
}

/* -- restores of the store ----------------------------------------------- */

/* Drops what the store acknowledged in earlier eras. */
static void enter_era(struct reg *reg, uint64_t era)
{
	log_put(reg->desc.log, EV_PLATFORM_RESTORED,
		"era=%llu before=%llu as_of=%llu lease=%llu watching=%d",
		(unsigned long long)era, (unsigned long long)reg->era,
		(unsigned long long)reg->as_of, (unsigned long long)reg->lease,
		reg->watching);
	reg->era = era;
	reg->hold_until = net_now_ms() + REG_HOLD_MS;
	reg->as_of = 0;
	reg->lease = 0;
	if (reg->step > REG_REGISTER)
		reg->step = REG_REGISTER;
}

/*
 * Compares the era of a response with that of this process. REG_RESTORED: the
 * process has entered a new era, and the call must be made again. REG_REFUSED:
 * the response is from an earlier era.
 */
static enum reg_status check_era(struct reg *reg, enum reg_status status)
{
	uint64_t era;

	if (!reg->desc.store.era(reg->desc.store.ctx, &era))
		return status;
	if (!reg->era_known) {
		reg->era = era;
		reg->era_known = 1;
	}
	if (era < reg->era)
		return REG_REFUSED;
	if (era == reg->era)
		return status;
	enter_era(reg, era);
	return REG_RESTORED;
}

/* -- lists --------------------------------------------------------------- */

/*
 * Reads all pages of a prefix. as_of is that of the first page, since later
 * pages may be newer.
 */
static enum reg_status list_all(struct reg *reg, const char *prefix, int stale,
				struct reg_items *out)
{
	const struct reg_store *store = &reg->desc.store;
	char after[201] = "";
	int page;

	memset(out, 0, sizeof(*out));
	for (page = 0; page < REG_PAGES; page++) {
		uint64_t as_of = out->as_of;
		enum reg_status status =
			check_era(reg, store->list(store->ctx, prefix, after,
						   stale, out));

		if (page)
			out->as_of = as_of;
		if (status != REG_OK || !out->more || !out->count)
			return status;
		memcpy(after, out->items[out->count - 1].key, sizeof(after));
	}
	return REG_OK;
}

/* -- retries ------------------------------------------------------------- */

static void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

/* Sleeps before the next call; exponential backoff with jitter. */
static void back_off(struct reg *reg)
{
	uint32_t base = reg->delay_ms ? reg->delay_ms : REG_RETRY_MS;
	uint32_t max_delay_ms =
		reg->as_of ? REG_RETRY_MAX_MS : REG_RETRY_NO_TABLE_MAX_MS;

	if (!reg->failures++)
		log_put(reg->desc.log, EV_PLATFORM_DOWN, "as_of=%llu",
			(unsigned long long)reg->as_of);
	reg->delay_ms = base * 2 < max_delay_ms ? base * 2 : max_delay_ms;
	sleep_ms(base / 2 + randombytes_uniform(base / 2 + 1));
}

static void reset_backoff(struct reg *reg)
{
	if (reg->failures)
		log_put(reg->desc.log, EV_PLATFORM_UP, "failures=%u as_of=%llu",
			reg->failures, (unsigned long long)reg->as_of);
	reg->failures = 0;
	reg->delay_ms = 0;
}

/* -- members ------------------------------------------------------------- */

static void member_key(const struct reg *reg, const char *name, char *buf,
		       size_t size)
{
	snprintf(buf, size, "%s%s", reg->desc.store.member_prefix, name);
}

static Jj__Member *unpack_member(struct reg *reg, const struct reg_item *item)
{
	Jj__Member *member = jj__member__unpack(NULL, item->len, item->value);
	struct jj_error err = { .message = "not a member record" };

	if (member && mbr_check_record(member, &err) == JJ_OK)
		return member;
	log_put(reg->desc.log, EV_ITEM_INVALID, "key=%s reason=%s", item->key,
		err.message);
	if (member)
		jj__member__free_unpacked(member, NULL);
	return NULL;
}

static enum reg_status register_process(struct reg *reg)
{
	const struct reg_store *store = &reg->desc.store;
	Jj__Member *member = nod_own_record(reg->nod);
	enum reg_status status = REG_OK;
	uint8_t packed[512];
	char key[201];
	uint64_t lease = 0;
	size_t len = 0;

	if (!member)
		return REG_REFUSED;
	if (jj__member__get_packed_size(member) <= sizeof(packed))
		len = jj__member__pack(member, packed);
	jj__member__free_unpacked(member, NULL);
	if (!reg->lease) {
		status = store->grant(store->ctx, reg->desc.lease_ms, &lease);
		status = check_era(reg, status);
		reg->lease = status == REG_OK ? lease : 0;
	}
	if (status != REG_OK)
		return status;
	member_key(reg, reg->nod->desc.name, key, sizeof(key));
	status = store->put(store->ctx, key, packed, len, reg->lease);
	status = check_era(reg, status);
	if (status == REG_ABSENT)
		reg->lease = 0;
	if (status != REG_OK)
		return status;
	reg->step = REG_READ_MEMBERS;
	reg->renew_at = net_now_ms() + reg->desc.lease_ms / 2;
	log_put(reg->desc.log, EV_REGISTERED, "lease=%llu",
		(unsigned long long)reg->lease);
	return REG_OK;
}

static enum reg_status read_members(struct reg *reg)
{
	struct reg_items items;
	/* Old data will do to find the entry of a previous run. */
	int stale = reg->step == REG_READ_PREVIOUS;
	enum reg_status status =
		list_all(reg, reg->desc.store.member_prefix, stale, &items);
	size_t i;

	for (i = 0; status == REG_OK && i < items.count; i++) {
		Jj__Member *member = unpack_member(reg, &items.items[i]);

		if (!member)
			continue;
		if (member->id == reg->nod->id &&
		    reg->step == REG_READ_PREVIOUS)
			nod_raise_incarnation(reg->nod, member->incarnation);
		nod_add_member(reg->nod, member);
		jj__member__free_unpacked(member, NULL);
	}
	reg_items_free(&items);
	if (status == REG_OK)
		reg->step = reg->step == REG_READ_PREVIOUS ? REG_REGISTER :
							     REG_REGISTERED;
	if (reg->step == REG_REGISTERED) {
		reg->nod->joined = 1;
		reg->watch_from = net_now_ms() + REG_WATCH_DELAY_MS;
	}
	return status;
}

static enum reg_status renew_lease(struct reg *reg)
{
	const struct reg_store *store = &reg->desc.store;
	enum reg_status status =
		check_era(reg, store->renew(store->ctx, reg->lease));

	if (status == REG_OK) {
		reg->renew_at = net_now_ms() + reg->desc.lease_ms / 2;
		reg->stale_read_due = !reg->watching;
	}
	if (status != REG_ABSENT)
		return status;
	log_put(reg->desc.log, EV_REGISTRATION_LOST, "lease=%llu",
		(unsigned long long)reg->lease);
	reg->lease = 0;
	reg->step = REG_REGISTER;
	return REG_OK;
}

/* -- operators' items ---------------------------------------------------- */

/*
 * Applies an item to the table. A rejected one does not count for the table's
 * revision. Returns 0 without memory: the item must be read again.
 */
static int apply_item(struct reg *reg, struct reg_item *item)
{
	const struct reg_store *store = &reg->desc.store;
	struct tbl_source source = {
		.name = item->key,
		.revision = tbl_compose_revision(reg->era, item->revision),
	};

	enum jj_status status = JJ_OK;

	if (!item->removed)
		status = store->to_rows(store->ctx, item, &source,
					reg->desc.log);
	if (status == JJ_OK)
		status = nod_replace_source(reg->nod, &source);
	free(source.rows);
	item->rejected = status != JJ_OK && status != JJ_FULL;
	return status != JJ_SYSTEM;
}

/* Returns 0 if an item must be read again. */
static int apply_items(struct reg *reg, struct reg_items *items)
{
	size_t i;

	for (i = 0; i < items->count; i++)
		if (!apply_item(reg, &items->items[i]))
			return 0;
	return 1;
}

/*
 * The table's revision is that of its newest item, on which all processes
 * agree. The store's own revision also rises with every member entry.
 */
static void update_revision(struct reg *reg, const struct reg_items *items)
{
	uint64_t newest = 0;
	size_t i;

	for (i = 0; i < items->count; i++)
		if (!items->items[i].rejected &&
		    items->items[i].revision > newest)
			newest = items->items[i].revision;
	if (newest)
		nod_raise_revision(reg->nod,
				   tbl_compose_revision(reg->era, newest));
	if (items->as_of > reg->as_of)
		reg->as_of = items->as_of;
}

static int is_holding(const struct reg *reg)
{
	return net_now_ms() < reg->hold_until;
}

/* Removes, or holds, the rows of sources that a list does not contain. */
static void retain_sources(struct reg *reg, const char *const *sources,
			   const struct reg_items *items)
{
	int hold = is_holding(reg);
	uint32_t held = nod_retain_sources(
		reg->nod, sources, (uint32_t)items->count,
		tbl_compose_revision(reg->era, items->as_of), hold);

	if (held != reg->held_rows)
		log_put(reg->desc.log, EV_ROWS_HELD,
			"held=%u before=%u for_ms=%llu era=%llu as_of=%llu",
			held, reg->held_rows,
			(unsigned long long)(hold ? reg->hold_until -
							     net_now_ms() :
						    0),
			(unsigned long long)reg->era,
			(unsigned long long)items->as_of);
	reg->held_rows = held;
}

static enum reg_status read_table(struct reg *reg, int stale)
{
	const char *sources[REG_SOURCES];
	struct reg_items items;
	enum reg_status status =
		list_all(reg, reg->desc.store.item_prefix, stale, &items);
	size_t i;

	if (status == REG_OK && items.count > REG_SOURCES) {
		log_put(reg->desc.log, EV_ITEM_INVALID,
			"key=%s reason=more than %d items", items.items[0].key,
			REG_SOURCES);
		reg_items_cut(&items, REG_SOURCES);
	}
	if (status == REG_OK && !apply_items(reg, &items))
		status = REG_REFUSED;
	for (i = 0; status == REG_OK && i < items.count; i++)
		sources[i] = items.items[i].key;
	if (status == REG_OK) {
		retain_sources(reg, sources, &items);
		update_revision(reg, &items);
	}
	reg_items_free(&items);
	return status;
}

/*
 * A watch ends with this process's turn, as it may never be answered. It is
 * shorter than the interval of renewals.
 */
static uint32_t watch_wait_ms(const struct reg *reg)
{
	uint32_t wait = trn_wait_ms(&reg->turn, REG_TURN_MS,
				    reg->desc.lease_ms / 3, net_wall_ms());

	return wait < reg->desc.watch_ms ? wait : reg->desc.watch_ms;
}

static enum reg_status watch_table(struct reg *reg)
{
	const struct reg_store *store = &reg->desc.store;
	uint32_t wait = watch_wait_ms(reg);
	struct reg_items items = { 0 };
	enum reg_status status;
	uint64_t before;

	/*
	 * A restored store accepts a watch from a revision that it has given
	 * out again, and shows its era only in the response.
	 */
	if (reg->failures)
		wait = REG_CHECK_WAIT_MS;
	status = check_era(reg, store->watch(store->ctx, store->item_prefix,
					     reg->as_of, wait, &items));
	if (status == REG_OK && !apply_items(reg, &items))
		status = REG_REFUSED;
	if (status == REG_OK)
		update_revision(reg, &items);
	reg_items_free(&items);
	if (status != REG_ABSENT)
		return status;
	log_put(reg->desc.log, EV_HISTORY_LOST, "as_of=%llu",
		(unsigned long long)reg->as_of);
	before = reg->as_of;
	status = read_table(reg, 0);
	/*
	 * The list is no newer than the failed watch: back off, as the next
	 * watch would fail too.
	 */
	return status == REG_OK && reg->as_of == before ? REG_REFUSED : status;
}

/* -- thread -------------------------------------------------------------- */

static void update_watching(struct reg *reg)
{
	int watching;

	if (reg->step != REG_REGISTERED || net_now_ms() < reg->watch_from)
		return;
	watching = nod_find_turn(reg->nod, REG_WATCHERS, &reg->turn);
	if (watching == reg->watching)
		return;
	reg->watching = watching;
	log_put(reg->desc.log, EV_WATCHING, "watching=%d as_of=%llu others=%u",
		watching, (unsigned long long)reg->as_of,
		(unsigned)reg->nod->live_peers);
}

/* Whether held rows are to be compared with the store a last time. */
static int is_release_due(const struct reg *reg)
{
	return reg->held_rows && !is_holding(reg);
}

/* Whether no call is due, as other processes watch the operators' items. */
static int is_idle(const struct reg *reg)
{
	return reg->as_of && reg->step == REG_REGISTERED && !reg->watching &&
	       !reg->stale_read_due && !is_release_due(reg) &&
	       net_now_ms() < reg->renew_at;
}

/*
 * The lease of a process that watches is renewed between two watches, so that
 * no watch is cut short for it.
 */
static int is_renewal_due(const struct reg *reg)
{
	uint64_t busy_ms = reg->watching ? watch_wait_ms(reg) : 0;

	return net_now_ms() + busy_ms >= reg->renew_at;
}

/* Makes the most urgent call that is due. */
static enum reg_status run_due_call(struct reg *reg)
{
	if (!reg->as_of || is_release_due(reg))
		return read_table(reg, 0);
	if (reg->step == REG_REGISTER)
		return register_process(reg);
	if (reg->step != REG_REGISTERED)
		return read_members(reg);
	if (is_renewal_due(reg))
		return renew_lease(reg);
	if (reg->watching)
		return watch_table(reg);
	reg->stale_read_due = 0;
	return read_table(reg, 1);
}

static void *run_registry(void *arg)
{
	struct reg *reg = arg;

	while (!reg->stopping) {
		enum reg_status status;

		update_watching(reg);
		if (is_idle(reg)) {
			sleep_ms(REG_IDLE_MS);
			continue;
		}
		status = run_due_call(reg);
		if (status == REG_OK || status == REG_RESTORED)
			reset_backoff(reg);
		else if (!reg->stopping)
			back_off(reg);
	}
	return NULL;
}

void reg_init(struct reg *reg, const struct reg_desc *desc)
{
	memset(reg, 0, sizeof(*reg));
	reg->desc = *desc;
}

enum jj_status reg_start(struct reg *reg, struct nod *nod, struct jj_error *err)
{
	reg->nod = nod;
	reg->hold_until = net_now_ms() + REG_HOLD_MS;
	if (pthread_create(&reg->thread, NULL, run_registry, reg))
		return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void reg_finish(struct reg *reg, int leave)
{
	const struct reg_store *store = &reg->desc.store;

	reg->stopping = 1;
	pthread_join(reg->thread, NULL);
	reg->stopping = 0;
	if (reg->lease && leave)
		store->revoke(store->ctx, reg->lease);
}
