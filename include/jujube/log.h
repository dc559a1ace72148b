/*
 * log - numbered events
 *
 * Every log line belongs to one of the events below, which docs/EVENTS.md
 * explains; a test compares the two lists. The library formats each line and
 * passes it to the sink of the caller; it does no output itself.
 *
 * X(number, level, NAME, "text"); levels are those of syslog(3).
 */
#ifndef JUJUBE_LOG_H
#define JUJUBE_LOG_H

#include <stdint.h>

enum log_level { LOG_ERR_ = 3, LOG_WARN_ = 4, LOG_INFO_ = 6, LOG_DEBUG_ = 7 };

#define LOG_EVENTS(X)                                                          \
	X(100, LOG_INFO_, STARTED, "process started")                          \
	X(101, LOG_INFO_, STOPPING, "graceful shutdown started")               \
	X(102, LOG_INFO_, STOPPED, "process stopped")                          \
	X(103, LOG_ERR_, BAD_SETTINGS, "invalid settings")                     \
	X(104, LOG_INFO_, RELOADED, "settings reloaded")                       \
	X(105, LOG_WARN_, RELOAD_FAILED, "reload failed, old settings kept")   \
	X(106, LOG_ERR_, SOCKET_FAILED, "socket operation failed")             \
	X(107, LOG_WARN_, PAUSED,                                              \
	  "process was paused; revision not confirmed")                        \
	X(108, LOG_INFO_, RESUMED,                                             \
	  "revision confirmed again; forwarding resumed")                      \
	X(200, LOG_INFO_, MEMBER_JOINED, "member joined, or is alive again")   \
	X(201, LOG_WARN_, MEMBER_SUSPECT,                                      \
	  "member does not answer; now suspect")                               \
	X(202, LOG_WARN_, MEMBER_DEAD, "member declared dead")                 \
	X(203, LOG_INFO_, MEMBER_LEFT, "member left")                          \
	X(204, LOG_INFO_, MEMBER_CHANGED, "member changed phase or restarted") \
	X(205, LOG_WARN_, REFUTED,                                             \
	  "refuted a report that this process is not alive")                   \
	X(206, LOG_WARN_, MEMBERS_FULL, "member list is full")                 \
	X(300, LOG_INFO_, TABLE_APPLIED, "table revision applied")             \
	X(301, LOG_WARN_, TABLE_OLDER, "older table ignored")                  \
	X(302, LOG_WARN_, TABLE_INVALID, "invalid table from the platform")    \
	X(303, LOG_WARN_, TABLE_RESTORED,                                      \
	  "platform had an older table; newer rows written back")              \
	X(304, LOG_INFO_, CHANGE_ACCEPTED, "operator's change accepted")       \
	X(305, LOG_INFO_, CHANGE_REFUSED, "operator's change refused")         \
	X(306, LOG_WARN_, CHANGE_CONFLICT,                                     \
	  "operator's change conflicts with another")                          \
	X(307, LOG_WARN_, CHANGE_OUTCOME_UNKNOWN,                              \
	  "outcome of a change still unknown")                                 \
	X(310, LOG_WARN_, PLATFORM_DOWN, "platform does not answer")           \
	X(311, LOG_INFO_, PLATFORM_UP, "platform answers again")               \
	X(400, LOG_WARN_, BAD_FRAME, "message dropped")                        \
	X(401, LOG_WARN_, NO_TARGET, "no target available for a packet")       \
	X(402, LOG_WARN_, WRONG_SERVICE, "packet for another service dropped") \
	X(403, LOG_INFO_, SERVICE_OPEN, "service address opened")              \
	X(404, LOG_INFO_, SERVICE_CLOSED, "service address closed")            \
	X(500, LOG_INFO_, TARGET_PHASE_CHANGED, "target changed phase")        \
	X(501, LOG_WARN_, TARGET_DOWN, "target does not answer")               \
	X(502, LOG_INFO_, FLOW_LISTS_COMPLETE,                                 \
	  "flow lists of all peers received")                                  \
	X(503, LOG_WARN_, REQUEST_OUTCOME_UNKNOWN,                             \
	  "outcome of a request is unknown")                                   \
	X(504, LOG_WARN_, WRONG_TARGET,                                        \
	  "another target answers at this address")                            \
	X(505, LOG_INFO_, TARGET_REPORT, "target reported a new state")        \
	X(506, LOG_INFO_, TARGET_LEFT, "target reported that it has left")     \
	X(507, LOG_WARN_, HEARTBEAT_REJECTED, "heartbeat rejected")            \
	X(520, LOG_INFO_, FLOW_OPENED, "flow assigned to the target")          \
	X(521, LOG_WARN_, FLOW_REFUSED, "no target can accept a flow")         \
	X(522, LOG_WARN_, FLOW_RESET, "open flow reset")                       \
	X(523, LOG_WARN_, FLOW_WITHOUT_HOLDER,                                 \
	  "no holder found for the flow of a packet")                          \
	X(526, LOG_WARN_, TARGET_HELD_BACK,                                    \
	  "possibly failing target held back, or released")                    \
	X(527, LOG_INFO_, TARGET_NOT_LISTENING,                                \
	  "nothing listens at the target's address")                           \
	X(525, LOG_WARN_, PEER_REPORT_MISSING,                                 \
	  "chosen agent reported no answer of its target")                     \
	X(524, LOG_INFO_, OPENING_WITHOUT_ROUTE,                               \
	  "no route for an opening packet")                                    \
	X(528, LOG_INFO_, OPENING_WAITS, "opening waits for room at a target") \
	X(529, LOG_INFO_, OPENING_SPILLED,                                     \
	  "opening sent to another data centre")                               \
	X(530, LOG_WARN_, TARGET_LOST,                                         \
	  "target's process is gone; its flows are reset")                     \
	X(531, LOG_INFO_, SHORTAGE, "data centre short of room, or no longer") \
	X(532, LOG_INFO_, TARGET_PROBED, "silent target probed")               \
	X(320, LOG_INFO_, REGISTERED, "process registered on the platform")    \
	X(321, LOG_WARN_, REGISTRATION_LOST,                                   \
	  "registration on the platform lost")                                 \
	X(322, LOG_WARN_, HISTORY_LOST,                                        \
	  "platform discarded its change history")                             \
	X(323, LOG_WARN_, ITEM_INVALID,                                        \
	  "invalid item on the platform ignored")                              \
	X(324, LOG_INFO_, WATCHING,                                            \
	  "started or stopped watching the platform")                          \
	X(325, LOG_WARN_, PLATFORM_RESTORED,                                   \
	  "platform was restored from an older copy")                          \
	X(326, LOG_INFO_, ITEM_OUTDATED,                                       \
	  "item on the platform is older than the table")                      \
	X(327, LOG_WARN_, ROWS_HELD,                                           \
	  "rows kept that the restored platform lacks")                        \
	X(328, LOG_INFO_, TABLE_INCOMPLETE,                                    \
	  "complete table requested from a member")                            \
	X(329, LOG_INFO_, TRANSFER_FAILED,                                     \
	  "state transfer from a member failed")                               \
	X(330, LOG_WARN_, TABLE_FULL, "table is full; rows are left out")      \
	X(510, LOG_INFO_, STATE_HANDED_OVER, "flows and ledger handed over")   \
	X(511, LOG_INFO_, STATE_RESTORED, "flows and ledger restored")         \
	X(512, LOG_WARN_, HANDOVER_FAILED,                                     \
	  "handover of flows and ledger failed")

enum log_event {
#define X(number, level, name, text) EV_##name = (number),
	LOG_EVENTS(X)
#undef X
};

/* Receives formatted lines. With a null write they are dropped. */
struct log_sink {
	void (*write)(void *ctx, enum log_event event, enum log_level level,
		      const char *line);
	void *ctx;
};

/* Formats "JJ<number> <text>: <details>" and passes it to the sink. */
void log_put(const struct log_sink *sink, enum log_event event, const char *fmt,
	     ...) __attribute__((format(printf, 3, 4)));

/* Returns the text of an event, null: unknown number. */
const char *log_text(int number);

#endif
