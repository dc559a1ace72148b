/*
 * probe - when an agent probes its target, and what the result proves
 *
 * Handles targets that crash under load. Callers of a crashed target wait until
 * their own deadlines, 2 to 10 s, since nobody tells them that the target's
 * process is gone. A silent target is probed by opening a connection to its
 * address. If that is refused, no process listens there, and every flow that
 * the target was given before the probe began is gone. A target need not listen
 * for connections in order to serve packets: a refusal is proof only if the
 * target has accepted a connection since its start, for which it is probed once
 * after its first heartbeat.
 *
 * All other results prove nothing: a frozen process still accepts connections,
 * a full accept queue or a cut link lets them time out, and other errors are
 * those of this host. A packet of the target that arrives while the probe runs
 * contradicts a refusal. After a refusal, a packet or a heartbeat of the same
 * start shows that the target's address is filtered; refusals then prove
 * nothing until a heartbeat of a new start arrives.
 *
 * Plain values without locks: the owner has to lock. Times are microseconds of
 * a monotonic clock; 0 means never.
 */
#ifndef JUJUBE_PROBE_H
#define JUJUBE_PROBE_H

#include <stdint.h>

/*
 * Least time between the starts of two probes. Callers are to be notified
 * within 1 s of a crash, also if the first probe fails.
 */
#define PRB_INTERVAL_US 500000
/*
 * A result that is read later proves nothing: this process was paused or
 * starved, and packets of the target may wait in its sockets. A refusal on the
 * same host arrives at once; an agent reads it in its next tick, 20 ms later.
 */
#define PRB_RESULT_MAX_US 250000
/* Probes after a start until the target is taken as one that never listens. */
#define PRB_START_PROBES 3

enum prb_reason {
	PRB_NOT_DUE,
	PRB_UNANSWERED, /* an opening was not answered */
	PRB_SILENT, /* no packet for silence_us, a request is outstanding */
	PRB_NO_HEARTBEAT, /* the heartbeats have stopped */
	PRB_STARTED, /* not known yet whether the target listens */
};

enum prb_result {
	PRB_ACCEPTED,
	PRB_REFUSED,
	PRB_UNKNOWN, /* timed out, or another error */
};

struct prb {
	uint32_t silence_us; /* 0: the target is never probed */
	uint64_t heard_at; /* last packet of the target */
	/* first opening or request since the last packet of the target */
	uint64_t asked_at;
	uint64_t began_at; /* start of the latest probe */
	uint8_t running; /* the latest probe has no result yet */
	/* an opening was not answered since heard_at and began_at */
	uint8_t unanswered;
	uint8_t contradicted; /* a refusal has proved wrong */
	uint8_t accepted; /* the target has listened since its start */
	uint8_t start_probes; /* still to be made because of the start */
};

/* Call when a target starts. */
void prb_restart(struct prb *prb);

/* outstanding: requests that the target had in progress before this one. */
void prb_on_asked(struct prb *prb, uint32_t outstanding, uint64_t now);
void prb_on_unanswered(struct prb *prb);
/* The target sent a packet. */
void prb_on_heard(struct prb *prb, uint64_t now);
/* The target lives although a probe was refused. */
void prb_on_contradiction(struct prb *prb);

/*
 * Why a probe is due now. outstanding: requests in progress; no_heartbeat: the
 * target's heartbeats have stopped.
 */
enum prb_reason prb_due(const struct prb *prb, uint32_t outstanding,
			int no_heartbeat, uint64_t now);
void prb_begin(struct prb *prb, uint64_t now);

/*
 * Ends the probe that began at began_at. Returns 1 if it proves that the
 * target's process is gone.
 */
int prb_end(struct prb *prb, uint64_t began_at, enum prb_result result,
	    uint64_t now);

/* Whether the target has accepted a connection since its start. */
int prb_has_listened(const struct prb *prb);

/* Start of the current silence. */
uint64_t prb_silent_since(const struct prb *prb);

#endif
