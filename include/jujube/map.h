/*
 * map - fixed-size hash table from a 64-bit key to a 32-bit handle
 *
 * Open addressing with linear probing and backward-shift deletion, on an
 * array that the caller owns. Keys must be uniformly distributed (in this
 * library all are XXH3 hashes). At most 3/4 of the cells are used; beyond
 * that, map_put() returns JJ_FULL. Not thread safe.
 */
#ifndef JUJUBE_MAP_H
#define JUJUBE_MAP_H

#include "jujube/status.h"

#define MAP_NONE UINT32_MAX

struct map_cell {
	uint64_t key;
	uint32_t value; /* MAP_NONE: the cell is empty */
	uint32_t padding;
};

struct map {
	struct map_cell *cells;
	uint32_t mask;
	uint32_t count;
};

/*
 * Number of cells needed for this many entries: a power of two, and at least
 * 4/3 of the entries.
 */
uint32_t map_cells_for(uint32_t entries);

/* Initializes an empty map on cells[count]; count must be a power of two. */
void map_init(struct map *map, struct map_cell *cells, uint32_t count);

/* Returns the value of key, or MAP_NONE. */
uint32_t map_get(const struct map *map, uint64_t key);

/* Inserts or replaces a value; JJ_FULL if there is no space for a new key. */
enum jj_status map_put(struct map *map, uint64_t key, uint32_t value);

/* Removes key if it exists. */
void map_del(struct map *map, uint64_t key);

#endif
