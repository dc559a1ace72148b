/*
 * status - status codes and error messages
 *
 * Functions that can fail return an enum jj_status. If the caller passes a
 * struct jj_error, they also store a readable error message there. Error
 * pointers may always be null.
 */
#ifndef JUJUBE_STATUS_H
#define JUJUBE_STATUS_H

#include <stddef.h>
#include <stdint.h>

enum jj_status {
	JJ_OK = 0,
	JJ_INVALID, /* input violates a rule; see the message */
	JJ_MALFORMED, /* bytes can't be decoded */
	JJ_UNAUTHENTICATED, /* authentication tag doesn't match */
	JJ_REPLAYED, /* message counter was used before */
	JJ_FULL, /* a fixed-size pool is full */
	JJ_NOT_FOUND, /* no such entry */
	JJ_CONFLICT, /* was changed concurrently */
	JJ_STALE, /* older than the stored version */
	JJ_UNAVAILABLE, /* the peer can't be reached */
	JJ_UNSETTLED, /* the outcome isn't known yet */
	JJ_INCOMPLETE, /* a difference to a state that isn't held */
	JJ_SYSTEM, /* an operating system call failed */
};

#define JJ_ERROR_MAX 256

struct jj_error {
	enum jj_status status;
	char message[JJ_ERROR_MAX];
};

/* Sets err, unless null, to status and a message; returns status. */
enum jj_status st_fail(struct jj_error *err, enum jj_status status,
		       const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Short lower-case name of a status, for logs. */
const char *st_name(enum jj_status status);

#endif
