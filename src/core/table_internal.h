/*
 * table_internal - functions shared by the source files of table
 *
 * table.c         rows, checks, operators' changes
 * table_merge.c   exchange of tables between processes
 * table_source.c  rows that come from an external store, see table.h
 */
#ifndef TABLE_INTERNAL_H
#define TABLE_INTERNAL_H

#include "jujube/table.h"

/* -- table.c -- */
/* Null: no such row. */
struct tbl_row *tbl_find_row(const struct tbl *tbl, Jj__Kind kind,
			     const char *name);
/* Whether there is such a row that was not removed. */
int tbl_is_in_force(const struct tbl *tbl, Jj__Kind kind, const char *name);
/*
 * Finds the row, or adds it with defaults; null: the table is full, or out of
 * memory. May move the rows.
 */
struct tbl_row *tbl_find_or_add_row(struct tbl *tbl, Jj__Kind kind,
				    const char *name);

/* Rows of the capacity that numbered sources leave to others. */
static inline uint32_t tbl_reserved(const struct tbl *tbl)
{
	return tbl->capacity / 16;
}
/* Allocates memory for count rows; 0: out of memory. May move the rows. */
int tbl_reserve(struct tbl *tbl, uint32_t count);
/* Drops the oldest tombstones of numbered sources, at most "drop" of them. */
void tbl_drop_removed(struct tbl *tbl, uint32_t drop);
/* Drops those that are more than table.h says. */
void tbl_limit_removed(struct tbl *tbl);
/*
 * Drops tombstones if count more rows would not fit. Returns the number of
 * rows that fit.
 */
uint32_t tbl_make_room(struct tbl *tbl, uint32_t count);

/* -- table_merge.c -- */
/* Inserts a change, sorted by revision; drops the oldest one when full. */
void tbl_store_change(struct tbl *tbl, const struct tbl_change *change);

/* -- table_source.c -- */
int tbl_is_from(const struct tbl_row *row, const char *source);
/* The version that the table has of a source; null: not recorded. */
struct tbl_version *tbl_find_version(const struct tbl *tbl, const char *source);
/* Records a version unless it is lower; revision as in struct tbl_version. */
void tbl_record_version(struct tbl *tbl, const char *source, uint64_t version,
			uint64_t revision);
/* The version recorded, else the highest of the rows of the source. */
uint64_t tbl_held_version(const struct tbl *tbl, const char *source);
/*
 * Revision for rows that a restored store has lost: above the table's, so that
 * peers which have read the store since pull them.
 */
uint64_t tbl_hold_revision(const struct tbl *tbl, uint64_t store_revision);
void tbl_hold_row(struct tbl *tbl, struct tbl_row *row, uint64_t revision);
/* Digest of a row's content; 0 if it is removed. */
uint64_t tbl_row_digest(const struct tbl_row *row);
/* Combined digest of the rows of a source, whatever their order. */
uint64_t tbl_source_digest(const struct tbl *tbl, const char *source);

#endif
