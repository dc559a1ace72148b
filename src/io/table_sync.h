/*
 * conf - the table between the platform, this process and the operators
 *
 * Two threads. The watch thread holds a blocking read when this process is
 * one of the TSY_WATCHERS balancers of its data centre that rank first; the
 * others learn by gossip, so that the platform's load does not grow with the
 * fleet. The edit thread carries operators' changes through (see
 * jujube/edit.h), one after the other.
 */
#ifndef JUJUBE_TABLE_SYNC_H
#define JUJUBE_TABLE_SYNC_H

#include <pthread.h>
#include "jujube/edit.h"
#include "node.h"

#define TSY_WATCHERS 2 /* a data centre */
#define TSY_JOBS 64 /* changes known by id */

enum tsy_job_state { TSY_FREE, TSY_WAITING, TSY_RUNNING, TSY_FINISHED };

struct tsy_job {
	enum tsy_job_state state;
	struct tbl_edits edits;
	enum edt_outcome outcome;
	uint64_t revision;
	uint64_t sequence; /* of submission */
	char message[JJ_ERROR_MAX];
};

struct tsy_desc {
	const char *url;
	const char *table_key;
	uint32_t timeout_ms;
	uint32_t watch_s;
};

struct tsy {
	struct tsy_desc desc;
	struct nod *nod;
	pthread_mutex_t lock;
	pthread_cond_t job_queued; /* jobs waiting */
	pthread_cond_t job_finished; /* jobs finished */
	struct tsy_job jobs[TSY_JOBS];
	uint64_t last_sequence;
	int restore_due; /* the platform was seen to hold an older table */
	struct tbl scratch; /* edit thread only */
	struct tbl local_copy;
	_Atomic int platform_up; /* -1: not tried yet */
	_Atomic int watching;
	_Atomic int stopping;
	pthread_t watch_thread;
	pthread_t edit_thread;
};

/* What became of a change, as far as is known. */
struct tsy_result {
	enum edt_outcome outcome; /* EDT_PENDING: still settling */
	uint64_t revision;
	char message[JJ_ERROR_MAX];
};

enum jj_status tsy_init(struct tsy *tsy, const struct tsy_desc *desc,
			struct nod *nod, struct jj_error *err);
enum jj_status tsy_start(struct tsy *tsy, struct jj_error *err);
void tsy_finish(struct tsy *tsy);

/*
 * Takes over edits->items, and waits at most wait_ms for the outcome. A
 * change whose id is known already is not made again: its outcome is told.
 * JJ_FULL: too many changes under way.
 */
enum jj_status tsy_submit(struct tsy *tsy, struct tbl_edits *edits,
			  uint32_t wait_ms, struct tsy_result *result);

/* Outcome of an earlier change. JJ_NOT_FOUND: no such id here. */
enum jj_status tsy_outcome(struct tsy *tsy, const char *id,
			   struct tsy_result *result);

#endif
