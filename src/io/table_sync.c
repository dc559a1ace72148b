#include "table_sync.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "jujube/rank.h"
#include "kv.h"
#include "net.h"

#define RETRY_DELAY_MS 200 /* after a read or swap that got no response */
#define RANK_CHECK_MS 500 /* interval to check whether to watch */

static const struct log_sink *sink(const struct tsy *tsy)
{
	return &tsy->nod->desc.log->sink;
}

static void sleep_ms(uint32_t ms)
{
	usleep(ms * 1000);
}

static void set_platform_up(struct tsy *tsy, int up)
{
	int before = tsy->platform_up;

	tsy->platform_up = up;
	if (before == up)
		return;
	if (up)
		log_put(sink(tsy), EV_PLATFORM_UP, "url=%s", tsy->desc.url);
	else
		log_put(sink(tsy), EV_PLATFORM_DOWN, "url=%s", tsy->desc.url);
}

/* -- watching ------------------------------------------------------------ */

static void request_restore(struct tsy *tsy)
{
	pthread_mutex_lock(&tsy->lock);
	tsy->restore_due = 1;
	pthread_cond_signal(&tsy->job_queued);
	pthread_mutex_unlock(&tsy->lock);
}

static void apply_platform_table(struct tsy *tsy, const uint8_t *value,
				 size_t len)
{
	Jj__Table *table = jj__table__unpack(NULL, len, value);
	struct jj_error err = { .message = "does not decode" };
	enum jj_status status = JJ_MALFORMED;
	int exceeds = 0;

	if (table) {
		status = nod_merge_table(tsy->nod, table, &err);
		pthread_mutex_lock(&tsy->nod->lock);
		exceeds = tbl_exceeds(&tsy->nod->tbl, table);
		pthread_mutex_unlock(&tsy->nod->lock);
	}
	if (status == JJ_STALE || (status == JJ_OK && exceeds)) {
		log_put(sink(tsy), EV_TABLE_OLDER, "platform=%llu held=%llu",
			(unsigned long long)table->revision,
			(unsigned long long)tsy->nod->revision);
		request_restore(tsy);
	} else if (status != JJ_OK) {
		log_put(sink(tsy), EV_TABLE_INVALID, "%s", err.message);
	}
	if (table)
		jj__table__free_unpacked(table, NULL);
}

static void watch_platform(struct tsy *tsy, struct kv *kv, uint64_t *after)
{
	uint64_t index = *after;
	uint8_t *value = NULL;
	size_t len = 0;

	switch (kv_get(kv, tsy->desc.table_key, *after, tsy->desc.watch_s,
		       &value, &len, &index)) {
	case EDT_READ_VALUE:
		set_platform_up(tsy, 1);
		/* A lower index than before: the platform was restored. */
		*after = index;
		apply_platform_table(tsy, value, len);
		break;
	case EDT_READ_ABSENT:
		set_platform_up(tsy, 1);
		*after = index;
		if (tsy->nod->revision)
			request_restore(tsy);
		break;
	case EDT_READ_FAILED:
		set_platform_up(tsy, 0);
		*after = 0;
		sleep_ms(RETRY_DELAY_MS);
		break;
	}
	free(value);
}

static void *run_watch(void *arg)
{
	struct tsy *tsy = arg;
	uint64_t after = 0;
	struct kv kv;

	if (kv_init(&kv, tsy->desc.url, tsy->desc.timeout_ms, &tsy->nod->met,
		    &tsy->stopping) != JJ_OK)
		abort();
	while (!tsy->stopping) {
		tsy->watching = nod_ranks_first(tsy->nod, 1, TSY_WATCHERS);
		if (tsy->watching) {
			watch_platform(tsy, &kv, &after);
		} else {
			after = 0;
			sleep_ms(RANK_CHECK_MS);
		}
	}
	kv_finish(&kv);
	return NULL;
}

/* -- editing ------------------------------------------------------------- */

static void read_platform(struct tsy *tsy, struct kv *kv, struct edt *edt)
{
	Jj__Table *table = NULL;
	uint8_t *value = NULL;
	uint64_t index = 0;
	size_t len = 0;
	enum edt_read result =
		kv_get(kv, tsy->desc.table_key, 0, 0, &value, &len, &index);

	if (result == EDT_READ_VALUE) {
		table = jj__table__unpack(NULL, len, value);
		if (!table)
			result = EDT_READ_FAILED;
	}
	set_platform_up(tsy, result != EDT_READ_FAILED);
	pthread_mutex_lock(&tsy->nod->lock);
	tbl_copy(&tsy->local_copy, &tsy->nod->tbl);
	pthread_mutex_unlock(&tsy->nod->lock);
	edt_on_read(edt, result, index, table, &tsy->local_copy);
	if (table)
		jj__table__free_unpacked(table, NULL);
	free(value);
}

static void swap_platform(struct tsy *tsy, struct kv *kv, struct edt *edt)
{
	size_t len = 0;
	uint8_t *value = tbl_pack(&tsy->scratch, 0, &len);

	if (!value) {
		edt_on_swap(edt, EDT_SWAP_MISMATCH);
		return;
	}
	if (len > KV_VALUE_MAX) {
		edt->action = EDT_DONE;
		edt->outcome = EDT_REFUSED;
		st_fail(&edt->error, JJ_FULL,
			"the table would take %zu bytes; the limit is %u", len,
			KV_VALUE_MAX);
	} else {
		edt_on_swap(edt, kv_swap(kv, tsy->desc.table_key, edt->index,
					 value, len));
	}
	free(value);
}

/* The swapped table is in force: merge it here, and gossip spreads it. */
static void apply_accepted(struct tsy *tsy)
{
	size_t len = 0;
	uint8_t *packed = tbl_pack(&tsy->scratch, 0, &len);
	Jj__Table *table = packed ? jj__table__unpack(NULL, len, packed) : NULL;

	if (table) {
		nod_merge_table(tsy->nod, table, NULL);
		jj__table__free_unpacked(table, NULL);
	}
	free(packed);
}

static void run_change(struct tsy *tsy, struct kv *kv, struct edt *edt)
{
	int logged_unsettled = 0;

	while (edt->action != EDT_DONE && !tsy->stopping) {
		uint32_t failures = edt->failures;

		if (edt->action == EDT_READ)
			read_platform(tsy, kv, edt);
		else
			swap_platform(tsy, kv, edt);
		if (edt_swap_outstanding(edt) && !logged_unsettled) {
			logged_unsettled = 1;
			log_put(sink(tsy), EV_CHANGE_OUTCOME_UNKNOWN, "id=%s",
				edt->edits ? edt->edits->id : "restore");
		}
		if (edt->failures > failures)
			sleep_ms(RETRY_DELAY_MS);
	}
	if (edt->outcome == EDT_ACCEPTED)
		apply_accepted(tsy);
}

static void log_outcome(struct tsy *tsy, const struct edt *edt)
{
	const struct tbl_edits *edits = edt->edits;

	if (edt->restored && edt->outcome == EDT_ACCEPTED)
		log_put(sink(tsy), EV_TABLE_RESTORED, "revision=%llu",
			(unsigned long long)tsy->scratch.revision);
	if (!edits)
		return;
	if (edt->outcome == EDT_ACCEPTED)
		log_put(sink(tsy), EV_CHANGE_ACCEPTED,
			"id=%s who=%s revision=%llu", edits->id, edits->who,
			(unsigned long long)edt->revision);
	else if (edt->outcome == EDT_CONFLICT)
		log_put(sink(tsy), EV_CHANGE_CONFLICT, "id=%s who=%s: %s",
			edits->id, edits->who, edt->error.message);
	else
		log_put(sink(tsy), EV_CHANGE_REFUSED, "id=%s who=%s: %s",
			edits->id, edits->who, edt->error.message);
}

/*
 * Waits for work. Returns the oldest waiting job, marked as running, or null
 * when only a restore is due or the process stops.
 */
static struct tsy_job *next_job(struct tsy *tsy, int *restore)
{
	struct tsy_job *job = NULL;
	int i;

	pthread_mutex_lock(&tsy->lock);
	for (;;) {
		for (i = 0; i < TSY_JOBS; i++) {
			struct tsy_job *at = &tsy->jobs[i];

			if (at->state == TSY_WAITING &&
			    (!job || at->sequence < job->sequence))
				job = at;
		}
		*restore = tsy->restore_due;
		if (job || *restore || tsy->stopping)
			break;
		pthread_cond_wait(&tsy->job_queued, &tsy->lock);
	}
	tsy->restore_due = 0;
	if (job)
		job->state = TSY_RUNNING;
	pthread_mutex_unlock(&tsy->lock);
	return job;
}

static void finish_job(struct tsy *tsy, struct tsy_job *job,
		       const struct edt *edt)
{
	pthread_mutex_lock(&tsy->lock);
	job->outcome = edt->outcome;
	job->revision = edt->revision;
	memcpy(job->message, edt->error.message, sizeof(job->message));
	free(job->edits.items);
	job->edits.items = NULL;
	job->state = TSY_FINISHED;
	pthread_cond_broadcast(&tsy->job_finished);
	pthread_mutex_unlock(&tsy->lock);
}

static void *run_edit(void *arg)
{
	struct tsy *tsy = arg;
	struct kv kv;

	if (kv_init(&kv, tsy->desc.url, tsy->desc.timeout_ms, &tsy->nod->met,
		    &tsy->stopping) != JJ_OK)
		abort();
	while (!tsy->stopping) {
		int restore = 0;
		struct tsy_job *job = next_job(tsy, &restore);
		struct edt edt;

		if (!job && !restore)
			continue;
		edt_init(&edt, job ? &job->edits : NULL, &tsy->scratch);
		run_change(tsy, &kv, &edt);
		log_outcome(tsy, &edt);
		if (job)
			finish_job(tsy, job, &edt);
	}
	kv_finish(&kv);
	return NULL;
}

/* -- operators' requests ------------------------------------------------- */

static struct tsy_job *find_job(struct tsy *tsy, const char *id)
{
	int i;

	for (i = 0; i < TSY_JOBS; i++)
		if (tsy->jobs[i].state != TSY_FREE &&
		    !strcmp(tsy->jobs[i].edits.id, id))
			return &tsy->jobs[i];
	return NULL;
}

/* A free job, else the oldest finished one; null when all are in progress. */
static struct tsy_job *allocate_job(struct tsy *tsy)
{
	struct tsy_job *found = NULL;
	int i;

	for (i = 0; i < TSY_JOBS; i++) {
		struct tsy_job *at = &tsy->jobs[i];

		if (at->state == TSY_FREE)
			return at;
		if (at->state == TSY_FINISHED &&
		    (!found || at->sequence < found->sequence))
			found = at;
	}
	return found;
}

static void copy_result(const struct tsy_job *job, struct tsy_result *result)
{
	result->outcome =
		job->state == TSY_FINISHED ? job->outcome : EDT_PENDING;
	result->revision = job->revision;
	memcpy(result->message, job->message, sizeof(result->message));
}

enum jj_status tsy_submit(struct tsy *tsy, struct tbl_edits *edits,
			  uint32_t wait_ms, struct tsy_result *result)
{
	struct tsy_job *job;
	struct timespec until;
	uint64_t sequence;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	pthread_mutex_lock(&tsy->lock);
	job = find_job(tsy, edits->id);
	if (job) {
		free(edits->items);
	} else {
		job = allocate_job(tsy);
		if (!job) {
			pthread_mutex_unlock(&tsy->lock);
			free(edits->items);
			return JJ_FULL;
		}
		*job = (struct tsy_job){ .state = TSY_WAITING,
					 .edits = *edits,
					 .sequence = ++tsy->last_sequence };
		pthread_cond_signal(&tsy->job_queued);
	}
	sequence = job->sequence;
	while (job->sequence == sequence && job->state != TSY_FINISHED &&
	       !tsy->stopping)
		if (pthread_cond_timedwait(&tsy->job_finished, &tsy->lock,
					   &until))
			break;
	copy_result(job, result);
	pthread_mutex_unlock(&tsy->lock);
	return JJ_OK;
}

enum jj_status tsy_outcome(struct tsy *tsy, const char *id,
			   struct tsy_result *result)
{
	const struct tbl_change *change;
	struct tsy_job *job;
	enum jj_status status = JJ_NOT_FOUND;

	pthread_mutex_lock(&tsy->lock);
	job = find_job(tsy, id);
	if (job) {
		copy_result(job, result);
		status = JJ_OK;
	}
	pthread_mutex_unlock(&tsy->lock);
	if (status == JJ_OK)
		return status;
	pthread_mutex_lock(&tsy->nod->lock);
	change = tbl_find_change(&tsy->nod->tbl, id);
	if (change) {
		*result = (struct tsy_result){ .outcome = EDT_ACCEPTED,
					       .revision = change->revision };
		status = JJ_OK;
	}
	pthread_mutex_unlock(&tsy->nod->lock);
	return status;
}

/* -- start and finish ---------------------------------------------------- */

enum jj_status tsy_init(struct tsy *tsy, const struct tsy_desc *desc,
			struct nod *nod, struct jj_error *err)
{
	memset(tsy, 0, sizeof(*tsy));
	tsy->desc = *desc;
	tsy->nod = nod;
	tsy->platform_up = -1;
	pthread_mutex_init(&tsy->lock, NULL);
	pthread_cond_init(&tsy->job_queued, NULL);
	pthread_cond_init(&tsy->job_finished, NULL);
	if (!tbl_init(&tsy->scratch, 0) || !tbl_init(&tsy->local_copy, 0))
		return st_fail(err, JJ_SYSTEM, "out of memory");
	return JJ_OK;
}

enum jj_status tsy_start(struct tsy *tsy, struct jj_error *err)
{
	if (pthread_create(&tsy->watch_thread, NULL, run_watch, tsy) ||
	    pthread_create(&tsy->edit_thread, NULL, run_edit, tsy))
		return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void tsy_finish(struct tsy *tsy)
{
	pthread_mutex_lock(&tsy->lock);
	tsy->stopping = 1;
	pthread_cond_broadcast(&tsy->job_queued);
	pthread_cond_broadcast(&tsy->job_finished);
	pthread_mutex_unlock(&tsy->lock);
	pthread_join(tsy->edit_thread, NULL);
	pthread_join(tsy->watch_thread, NULL);
	tbl_finish(&tsy->scratch);
	tbl_finish(&tsy->local_copy);
}
