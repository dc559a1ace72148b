/* jujube - command-line client of the balancers' admin interface. */
#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "jujube/settings.h"
#include "jujube/table.h"
#include "jujube_explain.h"
#include "net.h"

enum exit_code {
	DONE = 0,
	FAILED = 1,
	USAGE = 2,
	NOT_CONFIRMED = 3, /* accepted; not confirmed by all members in time */
	CONFLICT = 4,
	REFUSED = 5,
	OUTCOME_UNKNOWN = 6, /* the change may still be accepted or refused */
};

#define ARGS_MAX 64
#define STATUS_POLL_MS 200

const char *argp_program_version = "jujubeworks 0.1";

struct cli {
	const char *config;
	const char *why;
	const char *who;
	int wait;
	char *args[ARGS_MAX];
	int arg_count;
	Jj__OperatorSettings *settings;
	char id[32]; /* change id, makes retries idempotent */
};

/* -- HTTP ---------------------------------------------------------------- */

struct response {
	long code; /* HTTP status, 0: no response */
	char *body;
	size_t len;
};

static size_t append_body(char *data, size_t size, size_t count, void *ctx)
{
	struct response *response = ctx;
	size_t len = size * count;
	char *resized = realloc(response->body, response->len + len + 1);

	if (!resized)
		return 0;
	response->body = resized;
	memcpy(resized + response->len, data, len);
	response->len += len;
	resized[response->len] = '\0';
	return len;
}

static struct curl_slist *build_headers(const struct cli *cli)
{
	struct curl_slist *list = NULL;
	char line[512];

	snprintf(line, sizeof(line), "Authorization: Bearer %s",
		 cli->settings->operator_->token);
	list = curl_slist_append(list, line);
	snprintf(line, sizeof(line), "X-Who: %s", cli->who);
	list = curl_slist_append(list, line);
	snprintf(line, sizeof(line), "X-Why: %s", cli->why);
	list = curl_slist_append(list, line);
	snprintf(line, sizeof(line), "X-Change-Id: %s", cli->id);
	list = curl_slist_append(list, line);
	/* The balancer waits for half of this program's timeout. */
	snprintf(line, sizeof(line), "X-Wait-Ms: %u",
		 cli->settings->operator_->timeout_s * 500);
	return curl_slist_append(list, line);
}

/* Sends one request to one balancer. The response's body is on the heap. */
static struct response send_to_balancer(const struct cli *cli,
					const char *address, const char *path,
					const char *body)
{
	struct response response = { 0 };
	struct curl_slist *headers = build_headers(cli);
	CURL *curl = curl_easy_init();
	char url[600];

	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT,
			 (long)cli->settings->operator_->timeout_s);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response);
	if (body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(body));
	}
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.code);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	if (!response.body)
		response.body = calloc(1, 1);
	return response;
}

/*
 * Tries the balancers in turn until one responds with other than 503. The
 * change id makes it safe to send the same change to several.
 */
static struct response send_request(const struct cli *cli, const char *path,
				    const char *body)
{
	struct response response = { 0 };
	char *copy = strdup(cli->settings->operator_->admin);
	char *rest = copy;
	char *address;

	while ((address = strsep(&rest, ","))) {
		address += strspn(address, " ");
		if (!*address)
			continue;
		free(response.body);
		response = send_to_balancer(cli, address, path, body);
		if (response.code && response.code != 503)
			break;
	}
	free(copy);
	return response;
}

static enum exit_code print_response(struct response response)
{
	enum exit_code code = response.code == 200 ? DONE : FAILED;

	if (!response.code)
		fprintf(stderr, "jujube: no balancer answers\n");
	else if (code == DONE)
		fputs(response.body, stdout);
	else
		fprintf(stderr, "jujube: %s", response.body);
	free(response.body);
	return code;
}

/* -- waiting for confirmation -------------------------------------------- */

/* Counts the members below a table revision; prints them if print is set. */
static int count_unconfirmed(json_t *status, json_int_t revision, int print)
{
	json_t *members = json_object_get(status, "members");
	json_t *member;
	size_t i;
	int unconfirmed = 0;

	json_array_foreach(members, i, member)
	{
		json_int_t member_revision =
			json_integer_value(json_object_get(member, "revision"));

		if (member_revision >= revision)
			continue;
		unconfirmed++;
		if (print)
			printf("not confirmed: %s (%s) has revision %lld\n",
			       json_string_value(
				       json_object_get(member, "name")),
			       json_string_value(
				       json_object_get(member, "liveness")),
			       (long long)member_revision);
	}
	return unconfirmed;
}

static enum exit_code wait_until_confirmed(const struct cli *cli,
					   json_int_t revision)
{
	uint64_t deadline_ms =
		net_now_ms() + cli->settings->operator_->timeout_s * 1000ull;

	for (;;) {
		struct response response =
			send_request(cli, "/v1/status", NULL);
		json_t *status = json_loads(response.body, 0, NULL);
		int timed_out = net_now_ms() >= deadline_ms;
		int up_to_date =
			status && json_integer_value(json_object_get(
					  status, "revision")) >= revision;
		int unconfirmed =
			count_unconfirmed(status, revision, timed_out);

		free(response.body);
		json_decref(status);
		if (up_to_date && !unconfirmed) {
			printf("in force everywhere: revision %lld\n",
			       (long long)revision);
			return DONE;
		}
		if (timed_out)
			return NOT_CONFIRMED;
		usleep(STATUS_POLL_MS * 1000);
	}
}

/* -- changes ------------------------------------------------------------- */

static enum exit_code report_change(const struct cli *cli,
				    struct response response)
{
	json_t *json = json_loads(response.body ? response.body : "", 0, NULL);
	const char *outcome =
		json_string_value(json_object_get(json, "outcome"));
	const char *message =
		json_string_value(json_object_get(json, "message"));
	json_int_t revision =
		json_integer_value(json_object_get(json, "revision"));
	enum exit_code code = FAILED;

	if (!outcome && response.code) {
		fprintf(stderr, "jujube: %s", response.body);
	} else if (!outcome || !strcmp(outcome, "settling")) {
		printf("unknown, still settling: ask again with 'jujube "
		       "change %s'\n",
		       cli->id);
		code = OUTCOME_UNKNOWN;
	} else if (!strcmp(outcome, "accepted")) {
		printf("accepted: revision %lld\n", (long long)revision);
		code = DONE;
	} else if (!strcmp(outcome, "conflict")) {
		printf("conflict: %s\n", message);
		code = CONFLICT;
	} else {
		printf("refused: %s\n", message);
		code = REFUSED;
	}
	json_decref(json);
	free(response.body);
	if (code == DONE && cli->wait)
		code = wait_until_confirmed(cli, revision);
	return code;
}

static enum exit_code post_change(const struct cli *cli, const char *csv)
{
	return report_change(cli, send_request(cli, "/v1/table", csv));
}

static enum exit_code put_file(const struct cli *cli, const char *path)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t capacity = 0;
	enum exit_code code;

	if (!in || getdelim(&text, &capacity, '\0', in) < 0) {
		fprintf(stderr, "jujube: %s cannot be read\n", path);
		if (in)
			fclose(in);
		free(text);
		return FAILED;
	}
	fclose(in);
	code = post_change(cli, text);
	free(text);
	return code;
}

/*
 * Sets columns of one row to the values in pairs of "column=value". The
 * version column ("REVISION-HASH", empty for a new row) names the revision
 * that the change is based on; the hash 0 marks the row as edited.
 */
static enum exit_code set_row(const struct cli *cli, const char *kind,
			      const char *name, char **pairs, int count)
{
	char path[300];
	char columns[400] = "kind,name,version";
	char values[800];
	char csv[1300];
	struct response response;
	int i;

	snprintf(path, sizeof(path), "/v1/version?kind=%s&name=%s", kind, name);
	response = send_request(cli, path, NULL);
	if (response.code != 200)
		return print_response(response);
	snprintf(values, sizeof(values), "%s,%s,%s", kind, name,
		 strcmp(response.body, "0") ? response.body : "");
	if (strcmp(response.body, "0"))
		strncat(values, "-0", sizeof(values) - strlen(values) - 1);
	free(response.body);
	for (i = 0; i < count; i++) {
		char *value = strchr(pairs[i], '=');

		if (!value) {
			fprintf(stderr, "jujube: '%s' is not column=value\n",
				pairs[i]);
			return USAGE;
		}
		*value++ = '\0';
		strncat(columns, ",", sizeof(columns) - strlen(columns) - 1);
		strncat(columns, pairs[i],
			sizeof(columns) - strlen(columns) - 1);
		strncat(values, ",", sizeof(values) - strlen(values) - 1);
		strncat(values, value, sizeof(values) - strlen(values) - 1);
	}
	snprintf(csv, sizeof(csv), "%s\n%s\n", columns, values);
	return post_change(cli, csv);
}

static enum exit_code set_state(const struct cli *cli, const char *state)
{
	char pair[32];
	char *pairs[] = { pair };

	snprintf(pair, sizeof(pair), "state=%s", state);
	return set_row(cli, cli->args[1], cli->args[2], pairs, 1);
}

/* -- status -------------------------------------------------------------- */

static const char *text_field(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text && *text ? text : "-";
}

static long long number_field(json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static enum exit_code show_status(const struct cli *cli)
{
	struct response response = send_request(cli, "/v1/status", NULL);
	json_t *status = json_loads(response.body, 0, NULL);
	json_t *item;
	json_int_t revision;
	size_t i;
	int unconfirmed;

	if (response.code != 200 || !status) {
		json_decref(status);
		return print_response(response);
	}
	free(response.body);
	revision = number_field(status, "revision");
	printf("revision %lld, reported by %s, platform %s\n\n",
	       (long long)revision, text_field(status, "process"),
	       text_field(status, "platform"));
	printf("%-12s %-20s %-9s %6s %8s  %-12s %s\n", "KIND", "NAME", "STATE",
	       "WEIGHT", "REVISION", "WHO", "WHY");
	json_array_foreach(json_object_get(status, "rows"), i, item)
		printf("%-12s %-20s %-9s %6lld %8lld  %-12s %s\n",
		       text_field(item, "kind"), text_field(item, "name"),
		       text_field(item, "state"), number_field(item, "weight"),
		       number_field(item, "revision"), text_field(item, "who"),
		       text_field(item, "why"));
	printf("\n%-20s %-9s %-12s %-10s %-14s %-8s %-9s %8s\n", "PROCESS",
	       "ROLE", "DATA-CENTRE", "SERVICE", "TARGET", "LIVE", "PHASE",
	       "REVISION");
	json_array_foreach(json_object_get(status, "members"), i, item) printf(
		"%-20s %-9s %-12s %-10s %-14s %-8s %-9s %8lld\n",
		text_field(item, "name"), text_field(item, "role"),
		text_field(item, "data_centre"), text_field(item, "service"),
		text_field(item, "target"), text_field(item, "liveness"),
		text_field(item, "phase"), number_field(item, "revision"));
	unconfirmed = count_unconfirmed(status, revision, 0);
	printf("\n%s", unconfirmed ? "" : "in force everywhere\n");
	if (unconfirmed)
		count_unconfirmed(status, revision, 1);
	json_decref(status);
	return DONE;
}

/* -- commands ------------------------------------------------------------ */

static int arg_is(const struct cli *cli, int at, const char *word)
{
	return at < cli->arg_count && !strcmp(cli->args[at], word);
}

static enum exit_code fetch_and_print(const struct cli *cli, const char *prefix,
				      const char *suffix)
{
	char path[300];

	snprintf(path, sizeof(path), "%s%s", prefix, suffix);
	return print_response(send_request(cli, path, NULL));
}

static enum exit_code run_table(const struct cli *cli)
{
	if (arg_is(cli, 1, "get") && cli->arg_count == 2)
		return fetch_and_print(cli, "/v1/table", "");
	if (arg_is(cli, 1, "put") && cli->arg_count == 3)
		return put_file(cli, cli->args[2]);
	if (arg_is(cli, 1, "set") && cli->arg_count >= 5)
		return set_row(cli, cli->args[2], cli->args[3],
			       (char **)cli->args + 4, cli->arg_count - 4);
	return USAGE;
}

static enum exit_code run(const struct cli *cli)
{
	int n = cli->arg_count;

	if (arg_is(cli, 0, "table"))
		return run_table(cli);
	if (arg_is(cli, 0, "drain") && n == 3)
		return set_state(cli, "draining");
	if (arg_is(cli, 0, "out") && n == 3)
		return set_state(cli, "out");
	if (arg_is(cli, 0, "in") && n == 3)
		return set_state(cli, "in");
	if (arg_is(cli, 0, "remove") && n == 3)
		return set_state(cli, "removed");
	if (arg_is(cli, 0, "status") && n == 1)
		return show_status(cli);
	if (arg_is(cli, 0, "changes") && n == 1)
		return fetch_and_print(cli, "/v1/changes", "");
	if (arg_is(cli, 0, "change") && n == 2)
		return report_change(cli,
				     send_request(cli, cli->args[1], NULL));
	if (arg_is(cli, 0, "dump") && n <= 2)
		return fetch_and_print(
			cli, "/v1/dump?process=", n == 2 ? cli->args[1] : "");
	if (arg_is(cli, 0, "metrics") && n == 1)
		return fetch_and_print(cli, "/v1/metrics", "");
	return USAGE;
}

/* -- command line -------------------------------------------------------- */

enum { OPT_WAIT = 1000 };

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct cli *cli = state->input;

	switch (key) {
	case 'c':
		cli->config = arg;
		return 0;
	case 'm':
		cli->why = arg;
		return 0;
	case OPT_WAIT:
		cli->wait = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (cli->arg_count == ARGS_MAX)
			argp_usage(state);
		cli->args[cli->arg_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!cli->config)
			argp_error(state, "-c FILE is required");
		if (!cli->arg_count)
			argp_error(state, "a command is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const char doc[] =
	"Edits the table and shows what the fleet does.\v"
	"Commands:\n"
	"  table get                        the table as CSV\n"
	"  table put FILE.csv               apply the edited rows in FILE\n"
	"  table set KIND NAME COLUMN=VALUE...\n"
	"  drain|out|in|remove KIND NAME    change the state of a row\n"
	"  status                           table, and who has confirmed it\n"
	"  changes                          accepted changes\n"
	"  change ID                        outcome of a change\n"
	"  dump [PROCESS]                   state of a process\n"
	"  metrics                          counters of a balancer\n"
	"  explain CALLER SERVICE [AGENT]   where a relay agent would open a "
	"flow now\n"
	"KIND is service, data-centre, target or route. For explain, FILE is "
	"the settings of a relay agent, which is asked unless AGENT names the "
	"control address of another; each argument is ip:port.\n"
	"Exit status: 0 done, 1 failed, 2 usage or settings, 3 accepted but "
	"not confirmed by all, 4 conflict, 5 refused, 6 outcome unknown, "
	"still settling.";

static void parse_args(struct cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "config", 'c', "FILE", 0,
		  "settings, of the operator if not stated otherwise", 0 },
		{ "why", 'm', "TEXT", 0, "reason, stored with the row", 0 },
		{ "wait", OPT_WAIT, NULL, 0, "wait until in force everywhere",
		  0 },
		{ 0 },
	};
	struct argp argp = { options, parse_option, "COMMAND...", doc,
			     NULL,    NULL,	    NULL };

	argp_parse(&argp, argc, argv, 0, NULL, cli);
}

static void generate_change_id(struct cli *cli)
{
	uint8_t bytes[12];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(cli->id, sizeof(cli->id), bytes, sizeof(bytes));
}

int main(int argc, char **argv)
{
	static struct cli cli = { .why = "" };
	ProtobufCMessage *settings;
	struct jj_error err;
	enum exit_code code;
	char path[300];

	parse_args(&cli, argc, argv);
	if (arg_is(&cli, 0, "explain"))
		return exp_run(cli.config, cli.args + 1, cli.arg_count - 1);
	if (set_load(cli.config, &jj__operator_settings__descriptor, &settings,
		     &err) != JJ_OK) {
		fprintf(stderr, "jujube: %s\n", err.message);
		return USAGE;
	}
	if (sodium_init() < 0)
		return FAILED;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	cli.settings = (void *)settings;
	cli.who = cli.settings->operator_->who;
	generate_change_id(&cli);
	if (arg_is(&cli, 0, "change") && cli.arg_count == 2) {
		snprintf(cli.id, sizeof(cli.id), "%s", cli.args[1]);
		snprintf(path, sizeof(path), "/v1/change?id=%s", cli.id);
		cli.args[1] = path; /* run() requests it */
	}
	code = run(&cli);
	if (code == USAGE)
		fprintf(stderr, "jujube: unknown command; see --help\n");
	set_free(settings);
	curl_global_cleanup();
	return code;
}
