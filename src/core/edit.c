#include "jujube/edit.h"

#include <string.h>

void edt_init(struct edt *edt, const struct tbl_edits *edits,
	      struct tbl *candidate)
{
	memset(edt, 0, sizeof(*edt));
	edt->edits = edits;
	edt->candidate = candidate;
	edt->action = EDT_READ;
}

int edt_swap_outstanding(const struct edt *edt)
{
	return edt->action != EDT_DONE && edt->has_unknown;
}

static void finish(struct edt *edt, enum edt_outcome outcome)
{
	edt->action = EDT_DONE;
	edt->outcome = outcome;
}

/* Reads again after a read or a swap without a reply. */
static void retry_read(struct edt *edt)
{
	edt->action = EDT_READ;
	edt->failures++;
}

/*
 * True if the platform's value has all that this process's table has. Its
 * revision alone does not tell: a platform that was restored from a backup may
 * have given out revisions again.
 */
static int is_up_to_date(const Jj__Table *value, const struct tbl *known)
{
	return value && value->revision >= known->revision &&
	       !tbl_exceeds(known, value);
}

/*
 * Merges the platform's table and this process's own into candidate. If the
 * platform's lacks rows, the result gets a revision above both, since it may
 * differ from either.
 */
static enum jj_status load_candidate(struct edt *edt, const Jj__Table *value,
				     const struct tbl *known)
{
	enum jj_status status = JJ_OK;

	if (!tbl_copy(edt->candidate, known))
		return st_fail(&edt->error, JJ_SYSTEM, "out of memory");
	if (value)
		status = tbl_merge(edt->candidate, value, &edt->error);
	edt->restored = !is_up_to_date(value, known) && known->revision > 0;
	if (status != JJ_OK && status != JJ_STALE)
		return status;
	if (edt->restored)
		edt->candidate->revision++;
	return JJ_OK;
}

/* Chooses the next action once candidate holds the merged table. */
static void plan_next_action(struct edt *edt)
{
	const struct tbl_change *accepted = NULL;
	enum jj_status status;

	edt->pending_outcome = EDT_ACCEPTED;
	if (!edt->edits) {
		if (edt->restored)
			edt->action = EDT_SWAP;
		else
			finish(edt, EDT_UNCHANGED);
		return;
	}
	accepted = tbl_find_change(edt->candidate, edt->edits->id);
	if (accepted && !edt->restored) {
		edt->revision = accepted->revision;
		finish(edt, EDT_ACCEPTED);
		return;
	}
	if (accepted) { /* accepted, then lost by the platform: write again */
		edt->revision = accepted->revision;
		edt->action = EDT_SWAP;
		return;
	}
	status = tbl_apply(edt->candidate, edt->edits, &edt->error);
	if (status == JJ_OK) {
		edt->revision = edt->candidate->revision;
		edt->action = EDT_SWAP;
		return;
	}
	edt->pending_outcome =
		status == JJ_CONFLICT ? EDT_CONFLICT : EDT_REFUSED;
	if (!edt->has_unknown) {
		finish(edt, edt->pending_outcome);
		return;
	}
	/* Raise the index first, so that the outstanding swap can't succeed. */
	edt->candidate->revision++;
	edt->action = EDT_SWAP;
}

void edt_on_read(struct edt *edt, enum edt_read result, uint64_t index,
		 const Jj__Table *value, const struct tbl *known)
{
	if (result == EDT_READ_FAILED) {
		retry_read(edt);
		return;
	}
	edt->failures = 0;
	if (result == EDT_READ_ABSENT) {
		value = NULL;
		index = 0;
	}
	/*
	 * Only a higher index proves that the swap without a reply can't take
	 * effect any more. At the same index the retry below competes with it,
	 * and at most one of them succeeds. A lower index is an outdated read.
	 */
	if (edt->has_unknown && index > edt->unknown_index)
		edt->has_unknown = 0;
	edt->index = index;
	if (load_candidate(edt, value, known) != JJ_OK) {
		finish(edt, EDT_REFUSED);
		return;
	}
	plan_next_action(edt);
}

void edt_on_swap(struct edt *edt, enum edt_swap result)
{
	switch (result) {
	case EDT_SWAP_DONE:
		finish(edt, edt->pending_outcome);
		return;
	case EDT_SWAP_UNKNOWN:
		edt->unknown_index = edt->index;
		edt->has_unknown = 1;
		retry_read(edt);
		return;
	case EDT_SWAP_MISMATCH:
		edt->action = EDT_READ;
		return;
	}
}
