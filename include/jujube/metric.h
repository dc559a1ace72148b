/*
 * metric - counters
 *
 * One struct met a thread or role, added to without locks and summed when
 * somebody asks. Counters only rise, until the process ends. Times are counted
 * in buckets whose bounds double from MET_FIRST_BUCKET_US on.
 */
#ifndef JUJUBE_METRIC_H
#define JUJUBE_METRIC_H

#include <stdint.h>
#include "jujube/atomic.h"

#define MET_COUNTERS(X)                                                        \
	X(PACKETS_IN, "packets_in", "datagrams from callers")                  \
	X(PACKETS_OUT, "packets_out", "datagrams to callers")                  \
	X(FORWARDED, "forwarded", "packets sent to an agent")                  \
	X(CACHE_HITS, "cache_hits", "packets routed by the flow cache")        \
	X(NO_TARGET, "no_target", "packets no target could take")              \
	X(TOO_OLD, "too_old", "packets too long in a socket buffer")           \
	X(FENCED, "fenced", "packets dropped while the view was unconfirmed")  \
	X(BAD_FRAME, "bad_frame", "malformed messages dropped")                \
	X(BAD_AUTH, "bad_auth", "unauthenticated messages dropped")            \
	X(REPLAYED, "replayed", "replayed messages dropped")                   \
	X(WRONG_SERVICE, "wrong_service",                                      \
	  "packets of another service dropped")                                \
	X(OUT_DROPPED, "out_dropped",                                          \
	  "packets dropped: data centre or target out")                        \
	X(FLOWS_OPENED, "flows_opened", "flows opened")                        \
	X(FLOWS_CLOSED, "flows_closed", "flows closed")                        \
	X(FLOWS_PLACED, "flows_placed", "flows passed to a less loaded agent") \
	X(EXCEPTION_HITS, "exception_hits", "packets routed by an exception")  \
	X(PASSED_ON, "passed_on", "packets passed to another agent")           \
	X(CHALLENGED, "challenged", "unsafe requests asked for an Echo")       \
	X(RUN, "run", "unsafe requests passed to the target")                  \
	X(SAFE, "safe", "safe requests passed to the target")                  \
	X(DUPLICATES, "duplicates", "duplicate requests answered or dropped")  \
	X(REFUSED, "refused", "requests refused, not run")                     \
	X(UNKNOWN, "unknown", "requests answered: outcome unknown")            \
	X(ANSWERED, "answered", "answers of the target sent back")             \
	X(CONTROL_IN, "control_in", "control bytes received")                  \
	X(CONTROL_OUT, "control_out", "control bytes sent")                    \
	X(PLATFORM_CALLS, "platform_calls", "calls to the platform")           \
	X(PULLS, "pulls", "state transfers asked for")                         \
	X(DEFERRED, "deferred", "openings left to the caller's next copy")     \
	X(RESETS, "resets", "resets sent to callers")                          \
	X(TRIED, "tried", "packets tried at a target that may hold them")      \
	X(UNHELD, "unheld", "packets of flows that nobody holds")              \
	X(INQUIRIES, "inquiries", "agents asked which flows they hold")        \
	X(DELIVERED, "delivered", "packets of held flows given to the target") \
	X(ADOPTED, "adopted", "flows learnt from what the target sends")       \
	X(RETURNED, "returned", "packets that the target returned")            \
	X(NO_ROUTE, "no_route", "openings without a route")

enum met_counter {
#define X(id, name, text) MET_##id,
	MET_COUNTERS(X)
#undef X
		MET_COUNT,
};

#define MET_TIMES(X)                                    \
	X(OPENING, "opening_us",                        \
	  "from an opening given to the target to its " \
	  "answer")                                     \
	X(ANSWER, "answer_us",                          \
	  "from a request given to the target to its "  \
	  "first byte")

enum met_time {
#define X(id, name, text) MET_TIME_##id,
	MET_TIMES(X)
#undef X
		MET_TIME_COUNT,
};

#define MET_FIRST_BUCKET_US 500
#define MET_BUCKETS 14 /* up to 4 s; the last takes all above */

struct met {
	JJ_ATOMIC(uint64_t) counters[MET_COUNT];
	JJ_ATOMIC(uint64_t) times[MET_TIME_COUNT][MET_BUCKETS];
};

static inline void met_add(struct met *met, enum met_counter counter,
			   uint64_t n)
{
	atomic_fetch_add_explicit(&met->counters[counter], n, JJ_RELAXED);
}

static inline uint64_t met_get(const struct met *met, enum met_counter counter)
{
	return atomic_load_explicit(&met->counters[counter], JJ_RELAXED);
}

static inline void met_time(struct met *met, enum met_time time, uint64_t us)
{
	uint64_t bound = MET_FIRST_BUCKET_US;
	int bucket = 0;

	while (us > bound && bucket + 1 < MET_BUCKETS) {
		bound *= 2;
		bucket++;
	}
	atomic_fetch_add_explicit(&met->times[time][bucket], (uint64_t)1,
				  JJ_RELAXED);
}

/* Name of a time, and of a counter, as metrics show them. */
const char *met_time_name(enum met_time time);

/* Name of a counter as dumps show it. */
const char *met_counter_name(enum met_counter counter);

#endif
