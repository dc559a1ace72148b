/*
 * flow_explain - where an opening would be placed now, and why
 *
 * Answers an operator's question about one caller and address without effect:
 * nothing is sent, recorded or counted. The decision comes from the functions
 * that place openings (flow_place.c), send them to another data centre
 * (flow_spill.c) or let them wait (flow_wait.c). It holds for the moment at which it is
 * made and for a first copy of an opening; the load reports that it is based on
 * are those of the agent that is asked, so the flow's home should be asked.
 *
 * Load pattern: any; it is for openings that were refused or that went to an
 * unexpected target while the load persists.
 */
#ifndef JUJUBE_FLOW_EXPLAIN_H
#define JUJUBE_FLOW_EXPLAIN_H

#include "jujube/flow.h"

/* data centres whose homes are listed; the deployments have 3 */
#define FLW_EXPLAIN_HOMES 16

enum flw_decision {
	FLW_DECIDES_DROP, /* not handled here, see why */
	FLW_DECIDES_DELIVER, /* the target has the flow; the packet goes to it */
	FLW_DECIDES_OPEN, /* at the target of the agent that is asked */
	FLW_DECIDES_PLACE, /* at the target of another agent */
	FLW_DECIDES_WAIT, /* for room, at the agent that is asked */
	FLW_DECIDES_REFUSE, /* the caller gets a reset */
	FLW_DECIDES_SPILL, /* sent to the gateway of another data centre */
	FLW_DECIDES_PASS, /* waits at another agent of the data centre */
};

/* An agent whose target was considered. */
struct flw_candidate {
	uint64_t agent;
	uint64_t data_centre; /* id of its name, 0: not a member */
	uint32_t load; /* requests in progress */
	uint32_t cap;
	uint32_t typical_us; /* of a request, 0: not known */
	uint64_t report_age_us; /* 0 for the agent that is asked */
	uint32_t queued; /* openings that wait there by terms */
	uint32_t cost; /* the lowest is chosen; valid if why is null */
	uint8_t avoided; /* comes after all that are not */
	const char *why; /* reason that it cannot be chosen, or null */
};

/* The home of the flow if it enters through this data centre. */
struct flw_explained_home {
	uint64_t data_centre;
	uint64_t balancer; /* one of the data centre */
	uint64_t agent;
};

struct flw_explanation {
	enum flw_decision decision;
	uint64_t key;
	uint64_t revision; /* of the table */
	uint64_t me; /* the agent that is asked */
	uint64_t service; /* that the route selects for this flow, 0: none */
	uint64_t agent; /* where the opening goes, or 0 */
	uint64_t recorded_holder; /* of an earlier copy, or 0 */
	const char *why; /* of a drop, a wait or a refusal */
	uint8_t by_rank; /* chosen by rank, since no load report is fresh */
	struct viw_terms terms;
	uint64_t wait_limit_us; /* longest wait for room at this agent */
	uint32_t waiting; /* openings that wait for room here */
	/*
	 * Wait for a slot of this data centre, UINT64_MAX: no target takes
	 * flows.
	 */
	uint64_t local_wait_us;
	struct spl_choice spill; /* valid if the decision is to spill */
	uint8_t by_terms; /* openings to the route wait by its terms */
	uint8_t estimated; /* estimate_us is valid */
	uint8_t late; /* waits, but exceeds the target latency */
	uint64_t estimate_us; /* expected wait in the queue here */
	struct flw_explained_home homes[FLW_EXPLAIN_HOMES];
	uint32_t home_count;
	struct flw_candidate candidates[FLW_PEERS_MAX + 1];
	uint32_t candidate_count;
};

/*
 * Explains an opening of a caller to an address, as if this agent were its home
 * and the opening had entered through this agent's data centre. No lock may be
 * held.
 */
void flw_explain(const struct flw_call *call, const struct flw_packet *opening,
		 struct flw_explanation *out);

/* Word for a decision, as in the output of `jujube explain`. */
const char *flw_decision_name(enum flw_decision decision);

#endif
