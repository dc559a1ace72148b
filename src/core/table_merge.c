/* Exchange of tables between processes. */
#include "table_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
	row->deadline_ms = msg->deadline_ms;
	row->priority = msg->priority;
	row->idempotent = msg->idempotent;
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
	msg->deadline_ms = row->deadline_ms;
	msg->priority = row->priority;
	msg->idempotent = row->idempotent;
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

/*
 * Fills sources with those that are recorded and returns their number. Rows of
 * other sources are merged unchecked.
 */
static size_t list_sources(const struct tbl *tbl, Jj__Source *sources)
{
	uint32_t i;

	for (i = 0; i < tbl->version_count; i++) {
		const struct tbl_version *recorded = &tbl->versions[i];

		jj__source__init(&sources[i]);
		sources[i].name = (char *)recorded->source;
		sources[i].version = recorded->version;
		sources[i].digest = tbl_source_digest(tbl, recorded->source);
	}
	return tbl->version_count;
}

uint8_t *tbl_pack(const struct tbl *tbl, uint64_t since, size_t *len)
{
	Jj__Table msg = JJ__TABLE__INIT;
	Jj__Row *rows = calloc(tbl->count + 1, sizeof(*rows));
	Jj__Row **row_list = calloc(tbl->count + 1, sizeof(*row_list));
	Jj__Change changes[TBL_CHANGES_MAX];
	Jj__Change *change_list[TBL_CHANGES_MAX];
	Jj__Source sources[TBL_SOURCES_MAX];
	Jj__Source *source_list[TBL_SOURCES_MAX];
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
	msg.complete = since == 0;
	msg.sources = source_list;
	msg.n_sources = list_sources(tbl, sources);
	for (i = 0; i < msg.n_sources; i++)
		source_list[i] = &sources[i];
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

void tbl_store_change(struct tbl *tbl, const struct tbl_change *change)
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
		tbl_store_change(tbl, &change);
	}
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

/* Texts that do not fit would be cut, and name another row or address. */
static enum jj_status check_lengths(const Jj__Row *msg, struct jj_error *err)
{
	static const struct tbl_row row;

	if (strlen(msg->name) < sizeof(row.name) &&
	    strlen(msg->service) < sizeof(row.service) &&
	    strlen(msg->address) < sizeof(row.address))
		return JJ_OK;
	return st_fail(err, JJ_INVALID,
		       "%.63s: name, service or address is too long",
		       msg->name);
}

/*
 * Checks all rows of a message. source_versions[i] becomes the version that
 * the table has of the source of row i, *new_rows the number of rows that the
 * table lacks, or may drop to make room.
 */
static enum jj_status check_message(const struct tbl *tbl, const Jj__Table *msg,
				    uint64_t *source_versions,
				    uint32_t *new_rows, struct jj_error *err)
{
	struct tbl_row row;
	size_t i;

	*new_rows = 0;
	if (msg->revision > TBL_REVISION_MAX)
		return st_fail(err, JJ_INVALID, "revision %llu is too large",
			       (unsigned long long)msg->revision);
	for (i = 0; i < msg->n_rows; i++) {
		if (check_lengths(msg->rows[i], err) != JJ_OK)
			return JJ_INVALID;
		row_from_msg(&row, msg->rows[i]);
		if (tbl_check_row(&row, err) != JJ_OK)
			return JJ_INVALID;
		if (row.revision > msg->revision)
			return st_fail(err, JJ_INVALID,
				       "%s: row revision %s is higher than "
				       "the table's",
				       row.name,
				       tbl_format_revision(row.revision).text);
		if (row.state != JJ__ROW_STATE__STATE_REMOVED &&
		    !tbl_is_in_force(tbl, row.kind, row.name))
			++*new_rows;
		if (!row.version)
			continue;
		/* Most rows have the same source as the one before. */
		if (i && !strcmp(msg->rows[i]->change_id,
				 msg->rows[i - 1]->change_id))
			source_versions[i] = source_versions[i - 1];
		else
			source_versions[i] =
				tbl_held_version(tbl, row.change_id);
	}
	return JJ_OK;
}

/*
 * Merges a row; hold is the revision for rows that the sender must learn of. A
 * new row of an older version than the table has of its source was removed
 * since, although the table holds no tombstone of it. A new tombstone of the
 * same version, or an older one, tells nothing. Returns 0 if the row does not
 * fit.
 */
static int merge_row(struct tbl *tbl, struct tbl_row *row,
		     uint64_t source_version, uint64_t hold)
{
	int is_new = !tbl_find_row(tbl, row->kind, row->name);
	int is_tombstone =
		row->version && row->state == JJ__ROW_STATE__STATE_REMOVED;
	uint32_t most = tbl->capacity - (row->version ? tbl_reserved(tbl) : 0);
	struct tbl_row *held;

	if (is_new && is_tombstone &&
	    (row->version <= source_version || tbl->count >= most))
		return 1;
	if (is_new && tbl->count >= most)
		tbl_drop_removed(tbl, tbl->count + 1 - most);
	if (is_new && tbl->count >= most)
		return 0;
	held = tbl_find_or_add_row(tbl, row->kind, row->name);
	if (!held)
		return 0;
	if (is_new && row->version < source_version) {
		*held = *row;
		held->state = JJ__ROW_STATE__STATE_REMOVED;
		held->version = source_version;
		tbl_hold_row(tbl, held, hold);
	} else if (supersedes(row, held)) {
		*held = *row;
	} else if (row->revision > held->revision) {
		tbl_hold_row(tbl, held, hold);
	}
	return 1;
}

/* Returns the number of rows that did not fit. */
static uint32_t merge_rows(struct tbl *tbl, const Jj__Table *msg,
			   const uint64_t *source_versions, uint64_t hold)
{
	uint32_t left_out = 0;
	struct tbl_row row;
	size_t i;

	for (i = 0; i < msg->n_rows; i++) {
		row_from_msg(&row, msg->rows[i]);
		left_out += !merge_row(tbl, &row, source_versions[i], hold);
	}
	return left_out;
}

/*
 * Records the versions of a message whose rows are merged: those of its
 * sources, and of rows whose source is not listed.
 */
static void record_versions(struct tbl *tbl, const Jj__Table *msg)
{
	size_t i;

	for (i = 0; i < msg->n_sources; i++)
		tbl_record_version(tbl, msg->sources[i]->name,
				   msg->sources[i]->version, msg->revision);
	for (i = 0; i < msg->n_rows; i++)
		if (msg->rows[i]->version)
			tbl_record_version(tbl, msg->rows[i]->change_id,
					   msg->rows[i]->version,
					   msg->revision);
}

/*
 * Digest that a source would have after merge_row() of all rows of a message.
 * A row is in a message once.
 */
static uint64_t merged_digest(const struct tbl *tbl, const Jj__Table *msg,
			      const Jj__Source *source, uint64_t version)
{
	uint64_t digest = tbl_source_digest(tbl, source->name);
	struct tbl_row row;
	size_t i;

	for (i = 0; i < msg->n_rows; i++) {
		const struct tbl_row *held;

		row_from_msg(&row, msg->rows[i]);
		if (!tbl_is_from(&row, source->name))
			continue;
		held = tbl_find_row(tbl, row.kind, row.name);
		if (held && supersedes(&row, held))
			digest ^= tbl_row_digest(held) ^ tbl_row_digest(&row);
		else if (!held && row.version >= version)
			digest ^= tbl_row_digest(&row);
	}
	return digest;
}

/* Whether the table would agree with the sender in all sources not newer. */
static int is_sufficient(const struct tbl *tbl, const Jj__Table *msg)
{
	size_t i;

	for (i = 0; i < msg->n_sources; i++) {
		const Jj__Source *source = msg->sources[i];
		uint64_t version = tbl_held_version(tbl, source->name);

		if (source->version >= version &&
		    merged_digest(tbl, msg, source, version) != source->digest)
			return 0;
	}
	return 1;
}

/* Replaces the rows of each source that is not newer than the sender's. */
static enum jj_status replace_sources(struct tbl *tbl, const Jj__Table *msg,
				      struct jj_error *err)
{
	struct tbl_row *rows = calloc(msg->n_rows + 1, sizeof(*rows));
	enum jj_status status = JJ_OK;
	size_t i;
	size_t j;

	if (!rows)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	for (i = 0; i < msg->n_sources && status == JJ_OK; i++) {
		struct tbl_update update;
		struct tbl_source source = { .name = msg->sources[i]->name,
					     .rows = rows,
					     .version =
						     msg->sources[i]->version,
					     .revision = msg->revision };

		for (j = 0; j < msg->n_rows; j++) {
			struct tbl_row *row = &rows[source.count];

			row_from_msg(row, msg->rows[j]);
			if (row->state != JJ__ROW_STATE__STATE_REMOVED &&
			    tbl_is_from(row, source.name))
				source.count++;
		}
		if (source.version >= tbl_held_version(tbl, source.name))
			status = tbl_replace_source(tbl, &source, &update, err);
	}
	free(rows);
	return status;
}

/*
 * Makes room for the rows of a message. Without it, only a complete table
 * shows which rows give way.
 */
static enum jj_status prepare_merge(struct tbl *tbl, const Jj__Table *msg,
				    uint32_t new_rows, struct jj_error *err)
{
	uint32_t reserved = tbl_reserved(tbl);
	uint32_t room = tbl_make_room(tbl, new_rows + reserved);

	if (!msg->complete && msg->n_sources && new_rows + reserved > room)
		return st_fail(err, JJ_INCOMPLETE, "%u new rows, room for %u",
			       new_rows, room);
	if (!msg->complete && !is_sufficient(tbl, msg))
		return st_fail(err, JJ_INCOMPLETE,
			       "the rows that changed do not give the "
			       "sender's table");
	if (!tbl_reserve(tbl, tbl->count + (new_rows < room ? new_rows : room)))
		return st_fail(err, JJ_SYSTEM, "out of memory");
	return JJ_OK;
}

enum jj_status tbl_merge(struct tbl *tbl, const Jj__Table *msg,
			 struct jj_error *err)
{
	int stale = msg->revision < tbl->revision;
	uint64_t *source_versions =
		calloc(msg->n_rows + 1, sizeof(*source_versions));
	uint32_t left_out;
	uint32_t new_rows;
	enum jj_status status;
	uint64_t hold;

	if (!source_versions)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	status = check_message(tbl, msg, source_versions, &new_rows, err);
	if (status == JJ_OK)
		status = prepare_merge(tbl, msg, new_rows, err);
	if (status != JJ_OK) {
		free(source_versions);
		return status;
	}
	hold = tbl_hold_revision(tbl, msg->revision);
	tbl_raise_revision(tbl, msg->revision);
	/* First, so that tombstones of these sources can give way. */
	record_versions(tbl, msg);
	left_out = merge_rows(tbl, msg, source_versions, hold);
	if (msg->complete)
		status = replace_sources(tbl, msg, err);
	/* Rows of the message's sources may have given way to others. */
	if (left_out && msg->complete)
		left_out = merge_rows(tbl, msg, source_versions, hold);
	free(source_versions);
	tbl_limit_removed(tbl);
	merge_changes(tbl, msg);
	if (stale)
		return st_fail(err, JJ_STALE,
			       "older than the current revision %s",
			       tbl_format_revision(tbl->revision).text);
	if (left_out && status == JJ_OK)
		return st_fail(err, JJ_FULL,
			       "%u rows are left out: the table may have %u",
			       left_out, tbl->capacity);
	return status;
}

int tbl_exceeds(const struct tbl *tbl, const Jj__Table *msg)
{
	uint32_t common = 0;
	struct tbl_row row;
	size_t i;

	for (i = 0; i < msg->n_rows; i++) {
		const struct tbl_row *held;

		row_from_msg(&row, msg->rows[i]);
		held = tbl_find_row(tbl, row.kind, row.name);
		if (!held)
			continue;
		if (supersedes(held, &row))
			return 1;
		common++;
	}
	return common < tbl->count;
}
