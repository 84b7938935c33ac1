/* Reasons why a request was refused or retried, with one counter each. */
#ifndef SH_REASON_H
#define SH_REASON_H

enum refusal {
	REF_NONE,
	REF_BAD_REQUEST,
	REF_BAD_JSON,
	REF_TOO_LARGE,
	REF_NOT_FOUND,
	REF_METHOD,
	REF_UNAUTHORIZED,
	REF_NOT_ALLOWED,
	REF_UNKNOWN_SERVICE,
	REF_NO_TABLE,
	REF_WAITING_CEILING,
	REF_RUNNING_CEILING,
	REF_TOO_LONG,
	REF_DEADLINE,
	REF_NO_ENGINE,
	REF_NOT_KEEPER,
	REF_RING_FULL,
	REF_PEER_LOST,
	REF_DRAINING,
	REF_ENGINE_FAILED,
	REF_STREAM_LOST,
	REF_BUSY,
	REF_PLATFORM_DOWN,
	REF_CLAIMS_FULL,
	REF_IN_PROGRESS,
	REF_MAY_HAVE_RUN,
	REF_BAD_EVENT_ID,
	REF_CALLER_LEFT,
	REF_CONFLICT,
	REF_INTERNAL,
	REF_CRASHES,        /* backend servers crashed while it ran; it is not sent again */
	REF_SUSPECT,        /* it may have crashed servers, and others like it are in flight */
	REF_DC_DRAINED,     /* all suitable servers are in drained data centres */
	REF_RATE_LIMITED,   /* its share of every suitable server's rate limit is used up */
	REF_SLOW_READER,    /* the caller reads its answer too slowly and memory is short */
	REF_ORIGIN_UNKNOWN, /* all that may know say that they don't: which version began it */
	REF_ORIGIN_UNANSWERED, /* of those that may know some don't answer, or can't be asked */
	REF_ORIGIN_UNNAMED,    /* the caller did not name the attempt that began the stream */
	REF_ORIGIN_DISPUTED,   /* two versions began streams under that attempt's id */
	REF_VERSION_GONE, /* no server of the software version that began the stream is left */
	REF_SEGMENT_CRASHES, /* backend servers crashed under requests with a segment of its
				prompt */
	REF_SEGMENT_SUSPECT, /* they may have, and others with the segment are in flight */
	REF_APPOINTMENT,     /* it can't start in time now; room is promised later */
	REF_NO_TIME,         /* neither now nor as far ahead as it may wait */
	REF_EARLY,           /* it came before the time that it was promised */
	REF_LATE,            /* it was admitted, and room came too late */
	REF_MAX
};

enum retry {
	RETRY_CONNECT,
	RETRY_FIRST_BYTE,
	RETRY_ENGINE_STATUS,
	RETRY_ENGINE_LOST,
	RETRY_CROSSED,
	RETRY_NOT_KEEPER,
	RETRY_KEEPER_LOST,
	RETRY_RESUME,
	RETRY_PLATFORM,
	RETRY_PEER_CONNECT,
	RETRY_MAX
};

struct refusal_info {
	const char *code; /* "code" of the JSON error and "reason" label of the metric */
	int status;       /* HTTP status */
};

const struct refusal_info *refusal_info(enum refusal r);
const char *retry_name(enum retry r);
#endif
