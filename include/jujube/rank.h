/*
 * rank - weighted rendezvous hashing
 *
 * Each process ranks the targets of a service for a flow key on its own. All
 * processes with the same targets and weights get the same order. When one
 * target changes, only the flows that it gains or loses are moved.
 */
#ifndef JUJUBE_RANK_H
#define JUJUBE_RANK_H

#include <stdint.h>

/*
 * A candidate. id is a uniform hash of its name; weight 0 excludes it from the
 * ranking.
 */
struct rnk_node {
	uint64_t id;
	uint32_t weight;
};

/* Position of the highest ranked node for key, -1: all weights are 0. */
int rnk_first(const struct rnk_node *nodes, int count, uint64_t key);

/*
 * Writes the positions of the best max (at most 16) nodes for key to out, best
 * first, and returns their number.
 */
int rnk_order(const struct rnk_node *nodes, int count, uint64_t key, int *out,
	      int max);

/* True if a ranks before b for key. Neither weight may be 0. */
int rnk_ranks_before(const struct rnk_node *a, const struct rnk_node *b,
		     uint64_t key);

/* Hash for names and flow keys; must be the same in the whole fleet. */
uint64_t rnk_hash(const void *data, unsigned long len);

/* Id of a name: rnk_hash() of its text, never 0. */
uint64_t rnk_name_id(const char *name);

#endif
