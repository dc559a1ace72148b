#!/bin/bash
# Mutation test: in a copy of the tree, disables each mechanism listed in
# docs/PROOFS.md and expects the test that covers it to fail.
# usage: prove.sh [NUMBER...]
set -u
copy=$(mktemp -d /tmp/jujube-prove.XXXXXX)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy" || exit 1
cmake -S . -B build -G Ninja -DJJ_WERROR=OFF >/dev/null
ninja -C build core_test table_test table_csv_test restore_test capacity_test admit_test agent_test member_test \
	flow_test load_test waitq_test overload_test explain_test lost_test probe_test spill_test \
	spill_fleet_test platform_test >/dev/null || exit 1
passed=0
failed=0

# report_result STATUS NUMBER FILE SED TEST FILTER: only a failed check (exit
# status 1) counts as proof; a crash may have another cause
report_result() {
	if [ "$1" -eq 1 ]; then
		echo "$2 $6: fails without $3: $4"
		passed=$((passed + 1))
		return
	fi
	failed=$((failed + 1))
	if [ "$1" -eq 0 ]; then
		echo "$2 $6: passes although the mechanism is disabled"
	else
		echo "$2 $6: exits with status $1, which is inconclusive"
	fi
}

# mechanism NUMBER FILE SED TEST FILTER: disables a mechanism by applying SED
# to FILE; the tests that FILTER selects in TEST_test must then fail
mechanism() {
	[ -z "$only" ] || [[ " $only " = *" $1 "* ]] || return 0
	cp "$2" "$2.kept"
	sed -i "$3" "$2"
	if cmp -s "$2" "$2.kept"; then
		echo "$1 $5: the sed expression changes nothing"
		failed=$((failed + 1))
	elif ! ninja -C build "$4_test" >build.out 2>&1; then
		echo "$1 $5: does not build"
		failed=$((failed + 1))
	else
		RC_PARAMS="seed=20261204 max_success=200" timeout 120 \
			"build/tests/$4_test" --gtest_filter="$5" >test.out 2>&1
		report_result $? "$@"
	fi
	mv "$2.kept" "$2"
	touch "$2"
}

only=$*
core=src/core
mechanism 1 $core/agent.c 's/if (!rx->call->agt->settled) {/if (0) {/' agent 'Flows.Survive*'
mechanism 1 $core/agent_handover.c 's/^	import_echo_keys(call->agt, handover);/	return;/' agent 'Flows.Survive*'
mechanism 2 $core/agent.c 's/packet->service != agt->service/0/' agent 'Service.*'
mechanism 3 $core/admit.c 's/us > ADM_IN_TIME_FACTOR \* reference/0/' admit '*ColdStartIsLimited*'
mechanism 3 $core/admit.c 's/^	if (adm->reported_cold)$/	if (0)/' admit '*ReportsCold*'
mechanism 3 $core/admit.c 's/^	if (adm->slow_streak >= ADM_SLOW_STREAK)/	if (0)/; s/since_answer > ADM_SLOW_FLOOR_US/0/' admit '*ColdAgain*'
mechanism 4 $core/view.c 's/view->self_out = centre/view->self_out = 0 \&\& centre/; s/^	agent->out = state >= .*/	agent->out = 0;/' agent 'OutOfService.*'
mechanism 4 $core/route.c 's/return now_ms > confirmed_ms + .*/return 0;/' member '*APause*'
mechanism 4 $core/member.c 's/env->revision <= mbr->revision && sent/sent/' member '*HigherRevision*'
mechanism 5 $core/agent_serve.c 's/if (resend_last_answer(rx, flow_token_hash))/if (0 \&\& resend_last_answer(rx, flow_token_hash))/' agent 'Answers.ALost*'
mechanism 5 $core/agent_serve.c 's/if (!rx->flow \&\& rx->msg.block2 > 0)/if (0)/' agent 'Answers.ABlock*'
mechanism 5 $core/agent_serve.c 's/cx_set_mid(data, pending->msg.mid);//' agent 'Answers.ASeparate*'
mechanism 6 $core/agent_serve.c 's/record_outcome(shard, pending, LDG_REFUSED, buf, len);//' agent 'UnsafeRequests.ARefusal*:UnsafeRequests.Queued*'
mechanism 6 $core/ledger.c 's/if (ldg->head - ldg->tail == ldg->capacity)/if (ldg->head - ldg->tail == ldg->capacity \&\& ldg->tail++ < 0)/' agent 'UnsafeRequests.AFull*'
mechanism 7 $core/agent_echo.c 's/if (sodium_memcmp(tag, echo + ECHO_TAG, ECHO_TAG_BYTES))/if (0)/' agent 'UnsafeRequests.EchoOf*'
mechanism 7 $core/agent_serve.c 's/agt_echo_token_hash(msg), msg->digest/rnk_hash(msg->token, msg->token_len), msg->digest/' agent 'UnsafeRequests.TwoEchoes*'
mechanism 7 $core/agent_echo.c 's/return AGT_ECHO_KEY_LOST;/return AGT_ECHO_NONE;/' agent 'UnsafeRequests.ACrashed*'
mechanism 7 $core/agent_handover.c 's/	for (i = 0; i < handover->n_requests; i++)/	for (i = 0; i < 0; i++)/' agent 'UnsafeRequests.*Restarted'
mechanism 8 $core/agent.c 's/if (!rx->msg.unsafe || rx->packet->mode == AGT_GUEST)/if (1)/' agent 'Draining.*'
mechanism 10 $core/table_merge.c 's/return row->revision > held->revision;/return 1;/' table 'Table.*'
mechanism 10 $core/edit.c 's/index > edt->unknown_index/index != edt->unknown_index/' table 'outstanding_swap.AnOlder*'
mechanism 10 $core/edit.c 's/if (!edt->has_unknown) {/if (1) {/' table 'outstanding_swap.Conflict*'
mechanism 10 $core/edit.c 's/^	edt->has_unknown = 0;//; s/edt->has_unknown = 1;//' table 'outstanding_swap.*'
mechanism 10 $core/edit.c 's/^	       !tbl_exceeds(known, value);/	       1;/' table 'Edit.RevisionsGivenOutAgain*'
mechanism 10 $core/member.c 's/^	mbr->push_periods_left = send_limit(mbr);//; s/note_sender(mbr, now, ip, port, env);//' member '*Spread*/1'
mechanism R1 $core/flow.c 's/if (!viw_has_route(work->call->view/if (0 \&\& !viw_has_route(work->call->view/' flow 'Opening.NeverReaches*'
mechanism R2 $core/flow_target.c 's/^	if (target->last.leaving)$/	if (0)/' flow 'Opening.AvoidsALeaving*'
mechanism R3 $core/flow_target.c 's/me->out || me->draining/me->out/' flow 'Opening.AvoidsAnEvacuated*'
mechanism R4 $core/flow_target.c 's/return recent_openings(target, now) < limit;/return 1;/' flow 'Opening.GivesACold*'
mechanism R5 $core/flow_search.c 's/return work->call->flw->members_known .*/return/; s/^	       !result->unknown \&\& !result->partial \&\&$/	       1 \&\&/; s/^	       next_service(work, NULL) == work->service &&$/	       1 \&\&/' flow 'Flows.AreNotResetInDoubt:Sizes/Lost.FlowsAreResetOnProofOnly/*'
mechanism R6 $core/flow_search.c 's/return ack - target_isn <= FLW_ACK_SPAN;/return 1;/' flow 'Seeds/FlowSeeds.FindTheirTarget*'
mechanism R7 $core/flow.c 's/flow = adopt_flow(call, shard, key, &head);/;/' flow 'Seeds/FlowSeeds.OpenByAnAnswer*'
mechanism R8 $core/table_source.c 's/held->revision >= row->revision/0/' table 'rows_by_source.AnOlder*'
mechanism R9 $core/flow_pending.c 's/entry->queued_at > next->queued_at/entry->queued_at < next->queued_at/' load 'Load.AFresh*'
mechanism R10 $core/flow_target.c 's/^				       work->head.repeat)$/				       0)/' load 'Load.ALater*'
mechanism R11 $core/flow_pending.c 's/^		flw_try_place(&work);$/		;/' flow 'Opening.GoesToAnotherHome*'
mechanism R12 $core/flow_target.c 's/^	if (flw_target_gone(flw, now))$/	if (0)/' flow 'Heartbeats.MissingOnes*'
mechanism R13 $core/member_probe.c 's/if (now < mbr->healing_until)/if (0)/' member 'Sizes/Heal.*'
mechanism R14 $core/relay.c 's/id ? viw_find_holder(view, id) : NULL/id ? viw_agent(view, id) : NULL/' flow 'Flows.ReachAHolder*'
mechanism R14 $core/flow_search.c 's/holder = viw_find_holder(view, location->holder)/holder = viw_agent(view, location->holder)/' flow 'Flows.ReachAHolder*'
mechanism R15 $core/flow_notify.c 's/if (origin \&\& origin != home/if (0 \&\& origin != home/' load 'Load.TheOriginIsNotified*'
mechanism R16 $core/flow_place.c 's/if (!work->packet->doubt \&\& /if (/' flow 'Seeds/FlowSeeds.OpenByAnAnswer*'
mechanism R17 $core/flow_search.c 's/^	if (search_former_services(work, result->searched)) {$/	if (0) {/' flow 'Flows.StayWhenTheirRouteMoves'
mechanism R18 platform/packet.c 's/^	put32(data + AT_ECHO, 0);/	;/' platform 'Packet.*'
mechanism R19 platform/packet.c 's/^	to_caller = .*/	to_caller = 0;/' platform 'Packet.*'
mechanism R20 platform/decode.c 's/strcmp(state, "ready") \&\& strcmp(state, "draining")/0/' platform '*'
mechanism R78 platform/decode.c 's/"address", "zone",/"address",/' platform 'Request.AHeartbeatWith*'
mechanism R79 $core/flow_target.c 's/^	if (heartbeat->ip != desc->target_ip ||$/	if (0 \&\&/; s/heartbeat->port != desc->target_port)/heartbeat->ip)/' flow 'Heartbeats.AreAccepted*'
mechanism R81 $core/flow_target.c 's/if (!\*held->id || is_silent(flw, now))/if (!*held->id)/' flow 'Heartbeats.AreAccepted*'
mechanism R82 $core/flow_lost.c 's/return !heartbeat->received_ms ||/return 1 ||/' lost 'Lost.ALaterStart*:Lost.ATargetThatStartsAfter*'
mechanism R80 $core/flow_target.c 's/held->started_ms \&\& !heartbeat->started_ms/0/' flow 'Heartbeats.AreAccepted*'
mechanism R83 $core/member.c 's/ || record->control_port > UINT16_MAX//' member 'Member.OddRecords*'
mechanism R83 $core/member.c 's/ || record->incarnation > MBR_INCARNATION_MAX//' member 'Member.OddRecords*'
mechanism R84 $core/table_merge.c 's/^		if (check_lengths(msg->rows\[i\], err) != JJ_OK)/		if (0 \&\& check_lengths(msg->rows[i], err))/' table 'Table.OddMessages*'
mechanism R85 $core/health.c 's/len == strlen(text) \&\& !memcmp(word, text, len)/len >= strlen(text) \&\& !memcmp(word, text, strlen(text))/' core 'Health.*'
mechanism R86 $core/coap_codec.c 's/if (number > UINT32_MAX)/if (0)/' core 'Codec.Deadlines*'
mechanism R87 platform/decode.c 's/number >= 0 \&\& number <= max))/1))/' platform 'Config.InvalidParts*'
mechanism R21 $core/table_source.c 's/^	if (revision > tbl->revision)$/	if (1)/' table 'rows_by_source.*'
mechanism R22 $core/flow_target.c 's/heartbeat->seq > FIRST_HEARTBEAT_SEQ/0/; s/return target->absent ? FLW_FOLLOWED_IF_LISTENING : FLW_NOT_FOLLOWED;/return FLW_FOLLOWED;/' flow 'Sizes/Lost.FlowsOfRunning*:Seeds/FlowSeeds.SurviveARestart*'
mechanism R23 $core/flow_lookup.c 's/^		    is_asked(call, dead, \&awaited))/		    0)/' flow 'Sizes/Lost.FlowsAreReset*:Flows.AreNotResetInDoubt'
mechanism R89 $core/turn.c 's/^	return wait < cycle .*/	return cycle;/' member 'Member.TurnsOf*'
mechanism R90 $core/flow_search.c 's/result->wide/1/' flow 'Flows.AreNotReset*'
mechanism R90 $core/flow_lookup.c 's/^	return lookup->attempts > 1;/	return 0 \&\& lookup;/' flow 'Flows.AreResetOnce*'
mechanism R91 $core/view.c 's/^	add_unlisted_services(view, tbl, mbr);/	qsort(view->services, view->service_count, sizeof(*view->services), by_service_id);/' flow 'Flows.StayWhenTheirService*'
mechanism R91 $core/relay.c 's/i < view->service_count; i++/i < 0; i++/' flow 'Flows.StayWhenTheirRouteMovesTo*'
mechanism R24 $core/flow_lookup.c 's/^			flw_forward(\&trial, to, FLW_MODE_TRIAL);/			;/' flow 'Sizes/Lost.FlowsOfRunning*'
mechanism R25 $core/flow.c 's/return to > from ? to - from : 0;/return to - from;/' flow 'Flows.AreNotExpired*'
mechanism R26 $core/flow.c 's/^	if (work->call->delayed) {/	if (0) {/' flow 'Opening.ThatWaited*'
mechanism R27 $core/flow_place.c 's/peers\[i\].avoided = 1;/peers[i].cap = 0;/' load 'Load.AnAvoided*'
mechanism R28 $core/speed.c 's/return (uint32_t)((uint64_t)typical_us \* 100/return 100; return (uint32_t)((uint64_t)typical_us * 100/' load 'Load.ASlowTarget*'
mechanism R29 $core/flow_target.c 's/held = spd_too_fast(\&target->speed, now) \&\&/held = 0 \&\&/' load 'Load.ATargetThatIsSuddenly*'
mechanism R30 $core/speed.c 's/(uint64_t)recent \* SPD_FAST_FACTOR >= spd->baseline_us ||/0 ||/' load 'Load.ATargetThatHasAlways*'
mechanism R31 $core/view.c 's/return home_count < VIW_LOCAL_HOMES_MIN ? 0 : count;/return 0;/' load 'DataCentres.FlowsStay*'
mechanism R32 $core/flow_data_centre.c 's/^	if (!include_remote || count == service->count)/	if (1)/' load 'DataCentres.FlowsGoElsewhere*'
mechanism R33 $core/flow_place.c 's/full_round || flw->load_remote_left,/1,/' load 'DataCentres.LoadReports*'
mechanism R34 $core/flow_lookup.c 's/if (!lookup->key || !lookup->retry_at || now < lookup->retry_at)/if (1)/' flow 'Sizes/Lost.FlowsOfATarget*'
mechanism R37 $core/flow_lookup.c 's/^		    !bit_is_set(batch->lookups\[i\].not_held, at))/		    1)/' flow 'Sizes/Lost.FlowsInDoubt*'
mechanism R35 $core/flow_target.c 's/return flw->target.port_closed ||/return 0 ||/' flow 'Sizes/Lost.FlowsOfATargetWhosePort*'
mechanism R36 $core/flow_place.c 's/return any_fresh || limit != COST_NONE ? best : choose_by_rank(work);/return best;/' flow 'Opening.IsForwardedByAHome*'
mechanism R40 $core/table_source.c 's/return (era + 1) << TBL_ERA_SHIFT/return (uint64_t)1 << TBL_ERA_SHIFT/' restore 'restored_store.AnEvacuation*'
mechanism R41 $core/table_source.c 's/^	if (version < held) {/	if (0) {/' restore 'restored_store.TheOlderCopy*'
mechanism R42 $core/table_merge.c 's/^	if (row->version != held->version)/	if (0)/' restore 'Restored.*'
mechanism R43 $core/table_merge.c 's/^	if (is_new && row->version < source_version) {/	if (0) {/' restore 'restored_store.AProcess*'
mechanism R44 $core/table_merge.c 's/^		tbl_hold_row(tbl, held, hold);/		;/' restore 'restored_store.AProcess*'
mechanism R45 $core/table_source.c 's/^		if (!hold || !may_be_lost(row, revision)) {/		if (1) {/' restore 'restored_store.TheOlderCopy*'
mechanism R46 $core/table_merge.c 's/^	if (!msg->complete \&\& !is_sufficient/	if (0 \&\& !is_sufficient/' restore 'Versions.*'
mechanism R88 $core/table.c 's/^	if (tbl->count + count > tbl->capacity)$/	if (0)/' capacity 'Capacity.EachVersion*'
mechanism R88 $core/table_source.c 's/source->version ? tbl_reserved(tbl) : 0/0/' capacity 'Capacity.RowsThatFit*'
mechanism R88 $core/table_source.c 's/recorded->revision < source->revision) {/0) {/' capacity 'Capacity.ARemoval*'
mechanism T $core/table_csv.c 's/^	if (row->target_latency_ms || row->deadline_ms || row->priority ||$/	if (1 || row->priority ||/' table_csv 'TableCsv.EarlierExports*'
mechanism T $core/table_csv.c 's/put_field(out, tbl_idempotence_name(row->idempotent)/put_field(out, ""/' table_csv 'TableCsv.Export*'
mechanism T $core/table.c 's/^	if (row->deadline_ms \&\& row->target_latency_ms > row->deadline_ms)$/	if (0)/' table_csv 'TableCsv.*'
mechanism T platform/decode.c 's/number >= 0 \&\& number + from_zero <= max/1/' platform 'Config.InvalidTerms*'
mechanism T $core/flow_place.c 's/if (chosen \&\& !work->trace)/if (chosen)/' explain 'Explain.Says*'
mechanism T $core/flow_explain.c 's/flw_may_wait(work) \&\& out->wait_limit_us/out->wait_limit_us/' explain 'Explain.Says*'
mechanism R50 $core/flow_wait.c 's/return work->call->flw->desc.wait_queue \&\& flw_has_terms(work);/return 0 \&\& work;/' overload 'Overload.*'
mechanism R51 $core/waitq.c 's/queue->served % WTQ_TURN == WTQ_TURN - 1/0/' waitq 'WaitQueue.ServesALower*'
mechanism R52 $core/waitq.c 's/return a->priority < b->priority;/return 0;/' waitq 'WaitQueue.ServesInTime*'
mechanism R53 $core/relay.c '/^	forget_waiting(rly, key, now_ms);$/{N;s/.*return agent/	return agent/}' overload 'Waiting.SurvivesTheDeath*'
mechanism R54 $core/flow_pending.c 's/!location->waiting \&\&/1 \&\&/' overload 'Waiting.HappensAt*'
mechanism R73 $core/flow_target.c 's/!urgent \&\& is_late(work) :/0 :/' overload 'Waiting.EndsWhenATarget*'
mechanism R74 $core/probe.c 's/ || !prb->accepted || / || /' probe 'Probe.OnlyAnUncontradicted*'
mechanism R75 $core/view.c 's/^	     member->liveness == JJ__LIVENESS__LIVE_LEFT))$/	     0))/' lost 'Lost.AnAgentThatLeft*'
mechanism R76 $core/flow_target.c 's/return target->absent ? FLW_FOLLOWED_IF_LISTENING : FLW_NOT_FOLLOWED;/return FLW_FOLLOWED;/' lost 'Lost.AFirstHeartbeat*:LostSeeds.*'
mechanism R77 $core/flow_target.c 's/prb_has_listened(&target->probe)/1/' lost 'Lost.ATargetThatStartsAfter*'
mechanism R55 $core/flow_wait.c 's/^	if (may_pass(work) \&\& flw_pass_to_queue(work))$/	if (0)/' overload 'Waiting.HappensAt*'
mechanism R56 $core/flow_wait.c 's/^	while (expire_one(call))$/	while (0 \&\& expire_one(call))/' overload 'Waiting.EndsWithAReset*'
mechanism R57 $core/flow_pending.c 's/^		if (!requeue(flw, \&entry))$/		if (!requeue(flw, \&entry) \&\& 0)/' overload 'Waiting.AnOpeningThatNoLonger*'
mechanism R58 $core/flow_wait.c 's/entry->copy_possible || copy_elsewhere(entry, call->now);/entry->copy_possible;/' overload 'Waiting.DoesNotEnd*'

mechanism R60 $core/flow_lost.c 's/^	if (proven)$/	if (0)/' lost 'Lost.Callers*'
mechanism R61 $core/flow_target.c 's/^	if (!flw_probes_target(flw))/	if (1)/' lost 'Lost.FlowsOfAFrozen*'
mechanism R62 $core/flow_target.c 's/^	if (flw_is_returning(flw, now))/	if (0)/' lost 'Lost.ARestarted*'
mechanism R63 $core/flow_lost.c 's/sent_at > target->left_down_at/1/' lost 'Lost.ARestarted*'
mechanism R64 $core/flow_lost.c 's/target->gone_before = target->alive_at/target->gone_before = target->last_at/' lost 'Lost.ALaterStart*'
mechanism R65 $core/flow_lost.c 's/^	return found \&\& found->phase == .*/	return 0;/' lost 'Lost.AnAgentThatWasDown*'
mechanism R66 $core/flow_lookup.c 's/DOWN_ATTEMPTS 3/DOWN_ATTEMPTS 1/' lost 'Lost.AReply*'
mechanism R67 $core/flow_lookup.c 's/return !\*awaited || flw_probes_target(call->flw)/return !*awaited/' lost 'Lost.AReply*'
mechanism R68 $core/flow_lost.c 's/^	return (int32_t)(lost->probe_number.*/	return 1;/' lost 'Lost.FlowsGiven*'
mechanism R69 $core/flow_lost.c 's/^	if (flw->target.lost_at)$/	if (0)/' lost 'Lost.APacket*'
mechanism R70 $core/flow_target.c 's/^		target->announced_down = 1;$/		target->announced_down |= 0;/' lost 'Lost.NoFlowIsOpened*'
mechanism R71 $core/flow_lost.c 's/^	flow->state = FLW_OPENING;$/	return;/' lost 'Lost.AFlowThatACopy*'
mechanism R72 $core/flow_lookup.c 's/packet_known || !flw_probes_target/1 || packet_known || !flw_probes_target/' lost 'Lost.AHolderFound*'
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
