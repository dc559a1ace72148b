/*
 * relay_daemon - platform integration shared by both relay daemons
 *
 * Connects the daemon to the platform through the adapter (platform.h): the
 * platform's store, the registry that uses it, and the HTTP server for
 * readiness checks, metrics and the target's heartbeats.
 */
#ifndef JUJUBE_RELAY_DAEMON_H
#define JUJUBE_RELAY_DAEMON_H

#include "daemon.h"
#include "platform.h"

struct rld_hooks {
	/* Result of the readiness check: whether this process can serve. */
	int (*ready)(void *ctx);
	/* Agents only, else null: handles a heartbeat of the target. */
	enum jj_status (*heartbeat)(void *ctx,
				    const struct flw_heartbeat *heartbeat,
				    struct jj_error *err);
	/* Agents only, else null: the target has ended. */
	enum jj_status (*deregister)(void *ctx, const char *id);
	void *ctx;
};

struct rld {
	struct pf_store store;
	struct reg reg;
	struct hts hts;
	struct rld_hooks hooks;
	struct nod *nod;
	_Atomic int stopping; /* the readiness check fails from now on */
};

/* Sets up the store and the registry; exits on errors. */
void rld_init(struct rld *rld, const Jj__RegistrySection *settings,
	      const struct lio *log, const struct rld_hooks *hooks);
/*
 * After nod_init(): opens the HTTP addresses, each "ip:port" or "" for none.
 * The platform sends its checks to ready, the target its state to heartbeats.
 */
void rld_listen(struct rld *rld, struct nod *nod, const char *ready,
		const char *heartbeats);
/* After nod_start(): starts the HTTP server and the registry. */
void rld_start(struct rld *rld);
/* Stops everything; leave: remove the registry entry, see reg_finish(). */
void rld_finish(struct rld *rld, int leave);

#endif
