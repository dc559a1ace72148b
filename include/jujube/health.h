/*
 * health - what a target reports about itself
 *
 * The body of a target's answer to a health request contains the words "cold"
 * and "draining" when they apply, else "ok", in any format: a word is a run of
 * letters, digits and "-_.". "service=NAME" and "target=NAME" may follow. A body
 * without any of the three states says nothing about the target's state, which
 * then stays as it was reported last.
 */
#ifndef JUJUBE_HEALTH_H
#define JUJUBE_HEALTH_H

#include <stddef.h>
#include <stdint.h>

struct hlt_report {
	uint8_t has_state; /* the next two are known */
	uint8_t cold;
	uint8_t draining;
	uint8_t other_service; /* the target belongs to another service */
};

/* service: the one that the target should belong to. */
struct hlt_report hlt_parse(const uint8_t *body, size_t len,
			    const char *service);

#endif
