#include "table_internal.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/rank.h"

#define PORT_DIGITS_MAX 5
#define ROWS_MIN 64 /* memory of an empty table, in rows */

/* -- memory -------------------------------------------------------------- */

int tbl_init(struct tbl *tbl, uint32_t capacity)
{
	memset(tbl, 0, sizeof(*tbl));
	tbl->capacity = capacity ? capacity : TBL_CAPACITY_DEFAULT;
	return tbl_reserve(tbl, ROWS_MIN);
}

void tbl_finish(struct tbl *tbl)
{
	free(tbl->rows);
	free(tbl->cells);
	tbl->rows = NULL;
	tbl->cells = NULL;
}

static uint64_t row_key(Jj__Kind kind, const char *name)
{
	return rnk_name_id(name) ^ ((uint64_t)kind * 0x9e3779b97f4a7c15ull);
}

static void rebuild_index(struct tbl *tbl)
{
	uint32_t i;

	map_init(&tbl->index, tbl->cells, map_cells_for(tbl->allocated));
	for (i = 0; i < tbl->count; i++)
		map_put(&tbl->index,
			row_key(tbl->rows[i].kind, tbl->rows[i].name), i);
}

int tbl_reserve(struct tbl *tbl, uint32_t count)
{
	uint32_t allocated = tbl->allocated ? tbl->allocated : ROWS_MIN;
	struct map_cell *cells;
	struct tbl_row *rows;

	if (tbl->allocated && count <= tbl->allocated)
		return 1;
	while (allocated < count)
		allocated *= 2;
	cells = calloc(map_cells_for(allocated), sizeof(*cells));
	rows = cells ? realloc(tbl->rows, allocated * sizeof(*rows)) : NULL;
	if (!rows) {
		free(cells);
		return 0;
	}
	free(tbl->cells);
	tbl->cells = cells;
	tbl->rows = rows;
	tbl->allocated = allocated;
	rebuild_index(tbl);
	return 1;
}

int tbl_copy(struct tbl *tbl, const struct tbl *from)
{
	if (!tbl_reserve(tbl, from->count))
		return 0;
	memcpy(tbl->rows, from->rows, from->count * sizeof(*from->rows));
	memcpy(tbl->changes, from->changes, sizeof(from->changes));
	memcpy(tbl->versions, from->versions, sizeof(from->versions));
	tbl->change_count = from->change_count;
	tbl->version_count = from->version_count;
	tbl->count = from->count;
	tbl->revision = from->revision;
	rebuild_index(tbl);
	return 1;
}

/* Whether the version of its source tells that the row is removed. */
static int is_droppable(const struct tbl *tbl, const struct tbl_row *row)
{
	return row->state == JJ__ROW_STATE__STATE_REMOVED && row->version &&
	       tbl_find_version(tbl, row->change_id);
}

static int by_revision(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

void tbl_drop_removed(struct tbl *tbl, uint32_t drop)
{
	uint64_t *revisions = calloc(tbl->count + 1, sizeof(*revisions));
	uint32_t droppable = 0;
	uint32_t kept = 0;
	uint64_t last;
	uint32_t i;

	for (i = 0; revisions && i < tbl->count; i++)
		if (is_droppable(tbl, &tbl->rows[i]))
			revisions[droppable++] = tbl->rows[i].revision;
	if (drop > droppable)
		drop = droppable;
	if (!drop) {
		free(revisions);
		return;
	}
	qsort(revisions, droppable, sizeof(*revisions), by_revision);
	last = revisions[drop - 1];
	free(revisions);
	for (i = 0; i < tbl->count; i++) {
		const struct tbl_row *row = &tbl->rows[i];

		if (drop && row->revision <= last && is_droppable(tbl, row)) {
			drop--;
			continue;
		}
		if (kept < i)
			tbl->rows[kept] = *row;
		kept++;
	}
	tbl->count = kept;
	rebuild_index(tbl);
}

void tbl_limit_removed(struct tbl *tbl)
{
	uint32_t removed = tbl_count_removed(tbl);
	uint32_t in_force = tbl->count - removed;
	uint32_t most = in_force > TBL_REMOVED_MIN ? in_force : TBL_REMOVED_MIN;

	if (removed > most)
		tbl_drop_removed(tbl, removed - most);
}

uint32_t tbl_make_room(struct tbl *tbl, uint32_t count)
{
	if (tbl->count + count > tbl->capacity)
		tbl_drop_removed(tbl, tbl->count + count - tbl->capacity);
	return tbl->capacity - tbl->count;
}

/* -- lookup -------------------------------------------------------------- */

struct tbl_row *tbl_find_row(const struct tbl *tbl, Jj__Kind kind,
			     const char *name)
{
	uint32_t at = map_get(&tbl->index, row_key(kind, name));

	return at == MAP_NONE ? NULL : &tbl->rows[at];
}

int tbl_is_in_force(const struct tbl *tbl, Jj__Kind kind, const char *name)
{
	const struct tbl_row *row = tbl_find_row(tbl, kind, name);

	return row && row->state != JJ__ROW_STATE__STATE_REMOVED;
}

const struct tbl_row *tbl_find(const struct tbl *tbl, Jj__Kind kind,
			       const char *name)
{
	return tbl_find_row(tbl, kind, name);
}

uint32_t tbl_count_removed(const struct tbl *tbl)
{
	uint32_t removed = 0;
	uint32_t i;

	for (i = 0; i < tbl->count; i++)
		removed += tbl->rows[i].state == JJ__ROW_STATE__STATE_REMOVED;
	return removed;
}

uint32_t tbl_count_left_out(const struct tbl *tbl)
{
	uint32_t left_out = 0;
	uint32_t i;

	for (i = 0; i < tbl->version_count; i++)
		left_out += tbl->versions[i].left_out;
	return left_out;
}

const struct tbl_change *tbl_find_change(const struct tbl *tbl, const char *id)
{
	uint32_t i;

	for (i = tbl->change_count; i-- > 0;)
		if (!strcmp(tbl->changes[i].id, id))
			return &tbl->changes[i];
	return NULL;
}

struct tbl_row *tbl_find_or_add_row(struct tbl *tbl, Jj__Kind kind,
				    const char *name)
{
	struct tbl_row *row = tbl_find_row(tbl, kind, name);

	if (row)
		return row;
	if (tbl->count >= tbl->capacity || !tbl_reserve(tbl, tbl->count + 1) ||
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
	size_t digits;
	unsigned long value;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return st_fail(err, JJ_INVALID, "'%s' is not ip:port", text);
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &addr) != 1)
		return st_fail(err, JJ_INVALID, "'%s' is not an IPv4 address",
			       host);
	digits = strspn(colon + 1, "0123456789");
	value = digits && digits <= PORT_DIGITS_MAX && !colon[1 + digits] ?
			strtoul(colon + 1, NULL, 10) :
			0;
	if (value < 1 || value > 65535)
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

enum jj_status tbl_check_terms(const struct tbl_row *row, struct jj_error *err)
{
	const char *column = row->target_latency_ms ? "target_latency_ms" :
			     row->deadline_ms	    ? "deadline_ms" :
			     row->priority	    ? "priority" :
			     row->idempotent	    ? "idempotent" :
						      NULL;

	if (!column)
		return JJ_OK;
	if (row->kind != JJ__KIND__KIND_ROUTE)
		return st_fail(err, JJ_INVALID,
			       "%s: %s is only valid in rows of kind route",
			       row->name, column);
	if (row->target_latency_ms > TBL_TERM_MS_MAX)
		return st_fail(err, JJ_INVALID,
			       "%s: target_latency_ms %u is over %d", row->name,
			       row->target_latency_ms, TBL_TERM_MS_MAX);
	if (row->deadline_ms > TBL_TERM_MS_MAX)
		return st_fail(err, JJ_INVALID, "%s: deadline_ms %u is over %d",
			       row->name, row->deadline_ms, TBL_TERM_MS_MAX);
	if (row->priority > TBL_PRIORITY_MAX)
		return st_fail(err, JJ_INVALID, "%s: priority %u is over %d",
			       row->name, row->priority, TBL_PRIORITY_MAX);
	if ((unsigned)row->idempotent > JJ__IDEMPOTENCE__IDEMPOTENCE_NO)
		return st_fail(err, JJ_INVALID,
			       "%s: unknown value %d of idempotent", row->name,
			       row->idempotent);
	if (row->deadline_ms && row->target_latency_ms > row->deadline_ms)
		return st_fail(err, JJ_INVALID,
			       "%s: target_latency_ms %u is above deadline_ms "
			       "%u",
			       row->name, row->target_latency_ms,
			       row->deadline_ms);
	return JJ_OK;
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
	    row->max_flows > TBL_MAX_FLOWS_MAX)
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
	if (tbl_check_terms(row, err) != JJ_OK)
		return JJ_INVALID;
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
	if (edit->fields & TBL_TARGET_LATENCY)
		row->target_latency_ms = set->target_latency_ms;
	if (edit->fields & TBL_DEADLINE)
		row->deadline_ms = set->deadline_ms;
	if (edit->fields & TBL_PRIORITY)
		row->priority = set->priority;
	if (edit->fields & TBL_IDEMPOTENT)
		row->idempotent = set->idempotent;
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
	tbl_store_change(tbl, &change);
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
	if (new_rows > tbl_make_room(tbl, new_rows))
		return st_fail(err, JJ_FULL, "table would exceed %u rows",
			       tbl->capacity);
	if (!tbl_reserve(tbl, tbl->count + new_rows))
		return st_fail(err, JJ_SYSTEM, "out of memory");
	tbl->revision++;
	for (i = 0; i < edits->count; i++) {
		const struct tbl_edit *edit = &edits->items[i];
		struct tbl_row *row = tbl_find_or_add_row(tbl, edit->row.kind,
							  edit->row.name);

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
