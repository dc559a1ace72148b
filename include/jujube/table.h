/*
 * table - the operators' table
 *
 * Rows of services, routes, data centres and targets, each with the table revision
 * that last changed it. The table's revision only rises: a row is replaced
 * only by one of a higher revision, so rows may arrive in any order and any
 * number of times, and two processes that heard the same changes hold the
 * same table. Removed rows stay as tombstones so that an older copy cannot
 * bring them back. A target without a row is in, with weight 100.
 *
 * Not thread safe; its owner has the lock.
 */
#ifndef JUJUBE_TABLE_H
#define JUJUBE_TABLE_H

#include "jujube/map.h"
#include "jujube/status.h"
#include "jujube.pb-c.h"

#define TBL_NAME_MAX 64 /* bytes with the final zero */
#define TBL_WHY_MAX 128
#define TBL_CAPACITY_DEFAULT 16384 /* default capacity */
#define TBL_CHANGES_MAX 256 /* accepted changes remembered */
#define TBL_WEIGHT_DEFAULT 100
#define TBL_WEIGHT_MAX 10000

struct tbl_row {
	Jj__Kind kind;
	char name[TBL_NAME_MAX];
	char service[TBL_NAME_MAX];
	char address[32];
	uint32_t weight;
	uint32_t slots;
	uint32_t max_flows;
	uint32_t cold_slots;
	uint32_t cold_per_ks;
	uint32_t flow_idle_ms;
	uint32_t target_latency_ms;
	Jj__RowState state;
	uint64_t revision;
	char who[TBL_NAME_MAX];
	uint64_t when;
	char why[TBL_WHY_MAX];
	char change_id[TBL_NAME_MAX];
};

struct tbl_change {
	char id[TBL_NAME_MAX];
	uint64_t revision;
	char who[TBL_NAME_MAX];
	uint64_t when;
	char why[TBL_WHY_MAX];
	char what[TBL_WHY_MAX];
};

struct tbl {
	struct tbl_row *rows;
	uint32_t count;
	uint32_t capacity;
	struct map index; /* hash of kind and name -> row */
	struct map_cell *cells;
	uint64_t revision;
	struct tbl_change changes[TBL_CHANGES_MAX]; /* newest last */
	uint32_t change_count;
};

/* Fields an edit sets; the others keep their value. */
enum tbl_field {
	TBL_SERVICE = 1 << 0,
	TBL_ADDRESS = 1 << 1,
	TBL_WEIGHT = 1 << 2,
	TBL_SLOTS = 1 << 3,
	TBL_MAX_FLOWS = 1 << 4,
	TBL_COLD_SLOTS = 1 << 5,
	TBL_STATE = 1 << 6,
};

#define TBL_ANY_REVISION UINT64_MAX

struct tbl_edit {
	struct tbl_row row; /* kind, name and the fields that are set */
	unsigned fields; /* enum tbl_field */
	uint64_t
		base_revision; /* row revision the operator saw, 0: no row yet */
};

/* A change: all its edits take hold in one revision, or none does. */
struct tbl_edits {
	struct tbl_edit *items;
	uint32_t count;
	char id[TBL_NAME_MAX]; /* makes retries idempotent */
	char who[TBL_NAME_MAX];
	char why[TBL_WHY_MAX];
	uint64_t when; /* unix seconds */
};

/* Room for capacity rows, 0: TBL_CAPACITY_DEFAULT. False: out of memory. */
int tbl_init(struct tbl *tbl, uint32_t capacity);
void tbl_finish(struct tbl *tbl);

/* Null when there is none; removed rows are found too. */
const struct tbl_row *tbl_find(const struct tbl *tbl, Jj__Kind kind,
			       const char *name);

/* Accepted change with this id, or null. */
const struct tbl_change *tbl_find_change(const struct tbl *tbl, const char *id);

/*
 * Takes over every row, and the changes, that msg has newer; the revision
 * becomes the higher one. Checks all of msg first: on an error nothing is
 * taken. JJ_STALE: msg is older as a whole (newer single rows are still
 * taken, see edit.h on a platform that was restored).
 */
enum jj_status tbl_merge(struct tbl *tbl, const Jj__Table *msg,
			 struct jj_error *err);

/*
 * Applies a change as revision tbl->revision + 1. JJ_CONFLICT when a row was
 * changed after its base (the message holds both versions), JJ_INVALID when a
 * row would break a rule; either way nothing is applied.
 */
enum jj_status tbl_apply(struct tbl *tbl, const struct tbl_edits *edits,
			 struct jj_error *err);

/*
 * Replaces what one source (an item that operators wrote elsewhere) stood for
 * by rows, as of revision: rows that differ are taken over, those of the
 * source that are not among them are removed. Rows that are held with a higher
 * revision stay. JJ_INVALID: a row breaks a rule, nothing was changed. A
 * source is remembered as the rows' change_id. Returns by *changed how many
 * rows were. The table's revision stays: see tbl_raise_revision().
 */
enum jj_status tbl_replace_source(struct tbl *tbl, const char *source,
				  const struct tbl_row *rows, uint32_t count,
				  uint64_t revision, uint32_t *changed,
				  struct jj_error *err);

/* Removes, as of revision, all rows of sources that are not named. */
uint32_t tbl_retain_sources(struct tbl *tbl, const char *const *sources,
			    uint32_t count, uint64_t revision);

/* All that happened up to revision is in the table; never lowers it. */
void tbl_raise_revision(struct tbl *tbl, uint64_t revision);

/* Copies all of from into tbl. Both must have the same capacity. */
void tbl_copy(struct tbl *tbl, const struct tbl *from);

/* Checks one row's fields by themselves. */
enum jj_status tbl_check_row(const struct tbl_row *row, struct jj_error *err);

/*
 * Packs the rows and changes newer than since (0: all) as a Jj__Table.
 * The result is on the heap; null: out of memory.
 */
uint8_t *tbl_pack(const struct tbl *tbl, uint64_t since, size_t *len);

/* Table as CSV, with a header line; on the heap. */
char *tbl_to_csv(const struct tbl *tbl);

/*
 * Reads edits from CSV as tbl_to_csv() writes it. A line whose fields still
 * match the hash in its version column was not touched and is left out; every
 * other line becomes one edit, with the version's revision as base. A deleted
 * line changes nothing: state "removed" removes a row. The error names the
 * line. On success items is on the heap and the caller frees it.
 */
enum jj_status tbl_edits_from_csv(const char *text, size_t len,
				  struct tbl_edits *edits,
				  struct jj_error *err);

/* Names as CSV and the command line use them; JJ_INVALID when unknown. */
const char *tbl_kind_name(Jj__Kind kind);
const char *tbl_state_name(Jj__RowState state);
enum jj_status tbl_parse_kind(const char *text, Jj__Kind *kind);
enum jj_status tbl_parse_state(const char *text, Jj__RowState *state);

/* Sets one field of an edit from text, by its CSV column name. */
enum jj_status tbl_edit_set(struct tbl_edit *edit, const char *column,
			    const char *text, struct jj_error *err);

/* Reads "ip:port" (IPv4, host byte order); JJ_INVALID on anything else. */
enum jj_status tbl_parse_address(const char *text, uint32_t *ip, uint16_t *port,
				 struct jj_error *err);

#endif
