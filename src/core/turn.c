#include "jujube/turn.h"

#include <string.h>
#include "jujube/rank.h"

#define CENTRES_MAX 64 /* data centres that get turns of their own */

/* Data centres of live members. */
struct centres {
	uint64_t ids[CENTRES_MAX]; /* of their names */
	uint32_t sizes[CENTRES_MAX]; /* numbers of their live members */
	uint32_t count;
};

static void count_member(struct centres *centres, uint64_t centre)
{
	uint32_t at = 0;

	while (at < centres->count && centres->ids[at] != centre)
		at++;
	if (at == CENTRES_MAX)
		return;
	if (at == centres->count) {
		centres->ids[centres->count++] = centre;
		centres->sizes[at] = 0;
	}
	centres->sizes[at]++;
}

/* Data centres with an id below limit and more than rank members. */
static uint32_t count_centres(const struct centres *centres, uint32_t rank,
			      uint64_t limit)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < centres->count; i++)
		count += centres->ids[i] < limit && centres->sizes[i] > rank;
	return count;
}

int trn_find(const struct mbr *mbr, uint32_t per_data_centre, struct trn *trn)
{
	const struct mbr_member *self = &mbr->members[0];
	uint64_t own = rnk_hash(&self->id, sizeof(self->id));
	struct centres centres = { .count = 0 };
	uint32_t ahead = 0;
	uint32_t rank;
	uint32_t i;

	for (i = 0; i < mbr->count; i++) {
		const struct mbr_member *member = &mbr->members[i];

		if (!mbr_live(member))
			continue;
		count_member(&centres, rnk_name_id(member->data_centre));
		ahead += i && !strcmp(member->data_centre, self->data_centre) &&
			 rnk_hash(&member->id, sizeof(member->id)) < own;
	}
	*trn = (struct trn){ .turn = 0 };
	if (ahead >= per_data_centre)
		return 0;
	/* By rank first, so that turns of one data centre are far apart. */
	for (rank = 0; rank < per_data_centre; rank++) {
		if (rank == ahead)
			trn->turn =
				trn->turns +
				count_centres(&centres, rank,
					      rnk_name_id(self->data_centre));
		trn->turns += count_centres(&centres, rank, UINT64_MAX);
	}
	return 1;
}

uint32_t trn_wait_ms(const struct trn *trn, uint32_t slot_ms,
		     uint32_t cycle_max_ms, uint64_t wall_ms)
{
	uint32_t turns = trn->turns > 1 ? trn->turns : 2;
	uint32_t cycle = turns <= cycle_max_ms / slot_ms ? turns * slot_ms :
							   cycle_max_ms;
	uint32_t offset = (uint32_t)((uint64_t)cycle * trn->turn / turns);
	uint32_t wait = (offset + cycle - (uint32_t)(wall_ms % cycle)) % cycle;

	return wait < cycle / turns / 2 ? wait + cycle : wait;
}
