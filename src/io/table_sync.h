/*
 * table_sync - synchronizes the table with the platform's key-value store
 *
 * Two threads. The watch thread keeps a blocking read open on the platform
 * while this process ranks among the first TSY_WATCHERS balancers of its data
 * centre. All other processes receive the table by gossip, so that the load on
 * the platform does not grow with the fleet. The edit thread writes operators'
 * changes to the platform, one at a time (see jujube/edit.h).
 */
#ifndef JUJUBE_TABLE_SYNC_H
#define JUJUBE_TABLE_SYNC_H

#include <pthread.h>
#include "jujube/edit.h"
#include "node.h"

#define TSY_WATCHERS 2 /* per data centre */
#define TSY_JOBS 64 /* queued, running and finished changes */

enum tsy_job_state { TSY_FREE, TSY_WAITING, TSY_RUNNING, TSY_FINISHED };

struct tsy_job {
	enum tsy_job_state state;
	struct tbl_edits edits;
	enum edt_outcome outcome;
	uint64_t revision;
	uint64_t sequence; /* order of submission */
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
	pthread_cond_t job_queued; /* or a restore is due */
	pthread_cond_t job_finished;
	struct tsy_job jobs[TSY_JOBS];
	uint64_t last_sequence;
	int restore_due; /* the platform holds an older table, or none */
	struct tbl scratch; /* table being written; edit thread only */
	struct tbl local_copy; /* of nod->tbl; edit thread only */
	_Atomic int platform_up; /* result of the last call, -1: none yet */
	_Atomic int watching; /* this process ranks as a watcher */
	_Atomic int stopping;
	pthread_t watch_thread;
	pthread_t edit_thread;
};

/* Outcome of a change, as far as it is known. */
struct tsy_result {
	enum edt_outcome outcome; /* EDT_PENDING: not known yet */
	uint64_t revision;
	char message[JJ_ERROR_MAX];
};

enum jj_status tsy_init(struct tsy *tsy, const struct tsy_desc *desc,
			struct nod *nod, struct jj_error *err);
enum jj_status tsy_start(struct tsy *tsy, struct jj_error *err);
void tsy_finish(struct tsy *tsy);

/*
 * Queues a change, takes ownership of edits->items, and waits at most wait_ms
 * for the outcome. A change whose id is already known is not made again; its
 * outcome is returned. JJ_FULL: too many changes in progress.
 */
enum jj_status tsy_submit(struct tsy *tsy, struct tbl_edits *edits,
			  uint32_t wait_ms, struct tsy_result *result);

/* Outcome of an earlier change. JJ_NOT_FOUND: the id is not known here. */
enum jj_status tsy_outcome(struct tsy *tsy, const char *id,
			   struct tsy_result *result);

#endif
