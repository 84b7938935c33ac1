/* Settings of one daemon, read from JSON with comments. Every field is validated. */
#ifndef SH_CFG_H
#define SH_CFG_H
#include "err.h"
#include <saddlehead/member.h>
#include <stdint.h>

#define CFG_LIST_MAX 32
#define CFG_TEXT_MAX 127

struct cfg_list {
	char item[CFG_LIST_MAX][CFG_TEXT_MAX + 1];
	int n;
};

struct cfg {
	char instance[CFG_TEXT_MAX + 1], data_centre[CFG_TEXT_MAX + 1];
	char ip[CFG_TEXT_MAX + 1], advertise_ip[CFG_TEXT_MAX + 1];
	int64_t front_port, admin_port, peer_port; /* 0: any free port */
	char admin_key_sha256[CFG_TEXT_MAX + 1];

	char peer_key[CFG_TEXT_MAX + 1];
	struct cfg_list seeds; /* peer ports of other daemons, ip:port */
	int64_t heartbeat_ms, ack_ms, suspect_ms;

	char platform[CFG_TEXT_MAX + 1]; /* ip:port */
	struct cfg_list data_centres;    /* data centres whose backend servers are used */
	int64_t platform_timeout_ms, watch_ms, platform_calls_per_s;

	int64_t connect_ms, first_byte_ms, stall_ms, silent_ms, grace_ms;
	int64_t reserve_tokens, prompt_weight_pc, retries;
	int64_t call_timeout_ms, call_concurrency, claim_writes_per_s;

	int64_t body_bytes, requests, waiting;
	int64_t where_ttl_ms;
	char log_level[CFG_TEXT_MAX + 1], log_format[CFG_TEXT_MAX + 1];
};

/* Read and validate settings from a file or from text, where name stands for the file in
 * messages. On failure e names the file, the reason and, if there is one, the line. */
int cfg_load(const char *path, struct cfg *c, struct err *e);
int cfg_parse(const char *name, const char *text, struct cfg *c, struct err *e);

/* The line number, from 1, of the key at path ("a.b"), or 0 if text has no such key. */
int cfg_line(const char *text, const char *path);
#endif
