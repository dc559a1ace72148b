/*
 * edit - one change of the table, carried through against the platform
 *
 * A state machine without input or output. The caller performs the action it
 * asks for (read the value, or compare-and-swap it) and reports what came of
 * it, until the action is EDT_DONE. The change is settled by evidence only:
 *
 *  - A swap that answered "done" is accepted; one that answered "index
 *    differs" is retried on a fresh read.
 *  - A swap without an answer may have taken effect, or may yet. Its index is
 *    remembered. A read that shows the change's id settles it as accepted; a
 *    read with a higher index and without the id proves that it never can take
 *    effect; any other read proves nothing, so the same change is swapped
 *    again, where only one of the two can win.
 *  - When the change has to be turned down while such a swap is outstanding,
 *    the table is first swapped without the change, which moves the index.
 *  - Hence EDT_CONFLICT and EDT_REFUSED are reported only when no swap of the
 *    change can still take effect.
 *
 * When the platform holds an older table than the process (it was restored),
 * the rows it lacks are put back in the same swap.
 */
#ifndef JUJUBE_EDIT_H
#define JUJUBE_EDIT_H

#include "jujube/table.h"

enum edt_action { EDT_READ, EDT_SWAP, EDT_DONE };

enum edt_outcome {
	EDT_PENDING,
	EDT_ACCEPTED, /* in the platform, as revision */
	EDT_CONFLICT, /* message holds both versions */
	EDT_REFUSED, /* message holds the reason */
	EDT_UNCHANGED, /* restore only: nothing was missing */
};

enum edt_read { EDT_READ_VALUE, EDT_READ_ABSENT, EDT_READ_FAILED };
enum edt_swap { EDT_SWAP_DONE, EDT_SWAP_MISMATCH, EDT_SWAP_UNKNOWN };

struct edt {
	const struct tbl_edits *edits; /* null: restore older platform only */
	struct tbl *candidate; /* scratch table, owned by the caller */
	enum edt_action action;
	enum edt_outcome outcome;
	enum edt_outcome
		pending_outcome; /* outcome once the pending swap is done */
	uint64_t revision; /* of the accepted change */
	uint64_t index; /* platform index to swap at, 0: key absent */
	uint64_t unknown_index; /* of a swap without an answer */
	int has_unknown;
	int restored; /* rows were put back into an older platform table */
	uint32_t failures; /* reads and swaps without an answer, in a row */
	struct jj_error error;
};

/* Starts a change. edits and work must outlive it. */
void edt_init(struct edt *edt, const struct tbl_edits *edits, struct tbl *work);

/*
 * Result of a read. value and index matter for EDT_READ_VALUE; known is the
 * table this process holds. After it the action is EDT_SWAP (the new value
 * is in work), EDT_READ (again, later) or EDT_DONE.
 */
void edt_on_read(struct edt *edt, enum edt_read result, uint64_t index,
		 const Jj__Table *value, const struct tbl *known);

/* Result of a swap at edt->index. */
void edt_on_swap(struct edt *edt, enum edt_swap result);

/* Whether a swap without an answer is outstanding. */
int edt_swap_outstanding(const struct edt *edt);

#endif
