/*
 * daemon - command line, signals and settings, shared by all daemons
 *
 * SIGTERM or SIGINT starts a graceful shutdown, a second one ends the process
 * at once. SIGHUP reloads the settings. SIGUSR1 writes the state to standard
 * error.
 */
#ifndef JUJUBE_DAEMON_H
#define JUJUBE_DAEMON_H

#include "jujube/settings.h"
#include "node.h"

struct dmn_args {
	const char *config;
	int check_only;
};

/* Parses the command line; exits on errors, --help and --version. */
struct dmn_args dmn_parse_args(int argc, char **argv, const char *doc);

/*
 * Loads the settings. On an error prints the reason and exits with status 2;
 * with check_only exits after the check.
 */
ProtobufCMessage *dmn_load(const struct dmn_args *args,
			   const ProtobufCMessageDescriptor *type);

/* Prints an error in the format of dmn_load() and exits with status 1. */
void dmn_exit_error(const struct jj_error *err) __attribute__((noreturn));

/* Calls dmn_exit_error() unless status is JJ_OK. */
void dmn_check(enum jj_status status, const struct jj_error *err);

/* Fills in the members that come from the sections common to all daemons. */
void dmn_fill_node_desc(struct nod_desc *node,
			const Jj__IdentitySection *identity,
			const Jj__FleetSection *fleet);

/* Blocks the signals above in this thread and in threads that it starts. */
void dmn_block_signals(void);

struct dmn_hooks {
	/* SIGHUP: new, valid settings; they are freed after the call. */
	void (*reload)(void *ctx, const ProtobufCMessage *settings);
	void *ctx;
};

/* Handles signals until one requests a graceful shutdown. */
void dmn_wait(const struct dmn_args *args,
	      const ProtobufCMessageDescriptor *type, struct nod *nod,
	      const struct dmn_hooks *hooks);

/*
 * Waits until done() returns non-zero, for at most limit_ms. Another SIGTERM or
 * SIGINT ends the process at once.
 */
void dmn_drain(uint32_t limit_ms, int (*done)(void *ctx), void *ctx);

#endif
