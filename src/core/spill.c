#include "jujube/spill.h"

#include <stddef.h>
#include <string.h>

/*
 * Fraction of the golden ratio, in 1/SPL_UNIT: successive multiples of it are
 * spread evenly over the unit.
 */
#define GOLDEN_FRACTION 40503

void spl_init(struct spl *spl, uint32_t number)
{
	memset(spl, 0, sizeof(*spl));
	spl->first_fraction = number * GOLDEN_FRACTION % SPL_UNIT;
}

void spl_finish(struct spl *spl)
{
	memset(spl, 0, sizeof(*spl));
}

uint64_t spl_wait_us(uint64_t ahead, uint32_t slots, uint32_t typical_us)
{
	if (!slots)
		return SPL_WAIT_UNLIMITED;
	if (ahead < slots)
		return 0;
	if (!typical_us)
		typical_us = SPL_TYPICAL_DEFAULT_US;
	return (ahead - slots + 1) * typical_us / slots;
}

/* -- reports ------------------------------------------------------------- */

static uint64_t age_of(const struct spl_centre *centre, uint64_t now)
{
	return now > centre->reported_at ? now - centre->reported_at : 0;
}

static struct spl_centre *find_or_add(struct spl *spl, uint64_t id,
				      uint64_t now)
{
	struct spl_centre *use = NULL;
	int i;

	for (i = 0; i < SPL_CENTRES_MAX; i++) {
		struct spl_centre *centre = &spl->centres[i];

		if (centre->report.id == id)
			return centre;
		if (!use &&
		    (!centre->report.id || age_of(centre, now) > SPL_FRESH_US))
			use = centre;
	}
	if (use)
		*use = (struct spl_centre){ .report.id = id,
					    .carried = spl->first_fraction,
					    .window_at = now };
	return use;
}

/*
 * Openings that a data centre has room for: its free slots, and as many more as
 * wait there for less time than here, even with the cost of crossing, and no
 * longer than a request takes.
 */
static uint64_t room_in(const struct spl_centre *centre,
			const struct spl_request *request)
{
	const struct spl_report *report = &centre->report;
	uint64_t cost_us = request->crossing_us + request->price_us;
	uint64_t typical_us = report->typical_us ? report->typical_us :
						   SPL_TYPICAL_DEFAULT_US;
	uint64_t gain_us = 0;
	uint64_t places;

	if (request->local_wait_us != SPL_WAIT_UNLIMITED &&
	    request->local_wait_us > cost_us)
		gain_us = request->local_wait_us - cost_us;
	if (gain_us > typical_us)
		gain_us = typical_us;
	places = gain_us * report->slots / typical_us;
	places = places > report->queued ? places - report->queued : 0;
	return report->free_slots + places;
}

/* This home's share of the room, in 1/SPL_UNIT; falls with the report's age. */
static uint64_t present_share(const struct spl_centre *centre,
			      const struct spl_request *request)
{
	uint64_t age = age_of(centre, request->now);
	uint64_t share = room_in(centre, request) * SPL_UNIT / centre->homes;

	return age < SPL_FRESH_US ?
		       share * (SPL_FRESH_US - age) / SPL_FRESH_US :
		       0;
}

/* Begins the next window of lag_us if the present one is over. */
static void advance_window(struct spl_centre *centre,
			   const struct spl_request *request)
{
	uint64_t now = request->now;
	uint64_t lag_us = request->lag_us;
	uint64_t passed = now > centre->window_at ? now - centre->window_at : 0;

	if (!centre->report.id || passed < lag_us)
		return;
	/* Whole openings that were not sent in the window are forfeited. */
	centre->carried =
		(uint32_t)((centre->carried + present_share(centre, request)) %
			   SPL_UNIT);
	centre->before_sent = passed < 2 * lag_us ? centre->window_sent : 0;
	centre->window_sent = 0;
	centre->window_at = now;
}

int spl_on_report(struct spl *spl, const struct spl_report *report,
		  uint32_t homes, uint64_t now)
{
	struct spl_centre *centre;

	if (!report->id || report->slots > SPL_SLOTS_MAX ||
	    report->free_slots > report->slots)
		return 0;
	centre = find_or_add(spl, report->id, now);
	if (!centre)
		return 0;
	centre->homes = homes ? homes : 1;
	centre->report = *report;
	centre->reported_at = now;
	centre->sent = 0;
	return 1;
}

const struct spl_report *spl_report_of(const struct spl *spl, uint64_t id,
				       uint64_t now)
{
	int i;

	for (i = 0; i < SPL_CENTRES_MAX; i++)
		if (spl->centres[i].report.id == id &&
		    age_of(&spl->centres[i], now) < SPL_FRESH_US)
			return &spl->centres[i].report;
	return NULL;
}

/* -- decisions ----------------------------------------------------------- */

/* Whether this home may send one more opening now. */
static int share_left(const struct spl_centre *centre,
		      const struct spl_request *request)
{
	uint64_t share = present_share(centre, request);
	uint64_t whole = (share + centre->carried) / SPL_UNIT;
	uint64_t passed = request->now > centre->window_at ?
				  request->now - centre->window_at :
				  0;
	uint64_t sent = centre->window_sent;

	/* Those of the last lag_us that were sent in the window before. */
	if (passed < request->lag_us)
		sent += centre->before_sent * (request->lag_us - passed) /
			request->lag_us;
	return sent < whole;
}

/* Openings that were sent by all homes since the report, as far as known. */
static uint64_t sent_by_all(const struct spl_centre *centre)
{
	return (uint64_t)centre->sent * centre->homes;
}

/*
 * Weight of a data centre for the choice among those with room; 0: none is left
 * for this home. An older report counts for less, so that a data
 * centre that was cut off gets few openings.
 */
static uint64_t weight_of(const struct spl_centre *centre,
			  const struct spl_request *request)
{
	uint64_t left = room_in(centre, request);
	uint64_t sent = sent_by_all(centre);

	if (request->local_wait_us == SPL_WAIT_UNLIMITED)
		left = left > sent ? left - sent : 0;
	else if (!share_left(centre, request))
		left = 0;
	return left * (SPL_FRESH_US - age_of(centre, request->now));
}

static int is_candidate(const struct spl_centre *centre,
			const struct spl_request *request)
{
	return centre->report.id && centre->report.id != request->excluded &&
	       centre->report.slots &&
	       age_of(centre, request->now) < SPL_FRESH_US;
}

static const struct spl_centre *
choose_with_room(const struct spl *spl, const struct spl_request *request)
{
	uint64_t total = 0;
	uint64_t at;
	int i;

	for (i = 0; i < SPL_CENTRES_MAX; i++)
		if (is_candidate(&spl->centres[i], request))
			total += weight_of(&spl->centres[i], request);
	if (!total)
		return NULL;
	/* Weights of 32-bit numbers times 0.7 million: no overflow. */
	at = (total >> 32) * request->roll +
	     ((total & UINT32_MAX) * request->roll >> 32);
	for (i = 0; i < SPL_CENTRES_MAX; i++) {
		uint64_t weight;

		if (!is_candidate(&spl->centres[i], request))
			continue;
		weight = weight_of(&spl->centres[i], request);
		if (at < weight)
			return &spl->centres[i];
		at -= weight;
	}
	return NULL;
}

static const struct spl_centre *
choose_shortest_wait(const struct spl *spl, const struct spl_request *request)
{
	const struct spl_centre *best = NULL;
	uint64_t best_us = SPL_WAIT_UNLIMITED;
	int i;

	for (i = 0; i < SPL_CENTRES_MAX; i++) {
		const struct spl_centre *centre = &spl->centres[i];
		const struct spl_report *report = &centre->report;
		uint64_t wait_us;

		if (!is_candidate(centre, request))
			continue;
		wait_us = spl_wait_us(
			(uint64_t)report->slots - report->free_slots +
				report->queued + sent_by_all(centre),
			report->slots, report->typical_us);
		if (wait_us < best_us) {
			best = centre;
			best_us = wait_us;
		}
	}
	return best;
}

int spl_choose(struct spl *spl, const struct spl_request *request,
	       struct spl_choice *out)
{
	const struct spl_centre *centre;
	int i;

	if (request->local_wait_us <= request->crossing_us + request->price_us)
		return 0;
	for (i = 0; i < SPL_CENTRES_MAX; i++)
		advance_window(&spl->centres[i], request);
	centre = choose_with_room(spl, request);
	if (!centre && request->local_wait_us == SPL_WAIT_UNLIMITED)
		centre = choose_shortest_wait(spl, request);
	if (!centre)
		return 0;
	*out = (struct spl_choice){ .id = centre->report.id,
				    .free_slots = centre->report.free_slots,
				    .room = room_in(centre, request),
				    .age_us = age_of(centre, request->now) };
	return 1;
}

void spl_note_sent(struct spl *spl, uint64_t id)
{
	int i;

	for (i = 0; i < SPL_CENTRES_MAX; i++) {
		struct spl_centre *centre = &spl->centres[i];

		if (centre->report.id != id)
			continue;
		centre->window_sent++;
		centre->sent++;
	}
}

int spl_note_wait(struct spl *spl, int above_limit, uint64_t now)
{
	uint8_t before = spl->short_of_room;

	if (above_limit) {
		spl->lacking_at = now;
		spl->short_of_room = 1;
	} else if (now > spl->lacking_at + SPL_SHORTAGE_HOLD_US) {
		spl->short_of_room = 0;
	}
	return before != spl->short_of_room;
}

int spl_lacks_room(const struct spl *spl, uint64_t now)
{
	return spl->lacking_at && now < spl->lacking_at + SPL_LACKING_US;
}
