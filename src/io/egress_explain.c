/* Text of an explained placement, for `jujube explain`. */
#include "egress.h"

#include <inttypes.h>
#include <stdlib.h>
#include <urcu.h>
#include "jujube/flow_explain.h"
#include "net.h"

/* Names of a member, or its id in hexadecimal if it is not known. */
struct names {
	char name[TBL_NAME_MAX];
	char data_centre[TBL_NAME_MAX];
};

static struct names names_of(struct nod *nod, uint64_t id)
{
	const struct mbr_member *member;
	struct names names;

	snprintf(names.name, sizeof(names.name), "%016" PRIx64, id);
	snprintf(names.data_centre, sizeof(names.data_centre), "-");
	pthread_mutex_lock(&nod->lock);
	member = mbr_find(&nod->mbr, id);
	if (member) {
		snprintf(names.name, sizeof(names.name), "%s", member->name);
		snprintf(names.data_centre, sizeof(names.data_centre), "%s",
			 member->data_centre);
	}
	pthread_mutex_unlock(&nod->lock);
	return names;
}

/* Milliseconds with one decimal, "-" for UINT64_MAX. */
static void put_ms(FILE *out, const char *key, uint64_t us)
{
	if (us == UINT64_MAX)
		fprintf(out, " %s=-", key);
	else
		fprintf(out, " %s=%" PRIu64 ".%" PRIu64, key, us / 1000,
			us / 100 % 10);
}

static void put_candidate(struct nod *nod, const struct flw_explanation *found,
			  const struct flw_candidate *candidate, FILE *out)
{
	struct names names = names_of(nod, candidate->agent);

	fprintf(out, "candidate agent=%s data_centre=%s load=%u cap=%u",
		names.name, names.data_centre, candidate->load, candidate->cap);
	put_ms(out, "typical_ms",
	       candidate->typical_us ? candidate->typical_us : UINT64_MAX);
	if (candidate->agent == found->me)
		fprintf(out, " report_age_ms=own");
	else
		put_ms(out, "report_age_ms", candidate->report_age_us);
	fprintf(out, " queued=%u", candidate->queued);
	if (candidate->why)
		fprintf(out, " cost=- why=%s\n", candidate->why);
	else
		fprintf(out, " cost=%u%s\n", candidate->cost,
			candidate->avoided ? " avoided=1" : "");
}

static void put_homes(struct nod *nod, const struct flw_explanation *found,
		      FILE *out)
{
	int is_home = 0;
	uint32_t i;

	for (i = 0; i < found->home_count; i++) {
		const struct flw_explained_home *home = &found->homes[i];

		is_home |= home->agent == found->me;
		fprintf(out, "home entry=%s agent=%s%s\n",
			names_of(nod, home->balancer).data_centre,
			names_of(nod, home->agent).name,
			home->agent == found->me ? " asked=1" : "");
	}
	if (found->home_count && !is_home)
		fprintf(out,
			"note: the agent that is asked is not a home of this "
			"flow; what follows is what it would do if it were\n");
}

static void put_spill(struct nod *nod, const struct flw_explanation *found,
		      FILE *out)
{
	fprintf(out, " data_centre=%s",
		names_of(nod, found->agent).data_centre);
	put_ms(out, "local_wait_ms", found->local_wait_us);
	fprintf(out, " room=%" PRIu64 " free=%u", found->spill.room,
		found->spill.free_slots);
	put_ms(out, "report_age_ms", found->spill.age_us);
}

static void put_decision(struct nod *nod, const struct flw_explanation *found,
			 FILE *out)
{
	fprintf(out, "decision %s", flw_decision_name(found->decision));
	if (found->agent)
		fprintf(out, " agent=%s", names_of(nod, found->agent).name);
	if (found->by_rank)
		fprintf(out, " by=rank");
	if (found->decision == FLW_DECIDES_SPILL)
		put_spill(nod, found, out);
	if (found->estimated) {
		fprintf(out, " priority=%u", found->terms.priority);
		put_ms(out, "estimate_ms", found->estimate_us);
	}
	if (found->decision == FLW_DECIDES_WAIT) {
		if (found->estimated)
			fprintf(out, " late=%d", found->late);
		put_ms(out, "at_most_ms", found->wait_limit_us);
	}
	if (found->why)
		fprintf(out, " why=%s", found->why);
	fputc('\n', out);
}

static void put_explanation(struct egr *egr,
			    const struct flw_explanation *found, FILE *out)
{
	static const char *const idempotent[] = { "-", "yes", "no" };
	const struct viw_terms *terms = &found->terms;
	uint32_t i;

	fprintf(out,
		"flow key=%016" PRIx64 " revision=%s asked=%s service=%s "
		"routed_here=%d\n",
		found->key, tbl_format_revision(found->revision).text,
		egr->nod->desc.name, egr->desc.flow.service,
		found->service == egr->flw.service);
	fprintf(out,
		"terms priority=%u target_latency_ms=%u deadline_ms=%u "
		"idempotent=%s\n",
		terms->priority, terms->target_latency_ms, terms->deadline_ms,
		idempotent[(unsigned)terms->idempotent % 3]);
	put_homes(egr->nod, found, out);
	if (found->recorded_holder)
		fprintf(out, "recorded holder=%s\n",
			names_of(egr->nod, found->recorded_holder).name);
	for (i = 0; i < found->candidate_count; i++)
		put_candidate(egr->nod, found, &found->candidates[i], out);
	fprintf(out, "queue waiting=%u", found->waiting);
	put_ms(out, "limit_ms", found->wait_limit_us);
	fprintf(out, " by_terms=%d", found->by_terms);
	put_ms(out, "local_wait_ms", found->local_wait_us);
	fputc('\n', out);
	put_decision(egr->nod, found, out);
}

static char *explain(struct egr *egr, const Jj__ExplainRequest *request)
{
	struct flw_packet opening = {
		.caller_ip = request->caller_ip,
		.caller_port = (uint16_t)request->caller_port,
		.service_ip = request->service_ip,
		.service_port = (uint16_t)request->service_port,
	};
	struct flw_explanation *found = malloc(sizeof(*found));
	struct flw_call call = { .flw = &egr->flw, .now = net_now_us() };
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (found && out) {
		rcu_read_lock();
		call.view = nod_view(egr->nod);
		flw_explain(&call, &opening, found);
		rcu_read_unlock();
		put_explanation(egr, found, out);
	}
	if (out)
		fclose(out);
	free(found);
	return text;
}

int egr_request(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply)
{
	Jj__DumpReply *body;

	if (env->body_case != JJ__ENVELOPE__BODY_EXPLAIN_REQUEST)
		return 0;
	body = malloc(sizeof(*body));
	if (!body)
		return 0;
	jj__dump_reply__init(body);
	body->text = explain(ctx, env->explain_request);
	reply->body_case = JJ__ENVELOPE__BODY_DUMP_REPLY;
	reply->dump_reply = body;
	return body->text != NULL;
}
