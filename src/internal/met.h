/* Counters, gauges and histograms, written out as Prometheus text. */
#ifndef SH_MET_H
#define SH_MET_H
#include "reason.h"
#include <glib.h>
#include <stdint.h>

enum met_count {
	MET_REQUESTS,
	MET_ANSWERED,
	MET_CALLS,
	MET_TOKENS,
	MET_TOKENS_DUP,
	MET_CALLER_LEFT,
	MET_ANSWERS_DROPPED,
	MET_PREEMPTIONS,
	MET_GRANTS,
	MET_TICKETS_IN,
	MET_LOADS,
	MET_PEER_BYTES_IN,
	MET_PEER_BYTES_OUT,
	MET_PEER_MSGS_IN,
	MET_PEER_MSGS_OUT,
	MET_PEER_DROPPED,
	MET_KV_CALLS,
	MET_KV_ERRORS,
	MET_KV_OVER_BUDGET,
	MET_TABLE_CHANGES,
	MET_READER_PAUSES,
	MET_PROBES,
	MET_PEER_FETCHES,          /* lists requested from other instances */
	MET_PEER_FETCHES_REFUSED,  /* such requests of others that this instance refused */
	MET_PEER_LINKS_RENEWED,    /* links closed because the other side did not answer */
	MET_PEER_CONNECTIONS_IDLE, /* accepted connections closed as idle */
	MET_RETRIES,               /* retries that reached a server */
	MET_RETRIES_DENIED,      /* requests not retried because of the fleet's retry budget */
	MET_BACKENDS_CRASHED,    /* servers crashed without notice under requests of this one */
	MET_ENTRIES_UNREADABLE,  /* entries of backend servers, by other writers */
	MET_QUARANTINED,         /* requests quarantined, by this instance or another */
	MET_COLD_SKIPPED,        /* choices that skipped a cold server with its share used up */
	MET_LIMIT_SKIPPED,       /* choices that skipped a server with its rate limit used up */
	MET_BACKOFF_SKIPPED,     /* choices that skipped a server in or after back-off */
	MET_BRITTLE_SKIPPED,     /* choices that skipped a brittle server without room */
	MET_RATE_LIMIT_WAITS,    /* requests that waited for a server's rate limit */
	MET_NOTICES_INVALID,     /* answers with an invalid notice about their server */
	MET_CANARY_REQUESTS,     /* requests sent to versions that are being rolled out */
	MET_ROLLBACKS,           /* versions found bad and rolled back */
	MET_SILENT_CONNECTIONS,  /* of streams whose engine had generated more than arrived */
	MET_STREAMS_CUT_SHORT,   /* answers that ended as complete ones inside an event */
	MET_TUNNELS,             /* exchanges through another instance */
	MET_TUNNELS_FAILED,      /* that ended by a failure of the helper */
	MET_TUNNELS_SERVED,      /* requests for a tunnel from other instances */
	MET_PATH_CHECKS,         /* checks whether a server is reached from here */
	MET_ERAS_INVALID,        /* answers of the store with an era that is no number */
	MET_ORIGINS_TOLD,        /* statements to others which version began a stream */
	MET_ORIGINS_ASKED,       /* questions to others */
	MET_ORIGINS_KNOWN,       /* streams taken up whose version was known here */
	MET_ORIGINS_LEARNT,      /* streams taken up whose version another instance knew */
	MET_TRIALS,              /* trial runs after a quarantine that this instance granted */
	MET_ADM_ASKED,           /* questions to keepers of services */
	MET_ADM_UNANSWERED,      /* those that were not answered in time */
	MET_ADM_LOCAL,           /* requests decided here, as no keeper could */
	MET_ADM_GRANTED,         /* grants received from keepers */
	MET_ADM_KEEPER_CHANGES,  /* of the keeper that is asked for a service */
	MET_ADM_TICKETS,         /* questions that this instance received as a keeper */
	MET_ANSWERS_TOO_LARGE,   /* answers given up: their size exceeds the limit */
	MET_ANSWERS_UNUSUAL,     /* far larger than those of their route, without a length */
	MET_ANSWERS_LATE,        /* begun and not complete in time */
	MET_ANSWERS_OVER_MEMORY, /* held answers together exceeded their limit */
	MET_COUNT_MAX
};

enum met_gauge {
	MET_G_WAITING,
	MET_G_RUNNING,
	MET_G_REQUESTS,
	MET_G_MEMBERS,
	MET_G_ENGINES_KEPT,
	MET_G_TABLE_VERSION,
	MET_G_DRAINING,
	MET_G_WATCHES,
	MET_G_ACTIVE,               /* 1 if this instance receives caller traffic */
	MET_G_QUARANTINED,          /* requests in quarantine now */
	MET_G_DRAINED_DATA_CENTRES, /* data centres drained now */
	MET_G_PATH_LOST,            /* 1 while no backend server is reached from here */
	MET_G_TUNNELS,              /* open for other instances now */
	MET_G_ORIGINS,              /* streams of which this instance keeps the version */
	MET_G_HELD_BYTES,           /* of answers that are not complete yet */
	MET_GAUGE_MAX
};

enum met_hist {
	MET_H_FIRST_TOKEN,
	MET_H_BETWEEN_TOKENS,
	MET_H_STALL,
	MET_H_WAIT,           /* for free memory, of requests that were then sent */
	MET_H_FORECAST_ERROR, /* absolute difference between that wait and its forecast */
	MET_HIST_MAX
};

void met_add(enum met_count c, uint64_t n);
uint64_t met_get(enum met_count c);
void met_refused(enum refusal r);
void met_retried(enum retry r);
void met_set(enum met_gauge g, int64_t v);

/* The histograms of one group. Looked up under a lock once per request, then updated without
 * one. */
struct met_group;
struct met_group *met_group(const char *name);
void met_observe(struct met_group *g, enum met_hist h, int64_t us);

/* Generations that wait for room, and how long those that were then sent waited, by class of
 * their rank. */
#define MET_RANK_CLASSES 4
const char *met_rank_name(int class);
void met_rank_waiting(int class, int change);
void met_rank_waited(int class, int64_t us);

void met_write(GString *out);
#endif
