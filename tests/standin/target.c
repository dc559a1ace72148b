/*
 * target - stand-in for a server behind the balancer, using libcoap
 *
 *   POST /holds     runs once per request; writes a line to the runs log
 *   GET  /feed      observable; a notification a second
 *   GET  /dossier   a document of several blocks
 *   GET  /status    a short answer
 *   GET  /health    "ok", "cold" or "draining", service and name
 *   GET  /load      requests in flight; 0 after "lie"
 *   PUT  /control   payload: cold | warm | drain | shed | lie | honest | mute
 *     lie: reports no load and not being cold; shed: refuses all requests;
 *     mute: stops answering for good; honest: ends lie, shed and drain
 *
 * A cold target takes three times as long, and even longer above its cold
 * limit. If it stays above that limit for CRASH_AFTER_MS, it simulates a crash:
 * it answers nothing for CRASH_S seconds and writes "fell-over" to the runs
 * log.
 *
 * usage: target SERVICE NAME CENTRE IP PORT RUNS_LOG SERVICE_MS SLOTS
 *               COLD_LIMIT COLD_ANSWERS SEED
 */
#include <arpa/inet.h>
#include <coap3/coap.h>
#include <fcntl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define DOSSIER_BYTES 12000
#define CRASH_S 3
#define CRASH_AFTER_MS 1000

static const char *service, *name, *centre;
static int runs_fd;
static double mean_ms;
static int slots, cold_limit, cold_answers, cold_left;
static int in_flight, shed, lie, draining, mute;
static time_t crashed_until;
static unsigned feed_sequence;
static volatile sig_atomic_t quit;
static coap_resource_t *feed;

static void on_signal(int sig)
{
	(void)sig;
	quit = 1;
}

static void log_line(const char *what, const char *id)
{
	char line[256];
	int len =
		snprintf(line, sizeof(line), "%s service=%s target=%s id=%s\n",
			 what, service, name, id);

	if (write(runs_fd, line, (size_t)len) != len)
		perror("runs log");
}

static void answer_text(coap_pdu_t *response, coap_pdu_code_t code,
			const char *text)
{
	coap_pdu_set_code(response, code);
	coap_add_data(response, strlen(text), (const uint8_t *)text);
}

/* Log-normal service time, three times as long when cold. */
static coap_tick_t service_time(void)
{
	double u = (rand() + 1.0) / (RAND_MAX + 2.0);
	double v = rand() / (RAND_MAX + 1.0);
	double z = sqrt(-2 * log(u)) * cos(2 * M_PI * v);
	double ms = mean_ms * exp(0.6 * z - 0.18);

	if (cold_left > 0)
		ms *= 3;
	if (cold_left > 0 && in_flight > cold_limit)
		ms *= (double)in_flight * in_flight / (cold_limit * cold_limit);
	if (ms > 20 * mean_ms)
		ms = 20 * mean_ms;
	return (coap_tick_t)(ms * COAP_TICKS_PER_SECOND / 1000) + 1;
}

/* Detects a cold target's overload. Called before a request is counted. */
static void check_overload(void)
{
	static unsigned long long since;
	struct timespec ts;
	unsigned long long now;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	now = (unsigned long long)ts.tv_sec * 1000 +
	      (unsigned long long)ts.tv_nsec / 1000000;
	if (cold_left <= 0 || in_flight < cold_limit) {
		since = 0;
		return;
	}
	if (!since)
		since = now;
	if (now - since < CRASH_AFTER_MS)
		return;
	since = 0;
	log_line("fell-over", "-");
	crashed_until = time(NULL) + CRASH_S;
}

/*
 * Accepts a new request, or refuses it. Returns 1 when the service time of an
 * accepted request is over and it is to be answered now.
 */
static int accept_or_resume(coap_session_t *session, const coap_pdu_t *request,
			    coap_pdu_t *response)
{
	coap_bin_const_t token = coap_pdu_get_token(request);

	if (coap_find_async(session, token)) {
		in_flight--;
		if (cold_left > 0)
			cold_left--;
		return 1;
	}
	check_overload();
	if (shed || in_flight >= slots) {
		answer_text(response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE,
			    "shed");
		return 0;
	}
	if (coap_register_async(session, request, service_time()))
		in_flight++;
	return 0;
}

static void on_hold(coap_resource_t *resource, coap_session_t *session,
		    const coap_pdu_t *request, const coap_string_t *query,
		    coap_pdu_t *response)
{
	char id[64] = "";
	const uint8_t *data;
	size_t len = 0;

	(void)resource;
	(void)query;
	if (!accept_or_resume(session, request, response))
		return;
	if (coap_get_data(request, &len, &data) && len < sizeof(id))
		memcpy(id, data, len);
	log_line("run", id);
	answer_text(response, COAP_RESPONSE_CODE_CHANGED, name);
}

static void on_status(coap_resource_t *resource, coap_session_t *session,
		      const coap_pdu_t *request, const coap_string_t *query,
		      coap_pdu_t *response)
{
	(void)resource;
	(void)query;
	if (accept_or_resume(session, request, response))
		answer_text(response, COAP_RESPONSE_CODE_CONTENT, name);
}

static void on_feed(coap_resource_t *resource, coap_session_t *session,
		    const coap_pdu_t *request, const coap_string_t *query,
		    coap_pdu_t *response)
{
	char text[128];

	(void)resource;
	(void)session;
	(void)request;
	(void)query;
	snprintf(text, sizeof(text), "%s %s %u", centre, name, feed_sequence);
	answer_text(response, COAP_RESPONSE_CODE_CONTENT, text);
}

static void on_dossier(coap_resource_t *resource, coap_session_t *session,
		       const coap_pdu_t *request, const coap_string_t *query,
		       coap_pdu_t *response)
{
	static uint8_t document[DOSSIER_BYTES];
	size_t i;

	for (i = 0; i < sizeof(document); i++)
		document[i] = (uint8_t)(i * 31 + i / 251);
	memcpy(document, centre, strlen(centre) + 1);
	coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
	coap_add_data_large_response(
		resource, session, request, response, query,
		COAP_MEDIATYPE_APPLICATION_OCTET_STREAM, -1, 0,
		sizeof(document), document, NULL, NULL);
}

static void on_health(coap_resource_t *resource, coap_session_t *session,
		      const coap_pdu_t *request, const coap_string_t *query,
		      coap_pdu_t *response)
{
	char text[128];
	const char *state = "ok";

	(void)resource;
	(void)session;
	(void)request;
	(void)query;
	if (draining)
		state = "draining";
	else if (cold_left > 0 && !lie)
		state = "cold";
	snprintf(text, sizeof(text), "%s service=%s target=%s", state, service,
		 name);
	answer_text(response, COAP_RESPONSE_CODE_CONTENT, text);
}

static void on_load(coap_resource_t *resource, coap_session_t *session,
		    const coap_pdu_t *request, const coap_string_t *query,
		    coap_pdu_t *response)
{
	char text[32];

	(void)resource;
	(void)session;
	(void)request;
	(void)query;
	snprintf(text, sizeof(text), "%d", lie ? 0 : in_flight);
	answer_text(response, COAP_RESPONSE_CODE_CONTENT, text);
}

static void on_control(coap_resource_t *resource, coap_session_t *session,
		       const coap_pdu_t *request, const coap_string_t *query,
		       coap_pdu_t *response)
{
	char word[16] = "";
	const uint8_t *data;
	size_t len = 0;

	(void)resource;
	(void)session;
	(void)query;
	if (coap_get_data(request, &len, &data) && len < sizeof(word))
		memcpy(word, data, len);
	if (!strcmp(word, "cold"))
		cold_left = cold_answers;
	else if (!strcmp(word, "warm"))
		cold_left = 0;
	else if (!strcmp(word, "drain"))
		draining = 1;
	else if (!strcmp(word, "shed"))
		shed = 1;
	else if (!strcmp(word, "lie"))
		lie = 1;
	else if (!strcmp(word, "honest"))
		lie = shed = draining = mute = 0;
	else if (!strcmp(word, "mute"))
		mute = 1;
	answer_text(response, COAP_RESPONSE_CODE_CHANGED, word);
}

static coap_resource_t *add_resource(coap_context_t *ctx, const char *path,
				     coap_request_t method,
				     coap_method_handler_t handler)
{
	coap_resource_t *resource =
		coap_resource_init(coap_make_str_const(path), 0);

	coap_register_handler(resource, method, handler);
	coap_add_resource(ctx, resource);
	return resource;
}

int main(int argc, char **argv)
{
	struct sigaction act = { .sa_handler = on_signal };
	coap_context_t *ctx;
	coap_address_t addr;
	time_t last = time(NULL);

	if (argc != 12) {
		fprintf(stderr, "target: wrong number of arguments\n");
		return 2;
	}
	service = argv[1];
	name = argv[2];
	centre = argv[3];
	runs_fd =
		open(argv[6], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	mean_ms = atof(argv[7]);
	slots = atoi(argv[8]);
	cold_limit = atoi(argv[9]);
	cold_left = cold_answers = atoi(argv[10]);
	srand((unsigned)atoi(argv[11]));
	sigaction(SIGTERM, &act, NULL);
	sigaction(SIGINT, &act, NULL);
	coap_startup();
	coap_set_log_level(LOG_EMERG);
	coap_address_init(&addr);
	addr.addr.sin.sin_family = AF_INET;
	addr.size = sizeof(addr.addr.sin);
	inet_pton(AF_INET, argv[4], &addr.addr.sin.sin_addr);
	addr.addr.sin.sin_port = htons((uint16_t)atoi(argv[5]));
	ctx = coap_new_context(NULL);
	coap_context_set_block_mode(ctx, COAP_BLOCK_USE_LIBCOAP);
	if (!coap_new_endpoint(ctx, &addr, COAP_PROTO_UDP)) {
		fprintf(stderr, "target: cannot bind\n");
		return 1;
	}
	add_resource(ctx, "holds", COAP_REQUEST_POST, on_hold);
	add_resource(ctx, "status", COAP_REQUEST_GET, on_status);
	feed = add_resource(ctx, "feed", COAP_REQUEST_GET, on_feed);
	coap_resource_set_get_observable(feed, 1);
	add_resource(ctx, "dossier", COAP_REQUEST_GET, on_dossier);
	add_resource(ctx, "health", COAP_REQUEST_GET, on_health);
	add_resource(ctx, "load", COAP_REQUEST_GET, on_load);
	add_resource(ctx, "control", COAP_REQUEST_PUT, on_control);
	while (!quit) {
		if (time(NULL) < crashed_until || mute) {
			usleep(50000);
			continue;
		}
		coap_io_process(ctx, 100);
		if (time(NULL) != last) {
			last = time(NULL);
			feed_sequence++;
			coap_resource_notify_observers(feed, NULL);
		}
	}
	coap_free_context(ctx);
	return 0;
}
