/* Settings of an entry: an instance that serves callers on the event loop. */
#ifndef SH_ENTRY_CFG_H
#define SH_ENTRY_CFG_H
#include "conf.h"
#include "err.h"
#include <netinet/in.h>
#include <stdint.h>

#define ENTRY_SEEDS_MAX 8  /* further seeds are not read */
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
	char front_text[ENTRY_TEXT_MAX + 1]; /* as given to callers */
	struct sockaddr_in front, ready, directory, platform;
	int has_directory; /* 0: another program answers the directory's requests */
	int memory_mb;     /* that this instance may use */
	int link_mbps;     /* capacity of this instance's link; 0: unknown */
	uint16_t peer_port, metrics_port;         /* 0: no metrics */
	struct sockaddr_in seed[ENTRY_SEEDS_MAX]; /* peer ports of some other instances */
	int nseeds;
	int first_start;     /* of the whole fleet */
	int64_t join_us;     /* after its start, until all instances have learned of one */
	int fail_closed;     /* serve keyed requests only under a confirmed configuration */
	int64_t revoke_us;   /* time after which a removed key runs nothing */
	int64_t drain_us;    /* time after which a leaving backend server gets nothing */
	int64_t drain_dc_us; /* the same for servers in a data centre that is drained */
	/* Of the requests to a service, what an unproven version may get: this share, plus a
	 * number. */
	double exposure_share, exposure_slack;
	int64_t grace_us;          /* from the signal to stop until the kill */
	int64_t answer_ttl_max_us; /* the longest time for which callers keep an address */
	double cold_overshoot, cold_slack; /* limits for cold servers: see saddlehead/quota.h */
	double retry_ratio, retry_slack;   /* retries in a window: ratio x requests + slack */
	int64_t retry_window_us;
	enum conf_scope admission; /* unless the configuration says */
};
#endif
