/* Messages between daemons: msgpack arrays, each after a four-byte big-endian length. */
#ifndef SH_WIRE_H
#define SH_WIRE_H
#include "claim.h"
#include "share.h"
#include <msgpack.h>
#include <saddlehead/core.h>
#include <saddlehead/member.h>

#define WIRE_KEY_MAX 64
#define WIRE_DOCS_MAX 32
#define WIRE_DIGESTS_MAX 8
#define WIRE_CHECKS_MAX 64
#define WIRE_UNKNOWN UINT32_MAX /* number of generated tokens is unknown */
#define WIRE_UPDATES_MAX (2 + MBR_GOSSIP_MAX + MBR_WINDOW_MAX)
#define WIRE_FRAME_MAX (2u << 20) /* a document may have up to 1 MiB */

enum wire_type {
	WIRE_HELLO = 1,
	WIRE_PING,
	WIRE_ACK,
	WIRE_TICKET,
	WIRE_ADOPT,
	WIRE_GRANT,
	WIRE_REFUSE,
	WIRE_WITHDRAW,
	WIRE_DONE,
	WIRE_CLAIM,
	WIRE_CLAIMED,
	WIRE_CHECK, /* from a keeper: asks whether these requests still run */
	WIRE_SHARE_ASK,
	WIRE_SHARE, /* reply of the group's home instance; held is the share */
	WIRE_DOC_GET,
	WIRE_DOC
};

struct wire_version {
	uint64_t doc, version;
};

struct wire_ping {
	struct wire_version doc[WIRE_DOCS_MAX];
	uint32_t ndocs;
	struct core_digest digest[WIRE_DIGESTS_MAX];
	uint32_t ndigests;
	struct mbr_info updates[WIRE_UPDATES_MAX]; /* the sender itself is first */
	uint32_t nupdates;
	uint64_t members_hash; /* mbr_hash of the sender */
};

/* Times are durations in microseconds, because clocks differ between instances. */
struct wire_ticket {
	uint64_t request, group, service, engine;
	uint32_t prompt_tokens, generated;
	int64_t age_us, left_us;
};

struct wire_msg {
	enum wire_type type;
	uint64_t from; /* the sending member: set on receipt, not encoded */
	union {
		struct {
			char key[WIRE_KEY_MAX + 1];
			struct mbr_info self;
		} hello;
		struct wire_ping ping;     /* also ack */
		struct wire_ticket ticket; /* also adopt */
		struct {
			uint64_t request, engine;
			int64_t waited_us;
		} grant;
		struct {
			uint64_t request;
			uint32_t why, retry_after_ms;
		} refuse;
		struct {
			uint64_t request;
			uint32_t generated, failed;
		} done; /* also withdraw */
		struct {
			uint64_t request;
			struct claim_op op; /* on receipt, its answer points into the frame */
		} claim;
		struct {
			uint64_t request;
			uint32_t result, status, answer_len;
			char content[64];
			const char *answer;
		} claimed;
		struct {
			uint64_t request[WIRE_CHECKS_MAX];
			uint32_t n;
		} check;
		struct {
			uint32_t seq;
			struct share_request ask;
		} share;
		struct {
			uint64_t doc, version;
			const char *data; /* on receipt, points into the frame */
			uint32_t len;
		} doc; /* also doc_get, without data */
	} u;
};

/* Appends the message as a frame with its length. */
void wire_encode(msgpack_sbuffer *out, const struct wire_msg *m);

/* Checks that the encoded lengths fit the frame; 0 or -1. wire_decode calls it first. */
int wire_check(const char *body, size_t len);

/* Decodes the frame's body, into which m may point; 0, or -EPROTO when it is not valid. */
int wire_decode(const char *body, size_t len, struct wire_msg *m, msgpack_unpacked *unpacked);
#endif
