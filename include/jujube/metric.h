/*
 * metric - counters
 *
 * Each thread or role has its own struct met, which is updated without locks
 * and summed when metrics are read. Counters never decrease while the process
 * runs. Durations are counted in histogram buckets whose upper bounds start at
 * MET_FIRST_BUCKET_US and double.
 */
#ifndef JUJUBE_METRIC_H
#define JUJUBE_METRIC_H

#include <stdint.h>
#include "jujube/atomic.h"

/* X(ID, "name", "description") */
#define MET_COUNTERS(X)                                                       \
	X(PACKETS_IN, "packets_in", "datagrams from callers")                 \
	X(PACKETS_OUT, "packets_out", "datagrams to callers")                 \
	X(FORWARDED, "forwarded", "packets sent to an agent")                 \
	X(CACHE_HITS, "cache_hits", "packets routed by the flow cache")       \
	X(NO_TARGET, "no_target", "packets without an available target")      \
	X(TOO_OLD, "too_old", "packets dropped: too long in a socket buffer") \
	X(FENCED, "fenced",                                                   \
	  "packets dropped while the revision was unconfirmed")               \
	X(BAD_FRAME, "bad_frame", "malformed messages dropped")               \
	X(BAD_AUTH, "bad_auth", "unauthenticated messages dropped")           \
	X(REPLAYED, "replayed", "replayed messages dropped")                  \
	X(WRONG_SERVICE, "wrong_service",                                     \
	  "packets for another service dropped")                              \
	X(OUT_DROPPED, "out_dropped",                                         \
	  "packets dropped: data centre or target out")                       \
	X(FLOWS_OPENED, "flows_opened", "flows opened")                       \
	X(FLOWS_CLOSED, "flows_closed", "flows closed")                       \
	X(FLOWS_PLACED, "flows_placed",                                       \
	  "new flows sent to a less loaded agent")                            \
	X(HOLDER_HITS, "exception_hits",                                      \
	  "packets forwarded to the flow's recorded holder")                  \
	X(PASSED_ON, "passed_on", "packets passed to another agent")          \
	X(CHALLENGED, "challenged",                                           \
	  "unsafe requests answered with an Echo challenge")                  \
	X(RUN, "run", "unsafe requests passed to the target")                 \
	X(SAFE, "safe", "safe requests passed to the target")                 \
	X(DUPLICATES, "duplicates", "duplicate requests answered or dropped") \
	X(REFUSED, "refused", "requests and openings refused, not run")       \
	X(UNKNOWN, "unknown", "requests answered with outcome unknown")       \
	X(ANSWERED, "answered", "replies of the target sent to callers")      \
	X(CONTROL_IN, "control_in", "control bytes received")                 \
	X(CONTROL_OUT, "control_out", "control bytes sent")                   \
	X(PLATFORM_CALLS, "platform_calls", "calls to the platform")          \
	X(PULLS, "pulls", "state transfers requested")                        \
	X(ROWS_LEFT_OUT, "rows_left_out",                                     \
	  "rows read that did not fit into the table")                        \
	X(DEFERRED, "deferred", "openings queued until a target has room")    \
	X(RESETS, "resets", "resets sent to callers")                         \
	X(TRIALS, "tried", "packets passed to the target on trial")           \
	X(WITHOUT_HOLDER, "unheld", "packets without a known holder")         \
	X(INQUIRIES, "inquiries", "inquiries sent to agents")                 \
	X(DELIVERED, "delivered", "packets of held flows sent to the target") \
	X(ADOPTED, "adopted", "flows learned from packets of the target")     \
	X(RETURNED, "returned", "packets returned by the target")             \
	X(NO_ROUTE, "no_route", "openings without a route")                   \
	X(WAITED, "waited", "openings that waited by the terms of a route")   \
	X(WAIT_EXPIRED, "wait_expired", "refused after the longest wait")     \
	X(WAIT_HOPELESS, "wait_hopeless",                                     \
	  "refused at once: no room before the deadline")                     \
	X(WAIT_EVICTED, "wait_evicted", "refused: queue full")                \
	X(SPILLED, "spilled", "openings sent to another data centre")         \
	X(SPILL_RECEIVED, "spill_received",                                   \
	  "openings received from another data centre")                       \
	X(LOST_FLOWS, "lost_flows", "flows reset since their target is gone") \
	X(TARGET_PROBES, "target_probes", "connections to a silent target")

enum met_counter {
#define X(id, name, text) MET_##id,
	MET_COUNTERS(X)
#undef X
		MET_COUNT,
};

/* X(ID, "name", "description") */
#define MET_TIMES(X)                                   \
	X(OPENING, "opening_us",                       \
	  "from an opening sent to the target to its " \
	  "reply")                                     \
	X(ANSWER, "answer_us",                         \
	  "from a request sent to the target to the "  \
	  "first byte of its reply")                   \
	X(WAIT, "wait_us", "wait of an opening for room at a target")

enum met_time {
#define X(id, name, text) MET_TIME_##id,
	MET_TIMES(X)
#undef X
		MET_TIME_COUNT,
};

#define MET_FIRST_BUCKET_US 500
#define MET_BUCKETS 14 /* bounds up to 2 s; the last has no upper bound */

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

/* Counts one duration in its histogram bucket. */
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

/* Name of a duration, as exported in metrics. */
const char *met_time_name(enum met_time time);

/* Name of a counter, as exported in metrics and state dumps. */
const char *met_counter_name(enum met_counter counter);

#endif
