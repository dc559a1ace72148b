/*
 * relay_daemon - what both daemons need to relay flows on the users' platform
 *
 * The platform's store, the registry that uses it, and the addresses where
 * the platform and the target call. Attaches the adapter to the product.
 */
#ifndef JUJUBE_RELAY_DAEMON_H
#define JUJUBE_RELAY_DAEMON_H

#include "daemon.h"
#include "platform.h"

struct rld_hooks {
	int (*ready)(void *ctx);
	/* Agents only: what the target says of itself. */
	enum jj_status (*heartbeat)(void *ctx, const struct flw_report *report,
				    struct jj_error *err);
	enum jj_status (*deregister)(void *ctx, const char *id);
	void *ctx;
};

struct rld {
	struct pf_store store;
	struct reg reg;
	struct hts hts;
	struct rld_hooks hooks;
	struct nod *nod;
	_Atomic int stopping; /* the readiness check answers "no" */
};

/* Opens the store. */
void rld_init(struct rld *rld, const Jj__RegistrySection *settings,
	      const struct lio *log, const struct rld_hooks *hooks);
/* After nod_init(): where to answer calls; an empty address is none. */
void rld_listen(struct rld *rld, struct nod *nod, const char *ready,
		const char *heartbeats);
/* After nod_start(). */
void rld_start(struct rld *rld);
/* leave: see reg_finish(). */
void rld_finish(struct rld *rld, int leave);

#endif
