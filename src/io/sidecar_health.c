/* Health checks of the target, and the phase that the agent announces. */
#include "sidecar.h"

#include <string.h>
#include <sys/socket.h>
#include "jujube/health.h"
#include "net.h"

#define NO_PEERS_MS 5000 /* no other live member for so long: there is none */
#define CODE_CONTENT 0x45 /* CoAP 2.05 Content */
#define MISSED_PROBES_MAX 4 /* missed health checks that mean "down" */

static void parse_health(struct sid *sid, const uint8_t *data, size_t len,
			 uint64_t now)
{
	const char *service = sid->desc.agent.service;
	struct hlt_report report;
	struct cx_msg msg;

	if (cx_parse(data, len, &msg) != JJ_OK || msg.code != CODE_CONTENT ||
	    msg.mid != sid->health_mid)
		return;
	report = hlt_parse(data + len - msg.payload_len, msg.payload_len,
			   service);
	if (report.other_service) {
		if (!sid->wrong_target)
			log_put(&sid->nod->desc.log->sink, EV_WRONG_TARGET,
				"expected service=%s", service);
		sid->wrong_target = 1;
		return;
	}
	sid->wrong_target = 0;
	sid->health_answered_ms = now;
	if (!report.has_state)
		return;
	adm_set_reported_cold(&sid->agt.adm, report.cold);
	sid->target_draining = report.draining;
}

static void request_health(struct sid *sid, uint64_t now)
{
	/* CoAP CON GET /health; the message id is set below */
	uint8_t request[] = { 0x40, 0x01, 0,   0,   0xb6, 'h',
			      'e',  'a',  'l', 't', 'h' };
	struct sockaddr_in target =
		net_address(sid->desc.target_ip, sid->desc.target_port);

	if (now - sid->health_sent_ms < sid->desc.health_ms)
		return;
	sid->health_sent_ms = now;
	cx_set_mid(request, ++sid->health_mid);
	sendto(sid->health_fd, request, sizeof(request), MSG_DONTWAIT,
	       (struct sockaddr *)&target, sizeof(target));
}

void sid_check_health(struct sid *sid, uint64_t now)
{
	uint8_t buf[CX_DATAGRAM_MAX];
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	ssize_t len;

	while ((len = recvfrom(sid->health_fd, buf, sizeof(buf), MSG_DONTWAIT,
			       (struct sockaddr *)&from, &from_len)) > 0)
		if (ntohl(from.sin_addr.s_addr) == sid->desc.target_ip &&
		    ntohs(from.sin_port) == sid->desc.target_port)
			parse_health(sid, buf, (size_t)len, now);
	request_health(sid, now);
}

static int is_down(const struct sid *sid, uint64_t now)
{
	return sid->wrong_target || !sid->health_answered_ms ||
	       now - sid->health_answered_ms >
		       (uint64_t)MISSED_PROBES_MAX * sid->desc.health_ms;
}

/* Whether the agent knows its peers, if any, and the flows that they hold. */
static int has_joined(struct sid *sid, uint64_t now)
{
	int no_peers = now - sid->nod->started_ms > NO_PEERS_MS;

	return (sid->nod->live_peers || no_peers) && agt_settled(&sid->agt);
}

static Jj__Phase next_phase(struct sid *sid, uint64_t now)
{
	struct adm_state state = adm_state(&sid->agt.adm);

	if (!sid->health_answered_ms && !sid->wrong_target)
		return JJ__PHASE__PHASE_JOINING;
	if (is_down(sid, now))
		return JJ__PHASE__PHASE_DOWN;
	if (sid->agt.stopping || sid->target_draining)
		return JJ__PHASE__PHASE_DRAINING;
	if (sid->phase == JJ__PHASE__PHASE_JOINING && !has_joined(sid, now))
		return JJ__PHASE__PHASE_JOINING;
	return state.warm ? JJ__PHASE__PHASE_WARM : JJ__PHASE__PHASE_COLD;
}

void sid_update_phase(struct sid *sid, uint64_t now)
{
	Jj__Phase phase = next_phase(sid, now);

	if (phase == sid->phase)
		return;
	if (phase == JJ__PHASE__PHASE_DOWN)
		log_put(&sid->nod->desc.log->sink, EV_TARGET_DOWN,
			"silent_ms=%llu",
			(unsigned long long)(now - sid->health_answered_ms));
	if (sid->phase == JJ__PHASE__PHASE_DOWN)
		adm_mark_cold(&sid->agt.adm);
	log_put(&sid->nod->desc.log->sink, EV_TARGET_PHASE_CHANGED,
		"from=%d to=%d", sid->phase, phase);
	sid->phase = phase;
	nod_set_phase(sid->nod, phase);
}
