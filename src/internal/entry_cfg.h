/* Settings of an entry: an instance that serves callers on the event loop. */
#ifndef SH_ENTRY_CFG_H
#define SH_ENTRY_CFG_H
#include "err.h"
#include <netinet/in.h>
#include <stdint.h>

#define ENTRY_SEEDS_MAX 8  /* more are not read */
#define ENTRY_DCS_MAX 64   /* data centres: settings with more are refused */
#define ENTRY_TEXT_MAX 127 /* characters of a name or address */

struct entry_dc {
	char name[ENTRY_TEXT_MAX + 1], region[ENTRY_TEXT_MAX + 1];
};

struct entry_cfg {
	char instance[ENTRY_TEXT_MAX + 1];
	char data_centre[ENTRY_TEXT_MAX + 1], region[ENTRY_TEXT_MAX + 1];
	struct entry_dc dc[ENTRY_DCS_MAX]; /* all data centres */
	int ndcs;
	char ip[ENTRY_TEXT_MAX + 1];
	char front_text[ENTRY_TEXT_MAX + 1]; /* as callers are told it */
	struct sockaddr_in front, ready, directory, platform;
	int has_directory;                /* 0: another program answers where to go */
	int memory_mb;                    /* that this instance may use */
	int link_mbps;                    /* what this instance's link carries; 0: not told */
	uint16_t peer_port, metrics_port; /* 0: no metrics */
	struct sockaddr_in seed[ENTRY_SEEDS_MAX]; /* some other instances' peer ports */
	int nseeds;
	int first_start;     /* of the whole fleet */
	int64_t join_us;     /* all know of an instance that starts after it */
	int fail_closed;     /* keyed requests only under a confirmed configuration */
	int64_t revoke_us;   /* a removed key runs nothing after it */
	int64_t drain_us;    /* a leaving backend server gets nothing after it */
	int64_t drain_dc_us; /* the same of servers in a data centre that is drained */
	/* Of requests to a service, what a version gets that nobody knows to be good: that part
	 * of them, and so many more. */
	double exposure_share, exposure_slack;
	int64_t grace_us;                /* from the signal to stop until the kill */
	int64_t answer_ttl_max_us;       /* callers keep an address at most so long */
	double cold_over, cold_slack;    /* a cold server falls over: see saddlehead/quota.h */
	double retry_ratio, retry_slack; /* repeats in a window: ratio x requests + slack */
	int64_t retry_window_us;
};
#endif
