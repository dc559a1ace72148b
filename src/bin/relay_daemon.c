#include "relay_daemon.h"

#include <stdlib.h>
#include "net.h"

/* -- HTTP requests ------------------------------------------------------- */

static void print_histogram(FILE *out, const struct met *met,
			    enum met_time time)
{
	const char *name = met_time_name(time);
	uint64_t bound = MET_FIRST_BUCKET_US;
	uint64_t sum = 0;
	int i;

	for (i = 0; i < MET_BUCKETS; i++) {
		sum += met->times[time][i];
		if (i + 1 < MET_BUCKETS)
			fprintf(out, "jujube_%s_bucket{le=\"%llu\"} %llu\n",
				name, (unsigned long long)bound,
				(unsigned long long)sum);
		bound *= 2;
	}
	fprintf(out, "jujube_%s_bucket{le=\"+Inf\"} %llu\n", name,
		(unsigned long long)sum);
	fprintf(out, "jujube_%s_count %llu\n", name, (unsigned long long)sum);
}

static char *metrics_text(struct rld *rld)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	int i;

	if (!out)
		return NULL;
	for (i = 0; i < MET_COUNT; i++)
		fprintf(out, "jujube_%s %llu\n",
			met_counter_name((enum met_counter)i),
			(unsigned long long)met_get(&rld->nod->met,
						    (enum met_counter)i));
	for (i = 0; i < MET_TIME_COUNT; i++)
		print_histogram(out, &rld->nod->met, (enum met_time)i);
	fclose(out);
	return text;
}

static enum jj_status handle_request(struct rld *rld,
				     const struct pf_request *parsed,
				     struct hts_response *response,
				     struct jj_error *err)
{
	switch (parsed->kind) {
	case PF_READY:
		return !rld->stopping && rld->hooks.ready(rld->hooks.ctx) ?
			       JJ_OK :
			       JJ_UNAVAILABLE;
	case PF_METRICS:
		response->type = "text/plain";
		response->body = metrics_text(rld);
		return response->body ? JJ_OK : JJ_UNAVAILABLE;
	case PF_HEARTBEAT:
		return rld->hooks.heartbeat ?
			       rld->hooks.heartbeat(rld->hooks.ctx,
						    &parsed->heartbeat, err) :
			       JJ_NOT_FOUND;
	case PF_DEREGISTER:
		return rld->hooks.deregister ?
			       rld->hooks.deregister(rld->hooks.ctx,
						     parsed->heartbeat.id) :
			       JJ_NOT_FOUND;
	}
	return JJ_NOT_FOUND;
}

static void on_request(void *ctx, const struct hts_request *request,
		       struct hts_response *response)
{
	struct rld *rld = ctx;
	struct pf_request parsed;
	struct jj_error err = { 0 };
	enum jj_status status = pf_parse_request(request, &parsed, &err);

	parsed.heartbeat.received_ms = net_wall_ms();
	if (status == JJ_INVALID)
		log_put(&rld->nod->desc.log->sink, EV_HEARTBEAT_REJECTED, "%s",
			err.message);
	if (status == JJ_OK)
		status = handle_request(rld, &parsed, response, &err);
	response->code = pf_http_status(status);
}

/* -- start and finish ---------------------------------------------------- */

void rld_init(struct rld *rld, const Jj__RegistrySection *settings,
	      const struct lio *log, const struct rld_hooks *hooks)
{
	struct reg_desc reg = { .lease_ms = settings->lease_s * 1000,
				.watch_ms = settings->watch_s * 1000,
				.log = &log->sink };
	struct jj_error err;

	rld->hooks = *hooks;
	dmn_check(pf_store_init(&rld->store, settings->address,
				settings->timeout_ms, &rld->reg.stopping, &err),
		  &err);
	reg.store = pf_store_interface(&rld->store);
	reg_init(&rld->reg, &reg);
}

void rld_listen(struct rld *rld, struct nod *nod, const char *ready,
		const char *heartbeats)
{
	struct jj_error err;

	rld->nod = nod;
	rld->store.met = &nod->met;
	dmn_check(hts_init(&rld->hts, on_request, rld, &err), &err);
	if (*ready)
		dmn_check(hts_listen(&rld->hts, ready, 0, &err), &err);
	if (*heartbeats)
		dmn_check(hts_listen(&rld->hts, heartbeats, 1, &err), &err);
}

void rld_start(struct rld *rld)
{
	struct jj_error err;

	dmn_check(hts_start(&rld->hts, &err), &err);
	dmn_check(reg_start(&rld->reg, rld->nod, &err), &err);
}

void rld_finish(struct rld *rld, int leave)
{
	reg_finish(&rld->reg, leave);
	hts_finish(&rld->hts);
	pf_store_finish(&rld->store);
}
