/*
 * member_internal - functions shared by the source files of member
 *
 * member.c        records, received messages, changes of this process
 * member_probe.c  probes, suspicion, gossip on probes
 */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "jujube/member.h"

/* -- member.c -- */
uint32_t mbr_random_below(struct mbr *mbr, uint32_t limit);
/* The record of this process. */
struct mbr_member *mbr_self(struct mbr *mbr);
/* Finds a record by id; null: unknown. */
struct mbr_member *mbr_record(const struct mbr *mbr, uint64_t id);
/* How often to send a record: 3 times the logarithm of the fleet size. */
uint32_t mbr_send_limit(const struct mbr *mbr);
/* Queues a changed record for gossip, unless suppress_gossip is set. */
void mbr_queue_record(struct mbr *mbr, struct mbr_member *member);
void mbr_set_liveness(struct mbr *mbr, struct mbr_member *member,
		      Jj__Liveness liveness, uint64_t now);
/* Logs the event and calls the changed() hook. */
void mbr_report_event(struct mbr *mbr, const struct mbr_member *member,
		      enum mbr_event event);

/* -- member_probe.c -- */
/* to: id of the receiver; from: member whose ack is relayed, 0: this one. */
void mbr_send_ack(struct mbr *mbr, uint64_t to, uint32_t ip, uint16_t port,
		  uint64_t seq, uint64_t from);
/* Picks a random live member except this process and excluded_id, or null. */
struct mbr_member *mbr_random_live(struct mbr *mbr, uint64_t excluded_id);

#endif
