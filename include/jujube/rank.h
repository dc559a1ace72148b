/*
 * rank - weighted rendezvous hashing
 *
 * Every process ranks the targets of a service for a flow key by itself and
 * comes to the same order, as long as it knows the same targets and
 * weights. When one target changes, only flows that it gains or loses move.
 */
#ifndef JUJUBE_RANK_H
#define JUJUBE_RANK_H

#include <stdint.h>

/* A candidate: id is a well mixed hash of its name, weight 0 never ranks. */
struct rnk_node {
	uint64_t id;
	uint32_t weight;
};

/* Position of the first rank for key, or -1 when no node has weight. */
int rnk_first(const struct rnk_node *nodes, int count, uint64_t key);

/*
 * Fills out[] with the positions of the best max nodes for key, best first;
 * returns how many there are.
 */
int rnk_order(const struct rnk_node *nodes, int count, uint64_t key, int *out,
	      int max);

/* Whether a ranks before b for key; both have weight. */
int rnk_ranks_before(const struct rnk_node *a, const struct rnk_node *b,
		     uint64_t key);

/* Hash used for names and flow keys in the whole fleet. */
uint64_t rnk_hash(const void *data, unsigned long len);

/* Id of a name: rnk_hash() of its text, never 0. */
uint64_t rnk_name_id(const char *name);

#endif
