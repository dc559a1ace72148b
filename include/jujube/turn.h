/*
 * turn - spreads a periodic call of some members evenly over time
 *
 * The members that rank first in each data centre, by hash of their ids, each
 * call once a cycle, at their own offset of the wall clock. What one of them
 * learns reaches the others by gossip, so that the fleet as a whole calls about
 * once a slot, whatever its size. Responses that are lost to all of them at
 * once hide a change for about one slot, not for a cycle.
 *
 * Needs no agreement: while member lists or clocks differ, calls are spread
 * less evenly.
 */
#ifndef JUJUBE_TURN_H
#define JUJUBE_TURN_H

#include "jujube/member.h"

struct trn {
	uint32_t turn; /* of this process, below turns */
	uint32_t turns; /* in a cycle */
};

/*
 * Finds the turn of this process. Returns 0 if the process does not rank among
 * the first per_data_centre live members of its data centre.
 */
int trn_find(const struct mbr *mbr, uint32_t per_data_centre, struct trn *trn);

/*
 * Time until the process's next turn, at least half a slot and below a cycle and
 * a half slot, in ms. A cycle takes slot_ms for each turn, or for two if there
 * is only one, and at most cycle_max_ms.
 */
uint32_t trn_wait_ms(const struct trn *trn, uint32_t slot_ms,
		     uint32_t cycle_max_ms, uint64_t wall_ms);

#endif
