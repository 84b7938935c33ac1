#include "reason.h"

static const struct refusal_info refusals[REF_MAX] = {
	[REF_NONE] = {"none", 200},
	[REF_BAD_REQUEST] = {"bad_request", 400},
	[REF_BAD_JSON] = {"bad_json", 400},
	[REF_TOO_LARGE] = {"too_large", 413},
	[REF_NOT_FOUND] = {"not_found", 404},
	[REF_METHOD] = {"method_not_allowed", 405},
	[REF_UNAUTHORIZED] = {"unauthorized", 401},
	[REF_NOT_ALLOWED] = {"service_not_allowed", 403},
	[REF_UNKNOWN_SERVICE] = {"unknown_service", 404},
	[REF_NO_TABLE] = {"no_table", 503},
	[REF_WAITING_CEILING] = {"waiting_ceiling", 429},
	[REF_RUNNING_CEILING] = {"running_ceiling", 429},
	[REF_TOO_LONG] = {"too_long", 400},
	[REF_DEADLINE] = {"deadline", 503},
	[REF_NO_ENGINE] = {"no_engine", 503},
	[REF_NOT_KEEPER] = {"not_keeper", 503},
	[REF_RING_FULL] = {"ring_full", 503},
	[REF_PEER_LOST] = {"peer_lost", 503},
	[REF_DRAINING] = {"draining", 503},
	[REF_ENGINE_FAILED] = {"engine_failed", 502},
	[REF_STREAM_LOST] = {"stream_lost", 502},
	[REF_BUSY] = {"service_busy", 503},
	[REF_PLATFORM_DOWN] = {"platform_down", 503},
	[REF_CLAIMS_FULL] = {"claims_full", 503},
	[REF_IN_PROGRESS] = {"in_progress", 409},
	[REF_MAY_HAVE_RUN] = {"may_have_run", 409},
	[REF_BAD_EVENT_ID] = {"bad_event_id", 400},
	[REF_CALLER_LEFT] = {"caller_left", 499},
	[REF_CONFLICT] = {"conflict", 412},
	[REF_INTERNAL] = {"internal", 500},
	[REF_CRASHES] = {"crashes_engines", 502},
	[REF_SUSPECT] = {"may_crash_engines", 503},
	[REF_DC_DRAINED] = {"data_centre_drained", 503},
	[REF_RATE_LIMITED] = {"servers_paced", 503},
	[REF_SLOW_READER] = {"reader_too_slow", 502},
	[REF_ORIGIN_UNKNOWN] = {"origin_unknown", 503},
	[REF_ORIGIN_UNANSWERED] = {"origin_unanswered", 503},
	[REF_ORIGIN_UNNAMED] = {"origin_unnamed", 503},
	[REF_ORIGIN_DISPUTED] = {"origin_disputed", 503},
	[REF_VERSION_GONE] = {"version_gone", 503},
	[REF_SEGMENT_CRASHES] = {"segment_crashes_engines", 502},
	[REF_SEGMENT_SUSPECT] = {"segment_may_crash_engines", 503},
	[REF_APPOINTMENT] = {"appointment", 503},
	[REF_NO_TIME] = {"no_room_in_time", 503},
	[REF_EARLY] = {"before_appointment", 503},
	[REF_LATE] = {"room_came_late", 503},
};

static const char *const retries[RETRY_MAX] = {
	[RETRY_CONNECT] = "connect",
	[RETRY_FIRST_BYTE] = "first_byte",
	[RETRY_ENGINE_STATUS] = "engine_status",
	[RETRY_ENGINE_LOST] = "engine_lost",
	[RETRY_CROSSED] = "crossed_answer",
	[RETRY_NOT_KEEPER] = "not_keeper",
	[RETRY_KEEPER_LOST] = "keeper_lost",
	[RETRY_RESUME] = "resume",
	[RETRY_PLATFORM] = "platform",
	[RETRY_PEER_CONNECT] = "peer_connect",
};

const struct refusal_info *refusal_info(enum refusal r)
{
	if ((unsigned)r >= REF_MAX) r = REF_INTERNAL;
	return &refusals[r];
}

const char *retry_name(enum retry r)
{
	return (unsigned)r < RETRY_MAX ? retries[r] : "unknown";
}
