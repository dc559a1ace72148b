#include "jujube/table.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/rank.h"

/*
 * Layout of a revision of an external store, from the highest bit: the store's
 * era plus 1 (16 bits), its revision (40 bits), and a count of holds (8 bits)
 * that places a held row between two revisions of the store. In revisions of
 * the fleet's own table the era is 0.
 */
#define TBL_ERA_SHIFT 48
#define TBL_STORE_REVISION_SHIFT 8
#define TBL_BELOW_ERA_MASK (((uint64_t)1 << TBL_ERA_SHIFT) - 1)
#define TBL_HOLD_MASK (((uint64_t)1 << TBL_STORE_REVISION_SHIFT) - 1)

/* -- memory -------------------------------------------------------------- */

int tbl_init(struct tbl *tbl, uint32_t capacity)
{
	uint32_t cells;

	memset(tbl, 0, sizeof(*tbl));
	tbl->capacity = capacity ? capacity : TBL_CAPACITY_DEFAULT;
	cells = map_cells_for(tbl->capacity);
	tbl->rows = calloc(tbl->capacity, sizeof(*tbl->rows));
	tbl->cells = calloc(cells, sizeof(*tbl->cells));
	if (!tbl->rows || !tbl->cells) {
		tbl_finish(tbl);
		return 0;
	}
	map_init(&tbl->index, tbl->cells, cells);
	return 1;
}

void tbl_finish(struct tbl *tbl)
{
	free(tbl->rows);
	free(tbl->cells);
	tbl->rows = NULL;
	tbl->cells = NULL;
}

void tbl_copy(struct tbl *tbl, const struct tbl *from)
{
	assert(tbl->capacity == from->capacity);
	memcpy(tbl->rows, from->rows, from->count * sizeof(*from->rows));
	memcpy(tbl->cells, from->cells,
	       (from->index.mask + 1) * sizeof(*from->cells));
	memcpy(tbl->changes, from->changes, sizeof(from->changes));
	tbl->change_count = from->change_count;
	tbl->index.count = from->index.count;
	tbl->count = from->count;
	tbl->revision = from->revision;
}

/* -- lookup -------------------------------------------------------------- */

static uint64_t row_key(Jj__Kind kind, const char *name)
{
	return rnk_name_id(name) ^ ((uint64_t)kind * 0x9e3779b97f4a7c15ull);
}

static struct tbl_row *find_row(const struct tbl *tbl, Jj__Kind kind,
				const char *name)
{
	uint32_t at = map_get(&tbl->index, row_key(kind, name));

	return at == MAP_NONE ? NULL : &tbl->rows[at];
}

const struct tbl_row *tbl_find(const struct tbl *tbl, Jj__Kind kind,
			       const char *name)
{
	return find_row(tbl, kind, name);
}

const struct tbl_change *tbl_find_change(const struct tbl *tbl, const char *id)
{
	uint32_t i;

	for (i = tbl->change_count; i-- > 0;)
		if (!strcmp(tbl->changes[i].id, id))
			return &tbl->changes[i];
	return NULL;
}

/* Finds the row, or adds it with defaults; null: the table is full. */
static struct tbl_row *find_or_add_row(struct tbl *tbl, Jj__Kind kind,
				       const char *name)
{
	struct tbl_row *row = find_row(tbl, kind, name);

	if (row)
		return row;
	if (tbl->count == tbl->capacity ||
	    map_put(&tbl->index, row_key(kind, name), tbl->count) != JJ_OK)
		return NULL;
	row = &tbl->rows[tbl->count++];
	memset(row, 0, sizeof(*row));
	row->kind = kind;
	snprintf(row->name, sizeof(row->name), "%s", name);
	row->weight = TBL_WEIGHT_DEFAULT;
	return row;
}

/* -- checks -------------------------------------------------------------- */

enum jj_status tbl_parse_address(const char *text, uint32_t *ip, uint16_t *port,
				 struct jj_error *err)
{
	const char *colon = strchr(text, ':');
	struct in_addr addr;
	char host[16];
	char *end;
	long value;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return st_fail(err, JJ_INVALID, "'%s' is not ip:port", text);
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &addr) != 1)
		return st_fail(err, JJ_INVALID, "'%s' is not an IPv4 address",
			       host);
	value = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || value < 1 || value > 65535)
		return st_fail(err, JJ_INVALID, "'%s' is not a port",
			       colon + 1);
	*ip = ntohl(addr.s_addr);
	*port = (uint16_t)value;
	return JJ_OK;
}

/* Names are used in CSV, logs and file names, so few characters are valid. */
static int is_valid_name(const char *name)
{
	const char *p;

	if (!*name || strlen(name) >= TBL_NAME_MAX)
		return 0;
	for (p = name; *p; p++)
		if (!strchr("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWX"
			    "YZ0123456789-_.",
			    *p))
			return 0;
	return 1;
}

enum jj_status tbl_check_row(const struct tbl_row *row, struct jj_error *err)
{
	uint32_t ip;
	uint16_t port;

	if (row->kind < JJ__KIND__KIND_SERVICE ||
	    row->kind > JJ__KIND__KIND_ROUTE)
		return st_fail(err, JJ_INVALID, "unknown kind %d", row->kind);
	if (!is_valid_name(row->name))
		return st_fail(err, JJ_INVALID,
			       "name '%.80s' must be 1 to %d letters, digits, "
			       "'-', '_' or '.'",
			       row->name, TBL_NAME_MAX - 1);
	if ((unsigned)row->state > JJ__ROW_STATE__STATE_REMOVED)
		return st_fail(err, JJ_INVALID, "%s: unknown state %d",
			       row->name, row->state);
	if (row->weight > TBL_WEIGHT_MAX)
		return st_fail(err, JJ_INVALID, "%s: weight %u is over %d",
			       row->name, row->weight, TBL_WEIGHT_MAX);
	if (row->slots > 100000 || row->cold_slots > 100000 ||
	    row->max_flows > 10000000)
		return st_fail(err, JJ_INVALID,
			       "%s: slots, cold_slots or max_flows: "
			       "limit out of range",
			       row->name);
	if (row->kind == JJ__KIND__KIND_TARGET && *row->service &&
	    !is_valid_name(row->service))
		return st_fail(err, JJ_INVALID,
			       "%s: invalid service name '%.80s'", row->name,
			       row->service);
	if (row->kind == JJ__KIND__KIND_ROUTE && !is_valid_name(row->service))
		return st_fail(err, JJ_INVALID,
			       "%s: invalid service name '%.80s'", row->name,
			       row->service);
	if (row->state == JJ__ROW_STATE__STATE_REMOVED)
		return JJ_OK;
	/* A service without its own address is reached through routes. */
	if (row->kind == JJ__KIND__KIND_ROUTE ||
	    (row->kind == JJ__KIND__KIND_SERVICE && *row->address))
		return tbl_parse_address(row->address, &ip, &port, err);
	return JJ_OK;
}

/*
 * Rejects an address that another service has: the service of a packet to it
 * would be ambiguous.
 */
static enum jj_status check_addresses(const struct tbl *tbl,
				      const struct tbl_row *row,
				      struct jj_error *err)
{
	uint32_t i;

	if (row->kind != JJ__KIND__KIND_SERVICE ||
	    row->state == JJ__ROW_STATE__STATE_REMOVED || !*row->address)
		return JJ_OK;
	assert(tbl->rows);
	for (i = 0; i < tbl->count; i++) {
		const struct tbl_row *other = &tbl->rows[i];

		if (other->kind == row->kind &&
		    other->state != JJ__ROW_STATE__STATE_REMOVED &&
		    strcmp(other->name, row->name) &&
		    !strcmp(other->address, row->address))
			return st_fail(err, JJ_INVALID,
				       "%s: address %s belongs to service %s",
				       row->name, row->address, other->name);
	}
	return JJ_OK;
}

/* -- protobuf conversion ------------------------------------------------- */

static void row_from_msg(struct tbl_row *row, const Jj__Row *msg)
{
	memset(row, 0, sizeof(*row));
	row->kind = msg->kind;
	snprintf(row->name, sizeof(row->name), "%s", msg->name);
	snprintf(row->service, sizeof(row->service), "%s", msg->service);
	snprintf(row->address, sizeof(row->address), "%s", msg->address);
	row->weight = msg->weight;
	row->slots = msg->slots;
	row->max_flows = msg->max_flows;
	row->cold_slots = msg->cold_slots;
	row->cold_per_ks = msg->cold_per_ks;
	row->flow_idle_ms = msg->flow_idle_ms;
	row->target_latency_ms = msg->target_latency_ms;
	row->state = msg->state;
	row->revision = msg->revision;
	row->version = msg->version;
	snprintf(row->who, sizeof(row->who), "%s", msg->who);
	row->when = msg->when;
	snprintf(row->why, sizeof(row->why), "%s", msg->why);
	snprintf(row->change_id, sizeof(row->change_id), "%s", msg->change_id);
}

static void row_to_msg(Jj__Row *msg, struct tbl_row *row)
{
	jj__row__init(msg);
	msg->kind = row->kind;
	msg->name = row->name;
	msg->service = row->service;
	msg->address = row->address;
	msg->weight = row->weight;
	msg->slots = row->slots;
	msg->max_flows = row->max_flows;
	msg->cold_slots = row->cold_slots;
	msg->cold_per_ks = row->cold_per_ks;
	msg->flow_idle_ms = row->flow_idle_ms;
	msg->target_latency_ms = row->target_latency_ms;
	msg->state = row->state;
	msg->revision = row->revision;
	msg->version = row->version;
	msg->who = row->who;
	msg->when = row->when;
	msg->why = row->why;
	msg->change_id = row->change_id;
}

static void change_to_msg(Jj__Change *msg, struct tbl_change *change)
{
	jj__change__init(msg);
	msg->id = change->id;
	msg->revision = change->revision;
	msg->who = change->who;
	msg->when = change->when;
	msg->why = change->why;
	msg->what = change->what;
}

uint8_t *tbl_pack(const struct tbl *tbl, uint64_t since, size_t *len)
{
	Jj__Table msg = JJ__TABLE__INIT;
	Jj__Row *rows = calloc(tbl->count + 1, sizeof(*rows));
	Jj__Row **row_list = calloc(tbl->count + 1, sizeof(*row_list));
	Jj__Change changes[TBL_CHANGES_MAX];
	Jj__Change *change_list[TBL_CHANGES_MAX];
	uint8_t *buf = NULL;
	uint32_t i;

	if (!rows || !row_list)
		goto out;
	msg.revision = tbl->revision;
	msg.rows = row_list;
	msg.changes = change_list;
	for (i = 0; i < tbl->count; i++) {
		if (tbl->rows[i].revision <= since)
			continue;
		row_to_msg(&rows[i], &tbl->rows[i]);
		row_list[msg.n_rows++] = &rows[i];
	}
	for (i = 0; i < tbl->change_count; i++) {
		struct tbl_change *change =
			(struct tbl_change *)&tbl->changes[i];

		if (change->revision <= since)
			continue;
		change_to_msg(&changes[i], change);
		change_list[msg.n_changes++] = &changes[i];
	}
	*len = jj__table__get_packed_size(&msg);
	buf = malloc(*len + 1);
	if (buf)
		jj__table__pack(&msg, buf);
out:
	free(rows);
	free(row_list);
	return buf;
}

/* -- merging ------------------------------------------------------------- */

/* Inserts a change, sorted by revision; drops the oldest one when full. */
static void store_change(struct tbl *tbl, const struct tbl_change *change)
{
	uint32_t at = tbl->change_count;

	if (tbl_find_change(tbl, change->id))
		return;
	if (at == TBL_CHANGES_MAX) {
		if (change->revision < tbl->changes[0].revision)
			return;
		memmove(&tbl->changes[0], &tbl->changes[1],
			(TBL_CHANGES_MAX - 1) * sizeof(tbl->changes[0]));
		at--;
	} else {
		tbl->change_count++;
	}
	while (at > 0 && tbl->changes[at - 1].revision > change->revision) {
		tbl->changes[at] = tbl->changes[at - 1];
		at--;
	}
	tbl->changes[at] = *change;
}

static void merge_changes(struct tbl *tbl, const Jj__Table *msg)
{
	size_t i;

	for (i = 0; i < msg->n_changes; i++) {
		const Jj__Change *from = msg->changes[i];
		struct tbl_change change = { .revision = from->revision,
					     .when = from->when };

		snprintf(change.id, sizeof(change.id), "%s", from->id);
		snprintf(change.who, sizeof(change.who), "%s", from->who);
		snprintf(change.why, sizeof(change.why), "%s", from->why);
		snprintf(change.what, sizeof(change.what), "%s", from->what);
		store_change(tbl, &change);
	}
}

static int is_from(const struct tbl_row *row, const char *source)
{
	return !strncmp(row->change_id, source, sizeof(row->change_id) - 1);
}

/* Highest version of the rows of a source, removed ones included. */
static uint64_t held_version(const struct tbl *tbl, const char *source)
{
	uint64_t version = 0;
	uint32_t i;

	assert(tbl->rows || !tbl->count);
	for (i = 0; i < tbl->count; i++)
		if (is_from(&tbl->rows[i], source) &&
		    tbl->rows[i].version > version)
			version = tbl->rows[i].version;
	return version;
}

/*
 * Revision for rows that a restored store has lost: above the table's, so that
 * peers which have read the store since pull them.
 */
static uint64_t hold_revision(const struct tbl *tbl, uint64_t store_revision)
{
	return (tbl->revision > store_revision ? tbl->revision :
						 store_revision) +
	       1;
}

static void hold_row(struct tbl *tbl, struct tbl_row *row, uint64_t revision)
{
	row->revision = revision;
	tbl_raise_revision(tbl, revision);
}

/*
 * Rows of diverged histories can have equal revisions. Any fixed order will do
 * then; comparing the change ids gives one.
 */
static int supersedes(const struct tbl_row *row, const struct tbl_row *held)
{
	if (row->version != held->version)
		return row->version > held->version;
	if (row->revision != held->revision)
		return row->revision > held->revision;
	return strcmp(row->change_id, held->change_id) > 0;
}

/*
 * Checks all rows of a message. source_versions[i] becomes the version that
 * the table has of the source of row i.
 */
static enum jj_status check_message(const struct tbl *tbl, const Jj__Table *msg,
				    uint64_t *source_versions,
				    struct jj_error *err)
{
	uint32_t new_rows = 0;
	struct tbl_row row;
	size_t i;

	for (i = 0; i < msg->n_rows; i++) {
		row_from_msg(&row, msg->rows[i]);
		if (tbl_check_row(&row, err) != JJ_OK)
			return JJ_INVALID;
		if (row.revision > msg->revision)
			return st_fail(err, JJ_INVALID,
				       "%s: row revision %s is higher than "
				       "the table's",
				       row.name,
				       tbl_format_revision(row.revision).text);
		if (!find_row(tbl, row.kind, row.name))
			new_rows++;
		if (!row.version)
			continue;
		/* Most rows have the same source as the one before. */
		if (i && !strcmp(msg->rows[i]->change_id,
				 msg->rows[i - 1]->change_id))
			source_versions[i] = source_versions[i - 1];
		else
			source_versions[i] = held_version(tbl, row.change_id);
	}
	if (tbl->count + new_rows > tbl->capacity)
		return st_fail(err, JJ_FULL, "table would exceed %u rows",
			       tbl->capacity);
	return JJ_OK;
}

/*
 * Merges a row; hold is the revision for rows that the sender must learn of. A
 * new row of an older version than the table has of its source was removed
 * since, although the table holds no tombstone of it.
 */
static void merge_row(struct tbl *tbl, struct tbl_row *row,
		      uint64_t source_version, uint64_t hold)
{
	int is_new = !find_row(tbl, row->kind, row->name);
	struct tbl_row *held = find_or_add_row(tbl, row->kind, row->name);

	assert(held);
	if (is_new && row->version < source_version) {
		*held = *row;
		held->state = JJ__ROW_STATE__STATE_REMOVED;
		held->version = source_version;
		hold_row(tbl, held, hold);
	} else if (supersedes(row, held)) {
		*held = *row;
	} else if (row->revision > held->revision) {
		hold_row(tbl, held, hold);
	}
}

enum jj_status tbl_merge(struct tbl *tbl, const Jj__Table *msg,
			 struct jj_error *err)
{
	int stale = msg->revision < tbl->revision;
	uint64_t *source_versions =
		calloc(msg->n_rows + 1, sizeof(*source_versions));
	enum jj_status status;
	uint64_t hold;
	size_t i;

	if (!source_versions)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	status = check_message(tbl, msg, source_versions, err);
	if (status != JJ_OK) {
		free(source_versions);
		return status;
	}
	hold = hold_revision(tbl, msg->revision);
	tbl_raise_revision(tbl, msg->revision);
	for (i = 0; i < msg->n_rows; i++) {
		struct tbl_row row;

		row_from_msg(&row, msg->rows[i]);
		merge_row(tbl, &row, source_versions[i], hold);
	}
	free(source_versions);
	merge_changes(tbl, msg);
	if (stale)
		return st_fail(err, JJ_STALE,
			       "older than the current revision %s",
			       tbl_format_revision(tbl->revision).text);
	return JJ_OK;
}

/* -- rows of external sources -------------------------------------------- */

/* Compares everything but revision and audit fields. */
static int has_same_content(const struct tbl_row *a, const struct tbl_row *b)
{
	return !strcmp(a->service, b->service) &&
	       !strcmp(a->address, b->address) && a->weight == b->weight &&
	       a->slots == b->slots && a->max_flows == b->max_flows &&
	       a->cold_slots == b->cold_slots &&
	       a->cold_per_ks == b->cold_per_ks &&
	       a->flow_idle_ms == b->flow_idle_ms &&
	       a->target_latency_ms == b->target_latency_ms &&
	       a->state == b->state && !strcmp(a->change_id, b->change_id);
}

static enum jj_status check_rows(const struct tbl *tbl,
				 const struct tbl_row *rows, uint32_t count,
				 struct jj_error *err)
{
	uint32_t new_rows = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (tbl_check_row(&rows[i], err) != JJ_OK)
			return JJ_INVALID;
		new_rows += !find_row(tbl, rows[i].kind, rows[i].name);
	}
	if (tbl->count + new_rows > tbl->capacity)
		return st_fail(err, JJ_FULL, "table would exceed %u rows",
			       tbl->capacity);
	return JJ_OK;
}

/* Replaces a row unless it is newer. A higher version needs no higher revision. */
static void replace_row(struct tbl *tbl, struct tbl_row *held,
			struct tbl_row *row, struct tbl_update *update)
{
	if (held->revision >= row->revision) {
		if (row->version <= held->version) {
			update->ignored++;
			return;
		}
		row->revision = held->revision + 1;
		tbl_raise_revision(tbl, row->revision);
	}
	*held = *row;
	update->changed++;
}

/* Turns a row into a tombstone, unless it is newer. */
static void remove_row(struct tbl *tbl, struct tbl_row *held, uint64_t version,
		       uint64_t revision, struct tbl_update *update)
{
	struct tbl_row row = *held;

	if (held->state == JJ__ROW_STATE__STATE_REMOVED)
		return;
	row.state = JJ__ROW_STATE__STATE_REMOVED;
	row.version = version;
	row.revision = revision;
	replace_row(tbl, held, &row, update);
}

/* Holds the rows that changed after the outdated source was written. */
static void hold_newer_rows(struct tbl *tbl, const struct tbl_source *source,
			    struct tbl_update *update)
{
	uint64_t hold = hold_revision(tbl, source->revision);
	uint32_t i;

	for (i = 0; i < tbl->count; i++) {
		struct tbl_row *row = &tbl->rows[i];

		if (!is_from(row, source->name) ||
		    row->version <= source->version)
			continue;
		update->ignored++;
		if (row->revision >= source->revision)
			continue;
		hold_row(tbl, row, hold);
		update->held++;
	}
}

enum jj_status tbl_replace_source(struct tbl *tbl,
				  const struct tbl_source *source,
				  struct tbl_update *update,
				  struct jj_error *err)
{
	enum jj_status status =
		check_rows(tbl, source->rows, source->count, err);
	uint64_t held = held_version(tbl, source->name);
	int removed = !source->version && !source->count;
	uint64_t version = removed ? held : source->version;
	uint8_t *in_source;
	uint32_t i;

	*update = (struct tbl_update){ 0 };
	if (status != JJ_OK)
		return status;
	if (version < held) {
		hold_newer_rows(tbl, source, update);
		return JJ_OK;
	}
	in_source = calloc(tbl->capacity, 1);
	if (!in_source)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	for (i = 0; i < source->count; i++) {
		struct tbl_row row = source->rows[i];
		struct tbl_row *at = find_or_add_row(tbl, row.kind, row.name);

		assert(at);
		in_source[at - tbl->rows] = 1;
		snprintf(row.change_id, sizeof(row.change_id), "%s",
			 source->name);
		row.version = version;
		row.revision = source->revision;
		if (!has_same_content(&row, at))
			replace_row(tbl, at, &row, update);
	}
	for (i = 0; i < tbl->count; i++)
		if (!in_source[i] && is_from(&tbl->rows[i], source->name))
			remove_row(tbl, &tbl->rows[i], version,
				   source->revision, update);
	free(in_source);
	return JJ_OK;
}

/*
 * Whether a row that is missing from a list of the store as of revision may
 * have been lost by a restore: it is from an earlier era, or already held.
 */
static int may_be_lost(const struct tbl_row *row, uint64_t revision)
{
	return row->revision >> TBL_ERA_SHIFT < revision >> TBL_ERA_SHIFT ||
	       row->revision & TBL_HOLD_MASK;
}

/* Removes a row that is missing from a list of the store as of revision. */
static void remove_missing_row(struct tbl *tbl, struct tbl_row *row,
			       uint64_t revision, struct tbl_update *update)
{
	uint64_t without_hold = row->revision & ~TBL_HOLD_MASK;

	if (without_hold < row->revision && without_hold <= revision) {
		revision = hold_revision(tbl, revision);
		tbl_raise_revision(tbl, revision);
	}
	remove_row(tbl, row, row->version, revision, update);
}

void tbl_retain_sources(struct tbl *tbl, const char *const *sources,
			uint32_t count, uint64_t revision, int hold,
			struct tbl_update *update)
{
	uint64_t held_at = hold_revision(tbl, revision);
	uint32_t i;

	*update = (struct tbl_update){ 0 };
	for (i = 0; i < tbl->count; i++) {
		struct tbl_row *row = &tbl->rows[i];
		uint32_t j = 0;

		while (j < count && !is_from(row, sources[j]))
			j++;
		if (j < count || row->state == JJ__ROW_STATE__STATE_REMOVED)
			continue;
		if (!hold || !may_be_lost(row, revision)) {
			remove_missing_row(tbl, row, revision, update);
			continue;
		}
		update->held++;
		if (!(row->revision & TBL_HOLD_MASK))
			hold_row(tbl, row, held_at);
	}
}

/* -- revisions of an external store -------------------------------------- */

uint64_t tbl_compose_revision(uint64_t era, uint64_t store_revision)
{
	return (era + 1) << TBL_ERA_SHIFT | store_revision
						    << TBL_STORE_REVISION_SHIFT;
}

struct tbl_revision_text tbl_format_revision(uint64_t revision)
{
	uint64_t era = revision >> TBL_ERA_SHIFT;
	uint64_t store_revision =
		(revision & TBL_BELOW_ERA_MASK) >> TBL_STORE_REVISION_SHIFT;
	unsigned hold = (unsigned)(revision & TBL_HOLD_MASK);
	struct tbl_revision_text out;

	if (!era)
		snprintf(out.text, sizeof(out.text), "%llu",
			 (unsigned long long)revision);
	else
		snprintf(out.text, sizeof(out.text), "%llu.%llu%s",
			 (unsigned long long)(era - 1),
			 (unsigned long long)store_revision,
			 hold ? "-held" : "");
	return out;
}

void tbl_raise_revision(struct tbl *tbl, uint64_t revision)
{
	if (revision > tbl->revision)
		tbl->revision = revision;
}

/* -- operators' changes -------------------------------------------------- */

/* Copies the fields that the edit sets. */
static void apply_fields(struct tbl_row *row, const struct tbl_edit *edit)
{
	const struct tbl_row *set = &edit->row;

	if (edit->fields & TBL_SERVICE)
		memcpy(row->service, set->service, sizeof(row->service));
	if (edit->fields & TBL_ADDRESS)
		memcpy(row->address, set->address, sizeof(row->address));
	if (edit->fields & TBL_WEIGHT)
		row->weight = set->weight;
	if (edit->fields & TBL_SLOTS)
		row->slots = set->slots;
	if (edit->fields & TBL_MAX_FLOWS)
		row->max_flows = set->max_flows;
	if (edit->fields & TBL_COLD_SLOTS)
		row->cold_slots = set->cold_slots;
	if (edit->fields & TBL_STATE)
		row->state = set->state;
}

static void describe_row(char *buf, size_t size, const struct tbl_row *row)
{
	snprintf(buf, size,
		 "state=%s weight=%u slots=%u revision=%llu by %.20s",
		 tbl_state_name(row->state), row->weight, row->slots,
		 (unsigned long long)row->revision, row->who);
}

/* Computes the row after an edit, and checks base revision and validity. */
static enum jj_status preview_edit(const struct tbl *tbl,
				   const struct tbl_edit *edit,
				   struct tbl_row *out, struct jj_error *err)
{
	const struct tbl_row *held =
		tbl_find(tbl, edit->row.kind, edit->row.name);
	uint64_t at = held ? held->revision : 0;
	enum jj_status status;
	char theirs[96];
	char ours[96];

	if (held)
		*out = *held;
	else
		*out = (struct tbl_row){ .weight = TBL_WEIGHT_DEFAULT };
	out->kind = edit->row.kind;
	snprintf(out->name, sizeof(out->name), "%s", edit->row.name);
	apply_fields(out, edit);
	if (edit->base_revision != TBL_ANY_REVISION &&
	    edit->base_revision != at) {
		describe_row(ours, sizeof(ours), out);
		if (held)
			describe_row(theirs, sizeof(theirs), held);
		else
			snprintf(theirs, sizeof(theirs), "no such row");
		return st_fail(err, JJ_CONFLICT,
			       "%.40s changed since: now %s; yours %s",
			       out->name, theirs, ours);
	}
	status = tbl_check_row(out, err);
	if (status == JJ_OK)
		status = check_addresses(tbl, out, err);
	return status;
}

static void record_change(struct tbl *tbl, const struct tbl_edits *edits)
{
	struct tbl_change change = { .revision = tbl->revision,
				     .when = edits->when };
	const struct tbl_row *row = tbl_find(tbl, edits->items[0].row.kind,
					     edits->items[0].row.name);

	memcpy(change.id, edits->id, sizeof(change.id));
	memcpy(change.who, edits->who, sizeof(change.who));
	memcpy(change.why, edits->why, sizeof(change.why));
	snprintf(change.what, sizeof(change.what),
		 "%s %.40s state=%s weight=%u%s", tbl_kind_name(row->kind),
		 row->name, tbl_state_name(row->state), row->weight,
		 edits->count > 1 ? " and more" : "");
	store_change(tbl, &change);
}

enum jj_status tbl_apply(struct tbl *tbl, const struct tbl_edits *edits,
			 struct jj_error *err)
{
	struct tbl_row planned;
	uint32_t new_rows = 0;
	uint32_t i;

	if (!edits->count)
		return st_fail(err, JJ_INVALID, "the change contains no edits");
	for (i = 0; i < edits->count; i++) {
		const struct tbl_edit *edit = &edits->items[i];
		enum jj_status status = preview_edit(tbl, edit, &planned, err);

		if (status != JJ_OK)
			return status;
		if (!tbl_find(tbl, edit->row.kind, edit->row.name))
			new_rows++;
	}
	if (tbl->count + new_rows > tbl->capacity)
		return st_fail(err, JJ_FULL, "table would exceed %u rows",
			       tbl->capacity);
	tbl->revision++;
	for (i = 0; i < edits->count; i++) {
		const struct tbl_edit *edit = &edits->items[i];
		struct tbl_row *row =
			find_or_add_row(tbl, edit->row.kind, edit->row.name);

		assert(row);
		apply_fields(row, edit);
		row->revision = tbl->revision;
		row->when = edits->when;
		memcpy(row->who, edits->who, sizeof(row->who));
		memcpy(row->why, edits->why, sizeof(row->why));
		memcpy(row->change_id, edits->id, sizeof(row->change_id));
	}
	record_change(tbl, edits);
	return JJ_OK;
}
