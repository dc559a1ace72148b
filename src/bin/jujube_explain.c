#include "jujube_explain.h"

#include <sodium.h>
#include <stdio.h>
#include <unistd.h>
#include "jujube/settings.h"
#include "net.h"
#include "node.h"

#define REPLY_TIMEOUT_MS 2000 /* as for transfers between processes */

enum { DONE = 0, NO_ANSWER = 1, BAD_INPUT = 2 };

struct question {
	Jj__ExplainRequest request;
	uint32_t agent_ip;
	uint16_t agent_port;
};

static int parse_address(const char *what, const char *text, uint32_t *ip,
			 uint16_t *port)
{
	struct jj_error err;

	if (tbl_parse_address(text, ip, port, &err) == JJ_OK)
		return 1;
	fprintf(stderr, "jujube: %s: %s\n", what, err.message);
	return 0;
}

/* settings: those of the agent that is asked unless args name another. */
static int parse_question(const Jj__RelayAgentSettings *settings,
			  char *const *args, int count,
			  struct question *question)
{
	uint32_t ip;
	uint16_t port;

	jj__explain_request__init(&question->request);
	if (!parse_address("caller", args[0], &ip, &port))
		return 0;
	question->request.caller_ip = ip;
	question->request.caller_port = port;
	if (!parse_address("service", args[1], &ip, &port))
		return 0;
	question->request.service_ip = ip;
	question->request.service_port = port;
	question->agent_ip = net_parse_ip(settings->identity->ip);
	question->agent_port = (uint16_t)settings->identity->control_port;
	return count < 3 || parse_address("agent", args[2], &question->agent_ip,
					  &question->agent_port);
}

/*
 * The sender's id is the same for all runs on a host, so that they use one
 * lane of the agent's replay check.
 */
static uint64_t sender_id(void)
{
	char host[TBL_NAME_MAX] = "";
	char name[TBL_NAME_MAX + 16];

	gethostname(host, sizeof(host) - 1);
	snprintf(name, sizeof(name), "jujube@%s", host);
	return rnk_name_id(name);
}

static int ask(struct nod *client, struct question *question)
{
	static struct nod_lane lane;
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Envelope *reply;
	int code = NO_ANSWER;

	env.body_case = JJ__ENVELOPE__BODY_EXPLAIN_REQUEST;
	env.explain_request = &question->request;
	nod_lane_init(client, &lane, NOD_LANE_ADMIN);
	reply = nod_request(client, &lane, question->agent_ip,
			    question->agent_port, &env, REPLY_TIMEOUT_MS);
	if (reply && reply->body_case == JJ__ENVELOPE__BODY_DUMP_REPLY) {
		fputs(reply->dump_reply->text, stdout);
		code = DONE;
	} else {
		fprintf(stderr,
			"jujube: no answer from %s; it must be the control "
			"address of a relay agent with the same [fleet] key "
			"that knows this command\n",
			net_format_address(question->agent_ip,
					   question->agent_port));
	}
	if (reply)
		jj__envelope__free_unpacked(reply, NULL);
	return code;
}

int exp_run(const char *settings, char *const *args, int count)
{
	static struct nod client;
	const Jj__RelayAgentSettings *agent;
	struct question question;
	ProtobufCMessage *msg;
	struct jj_error err;
	int code = BAD_INPUT;

	if (count < 2 || count > 3) {
		fprintf(stderr, "jujube: usage: explain CALLER SERVICE "
				"[AGENT], each ip:port\n");
		return BAD_INPUT;
	}
	if (set_load(settings, &jj__relay_agent_settings__descriptor, &msg,
		     &err) != JJ_OK) {
		fprintf(stderr, "jujube: %s\n", err.message);
		return BAD_INPUT;
	}
	agent = (const void *)msg;
	client.id = sender_id();
	client.incarnation = net_wall_ms();
	if (sodium_init() < 0)
		code = NO_ANSWER;
	else if (frm_key_parse(&client.key, agent->fleet->key, &err) != JJ_OK)
		fprintf(stderr, "jujube: %s\n", err.message);
	else if (parse_question(agent, args, count, &question))
		code = ask(&client, &question);
	set_free(msg);
	return code;
}
