#include "jujube/map.h"

#include <assert.h>

uint32_t map_cells_for(uint32_t entries)
{
	uint32_t cells = 16;

	while ((uint64_t)cells * 3 / 4 < entries)
		cells *= 2;
	return cells;
}

void map_init(struct map *map, struct map_cell *cells, uint32_t count)
{
	uint32_t i;

	assert(count && (count & (count - 1)) == 0);
	for (i = 0; i < count; i++)
		cells[i] = (struct map_cell){ .value = MAP_NONE };
	*map = (struct map){ .cells = cells, .mask = count - 1 };
}

/* Index of the cell with key, or of the empty cell that ends its probe run. */
static uint32_t find(const struct map *map, uint64_t key)
{
	uint32_t i = (uint32_t)key & map->mask;

	while (map->cells[i].value != MAP_NONE && map->cells[i].key != key)
		i = (i + 1) & map->mask;
	return i;
}

uint32_t map_get(const struct map *map, uint64_t key)
{
	return map->cells[find(map, key)].value;
}

enum jj_status map_put(struct map *map, uint64_t key, uint32_t value)
{
	struct map_cell *cell = &map->cells[find(map, key)];

	assert(value != MAP_NONE);
	if (cell->value == MAP_NONE) {
		if (map->count >= (map->mask + 1) / 4 * 3)
			return JJ_FULL;
		map->count++;
	}
	cell->key = key;
	cell->value = value;
	return JJ_OK;
}

void map_del(struct map *map, uint64_t key)
{
	uint32_t hole = find(map, key);
	uint32_t i = hole;

	if (map->cells[hole].value == MAP_NONE)
		return;
	map->count--;
	for (;;) {
		uint32_t home;

		map->cells[hole].value = MAP_NONE;
		do {
			i = (i + 1) & map->mask;
			if (map->cells[i].value == MAP_NONE)
				return;
			home = (uint32_t)map->cells[i].key & map->mask;
			/*
			 * Skip cells whose home slot is cyclically in
			 * (hole, i]: lookups still reach them.
			 */
		} while (((i - home) & map->mask) < ((i - hole) & map->mask));
		map->cells[hole] = map->cells[i];
		hole = i;
	}
}
