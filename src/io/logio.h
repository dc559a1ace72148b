/*
 * logio - where log lines go
 *
 * LIO_SYSLOG: "<level>program[pid]: JJnnn ..." on standard error, so that a
 * supervisor can sort them. LIO_FIELDS: one line of key=value fields on
 * standard output. A line is never waited for: one that cannot be written at
 * once is dropped and counted. Each event is written at most burst times a
 * second; what was held back or dropped is told with its next line.
 */
#ifndef JUJUBE_LOGIO_H
#define JUJUBE_LOGIO_H

#include <pthread.h>
#include "jujube/atomic.h"
#include "jujube/log.h"

#define LIO_EVENTS 1000
#define LIO_BURST 20 /* lines of one event a second */
/* Decisions on callers' flows: what one host of the users' opens a second. */
#define LIO_FIELDS_BURST 200

enum lio_form { LIO_SYSLOG, LIO_FIELDS };

struct lio {
	struct log_sink sink;
	const char *program;
	enum lio_form form;
	JJ_ATOMIC(int) level;
	pthread_mutex_t lock;
	uint64_t window_s[LIO_EVENTS]; /* second of the last line */
	uint32_t count[LIO_EVENTS];
	uint32_t suppressed[LIO_EVENTS];
};

/* program must stay valid. level: "error", "warning", "info", "debug". */
void lio_init(struct lio *lio, const char *program, const char *level,
	      enum lio_form form);
void lio_set_level(struct lio *lio, const char *level);

#endif
