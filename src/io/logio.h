/*
 * logio - log lines on standard error, as syslog(3) would prefix them
 *
 * "<level>program[pid]: JJnnn ..." so that a supervisor can sort them. Each
 * event is written at most LIO_BURST times a second; what was held back is
 * counted and told with the next line of that event.
 */
#ifndef JUJUBE_LOGIO_H
#define JUJUBE_LOGIO_H

#include "jujube/atomic.h"
#include <pthread.h>
#include "jujube/log.h"

#define LIO_EVENTS 1000
#define LIO_BURST 20

struct lio {
	struct log_sink sink;
	const char *program;
	JJ_ATOMIC(int) level;
	pthread_mutex_t lock;
	uint64_t window[LIO_EVENTS]; /* second of the last line */
	uint32_t count[LIO_EVENTS];
	uint32_t held[LIO_EVENTS];
};

/* program must stay valid. level: "error", "warning", "info", "debug". */
void lio_init(struct lio *lio, const char *program, const char *level);
void lio_set_level(struct lio *lio, const char *level);

#endif
