/*
 * map - fixed-size hash table from a 64-bit key to a 32-bit handle
 *
 * Open addressing with linear probing and backward-shift deletion, on an
 * array that the caller owns. Keys must already be well mixed (they are
 * XXH3 hashes everywhere in this library). At most 3/4 of the cells are
 * filled; map_put() beyond that answers JJ_FULL. Not thread safe.
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

/* Cells needed to hold entries: a power of two, at least 4/3 of them. */
uint32_t map_cells_for(uint32_t entries);

/* Starts an empty map on cells[count]; count must be a power of two. */
void map_init(struct map *map, struct map_cell *cells, uint32_t count);

/* Value stored under key, or MAP_NONE. */
uint32_t map_get(const struct map *map, uint64_t key);

/* Stores or replaces; JJ_FULL when a new key finds no room. */
enum jj_status map_put(struct map *map, uint64_t key, uint32_t value);

/* Removes key; absent keys are ignored. */
void map_del(struct map *map, uint64_t key);

#endif
