/*
 * member_internal - parts of membership shared by its source files
 *
 * member.c        records, what is received, own changes
 * member_probe.c  probing, suspicion, news on probes
 */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "jujube/member.h"

/* -- member.c -- */
uint32_t mbr_random_below(struct mbr *mbr, uint32_t limit);
/* This process's own record. */
struct mbr_member *mbr_self(struct mbr *mbr);
/* Null when unknown. */
struct mbr_member *mbr_record(const struct mbr *mbr, uint64_t id);
/* Times a piece of news is sent: a few times the logarithm of the fleet. */
uint32_t mbr_send_limit(const struct mbr *mbr);
void mbr_queue_record(struct mbr *mbr, struct mbr_member *member);
void mbr_set_liveness(struct mbr *mbr, struct mbr_member *member,
		      Jj__Liveness liveness, uint64_t now);
/* Logs a change and calls the hook. */
void mbr_report_event(struct mbr *mbr, const struct mbr_member *member,
		      enum mbr_event event);

/* -- member_probe.c -- */
/* to: the receiver's id; from: whose answer is relayed, 0: the own one. */
void mbr_send_ack(struct mbr *mbr, uint64_t to, uint32_t ip, uint16_t port,
		  uint64_t seq, uint64_t from);
/* A random live member other than this process and not_id, or null. */
struct mbr_member *mbr_random_live(struct mbr *mbr, uint64_t not_id);

#endif
