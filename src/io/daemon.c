#include "daemon.h"

#include <argp.h>
#include <coap3/coap.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>
#include "net.h"

#define EXIT_SETTINGS 2

const char *argp_program_version = "jujubeworks 0.1";

/* -- command line -------------------------------------------------------- */

static error_t on_arg(int key, char *arg, struct argp_state *state)
{
	struct dmn_args *args = state->input;

	switch (key) {
	case 'c':
		args->config = arg;
		return 0;
	case 't':
		args->check_only = 1;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!args->config)
			argp_error(state, "-c FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

struct dmn_args dmn_parse_args(int argc, char **argv, const char *doc)
{
	static const struct argp_option options[] = {
		{ "config", 'c', "FILE", 0, "settings in INI form", 0 },
		{ "check", 't', NULL, 0, "check the settings and exit", 0 },
		{ 0 },
	};
	struct argp argp = { options, on_arg, NULL, doc, NULL, NULL, NULL };
	struct dmn_args args = { 0 };

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	return args;
}

void dmn_exit_error(const struct jj_error *err)
{
	fprintf(stderr, "<3>%s: %s\n", program_invocation_short_name,
		err->message);
	exit(EXIT_FAILURE);
}

void dmn_check(enum jj_status status, const struct jj_error *err)
{
	if (status != JJ_OK)
		dmn_exit_error(err);
}

void dmn_fill_node_desc(struct nod_desc *node,
			const Jj__IdentitySection *identity,
			const Jj__FleetSection *fleet)
{
	node->name = identity->name;
	node->data_centre = identity->data_centre;
	node->ip = identity->ip;
	node->control_port = (uint16_t)identity->control_port;
	node->data_port = (uint16_t)identity->data_port;
	node->key = fleet->key;
	node->seeds = fleet->seeds;
	node->probe_ms = fleet->probe_ms;
	node->suspect_ms = fleet->suspect_ms;
	node->gossip_ms = fleet->gossip_ms;
	node->members_max = fleet->members_max;
	node->rows_max = fleet->rows_max;
	node->lanes_max = fleet->lanes_max;
}

ProtobufCMessage *dmn_load(const struct dmn_args *args,
			   const ProtobufCMessageDescriptor *type)
{
	ProtobufCMessage *settings;
	struct jj_error err;

	/* Invalid packets are counted in metrics; libcoap must not log them. */
	coap_set_log_level(LOG_EMERG);
	if (set_load(args->config, type, &settings, &err) != JJ_OK) {
		fprintf(stderr, "<3>%s: JJ%d %s: %s\n",
			program_invocation_short_name, EV_BAD_SETTINGS,
			log_text(EV_BAD_SETTINGS), err.message);
		exit(EXIT_SETTINGS);
	}
	if (args->check_only) {
		printf("%s: settings are valid\n", args->config);
		exit(EXIT_SUCCESS);
	}
	return settings;
}

/* -- signals ------------------------------------------------------------- */

static sigset_t handled_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGUSR1);
	return set;
}

void dmn_block_signals(void)
{
	sigset_t set = handled_signals();

	signal(SIGPIPE, SIG_IGN);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

static void reload(const struct dmn_args *args,
		   const ProtobufCMessageDescriptor *type, struct nod *nod,
		   const struct dmn_hooks *hooks)
{
	ProtobufCMessage *settings;
	struct jj_error err;

	if (set_load(args->config, type, &settings, &err) != JJ_OK) {
		log_put(&nod->desc.log->sink, EV_RELOAD_FAILED, "%s",
			err.message);
		return;
	}
	hooks->reload(hooks->ctx, settings);
	set_free(settings);
	log_put(&nod->desc.log->sink, EV_RELOADED, "file=%s", args->config);
}

void dmn_wait(const struct dmn_args *args,
	      const ProtobufCMessageDescriptor *type, struct nod *nod,
	      const struct dmn_hooks *hooks)
{
	sigset_t set = handled_signals();

	for (;;) {
		int sig;

		if (sigwait(&set, &sig))
			continue;
		if (sig == SIGHUP) {
			reload(args, type, nod, hooks);
		} else if (sig == SIGUSR1) {
			nod_dump(nod, stderr);
		} else {
			log_put(&nod->desc.log->sink, EV_STOPPING, "signal=%d",
				sig);
			return;
		}
	}
}

void dmn_drain(uint32_t limit_ms, int (*done)(void *ctx), void *ctx)
{
	struct timespec step = { .tv_nsec = 50 * 1000000 };
	sigset_t set = handled_signals();
	uint64_t until = net_now_ms() + limit_ms;

	while (net_now_ms() < until && !done(ctx)) {
		int sig = sigtimedwait(&set, NULL, &step);

		if (sig == SIGTERM || sig == SIGINT)
			_exit(EXIT_FAILURE);
	}
}
