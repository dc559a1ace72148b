/*
 * table - replicated configuration table
 *
 * Holds the rows for services, routes, data centres and targets. Each row
 * stores the table revision that last changed it. The table revision only
 * increases, and a row is only replaced by one with a higher revision. Rows
 * can therefore arrive in any order and more than once: two processes that
 * received the same changes hold the same table. Removed rows stay as
 * tombstones so that an older copy cannot restore them. A target without a
 * row has state "in" and weight 100.
 *
 * Memory follows the rows; capacity only bounds it. Rows of an external store
 * that operators number need no tombstones in the long run: the table records
 * the version that it has of each source, and rows of earlier versions are
 * recognized by it. Their tombstones are kept for flows that were opened on a
 * removed route, and so that members which are one version behind need only
 * the rows that changed: as many as there are rows in force, but at least
 * TBL_REMOVED_MIN, and fewer if the table is full.
 *
 * Rows of an external store are ordered by their version first, if operators
 * number what they write, since the store may be restored from an older copy:
 * its revisions go back and are given out again, and acknowledged changes are
 * missing until operators write them again. Revisions of such rows therefore
 * contain the store's era, which rises with each restore. Rows that the
 * restored store lacks, or has in an older version, are held: they get a
 * revision of the new era, so that processes which know only the restored
 * store learn of them.
 *
 * One sixteenth of the capacity is reserved for rows without a version, such
 * as evacuations. If a version has more rows than fit, the first ones in its
 * order are applied and the others left out.
 *
 * Not thread safe; callers must lock.
 */
#ifndef JUJUBE_TABLE_H
#define JUJUBE_TABLE_H

#include "jujube/map.h"
#include "jujube/status.h"
#include "jujube.pb-c.h"

#define TBL_NAME_MAX 64 /* bytes, including the terminating zero */
#define TBL_WHY_MAX 128
#define TBL_CAPACITY_DEFAULT 32768 /* rows */
#define TBL_REMOVED_MIN 4096 /* tombstones of numbered sources that may stay */
#define TBL_SOURCES_MAX 16 /* numbered sources that the table records */
#define TBL_CHANGES_MAX 256 /* most recent accepted changes that are kept */
#define TBL_WEIGHT_DEFAULT 100 /* percent */
#define TBL_WEIGHT_MAX 10000
#define TBL_MAX_FLOWS_MAX 10000000 /* largest max_flows */
/* An hour: longer than any caller waits, and in microseconds within 32 bits. */
#define TBL_TERM_MS_MAX 3600000 /* largest target latency and deadline */
#define TBL_PRIORITY_MAX 255 /* lowest priority; it is kept in one byte */

/* One row; message Row in proto/jujube.proto describes the fields. */
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
	uint32_t deadline_ms;
	uint32_t priority;
	Jj__Idempotence idempotent;
	Jj__RowState state;
	uint64_t revision;
	uint64_t version; /* of the item that the row comes from, 0: none */
	char who[TBL_NAME_MAX];
	uint64_t when;
	char why[TBL_WHY_MAX];
	char change_id[TBL_NAME_MAX];
};

/* One accepted change, kept as an audit log; see message Change. */
struct tbl_change {
	char id[TBL_NAME_MAX];
	uint64_t revision;
	char who[TBL_NAME_MAX];
	uint64_t when;
	char why[TBL_WHY_MAX];
	char what[TBL_WHY_MAX];
};

/* The version of a source that all of its rows are up to date with. */
struct tbl_version {
	char source[TBL_NAME_MAX];
	uint64_t version;
	uint64_t revision; /* at which peers learn of it */
	uint32_t left_out; /* its rows that did not fit, when it was read */
};

struct tbl {
	struct tbl_row *rows;
	uint32_t count;
	uint32_t allocated; /* rows for which there is memory */
	uint32_t capacity; /* most rows that the table may have */
	struct map index; /* hash of kind and name -> position in rows */
	struct map_cell *cells;
	uint64_t revision;
	struct tbl_version versions[TBL_SOURCES_MAX];
	uint32_t version_count;
	/* Sorted by revision, newest last. */
	struct tbl_change changes[TBL_CHANGES_MAX];
	uint32_t change_count;
};

/* Flags for the fields that an edit sets; other fields are unchanged. */
enum tbl_field {
	TBL_SERVICE = 1 << 0,
	TBL_ADDRESS = 1 << 1,
	TBL_WEIGHT = 1 << 2,
	TBL_SLOTS = 1 << 3,
	TBL_MAX_FLOWS = 1 << 4,
	TBL_COLD_SLOTS = 1 << 5,
	TBL_STATE = 1 << 6,
	TBL_TARGET_LATENCY = 1 << 7,
	TBL_DEADLINE = 1 << 8,
	TBL_PRIORITY = 1 << 9,
	TBL_IDEMPOTENT = 1 << 10,
};

/* As base_revision: apply the edit whatever the row's revision is. */
#define TBL_ANY_REVISION UINT64_MAX
#define TBL_REVISION_MAX INT64_MAX /* of a table; JSON has no larger integers */

/* A new row, or new values for some fields of a row. */
struct tbl_edit {
	struct tbl_row row; /* kind, name and the fields that are set */
	unsigned fields; /* enum tbl_field */
	uint64_t base_revision; /* expected row revision, 0: row is new */
};

/* One change: its edits are applied atomically, as one table revision. */
struct tbl_edits {
	struct tbl_edit *items;
	uint32_t count;
	char id[TBL_NAME_MAX]; /* makes retries idempotent */
	char who[TBL_NAME_MAX];
	char why[TBL_WHY_MAX];
	uint64_t when; /* unix seconds */
};

/*
 * Initializes an empty table that may grow to capacity rows, 0:
 * TBL_CAPACITY_DEFAULT. Returns 0 when out of memory.
 */
int tbl_init(struct tbl *tbl, uint32_t capacity);
void tbl_finish(struct tbl *tbl);

/* Returns null if there is no such row. Also finds removed rows. */
const struct tbl_row *tbl_find(const struct tbl *tbl, Jj__Kind kind,
			       const char *name);

/* Number of rows that were removed and are kept as tombstones. */
uint32_t tbl_count_removed(const struct tbl *tbl);

/* Number of rows that operators wrote and that did not fit. */
uint32_t tbl_count_left_out(const struct tbl *tbl);

/* Returns the accepted change with this id, or null. */
const struct tbl_change *tbl_find_change(const struct tbl *tbl, const char *id);

/*
 * Merges msg into the table: copies every row that is newer in msg and adds
 * its changes. The table revision becomes the higher of the two. All of msg is
 * validated first; on JJ_INVALID or JJ_SYSTEM nothing is changed. JJ_FULL: new
 * rows did not fit and were left out, all others were merged. JJ_STALE means
 * that the revision of msg is lower than the table's. Individual rows that are
 * newer are still merged in this case, see edit.h on a platform that was
 * restored from a backup.
 *
 * JJ_INCOMPLETE: msg holds only rows newer than some revision, and the result
 * would differ from the sender's table in a source whose version the table does
 * not exceed. A sender that did not see each version of a source cannot tell
 * which rows a version that it missed added or changed. Nothing is changed; the
 * caller requests a complete table.
 */
enum jj_status tbl_merge(struct tbl *tbl, const Jj__Table *msg,
			 struct jj_error *err);

/* Whether the table has a row that msg lacks, or has in an older version. */
int tbl_exceeds(const struct tbl *tbl, const Jj__Table *msg);

/*
 * Applies a change as revision tbl->revision + 1. Returns JJ_CONFLICT if a
 * row's revision differs from its base_revision (the error message shows both
 * versions), JJ_INVALID if a resulting row is invalid, or JJ_FULL. In these
 * cases nothing is applied.
 */
enum jj_status tbl_apply(struct tbl *tbl, const struct tbl_edits *edits,
			 struct jj_error *err);

/*
 * Revision of a row or table for a revision of an external store. era must be
 * below 65,535, store_revision below 2^40.
 */
uint64_t tbl_compose_revision(uint64_t era, uint64_t store_revision);

/* Text of a revision: "ERA.REVISION" if it is of an external store. */
struct tbl_revision_text {
	char text[48];
};
struct tbl_revision_text tbl_format_revision(uint64_t revision);

/* An item that operators wrote to an external store. */
struct tbl_source {
	const char *name; /* stored in the rows' change_id */
	struct tbl_row *rows;
	uint32_t count;
	uint64_t version; /* operators' number of it, 0: none, or removed */
	uint64_t revision; /* see tbl_compose_revision() */
};

/* Number of rows by what an update from a source did to them. */
struct tbl_update {
	uint32_t changed;
	uint32_t ignored; /* differ, but the table's row is newer */
	uint32_t held; /* not, or no longer, in the restored store */
	uint32_t left_out; /* did not fit */
};

/*
 * Replaces all rows that come from one source. Rows that differ are copied;
 * rows of this source that are missing from the list are removed. Rows of the
 * same version with the same or a higher revision are unchanged. If the table
 * has rows of a higher version, the source is outdated: nothing is replaced,
 * and rows that a restored store has lost are held. JJ_INVALID, JJ_SYSTEM: a
 * row is invalid, or out of memory, and nothing was changed. JJ_FULL: rows did
 * not fit; the first ones of the source were applied, and update->left_out is
 * set. Raises the table's revision only for held rows, see
 * tbl_raise_revision().
 */
enum jj_status tbl_replace_source(struct tbl *tbl,
				  const struct tbl_source *source,
				  struct tbl_update *update,
				  struct jj_error *err);

/*
 * Removes, as of revision, all rows whose source is not in sources. hold:
 * rows from an earlier era of the store are held instead.
 */
void tbl_retain_sources(struct tbl *tbl, const char *const *sources,
			uint32_t count, uint64_t revision, int hold,
			struct tbl_update *update);

/*
 * Sets the table's revision once all changes up to it were applied. A lower
 * revision is ignored.
 */
void tbl_raise_revision(struct tbl *tbl, uint64_t revision);

/* Copies from into tbl; returns 0, and leaves tbl as it was, without memory. */
int tbl_copy(struct tbl *tbl, const struct tbl *from);

/*
 * Validates the terms of a route: target_latency_ms, deadline_ms, priority and
 * idempotent. In rows that are not routes none may be set.
 */
enum jj_status tbl_check_terms(const struct tbl_row *row, struct jj_error *err);

/* Validates the fields of one row, without regard to other rows. */
enum jj_status tbl_check_row(const struct tbl_row *row, struct jj_error *err);

/*
 * Serializes the rows and changes newer than revision since (0: all) as a
 * Jj__Table. The caller frees the result; null: out of memory.
 */
uint8_t *tbl_pack(const struct tbl *tbl, uint64_t since, size_t *len);

/*
 * Returns the table as CSV with a header line, without removed rows. The
 * caller frees the result; null: out of memory.
 */
char *tbl_to_csv(const struct tbl *tbl);

/*
 * Parses edits from CSV as written by tbl_to_csv(). A line whose fields still
 * match the hash in its version column is unmodified and skipped. Every other
 * line becomes one edit, with the revision in its version column as
 * base_revision. Deleting a line has no effect; to remove a row, set its state
 * to "removed". An empty cell leaves the row's value unchanged, except that in
 * the columns of routes' terms it means that the term is not set. Errors name
 * the line. On success the caller frees edits->items.
 */
enum jj_status tbl_edits_from_csv(const char *text, size_t len,
				  struct tbl_edits *edits,
				  struct jj_error *err);

/*
 * Names as used in CSV and on the command line. The parse functions return
 * JJ_INVALID for unknown names.
 */
const char *tbl_kind_name(Jj__Kind kind);
const char *tbl_state_name(Jj__RowState state);
const char *tbl_idempotence_name(Jj__Idempotence idempotent);
enum jj_status tbl_parse_kind(const char *text, Jj__Kind *kind);
enum jj_status tbl_parse_state(const char *text, Jj__RowState *state);
enum jj_status tbl_parse_idempotence(const char *text,
				     Jj__Idempotence *idempotent);

/* Parses text and sets the field with this CSV column name. */
enum jj_status tbl_edit_set(struct tbl_edit *edit, const char *column,
			    const char *text, struct jj_error *err);

/* Parses "ip:port" (IPv4, host byte order); else returns JJ_INVALID. */
enum jj_status tbl_parse_address(const char *text, uint32_t *ip, uint16_t *port,
				 struct jj_error *err);

#endif
