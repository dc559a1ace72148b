/*
 * edit - commits one change of the table to the platform
 *
 * A state machine that does no I/O itself. The caller performs the requested
 * action (read the value, or compare-and-swap it) and reports the result,
 * until the action is EDT_DONE. The outcome of a change is derived only from
 * replies of the platform:
 *
 *  - A successful swap: the change is accepted. A swap that failed because the
 *    index differs is retried after a new read.
 *  - A swap without a reply may have taken effect, or may do so later. Its
 *    index is stored. If a later read contains the id of the change, it was
 *    accepted. If a later read has a higher index and doesn't contain the id,
 *    the swap can no longer take effect. Any other read is inconclusive, so
 *    the same change is swapped again; at most one of the two swaps succeeds.
 *  - If the change must be rejected while such a swap is outstanding, the
 *    table is first swapped without the change, which raises the index.
 *  - EDT_CONFLICT and EDT_REFUSED are thus only reported when no swap of the
 *    change can take effect any more.
 *
 * If the platform's table lacks rows of this process's, or has them in an older
 * version (it was restored from a backup), the same swap writes them back.
 */
#ifndef JUJUBE_EDIT_H
#define JUJUBE_EDIT_H

#include "jujube/table.h"

/* What the caller must do next. */
enum edt_action { EDT_READ, EDT_SWAP, EDT_DONE };

enum edt_outcome {
	EDT_PENDING,
	EDT_ACCEPTED, /* stored on the platform, as edt.revision */
	EDT_CONFLICT, /* edt.error shows both versions */
	EDT_REFUSED, /* edt.error holds the reason */
	EDT_UNCHANGED, /* restore only: the platform has all rows */
};

enum edt_read { EDT_READ_VALUE, EDT_READ_ABSENT, EDT_READ_FAILED };
enum edt_swap { EDT_SWAP_DONE, EDT_SWAP_MISMATCH, EDT_SWAP_UNKNOWN };

struct edt {
	const struct tbl_edits *edits; /* null: only restore missing rows */
	struct tbl *candidate; /* table to swap in, owned by the caller */
	enum edt_action action;
	enum edt_outcome outcome;
	enum edt_outcome pending_outcome; /* outcome if the swap succeeds */
	uint64_t revision; /* of the accepted change */
	uint64_t index; /* expected platform index, 0: no such key */
	uint64_t unknown_index; /* index of the swap without a reply */
	int has_unknown; /* unknown_index is set */
	int restored; /* the swap writes back rows the platform lost */
	uint32_t failures; /* consecutive reads and swaps without a reply */
	struct jj_error error;
};

/* Starts a change. edits and candidate must outlive edt. */
void edt_init(struct edt *edt, const struct tbl_edits *edits,
	      struct tbl *candidate);

/*
 * Handles the result of a read. value and index are only used for
 * EDT_READ_VALUE; known is this process's table. Afterwards the action is
 * EDT_SWAP (edt->candidate holds the new value), EDT_READ (retry later) or
 * EDT_DONE.
 */
void edt_on_read(struct edt *edt, enum edt_read result, uint64_t index,
		 const Jj__Table *value, const struct tbl *known);

/* Handles the result of a swap at edt->index. */
void edt_on_swap(struct edt *edt, enum edt_swap result);

/* True if a swap without a reply may still take effect. */
int edt_swap_outstanding(const struct edt *edt);

#endif
