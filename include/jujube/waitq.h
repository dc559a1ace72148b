/*
 * waitq - queue of openings that wait for room at a target
 *
 * Handles load that exceeds the capacity of all targets for seconds: all
 * callers return after a power failure, or several kinds of requests together
 * need a tenth more than there is. Within that time each target frees a slot
 * every few milliseconds, so most openings can be served before their callers
 * give up, and some within the time that their callers expect.
 *
 * Order of service:
 * - by priority, the smallest number first;
 * - within a priority, entries that can still be answered within the target
 *   latency come first, the newest of them first. Under lasting overload the
 *   oldest entry is nearly late when its turn comes, and service times vary by
 *   half, so serving it makes both it and the next entry late;
 * - late entries follow, in order of the earliest expiry.
 * Of every WTQ_TURN entries that are served, one is the entry that expires
 * first among those of a lower priority than the highest one that waits.
 *
 * The payload of an entry is kept by the owner, at the handle's index. Memory
 * is supplied by the owner. Plain values without locks: the owner has to lock.
 * Times are microseconds of a monotonic clock. Each call takes time
 * proportional to the number of entries, about 5 ns per entry.
 */
#ifndef JUJUBE_WAITQ_H
#define JUJUBE_WAITQ_H

#include <stdint.h>

/* a scan of so many entries takes 16 to 25 us */
#define WTQ_CAPACITY_MAX 4096
#define WTQ_NONE UINT32_MAX /* no handle */
/* Lower priorities get a quarter of the service, so that they do not starve. */
#define WTQ_TURN 4
/*
 * Time reserved for serving an entry, in percent of the typical time: service
 * times vary by half.
 */
#define WTQ_RESERVE_PERCENT 150

struct wtq_request {
	uint32_t priority; /* 1 is the highest */
	uint64_t began_at; /* start of the caller's attempt */
	uint64_t target_latency_us; /* both since began_at */
	uint64_t deadline_us;
	uint64_t expires_at; /* end of the wait */
};

/* The targets that serve this queue. */
struct wtq_room {
	uint32_t slots;
	uint32_t typical_us; /* time of a request, 0: not known */
};

struct wtq_cell {
	struct wtq_request request;
	uint32_t position; /* in wtq.order */
};

struct wtq {
	struct wtq_cell *cells; /* by handle */
	uint32_t *order; /* handles: count used ones, then the free ones */
	uint32_t capacity;
	uint32_t count;
	uint32_t served; /* entries served, for WTQ_TURN */
};

enum wtq_verdict {
	WTQ_WAITS,
	WTQ_WAITS_LATE, /* expected to be served after the target latency */
	WTQ_HOPELESS, /* would not be served before the deadline; not added */
	WTQ_FULL, /* every entry ranks higher; not added */
};

struct wtq_added {
	enum wtq_verdict verdict;
	uint32_t handle;
	uint64_t estimate_us; /* expected wait */
	/*
	 * Entry that was removed since the queue was full, or WTQ_NONE. The new
	 * entry has the same handle.
	 */
	uint32_t displaced;
};

/* cells and order have capacity items, at most WTQ_CAPACITY_MAX. */
void wtq_init(struct wtq *queue, struct wtq_cell *cells, uint32_t *order,
	      uint32_t capacity);
void wtq_finish(struct wtq *queue);

/* Decides whether a request waits, and adds it if so. */
struct wtq_added wtq_add(struct wtq *queue, const struct wtq_request *request,
			 const struct wtq_room *room, uint64_t now);

/* What wtq_add() would answer; handle is WTQ_NONE as nothing is added. */
struct wtq_added wtq_assess(const struct wtq *queue,
			    const struct wtq_request *request,
			    const struct wtq_room *room, uint64_t now);

/*
 * Puts a removed entry back that could not be served. It is not estimated anew:
 * an entry that is next by WTQ_TURN would count as the last. The estimate of
 * the result is 0. WTQ_FULL: others have taken its place.
 */
struct wtq_added wtq_put_back(struct wtq *queue,
			      const struct wtq_request *request,
			      const struct wtq_room *room, uint64_t now);

/*
 * Handle of the entry to serve next, or WTQ_NONE. below: only entries with a
 * smaller priority number, 0: all.
 */
uint32_t wtq_next(const struct wtq *queue, const struct wtq_room *room,
		  uint32_t below, uint64_t now);

void wtq_remove(struct wtq *queue, uint32_t handle);
/* Call when a removed entry was served. */
void wtq_note_served(struct wtq *queue);

/* Handle of the entry whose wait ended first, or WTQ_NONE. */
uint32_t wtq_expired(const struct wtq *queue, uint64_t now);

/* Expected wait of a request if it were added now. */
uint64_t wtq_estimate_us(const struct wtq *queue,
			 const struct wtq_request *request,
			 const struct wtq_room *room, uint64_t now);

#endif
