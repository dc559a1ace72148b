#include "jujube/probe.h"

void prb_restart(struct prb *prb)
{
	*prb = (struct prb){ .silence_us = prb->silence_us,
			     .began_at = prb->began_at,
			     .start_probes = PRB_START_PROBES };
}

void prb_on_asked(struct prb *prb, uint32_t outstanding, uint64_t now)
{
	if (!prb->asked_at || !outstanding)
		prb->asked_at = now;
}

void prb_on_unanswered(struct prb *prb)
{
	prb->unanswered = 1;
}

void prb_on_heard(struct prb *prb, uint64_t now)
{
	prb->heard_at = now;
	prb->asked_at = 0;
	prb->running = 0;
	prb->unanswered = 0;
}

void prb_on_contradiction(struct prb *prb)
{
	prb->contradicted = 1;
}

int prb_has_listened(const struct prb *prb)
{
	return prb->accepted;
}

uint64_t prb_silent_since(const struct prb *prb)
{
	return prb->asked_at > prb->heard_at ? prb->asked_at : prb->heard_at;
}

enum prb_reason prb_due(const struct prb *prb, uint32_t outstanding,
			int no_heartbeat, uint64_t now)
{
	if (!prb->silence_us || prb->contradicted)
		return PRB_NOT_DUE;
	if (prb->began_at && now < prb->began_at + PRB_INTERVAL_US)
		return PRB_NOT_DUE;
	if (prb->unanswered)
		return PRB_UNANSWERED;
	if (outstanding && now >= prb_silent_since(prb) + prb->silence_us)
		return PRB_SILENT;
	if (prb->start_probes)
		return PRB_STARTED;
	return no_heartbeat ? PRB_NO_HEARTBEAT : PRB_NOT_DUE;
}

void prb_begin(struct prb *prb, uint64_t now)
{
	prb->began_at = now;
	prb->running = 1;
	if (prb->start_probes)
		prb->start_probes--;
	/* The next opening that is not answered asks for another probe. */
	prb->unanswered = 0;
}

int prb_end(struct prb *prb, uint64_t began_at, enum prb_result result,
	    uint64_t now)
{
	if (!prb->running || prb->began_at != began_at)
		return 0;
	prb->running = 0;
	if (result == PRB_ACCEPTED) {
		prb->accepted = 1;
		prb->start_probes = 0;
	}
	if (result != PRB_REFUSED || !prb->accepted || prb->contradicted ||
	    now > began_at + PRB_RESULT_MAX_US)
		return 0;
	prb->unanswered = 0;
	return 1;
}
