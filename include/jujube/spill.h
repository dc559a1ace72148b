/*
 * spill - when an opening is sent to another data centre, and to which
 *
 * Handles a data centre that has too few targets for its callers: because it is
 * taken out by operators, because most of its targets are gone, or in a burst.
 * Each of its homes decides alone, by reports on the other data centres that
 * are tens of milliseconds old. If all of them sent what a report shows as
 * free, they would fill the reported slots many times over before any report
 * shows it. A home therefore sends its share only.
 *
 * The share is the room in the other data centre divided by the number of homes
 * that may send. The room is the number of free slots, and of openings more that
 * would wait there for less time than here, even with the cost of crossing:
 * while the others are busy themselves, few slots are ever free, and callers of
 * a data centre that is very short would be refused while openings elsewhere
 * wait for some milliseconds.
 *
 * The share falls linearly with the age of the report, to 0 at SPL_FRESH_US. It
 * limits what the home sends in lag_us, the time until an opening is part of
 * the reports: reports that arrive earlier show the same room again, and must
 * not give another share of it. Fractions are carried over to the next such
 * window. Each home begins with another fraction (spl_init()), so that homes
 * with equal reports do not all send their first opening in the same window.
 *
 * If no target of the home's own data centre may take flows, the share is not a
 * limit: refusing the opening would help nobody. Openings are then distributed
 * by the room that is left, or, if none is, go where the expected wait
 * is shortest; the openings that the home has sent since the report, multiplied
 * by the number of homes, are counted as waiting there.
 *
 * Plain values without locks: the owner has to lock. Memory is bounded: one
 * entry per data centre. Times are microseconds of a monotonic clock.
 */
#ifndef JUJUBE_SPILL_H
#define JUJUBE_SPILL_H

#include <stdint.h>

#define SPL_CENTRES_MAX 16 /* data centres whose reports are kept */
/*
 * Reports are repeated every 50 ms; a data centre without one for this long is
 * cut off. Equal to FLW_LOAD_FRESH_US.
 */
#define SPL_FRESH_US 700000
/* Assumed where no typical time of a request is known yet. */
#define SPL_TYPICAL_DEFAULT_US 50000
#define SPL_WAIT_UNLIMITED UINT64_MAX
/*
 * A shortage ends after this long without a wait above the limit, so that
 * its start and end are not logged for each gap of a burst.
 */
#define SPL_SHORTAGE_HOLD_US 500000
/*
 * For this long after a wait above the limit, the homes of a data centre count
 * as senders. Covers the time between two reports; a longer time would leave
 * slots unused that nobody sends to.
 */
#define SPL_LACKING_US 100000
#define SPL_UNIT 65536 /* fixed point of shares */
/* Larger numbers in a report are an error; keeps products within 64 bits. */
#define SPL_SLOTS_MAX (1u << 24)

/* What agents of a data centre report about it. */
struct spl_report {
	uint64_t id; /* of the data centre */
	uint32_t slots; /* of targets that may take flows */
	uint32_t free_slots; /* of these, idle */
	uint32_t queued; /* openings and requests beyond the slots */
	uint32_t typical_us; /* of a request, 0: not known */
	uint8_t short_of_room;
};

struct spl_centre {
	struct spl_report report; /* id 0: unused */
	uint64_t reported_at;
	uint32_t homes; /* that may send, at the time of the report */
	uint32_t carried; /* fraction of an opening, in 1/SPL_UNIT */
	uint32_t sent; /* since the last report */
	uint64_t window_at; /* start of the present window of lag_us */
	uint32_t window_sent; /* in the present window */
	uint32_t before_sent; /* in the window before it */
};

struct spl {
	struct spl_centre centres[SPL_CENTRES_MAX];
	uint32_t first_fraction; /* carried by a new entry */
	uint64_t lacking_at; /* time of the last wait above the limit */
	uint8_t short_of_room;
};

/* What a decision depends on besides the reports. */
struct spl_request {
	uint64_t now;
	uint64_t local_wait_us; /* SPL_WAIT_UNLIMITED: no target takes flows */
	uint64_t crossing_us; /* added latency of another data centre */
	uint64_t price_us; /* wait that is accepted rather than pay */
	uint64_t lag_us; /* until an opening is part of the reports */
	uint32_t roll; /* evenly distributed, as a hash of the flow's key */
	uint64_t excluded; /* data centre that is not considered, or 0 */
};

struct spl_choice {
	uint64_t id; /* of the data centre */
	uint32_t free_slots; /* as reported */
	uint64_t room; /* openings that all homes together may send */
	uint64_t age_us; /* of the report */
};

/*
 * number: position of this home among the homes. Homes with successive numbers
 * send at different times.
 */
void spl_init(struct spl *spl, uint32_t number);
void spl_finish(struct spl *spl);

/*
 * Records a report. homes: number of homes that may send there, including this
 * one. Returns 0 if its numbers are invalid or no entry is left for its data
 * centre.
 */
int spl_on_report(struct spl *spl, const struct spl_report *report,
		  uint32_t homes, uint64_t now);

/*
 * Whether an opening leaves the data centre, and where it goes. Returns 0 if it
 * stays. It is only counted as sent by spl_note_sent().
 */
int spl_choose(struct spl *spl, const struct spl_request *request,
	       struct spl_choice *out);
void spl_note_sent(struct spl *spl, uint64_t id);

/* The latest report on a data centre; null: none, or it is too old. */
const struct spl_report *spl_report_of(const struct spl *spl, uint64_t id,
				       uint64_t now);

/* Wait of one more opening, behind ahead requests and openings. */
uint64_t spl_wait_us(uint64_t ahead, uint32_t slots, uint32_t typical_us);

/*
 * Records whether the present wait is above the limit. Returns 1 if the data
 * centre became short of room, or is no longer so (spl.short_of_room).
 */
int spl_note_wait(struct spl *spl, int above_limit, uint64_t now);
/* Whether the wait was above the limit within SPL_LACKING_US. */
int spl_lacks_room(const struct spl *spl, uint64_t now);

#endif
