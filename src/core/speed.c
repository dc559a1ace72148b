#include "jujube/speed.h"

#include <stdlib.h>
#include <string.h>

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

uint32_t spd_median(uint32_t *values, uint32_t count)
{
	if (count < SPD_SAMPLES_MIN)
		return 0;
	qsort(values, count, sizeof(*values), compare_u32);
	return values[count / 2];
}

static uint32_t recent_median_us(const struct spd *spd)
{
	uint32_t values[SPD_SAMPLES];
	uint32_t count = spd->sample_count < SPD_SAMPLES ? spd->sample_count :
							   SPD_SAMPLES;

	memcpy(values, spd->samples, sizeof(values));
	return spd_median(values, count);
}

/*
 * The mean of all samples at first, later a moving mean over about
 * SPD_BASELINE_SAMPLES.
 */
static void update_baseline(struct spd *spd, uint32_t us)
{
	int64_t over = spd->sample_count < SPD_BASELINE_SAMPLES ?
			       spd->sample_count :
			       SPD_BASELINE_SAMPLES;

	spd->baseline_us = (uint32_t)(spd->baseline_us +
				      ((int64_t)us - spd->baseline_us) / over);
}

void spd_add_sample(struct spd *spd, uint32_t us, uint32_t peer_median_us,
		    uint64_t now)
{
	uint32_t recent;

	if (!us)
		us = 1;
	spd->samples[spd->sample_count++ % SPD_SAMPLES] = us;
	spd->last_sample_at = now;
	recent = recent_median_us(spd);
	if (spd->sample_count <= SPD_SAMPLES || !recent || !peer_median_us ||
	    (uint64_t)recent * SPD_FAST_FACTOR >= spd->baseline_us ||
	    (uint64_t)recent * SPD_FAST_FACTOR >= peer_median_us) {
		spd->fast_since = 0;
		update_baseline(spd, us);
		return;
	}
	if (!spd->fast_since)
		spd->fast_since = now;
	if (now > spd->fast_since + SPD_FAST_HOLD_US) {
		spd->fast_since = 0;
		spd->baseline_us = recent;
	}
}

uint32_t spd_typical_us(const struct spd *spd, uint64_t now)
{
	uint32_t recent = recent_median_us(spd);
	uint64_t halvings =
		now > spd->last_sample_at ?
			(now - spd->last_sample_at) / SPD_HALF_LIFE_US :
			0;

	if (recent <= spd->baseline_us || halvings > 31)
		return recent <= spd->baseline_us ? recent : spd->baseline_us;
	recent >>= halvings;
	return recent > spd->baseline_us ? recent : spd->baseline_us;
}

int spd_too_fast(const struct spd *spd, uint64_t now)
{
	return spd->fast_since && now <= spd->fast_since + SPD_FAST_HOLD_US;
}

uint32_t spd_weight(uint32_t typical_us, uint32_t peer_median_us)
{
	if (!typical_us || !peer_median_us ||
	    typical_us < (uint64_t)peer_median_us * SPD_SLOW_FACTOR)
		return 100;
	return (uint32_t)((uint64_t)typical_us * 100 / peer_median_us);
}
