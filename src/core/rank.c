#include "jujube/rank.h"

#include <math.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t rnk_hash(const void *data, unsigned long len)
{
	return XXH3_64bits(data, len);
}

uint64_t rnk_name_id(const char *name)
{
	uint64_t id = rnk_hash(name, strlen(name));

	return id ? id : 1;
}

/*
 * The score is -ln(u) / weight, an exponential variate, with u a hash of key
 * and id mapped to (0, 1]. The probability that a node has the lowest score is
 * proportional to its weight.
 */
static double score(const struct rnk_node *node, uint64_t key)
{
	uint64_t h = XXH3_64bits_withSeed(&node->id, sizeof(node->id), key);
	double u = ((double)(h >> 11) + 1.0) * 0x1p-53;

	return -log(u) / node->weight;
}

int rnk_first(const struct rnk_node *nodes, int count, uint64_t key)
{
	double best = HUGE_VAL;
	int first = -1;
	int i;

	for (i = 0; i < count; i++) {
		double s;

		if (!nodes[i].weight)
			continue;
		s = score(&nodes[i], key);
		if (s < best || (s == best && nodes[i].id < nodes[first].id)) {
			best = s;
			first = i;
		}
	}
	return first;
}

int rnk_ranks_before(const struct rnk_node *a, const struct rnk_node *b,
		     uint64_t key)
{
	double x = score(a, key);
	double y = score(b, key);

	return x < y || (x == y && a->id < b->id);
}

#define RNK_ORDER_MAX 16 /* see rnk_order() in rank.h */

int rnk_order(const struct rnk_node *nodes, int count, uint64_t key, int *out,
	      int max)
{
	double scores[RNK_ORDER_MAX];
	int used = 0;
	int i;

	if (max > RNK_ORDER_MAX)
		max = RNK_ORDER_MAX;
	for (i = 0; i < count; i++) {
		double s;
		int at;

		if (!nodes[i].weight)
			continue;
		s = score(&nodes[i], key);
		if (used == max && s >= scores[max - 1])
			continue;
		at = used < max ? used++ : max - 1;
		while (at > 0 && scores[at - 1] > s) {
			scores[at] = scores[at - 1];
			out[at] = out[at - 1];
			at--;
		}
		scores[at] = s;
		out[at] = i;
	}
	return used;
}
