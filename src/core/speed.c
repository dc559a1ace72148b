#include "jujube/speed.h"

#include <stdlib.h>
#include <string.h>

static int by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

uint32_t spd_median(uint32_t *values, uint32_t count)
{
	if (count < SPD_KNOWN)
		return 0;
	qsort(values, count, sizeof(*values), by_value);
	return values[count / 2];
}

static uint32_t recent_us(const struct spd *spd)
{
	uint32_t values[SPD_RING];
	uint32_t count = spd->count < SPD_RING ? spd->count : SPD_RING;

	memcpy(values, spd->ring, sizeof(values));
	return spd_median(values, count);
}

/* The mean of the first answers, later of about the last SPD_USUAL. */
static void follow(struct spd *spd, uint32_t us)
{
	int64_t over = spd->count < SPD_USUAL ? spd->count : SPD_USUAL;

	spd->usual_us = (uint32_t)(spd->usual_us +
				   ((int64_t)us - spd->usual_us) / over);
}

void spd_note(struct spd *spd, uint32_t us, uint32_t peers_us, uint64_t now)
{
	uint32_t recent;

	if (!us)
		us = 1;
	spd->ring[spd->count++ % SPD_RING] = us;
	spd->last = now;
	recent = recent_us(spd);
	if (spd->count <= SPD_RING || !recent || !peers_us ||
	    (uint64_t)recent * SPD_FAST >= spd->usual_us ||
	    (uint64_t)recent * SPD_FAST >= peers_us) {
		spd->fast_since = 0;
		follow(spd, us);
		return;
	}
	if (!spd->fast_since)
		spd->fast_since = now;
	if (now > spd->fast_since + SPD_HELD_US) {
		spd->fast_since = 0;
		spd->usual_us = recent;
	}
}

uint32_t spd_typical_us(const struct spd *spd, uint64_t now)
{
	uint32_t recent = recent_us(spd);
	uint64_t halvings =
		now > spd->last ? (now - spd->last) / SPD_HALVES_US : 0;

	if (recent <= spd->usual_us || halvings > 31)
		return recent <= spd->usual_us ? recent : spd->usual_us;
	recent >>= halvings;
	return recent > spd->usual_us ? recent : spd->usual_us;
}

int spd_too_fast(const struct spd *spd, uint64_t now)
{
	return spd->fast_since && now <= spd->fast_since + SPD_HELD_US;
}

uint32_t spd_weight(uint32_t typical_us, uint32_t peers_us)
{
	if (!typical_us || !peers_us ||
	    typical_us < (uint64_t)peers_us * SPD_SLOW)
		return 100;
	return (uint32_t)((uint64_t)typical_us * 100 / peers_us);
}
