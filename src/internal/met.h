/* Counters, gauges and histograms of our own, written out as Prometheus text. */
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
	MET_KV_REFUSED_BUDGET,
	MET_TABLE_CHANGES,
	MET_PAUSES,
	MET_PROBES,
	MET_PEER_FETCHES,       /* lists asked for at other instances */
	MET_PEER_BUSY,          /* the same that this one turned away */
	MET_PEER_RENEWED,       /* links that were broken off as nothing was answered */
	MET_PEER_IDLE,          /* connections of others on which nothing came any more */
	MET_REPEATS,            /* that reached a server */
	MET_REPEATS_HELD,       /* requests that the fleet's allowance kept from a repeat */
	MET_BACKENDS_ENDED,     /* untold, while requests of this instance ran there */
	MET_ENTRIES_UNREADABLE, /* of backend servers, by other writers */
	MET_BLOCKED,            /* requests that were blamed for it, here or elsewhere */
	MET_COLD_PASSED_OVER,   /* choices in which a cold server had its share already */
	MET_LIMIT_PASSED_OVER,  /* the same of one that named a limit */
	MET_REST_PASSED_OVER,   /* choices in which a server rested, or came back from it */
	MET_TURNS_WAITED,       /* requests that waited until a server may be asked */
	MET_NOTICES_UNREAD,     /* answers whose word on the server can't be used */
	MET_CANARIES,           /* requests sent to versions that are being brought in */
	MET_ROLLBACKS,          /* versions found bad */
	MET_SILENT_CONNECTIONS, /* of streams whose engines had made more than came */
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
	MET_G_ACTIVE,  /* callers are sent here */
	MET_G_BLOCKED, /* requests that are blamed now */
	MET_G_DRAINED, /* data centres that are drained */
	MET_GAUGE_MAX
};

enum met_hist {
	MET_H_FIRST_TOKEN,
	MET_H_BETWEEN,
	MET_H_STALL,
	MET_H_WAIT,         /* for room, of those that were sent then */
	MET_H_FORECAST_OFF, /* between that wait and the one that was foreseen */
	MET_HIST_MAX
};

void met_add(enum met_count c, uint64_t n);
uint64_t met_get(enum met_count c);
void met_refused(enum refusal r);
void met_retried(enum retry r);
void met_set(enum met_gauge g, int64_t v);

/* The histograms of one group. Found once per request, then updated without a lock. */
struct met_group;
struct met_group *met_group(const char *name);
void met_observe(struct met_group *g, enum met_hist h, int64_t us);

void met_write(GString *out);
#endif
