#include "admin.h"

#include <jansson.h>
#include <microhttpd.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include "net.h"

#define BODY_MAX (4u << 20) /* bytes of a request body */
#define WAIT_MAX_MS 60000 /* limit of X-Wait-Ms */
#define IDLE_TIMEOUT_S 30 /* idle connections are closed after this */
#define DEFAULT_WAIT_MS 10000 /* without a usable X-Wait-Ms header */
#define DUMP_TIMEOUT_MS 2000

struct request {
	char *body;
	size_t len;
	int too_large;
};

/* -- responses ----------------------------------------------------------- */

static enum MHD_Result reply_text(struct MHD_Connection *conn, unsigned code,
				  const char *type, char *text)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (!text)
		text = strdup("out of memory\n");
	response = MHD_create_response_from_buffer(text ? strlen(text) : 0,
						   text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", type);
	result = MHD_queue_response(conn, code, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_plain(struct MHD_Connection *conn, unsigned code,
				   const char *text)
{
	return reply_text(conn, code, "text/plain", strdup(text));
}

static enum MHD_Result reply_json(struct MHD_Connection *conn, unsigned code,
				  json_t *json)
{
	char *text = json_dumps(json, JSON_INDENT(1));

	json_decref(json);
	return reply_text(conn, code, "application/json", text);
}

/* -- table --------------------------------------------------------------- */

static enum MHD_Result get_table(struct adn *adn, struct MHD_Connection *conn)
{
	char *text;

	pthread_mutex_lock(&adn->nod->lock);
	text = tbl_to_csv(&adn->nod->tbl);
	pthread_mutex_unlock(&adn->nod->lock);
	return reply_text(conn, MHD_HTTP_OK, "text/csv", text);
}

static const char *query(struct MHD_Connection *conn, const char *name)
{
	const char *value =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return value ? value : "";
}

static const char *header(struct MHD_Connection *conn, const char *name)
{
	const char *value =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);

	return value ? value : "";
}

static enum MHD_Result get_version(struct adn *adn, struct MHD_Connection *conn)
{
	const struct tbl_row *row = NULL;
	char text[32] = "0";
	Jj__Kind kind;

	if (tbl_parse_kind(query(conn, "kind"), &kind) != JJ_OK)
		return reply_plain(conn, MHD_HTTP_BAD_REQUEST,
				   "unknown kind\n");
	pthread_mutex_lock(&adn->nod->lock);
	row = tbl_find(&adn->nod->tbl, kind, query(conn, "name"));
	if (row)
		snprintf(text, sizeof(text), "%llu",
			 (unsigned long long)row->revision);
	pthread_mutex_unlock(&adn->nod->lock);
	return reply_plain(conn, MHD_HTTP_OK, text);
}

static enum MHD_Result reply_outcome(struct MHD_Connection *conn,
				     const char *id,
				     const struct tsy_result *result)
{
	const char *word = "refused";
	unsigned code = MHD_HTTP_UNPROCESSABLE_CONTENT;

	if (result->outcome == EDT_ACCEPTED) {
		word = "accepted";
		code = MHD_HTTP_OK;
	} else if (result->outcome == EDT_CONFLICT) {
		word = "conflict";
		code = MHD_HTTP_CONFLICT;
	} else if (result->outcome == EDT_PENDING) {
		word = "settling";
		code = MHD_HTTP_ACCEPTED;
	}
	return reply_json(conn, code,
			  json_pack("{s:s, s:s, s:I, s:s}", "id", id, "outcome",
				    word, "revision",
				    (json_int_t)result->revision, "message",
				    result->message));
}

static void copy_or_default(char *out, size_t size, const char *text,
			    const char *fallback)
{
	snprintf(out, size, "%s", *text ? text : fallback);
}

static void new_change_id(char *out, size_t size)
{
	uint8_t bytes[12];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(out, size, bytes, sizeof(bytes));
}

static enum MHD_Result post_table(struct adn *adn, struct MHD_Connection *conn,
				  const struct request *request)
{
	struct tbl_edits edits = { .when = net_wall_ms() / 1000 };
	struct tsy_result result = { 0 };
	char id[TBL_NAME_MAX];
	unsigned long wait_ms = strtoul(header(conn, "X-Wait-Ms"), NULL, 10);
	struct jj_error err;

	if (tbl_edits_from_csv(request->body ? request->body : "", request->len,
			       &edits, &err) != JJ_OK) {
		memcpy(result.message, err.message, sizeof(result.message));
		result.outcome = EDT_REFUSED;
		return reply_outcome(conn, "", &result);
	}
	if (!edits.count) {
		free(edits.items);
		result.outcome = EDT_REFUSED;
		snprintf(result.message, sizeof(result.message),
			 "no line differs from the table it was taken from");
		return reply_outcome(conn, "", &result);
	}
	new_change_id(id, sizeof(id));
	if (*header(conn, "X-Change-Id"))
		snprintf(id, sizeof(id), "%s", header(conn, "X-Change-Id"));
	memcpy(edits.id, id, sizeof(edits.id));
	copy_or_default(edits.who, sizeof(edits.who), header(conn, "X-Who"),
			"operator");
	copy_or_default(edits.why, sizeof(edits.why), header(conn, "X-Why"),
			"");
	if (!wait_ms || wait_ms > WAIT_MAX_MS)
		wait_ms = DEFAULT_WAIT_MS;
	if (tsy_submit(adn->tsy, &edits, (uint32_t)wait_ms, &result) != JJ_OK)
		return reply_plain(
			conn, MHD_HTTP_SERVICE_UNAVAILABLE,
			"too many changes in progress; change not accepted\n");
	return reply_outcome(conn, id, &result);
}

static enum MHD_Result get_change(struct adn *adn, struct MHD_Connection *conn)
{
	struct tsy_result result;

	if (tsy_outcome(adn->tsy, query(conn, "id"), &result) != JJ_OK)
		return reply_plain(
			conn, MHD_HTTP_NOT_FOUND,
			"this process knows no change with this id\n");
	return reply_outcome(conn, query(conn, "id"), &result);
}

static enum MHD_Result get_changes(struct adn *adn, struct MHD_Connection *conn)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	uint32_t i;

	if (!out)
		return reply_plain(conn, MHD_HTTP_INTERNAL_SERVER_ERROR,
				   "out of memory\n");
	fprintf(out, "revision,when,who,what,why,id\n");
	pthread_mutex_lock(&adn->nod->lock);
	for (i = 0; i < adn->nod->tbl.change_count; i++) {
		const struct tbl_change *change = &adn->nod->tbl.changes[i];

		fprintf(out, "%llu,%llu,%s,\"%s\",\"%s\",%s\n",
			(unsigned long long)change->revision,
			(unsigned long long)change->when, change->who,
			change->what, change->why, change->id);
	}
	pthread_mutex_unlock(&adn->nod->lock);
	fclose(out);
	return reply_text(conn, MHD_HTTP_OK, "text/csv", text);
}

/* -- status -------------------------------------------------------------- */

static json_t *row_json(const struct tbl_row *row)
{
	return json_pack("{s:s, s:s, s:s, s:i, s:I, s:s, s:I, s:s}", "kind",
			 tbl_kind_name(row->kind), "name", row->name, "state",
			 tbl_state_name(row->state), "weight", row->weight,
			 "revision", (json_int_t)row->revision, "who", row->who,
			 "when", (json_int_t)row->when, "why", row->why);
}

static const char *phase_name(Jj__Phase phase)
{
	static const char *const names[] = { "-",    "joining",	 "cold",
					     "warm", "draining", "down" };

	return (unsigned)phase < 6 ? names[phase] : "?";
}

static json_t *member_json(const struct mbr_member *member, uint64_t now)
{
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "name",
		member->name, "role",
		member->role == JJ__ROLE__ROLE_AGENT ? "agent" : "balancer",
		"data_centre", member->data_centre, "service", member->service,
		"target", member->target, "liveness",
		member->liveness == JJ__LIVENESS__LIVE_ALIVE ? "alive" :
							       "suspect",
		"phase", phase_name(member->phase), "revision",
		(json_int_t)member->revision, "heard_ms_ago",
		(json_int_t)(member->last_heard ? now - member->last_heard :
						  0));
}

/*
 * Probes every member that has not yet reported this process's revision, so
 * that the next status request shows its current one.
 */
static enum MHD_Result get_status(struct adn *adn, struct MHD_Connection *conn)
{
	struct nod *nod = adn->nod;
	json_t *rows = json_array();
	json_t *members = json_array();
	uint64_t now = net_now_ms();
	json_int_t revision;
	uint32_t i;

	pthread_mutex_lock(&nod->lock);
	revision = (json_int_t)nod->tbl.revision;
	for (i = 0; i < nod->tbl.count; i++)
		if (nod->tbl.rows[i].state != JJ__ROW_STATE__STATE_REMOVED)
			json_array_append_new(rows,
					      row_json(&nod->tbl.rows[i]));
	for (i = 0; i < nod->mbr.count; i++) {
		const struct mbr_member *member = &nod->mbr.members[i];

		if (!mbr_live(member))
			continue;
		json_array_append_new(members, member_json(member, now));
		if (member->id != nod->id &&
		    member->revision < nod->tbl.revision)
			mbr_ping(&nod->mbr, now, member);
	}
	pthread_mutex_unlock(&nod->lock);
	return reply_json(conn, MHD_HTTP_OK,
			  json_pack("{s:s, s:I, s:s, s:o, s:o}", "process",
				    nod->desc.name, "revision", revision,
				    "platform",
				    adn->tsy->platform_up == 1 ? "up" :
				    adn->tsy->platform_up == 0 ? "down" :
								 "not asked",
				    "rows", rows, "members", members));
}

/* -- dump and metrics ---------------------------------------------------- */

static enum MHD_Result dump_other(struct adn *adn, struct MHD_Connection *conn,
				  uint32_t ip, uint16_t port)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__DumpRequest request = JJ__DUMP_REQUEST__INIT;
	Jj__Envelope *reply;
	char *text = NULL;

	env.body_case = JJ__ENVELOPE__BODY_DUMP_REQUEST;
	env.dump_request = &request;
	pthread_mutex_lock(&adn->lane_lock);
	reply = nod_request(adn->nod, &adn->lane, ip, port, &env,
			    DUMP_TIMEOUT_MS);
	pthread_mutex_unlock(&adn->lane_lock);
	if (reply && reply->body_case == JJ__ENVELOPE__BODY_DUMP_REPLY)
		text = strdup(reply->dump_reply->text);
	if (reply)
		jj__envelope__free_unpacked(reply, NULL);
	if (!text)
		return reply_plain(conn, MHD_HTTP_GATEWAY_TIMEOUT,
				   "the process did not answer in time\n");
	return reply_text(conn, MHD_HTTP_OK, "text/plain", text);
}

static enum MHD_Result get_dump(struct adn *adn, struct MHD_Connection *conn)
{
	const char *process = query(conn, "process");
	const struct mbr_member *member;
	uint32_t ip = 0;
	uint16_t port = 0;

	if (!*process || !strcmp(process, adn->nod->desc.name))
		return reply_text(conn, MHD_HTTP_OK, "text/plain",
				  nod_dump_text(adn->nod));
	pthread_mutex_lock(&adn->nod->lock);
	member = mbr_find(&adn->nod->mbr, rnk_name_id(process));
	if (member) {
		ip = member->ip;
		port = member->control_port;
	}
	pthread_mutex_unlock(&adn->nod->lock);
	if (!ip)
		return reply_plain(
			conn, MHD_HTTP_NOT_FOUND,
			"this process knows no member of that name\n");
	return dump_other(adn, conn, ip, port);
}

static enum MHD_Result get_metrics(struct adn *adn, struct MHD_Connection *conn)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	int i;

	if (!out)
		return reply_plain(conn, MHD_HTTP_INTERNAL_SERVER_ERROR,
				   "out of memory\n");
	for (i = 0; i < MET_COUNT; i++)
		fprintf(out, "%s %llu\n", met_counter_name((enum met_counter)i),
			(unsigned long long)met_get(&adn->nod->met,
						    (enum met_counter)i));
	fclose(out);
	return reply_text(conn, MHD_HTTP_OK, "text/plain", text);
}

/* -- dispatch ------------------------------------------------------------ */

static int authorized(const struct adn *adn, struct MHD_Connection *conn)
{
	const char *given = header(conn, "Authorization");
	char wanted[256];
	size_t len;

	snprintf(wanted, sizeof(wanted), "Bearer %s", adn->desc.token);
	len = strlen(wanted);
	return strlen(given) == len && !sodium_memcmp(given, wanted, len);
}

struct route {
	const char *method;
	const char *path;
	enum MHD_Result (*get)(struct adn *adn, struct MHD_Connection *conn);
};

static const struct route routes[] = {
	{ "GET", "/v1/table", get_table },
	{ "GET", "/v1/version", get_version },
	{ "GET", "/v1/change", get_change },
	{ "GET", "/v1/changes", get_changes },
	{ "GET", "/v1/status", get_status },
	{ "GET", "/v1/dump", get_dump },
	{ "GET", "/v1/metrics", get_metrics },
};

static enum MHD_Result dispatch(struct adn *adn, struct MHD_Connection *conn,
				const char *url, const char *method,
				const struct request *request)
{
	size_t i;

	if (!authorized(adn, conn))
		return reply_plain(conn, MHD_HTTP_UNAUTHORIZED,
				   "the bearer token is missing or wrong\n");
	if (request->too_large)
		return reply_plain(conn, MHD_HTTP_CONTENT_TOO_LARGE,
				   "the request body is too large\n");
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (!strcmp(url, routes[i].path) &&
		    !strcmp(method, routes[i].method))
			return routes[i].get(adn, conn);
	if (!strcmp(url, "/v1/table") && !strcmp(method, "POST"))
		return post_table(adn, conn, request);
	return reply_plain(conn, MHD_HTTP_NOT_FOUND,
			   "unknown path or method\n");
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct request *request = *state;
	char *grown;

	(void)version;
	if (!request) {
		*state = calloc(1, sizeof(*request));
		return *state ? MHD_YES : MHD_NO;
	}
	if (!*len)
		return dispatch(ctx, conn, url, method, request);
	if (request->len + *len > BODY_MAX) {
		request->too_large = 1;
		*len = 0;
		return MHD_YES;
	}
	grown = realloc(request->body, request->len + *len);
	if (!grown)
		return MHD_NO;
	memcpy(grown + request->len, data, *len);
	request->body = grown;
	request->len += *len;
	*len = 0;
	return MHD_YES;
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct request *request = *state;

	(void)ctx;
	(void)conn;
	(void)code;
	if (request)
		free(request->body);
	free(request);
	*state = NULL;
}

enum jj_status adn_start(struct adn *adn, const struct adn_desc *desc,
			 struct nod *nod, struct tsy *tsy, struct jj_error *err)
{
	struct sockaddr_in addr =
		net_address(net_parse_ip(desc->ip), desc->port);

	memset(adn, 0, sizeof(*adn));
	adn->desc = *desc;
	adn->nod = nod;
	adn->tsy = tsy;
	pthread_mutex_init(&adn->lane_lock, NULL);
	nod_lane_init(nod, &adn->lane, NOD_LANE_ADMIN);
	adn->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		desc->port, NULL, NULL, on_request, adn, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT, 64,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
		MHD_OPTION_END);
	if (!adn->daemon)
		return st_fail(err, JJ_SYSTEM,
			       "cannot listen on %s:%u for the "
			       "administration API",
			       desc->ip, desc->port);
	return JJ_OK;
}

void adn_finish(struct adn *adn)
{
	MHD_stop_daemon(adn->daemon);
	pthread_mutex_destroy(&adn->lane_lock);
}
