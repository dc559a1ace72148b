/*
 * admin - HTTP administration API of a balancer
 *
 * Every call needs "Authorization: Bearer TOKEN".
 *
 *  GET  /v1/table            the table as CSV
 *  POST /v1/table            submits a change as CSV lines (see table.h);
 *                            headers X-Who, X-Why, X-Change-Id, X-Wait-Ms
 *  GET  /v1/version?kind=K&name=N   revision of one row, "0" when absent
 *  GET  /v1/change?id=ID     outcome of an earlier change
 *  GET  /v1/changes          accepted changes, newest last, as CSV
 *  GET  /v1/status           the table's rows, and the members with the
 *                            revision that each one holds, as JSON
 *  GET  /v1/dump?process=P   state of a process, as text
 *  GET  /v1/metrics          counters, one "name value" pair per line
 *
 * Status codes of a change: 200 accepted, 409 conflict, 422 refused, 202
 * outcome not known yet ("settling"). The body is JSON with "outcome",
 * "revision", "message" and "id".
 */
#ifndef JUJUBE_ADMIN_H
#define JUJUBE_ADMIN_H

#include "table_sync.h"
#include "node.h"

struct MHD_Daemon;

struct adn_desc {
	const char *ip;
	uint16_t port;
	const char *token;
};

struct adn {
	struct adn_desc desc;
	struct nod *nod;
	struct tsy *tsy;
	struct nod_lane lane; /* for requests to other processes */
	pthread_mutex_t lane_lock;
	struct MHD_Daemon *daemon;
};

enum jj_status adn_start(struct adn *adn, const struct adn_desc *desc,
			 struct nod *nod, struct tsy *tsy,
			 struct jj_error *err);
void adn_finish(struct adn *adn);

#endif
