/*
 * daemon - command line, signals and settings shared by the daemons
 *
 * SIGTERM or SIGINT begins a planned stop, a second one ends the process at
 * once; SIGHUP reads the settings again; SIGUSR1 writes the state to
 * standard error.
 */
#ifndef JUJUBE_DAEMON_H
#define JUJUBE_DAEMON_H

#include "jujube/settings.h"
#include "node.h"

struct dmn_args {
	const char *config;
	int check_only;
};

/* Reads the command line by argp; exits on errors, --help and --version. */
struct dmn_args dmn_parse_args(int argc, char **argv, const char *doc);

/* Loads settings or prints the reason and exits with status 2. */
ProtobufCMessage *dmn_load(const struct dmn_args *args,
			   const ProtobufCMessageDescriptor *type);

/* Prints an error in the form of dmn_load() and exits with status 1. */
void dmn_exit_error(const struct jj_error *err) __attribute__((noreturn));

/* dmn_exit_error() unless status is JJ_OK. */
void dmn_check(enum jj_status status, const struct jj_error *err);

/* Fills in what both daemons take from the same sections. */
void dmn_fill_node_desc(struct nod_desc *node,
			const Jj__IdentitySection *identity,
			const Jj__FleetSection *fleet);

/* Blocks the signals above in this thread and those that it starts. */
void dmn_block_signals(void);

struct dmn_hooks {
	/* SIGHUP: fresh settings, checked; the hook does not keep them. */
	void (*reload)(void *ctx, const ProtobufCMessage *settings);
	void *ctx;
};

/* Handles signals until a planned stop is asked for. */
void dmn_wait(const struct dmn_args *args,
	      const ProtobufCMessageDescriptor *type, struct nod *nod,
	      const struct dmn_hooks *hooks);

/*
 * Waits until done() or bound_ms are over. A further SIGTERM or SIGINT ends
 * the process at once.
 */
void dmn_drain(uint32_t bound_ms, int (*done)(void *ctx), void *ctx);

#endif
