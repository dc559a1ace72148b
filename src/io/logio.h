/*
 * logio - log output
 *
 * LIO_SYSLOG: "<level>program[pid]: JJnnn ..." on standard error, so that a
 * supervisor can sort lines by level. LIO_FIELDS: one line of key=value fields
 * on standard output. Logging never blocks: a line that cannot be written at
 * once is dropped. Each event is limited to LIO_BURST or LIO_FIELDS_BURST
 * lines per second. The next line of an event says how many were suppressed or
 * dropped before it.
 */
#ifndef JUJUBE_LOGIO_H
#define JUJUBE_LOGIO_H

#include <pthread.h>
#include "jujube/atomic.h"
#include "jujube/log.h"

#define LIO_EVENTS 1000 /* event numbers are lower */
#define LIO_BURST 20 /* lines per event and second */
/* Decisions on flows are logged: one of the users' hosts opens 200 a second. */
#define LIO_FIELDS_BURST 200

enum lio_form { LIO_SYSLOG, LIO_FIELDS };

struct lio {
	struct log_sink sink;
	const char *program;
	enum lio_form form;
	JJ_ATOMIC(int) level;
	pthread_mutex_t lock;
	uint64_t window_s[LIO_EVENTS]; /* second that count refers to */
	uint32_t count[LIO_EVENTS]; /* lines in that second */
	uint32_t suppressed[LIO_EVENTS]; /* lines since the last one written */
};

/* program must stay valid. level: "error", "warning", "info", "debug". */
void lio_init(struct lio *lio, const char *program, const char *level,
	      enum lio_form form);
void lio_set_level(struct lio *lio, const char *level);

#endif
