/* Rows that come from an external store. */
#include "table_internal.h"

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

int tbl_is_from(const struct tbl_row *row, const char *source)
{
	return !strncmp(row->change_id, source, sizeof(row->change_id) - 1);
}

struct tbl_version *tbl_find_version(const struct tbl *tbl, const char *source)
{
	uint32_t i;

	for (i = 0; i < tbl->version_count; i++)
		if (!strncmp(tbl->versions[i].source, source, TBL_NAME_MAX - 1))
			return (struct tbl_version *)&tbl->versions[i];
	return NULL;
}

void tbl_record_version(struct tbl *tbl, const char *source, uint64_t version,
			uint64_t revision)
{
	struct tbl_version *recorded = tbl_find_version(tbl, source);

	if (!recorded && version && tbl->version_count < TBL_SOURCES_MAX) {
		recorded = &tbl->versions[tbl->version_count++];
		*recorded = (struct tbl_version){ 0 };
		snprintf(recorded->source, sizeof(recorded->source), "%s",
			 source);
	}
	if (!recorded || version <= recorded->version)
		return;
	recorded->version = version;
	recorded->revision = revision;
	recorded->left_out = 0;
}

uint64_t tbl_held_version(const struct tbl *tbl, const char *source)
{
	const struct tbl_version *recorded = tbl_find_version(tbl, source);
	uint64_t version = 0;
	uint32_t i;

	if (recorded)
		return recorded->version;
	assert(tbl->rows || !tbl->count);
	for (i = 0; i < tbl->count; i++)
		if (tbl_is_from(&tbl->rows[i], source) &&
		    tbl->rows[i].version > version)
			version = tbl->rows[i].version;
	return version;
}

uint64_t tbl_hold_revision(const struct tbl *tbl, uint64_t store_revision)
{
	return (tbl->revision > store_revision ? tbl->revision :
						 store_revision) +
	       1;
}

void tbl_hold_row(struct tbl *tbl, struct tbl_row *row, uint64_t revision)
{
	row->revision = revision;
	tbl_raise_revision(tbl, revision);
}

/* The fields of a row that has_same_content() compares, and its name. */
struct row_content {
	char name[TBL_NAME_MAX];
	char service[TBL_NAME_MAX];
	char address[32];
	uint32_t kind;
	uint32_t weight;
	uint32_t slots;
	uint32_t max_flows;
	uint32_t cold_slots;
	uint32_t cold_per_ks;
	uint32_t flow_idle_ms;
	uint32_t target_latency_ms;
	uint32_t state;
};

uint64_t tbl_row_digest(const struct tbl_row *row)
{
	struct row_content content = {
		.kind = (uint32_t)row->kind,
		.weight = row->weight,
		.slots = row->slots,
		.max_flows = row->max_flows,
		.cold_slots = row->cold_slots,
		.cold_per_ks = row->cold_per_ks,
		.flow_idle_ms = row->flow_idle_ms,
		.target_latency_ms = row->target_latency_ms,
		.state = (uint32_t)row->state,
	};
	/* The name keeps equal terms of two rows from cancelling out. */
	uint64_t terms[] = { rnk_name_id(row->name), row->deadline_ms,
			     row->priority, row->idempotent };
	uint64_t terms_digest = 0;

	if (row->state == JJ__ROW_STATE__STATE_REMOVED)
		return 0;
	/* Equal to that of a process without these columns if they are not set. */
	if (row->deadline_ms || row->priority || row->idempotent)
		terms_digest = rnk_hash(terms, sizeof(terms));
	/* All bytes after the strings stay zero. */
	snprintf(content.name, sizeof(content.name), "%s", row->name);
	snprintf(content.service, sizeof(content.service), "%s", row->service);
	snprintf(content.address, sizeof(content.address), "%s", row->address);
	return rnk_hash(&content, sizeof(content)) ^ terms_digest;
}

uint64_t tbl_source_digest(const struct tbl *tbl, const char *source)
{
	uint64_t digest = 0;
	uint32_t i;

	for (i = 0; i < tbl->count; i++)
		if (tbl_is_from(&tbl->rows[i], source))
			digest ^= tbl_row_digest(&tbl->rows[i]);
	return digest;
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
	       a->deadline_ms == b->deadline_ms && a->priority == b->priority &&
	       a->idempotent == b->idempotent && a->state == b->state &&
	       !strcmp(a->change_id, b->change_id);
}

static enum jj_status check_rows(const struct tbl_source *source,
				 struct jj_error *err)
{
	uint32_t i;

	for (i = 0; i < source->count; i++)
		if (tbl_check_row(&source->rows[i], err) != JJ_OK)
			return JJ_INVALID;
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
	struct tbl_version *recorded = tbl_find_version(tbl, source->name);
	uint64_t hold = tbl_hold_revision(tbl, source->revision);
	uint32_t i;

	/* The newer version may have only removed rows. */
	if (recorded && recorded->revision < source->revision) {
		recorded->revision = hold;
		tbl_raise_revision(tbl, hold);
	}
	for (i = 0; i < tbl->count; i++) {
		struct tbl_row *row = &tbl->rows[i];

		if (!tbl_is_from(row, source->name) ||
		    row->version <= source->version)
			continue;
		update->ignored++;
		if (row->revision >= source->revision)
			continue;
		tbl_hold_row(tbl, row, hold);
		update->held++;
	}
}

/* Removes the rows of the source that its first count rows do not contain. */
static enum jj_status remove_rows(struct tbl *tbl,
				  const struct tbl_source *source,
				  uint32_t count, uint64_t version,
				  struct tbl_update *update)
{
	uint8_t *in_source = calloc(tbl->count + 1, 1);
	uint32_t i;

	if (!in_source)
		return JJ_SYSTEM;
	for (i = 0; i < count; i++) {
		struct tbl_row *at = tbl_find_row(tbl, source->rows[i].kind,
						  source->rows[i].name);

		if (at)
			in_source[at - tbl->rows] = 1;
	}
	for (i = 0; i < tbl->count; i++)
		if (!in_source[i] && tbl_is_from(&tbl->rows[i], source->name))
			remove_row(tbl, &tbl->rows[i], version,
				   source->revision, update);
	free(in_source);
	return JJ_OK;
}

/* Copies the first count rows of the source that differ. */
static void copy_rows(struct tbl *tbl, const struct tbl_source *source,
		      uint32_t count, uint64_t version,
		      struct tbl_update *update)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct tbl_row row = source->rows[i];
		struct tbl_row *at =
			tbl_find_or_add_row(tbl, row.kind, row.name);

		if (!at) {
			update->left_out++;
			continue;
		}
		snprintf(row.change_id, sizeof(row.change_id), "%s",
			 source->name);
		row.version = version;
		row.revision = source->revision;
		if (!has_same_content(&row, at))
			replace_row(tbl, at, &row, update);
	}
}

/* Number of the first rows of the source that fit, at most source->count. */
static uint32_t count_fitting(const struct tbl *tbl,
			      const struct tbl_source *source)
{
	uint32_t reserved = source->version ? tbl_reserved(tbl) : 0;
	uint32_t others = 0;
	uint32_t i;

	/* Removed rows of numbered sources give way. */
	for (i = 0; i < tbl->count; i++)
		others += !tbl_is_from(&tbl->rows[i], source->name) &&
			  (tbl->rows[i].state != JJ__ROW_STATE__STATE_REMOVED ||
			   !tbl->rows[i].version);
	if (others < reserved)
		others = reserved;
	if (others >= tbl->capacity)
		return 0;
	return source->count < tbl->capacity - others ? source->count :
							tbl->capacity - others;
}

enum jj_status tbl_replace_source(struct tbl *tbl,
				  const struct tbl_source *source,
				  struct tbl_update *update,
				  struct jj_error *err)
{
	uint64_t held = tbl_held_version(tbl, source->name);
	int removed = !source->version && !source->count;
	uint64_t version = removed ? held : source->version;
	struct tbl_version *recorded;
	uint32_t new_rows = 0;
	uint32_t fitting;
	uint32_t most;
	uint32_t i;

	*update = (struct tbl_update){ 0 };
	if (check_rows(source, err) != JJ_OK)
		return JJ_INVALID;
	if (version < held) {
		hold_newer_rows(tbl, source, update);
		return JJ_OK;
	}
	fitting = count_fitting(tbl, source);
	for (i = 0; i < fitting; i++)
		new_rows += !tbl_is_in_force(tbl, source->rows[i].kind,
					     source->rows[i].name);
	most = tbl->count + new_rows < tbl->capacity ? tbl->count + new_rows :
						       tbl->capacity;
	if (!tbl_reserve(tbl, most) ||
	    remove_rows(tbl, source, fitting, version, update) != JJ_OK)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	tbl_record_version(tbl, source->name, version, source->revision);
	tbl_make_room(tbl, new_rows);
	update->left_out = source->count - fitting;
	copy_rows(tbl, source, fitting, version, update);
	tbl_limit_removed(tbl);
	recorded = tbl_find_version(tbl, source->name);
	if (recorded)
		recorded->left_out = update->left_out;
	if (update->left_out)
		return st_fail(err, JJ_FULL,
			       "%u of %u rows are left out: the table may "
			       "have %u",
			       update->left_out, source->count, tbl->capacity);
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
		revision = tbl_hold_revision(tbl, revision);
		tbl_raise_revision(tbl, revision);
	}
	remove_row(tbl, row, row->version, revision, update);
}

void tbl_retain_sources(struct tbl *tbl, const char *const *sources,
			uint32_t count, uint64_t revision, int hold,
			struct tbl_update *update)
{
	uint64_t held_at = tbl_hold_revision(tbl, revision);
	uint32_t i;

	*update = (struct tbl_update){ 0 };
	for (i = 0; i < tbl->count; i++) {
		struct tbl_row *row = &tbl->rows[i];
		uint32_t j = 0;

		while (j < count && !tbl_is_from(row, sources[j]))
			j++;
		if (j < count || row->state == JJ__ROW_STATE__STATE_REMOVED)
			continue;
		if (!hold || !may_be_lost(row, revision)) {
			remove_missing_row(tbl, row, revision, update);
			continue;
		}
		update->held++;
		if (!(row->revision & TBL_HOLD_MASK))
			tbl_hold_row(tbl, row, held_at);
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
