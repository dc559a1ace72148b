/*
 * port_probe - whether any process listens at an address
 *
 * Opens a TCP connection to the address and closes it without sending anything.
 * Never blocks; the result is polled. With a time limit, a probe ends after
 * PPR_TIMEOUT_MS. Times are milliseconds of a monotonic clock.
 */
#ifndef JUJUBE_PORT_PROBE_H
#define JUJUBE_PORT_PROBE_H

#include <stdint.h>

/* A later result would not be used, see PRB_RESULT_MAX_US in probe.h. */
#define PPR_TIMEOUT_MS 250

enum ppr_result {
	PPR_PENDING,
	PPR_ACCEPTED,
	PPR_REFUSED, /* no process listens at the address */
	PPR_UNKNOWN, /* timed out, or another error */
};

struct ppr {
	uint32_t ip;
	uint16_t port;
	uint8_t limited; /* with a time limit */
	uint8_t running;
	int fd; /* -1: none */
	int error; /* of the latest step */
	uint64_t began_ms;
};

void ppr_init(struct ppr *probe, uint32_t ip, uint16_t port, int limited);
void ppr_finish(struct ppr *probe);
/* Ends a probe that is running. */
void ppr_begin(struct ppr *probe, uint64_t now);
enum ppr_result ppr_result(struct ppr *probe, uint64_t now);

#endif
