#include "conf.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "jujube/rank.h"
#include "kv.h"
#include "net.h"

#define RETRY_MS 200 /* after a read or swap without an answer */
#define IDLE_MS 500 /* between looks whether this process should watch */

static const struct log_sink *sink(const struct cnf *cnf)
{
	return &cnf->nod->desc.log->sink;
}

static void sleep_ms(uint32_t ms)
{
	usleep(ms * 1000);
}

static void note_platform(struct cnf *cnf, int up)
{
	int before = cnf->platform_up;

	cnf->platform_up = up;
	if (before == up)
		return;
	if (up)
		log_put(sink(cnf), EV_PLATFORM_UP, "url=%s", cnf->desc.url);
	else
		log_put(sink(cnf), EV_PLATFORM_DOWN, "url=%s", cnf->desc.url);
}

/* -- watching ------------------------------------------------------------ */

static void ask_restore(struct cnf *cnf)
{
	pthread_mutex_lock(&cnf->lock);
	cnf->restore = 1;
	pthread_cond_signal(&cnf->wake);
	pthread_mutex_unlock(&cnf->lock);
}

static void take_value(struct cnf *cnf, const uint8_t *value, size_t len)
{
	Jj__Table *table = jj__table__unpack(NULL, len, value);
	struct jj_error err = { .message = "does not decode" };
	enum jj_status status = JJ_MALFORMED;

	if (table)
		status = nod_merge_table(cnf->nod, table, &err);
	if (status == JJ_STALE) {
		log_put(sink(cnf), EV_TABLE_OLDER, "platform=%llu held=%llu",
			(unsigned long long)table->revision,
			(unsigned long long)cnf->nod->revision);
		ask_restore(cnf);
	} else if (status != JJ_OK) {
		log_put(sink(cnf), EV_TABLE_INVALID, "%s", err.message);
	}
	if (table)
		jj__table__free_unpacked(table, NULL);
}

static void watch_once(struct cnf *cnf, struct kv *kv, uint64_t *after)
{
	uint64_t index = *after;
	uint8_t *value = NULL;
	size_t len = 0;

	switch (kv_get(kv, cnf->desc.table_key, *after, cnf->desc.watch_s,
		       &value, &len, &index)) {
	case EDT_READ_VALUE:
		note_platform(cnf, 1);
		/* An index that went back means a restored platform. */
		*after = index;
		take_value(cnf, value, len);
		break;
	case EDT_READ_ABSENT:
		note_platform(cnf, 1);
		*after = index;
		if (cnf->nod->revision)
			ask_restore(cnf);
		break;
	case EDT_READ_FAILED:
		note_platform(cnf, 0);
		*after = 0;
		sleep_ms(RETRY_MS);
		break;
	}
	free(value);
}

static void *run_watch(void *arg)
{
	struct cnf *cnf = arg;
	uint64_t after = 0;
	struct kv kv;

	if (kv_init(&kv, cnf->desc.url, cnf->desc.timeout_ms, &cnf->nod->met,
		    &cnf->stopping) != JJ_OK)
		abort();
	while (!cnf->stopping) {
		cnf->watching = nod_ranks_first(cnf->nod, 1, CNF_WATCHERS);
		if (cnf->watching) {
			watch_once(cnf, &kv, &after);
		} else {
			after = 0;
			sleep_ms(IDLE_MS);
		}
	}
	kv_finish(&kv);
	return NULL;
}

/* -- editing ------------------------------------------------------------- */

static void do_read(struct cnf *cnf, struct kv *kv, struct edt *edt)
{
	Jj__Table *table = NULL;
	uint8_t *value = NULL;
	uint64_t index = 0;
	size_t len = 0;
	enum edt_read result =
		kv_get(kv, cnf->desc.table_key, 0, 0, &value, &len, &index);

	if (result == EDT_READ_VALUE) {
		table = jj__table__unpack(NULL, len, value);
		if (!table)
			result = EDT_READ_FAILED;
	}
	note_platform(cnf, result != EDT_READ_FAILED);
	pthread_mutex_lock(&cnf->nod->lock);
	tbl_copy(&cnf->known, &cnf->nod->tbl);
	pthread_mutex_unlock(&cnf->nod->lock);
	edt_on_read(edt, result, index, table, &cnf->known);
	if (table)
		jj__table__free_unpacked(table, NULL);
	free(value);
}

static void do_swap(struct cnf *cnf, struct kv *kv, struct edt *edt)
{
	size_t len = 0;
	uint8_t *value = tbl_pack(&cnf->work, 0, &len);

	if (!value) {
		edt_on_swap(edt, EDT_SWAP_MISMATCH);
		return;
	}
	if (len > KV_VALUE_MAX) {
		edt->action = EDT_DONE;
		edt->outcome = EDT_REFUSED;
		st_fail(&edt->error, JJ_FULL,
			"the table would have %zu bytes, over %u", len,
			KV_VALUE_MAX);
	} else {
		edt_on_swap(edt, kv_swap(kv, cnf->desc.table_key, edt->index,
					 value, len));
	}
	free(value);
}

/* What was swapped is in force: take it over and let it spread. */
static void adopt_work(struct cnf *cnf)
{
	size_t len = 0;
	uint8_t *packed = tbl_pack(&cnf->work, 0, &len);
	Jj__Table *table = packed ? jj__table__unpack(NULL, len, packed) : NULL;

	if (table) {
		nod_merge_table(cnf->nod, table, NULL);
		jj__table__free_unpacked(table, NULL);
	}
	free(packed);
}

static void carry_through(struct cnf *cnf, struct kv *kv, struct edt *edt)
{
	int told = 0;

	while (edt->action != EDT_DONE && !cnf->stopping) {
		uint32_t failures = edt->failures;

		if (edt->action == EDT_READ)
			do_read(cnf, kv, edt);
		else
			do_swap(cnf, kv, edt);
		if (edt_swap_outstanding(edt) && !told) {
			told = 1;
			log_put(sink(cnf), EV_CHANGE_OUTCOME_UNKNOWN, "id=%s",
				edt->edits ? edt->edits->id : "restore");
		}
		if (edt->failures > failures)
			sleep_ms(RETRY_MS);
	}
	if (edt->outcome == EDT_ACCEPTED)
		adopt_work(cnf);
}

static void log_outcome(struct cnf *cnf, const struct edt *edt)
{
	const struct tbl_edits *edits = edt->edits;

	if (edt->restored && edt->outcome == EDT_ACCEPTED)
		log_put(sink(cnf), EV_TABLE_RESTORED, "revision=%llu",
			(unsigned long long)cnf->work.revision);
	if (!edits)
		return;
	if (edt->outcome == EDT_ACCEPTED)
		log_put(sink(cnf), EV_CHANGE_ACCEPTED,
			"id=%s who=%s revision=%llu", edits->id, edits->who,
			(unsigned long long)edt->revision);
	else if (edt->outcome == EDT_CONFLICT)
		log_put(sink(cnf), EV_CHANGE_CONFLICT, "id=%s who=%s: %s",
			edits->id, edits->who, edt->error.message);
	else
		log_put(sink(cnf), EV_CHANGE_REFUSED, "id=%s who=%s: %s",
			edits->id, edits->who, edt->error.message);
}

/* Oldest waiting job, marked as running; null when a restore is due, or
 * when the process stops. */
static struct cnf_job *next_job(struct cnf *cnf, int *restore)
{
	struct cnf_job *job = NULL;
	int i;

	pthread_mutex_lock(&cnf->lock);
	for (;;) {
		for (i = 0; i < CNF_JOBS; i++) {
			struct cnf_job *at = &cnf->jobs[i];

			if (at->state == CNF_WAITING &&
			    (!job || at->order < job->order))
				job = at;
		}
		*restore = cnf->restore;
		if (job || *restore || cnf->stopping)
			break;
		pthread_cond_wait(&cnf->wake, &cnf->lock);
	}
	cnf->restore = 0;
	if (job)
		job->state = CNF_RUNNING;
	pthread_mutex_unlock(&cnf->lock);
	return job;
}

static void finish_job(struct cnf *cnf, struct cnf_job *job,
		       const struct edt *edt)
{
	pthread_mutex_lock(&cnf->lock);
	job->outcome = edt->outcome;
	job->revision = edt->revision;
	memcpy(job->message, edt->error.message, sizeof(job->message));
	free(job->edits.items);
	job->edits.items = NULL;
	job->state = CNF_FINISHED;
	pthread_cond_broadcast(&cnf->done);
	pthread_mutex_unlock(&cnf->lock);
}

static void *run_edit(void *arg)
{
	struct cnf *cnf = arg;
	struct kv kv;

	if (kv_init(&kv, cnf->desc.url, cnf->desc.timeout_ms, &cnf->nod->met,
		    &cnf->stopping) != JJ_OK)
		abort();
	while (!cnf->stopping) {
		int restore = 0;
		struct cnf_job *job = next_job(cnf, &restore);
		struct edt edt;

		if (!job && !restore)
			continue;
		edt_init(&edt, job ? &job->edits : NULL, &cnf->work);
		carry_through(cnf, &kv, &edt);
		log_outcome(cnf, &edt);
		if (job)
			finish_job(cnf, job, &edt);
	}
	kv_finish(&kv);
	return NULL;
}

/* -- operators' side ----------------------------------------------------- */

static struct cnf_job *find_job(struct cnf *cnf, const char *id)
{
	int i;

	for (i = 0; i < CNF_JOBS; i++)
		if (cnf->jobs[i].state != CNF_FREE &&
		    !strcmp(cnf->jobs[i].edits.id, id))
			return &cnf->jobs[i];
	return NULL;
}

/* A free job, else the oldest finished one. */
static struct cnf_job *obtain_job(struct cnf *cnf)
{
	struct cnf_job *found = NULL;
	int i;

	for (i = 0; i < CNF_JOBS; i++) {
		struct cnf_job *at = &cnf->jobs[i];

		if (at->state == CNF_FREE)
			return at;
		if (at->state == CNF_FINISHED &&
		    (!found || at->order < found->order))
			found = at;
	}
	return found;
}

static void copy_result(const struct cnf_job *job, struct cnf_result *result)
{
	result->outcome =
		job->state == CNF_FINISHED ? job->outcome : EDT_PENDING;
	result->revision = job->revision;
	memcpy(result->message, job->message, sizeof(result->message));
}

enum jj_status cnf_change(struct cnf *cnf, struct tbl_edits *edits,
			  uint32_t wait_ms, struct cnf_result *result)
{
	struct cnf_job *job;
	struct timespec until;
	uint64_t order;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	pthread_mutex_lock(&cnf->lock);
	job = find_job(cnf, edits->id);
	if (job) {
		free(edits->items);
	} else {
		job = obtain_job(cnf);
		if (!job) {
			pthread_mutex_unlock(&cnf->lock);
			free(edits->items);
			return JJ_FULL;
		}
		*job = (struct cnf_job){ .state = CNF_WAITING,
					 .edits = *edits,
					 .order = ++cnf->orders };
		pthread_cond_signal(&cnf->wake);
	}
	order = job->order;
	while (job->order == order && job->state != CNF_FINISHED &&
	       !cnf->stopping)
		if (pthread_cond_timedwait(&cnf->done, &cnf->lock, &until))
			break;
	copy_result(job, result);
	pthread_mutex_unlock(&cnf->lock);
	return JJ_OK;
}

enum jj_status cnf_outcome(struct cnf *cnf, const char *id,
			   struct cnf_result *result)
{
	const struct tbl_change *change;
	struct cnf_job *job;
	enum jj_status status = JJ_NOT_FOUND;

	pthread_mutex_lock(&cnf->lock);
	job = find_job(cnf, id);
	if (job) {
		copy_result(job, result);
		status = JJ_OK;
	}
	pthread_mutex_unlock(&cnf->lock);
	if (status == JJ_OK)
		return status;
	pthread_mutex_lock(&cnf->nod->lock);
	change = tbl_find_change(&cnf->nod->tbl, id);
	if (change) {
		*result = (struct cnf_result){ .outcome = EDT_ACCEPTED,
					       .revision = change->revision };
		status = JJ_OK;
	}
	pthread_mutex_unlock(&cnf->nod->lock);
	return status;
}

/* -- start and finish ---------------------------------------------------- */

enum jj_status cnf_init(struct cnf *cnf, const struct cnf_desc *desc,
			struct nod *nod, struct jj_error *err)
{
	memset(cnf, 0, sizeof(*cnf));
	cnf->desc = *desc;
	cnf->nod = nod;
	cnf->platform_up = -1;
	pthread_mutex_init(&cnf->lock, NULL);
	pthread_cond_init(&cnf->wake, NULL);
	pthread_cond_init(&cnf->done, NULL);
	if (!tbl_init(&cnf->work, 0) || !tbl_init(&cnf->known, 0))
		return st_fail(err, JJ_SYSTEM, "out of memory");
	return JJ_OK;
}

enum jj_status cnf_start(struct cnf *cnf, struct jj_error *err)
{
	if (pthread_create(&cnf->watch_thread, NULL, run_watch, cnf) ||
	    pthread_create(&cnf->edit_thread, NULL, run_edit, cnf))
		return st_fail(err, JJ_SYSTEM, "no thread can be started");
	return JJ_OK;
}

void cnf_finish(struct cnf *cnf)
{
	pthread_mutex_lock(&cnf->lock);
	cnf->stopping = 1;
	pthread_cond_broadcast(&cnf->wake);
	pthread_cond_broadcast(&cnf->done);
	pthread_mutex_unlock(&cnf->lock);
	pthread_join(cnf->edit_thread, NULL);
	pthread_join(cnf->watch_thread, NULL);
	tbl_finish(&cnf->work);
	tbl_finish(&cnf->known);
}
