/* Messages between daemons: msgpack arrays behind a four-byte big-endian length. */
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
#define WIRE_UNKNOWN UINT32_MAX /* tokens generated: nobody can tell */
#define WIRE_NEWS_MAX (2 + MBR_GOSSIP_MAX + MBR_WINDOW_MAX)
#define WIRE_FRAME_MAX (2u << 20) /* a document may hold up to a megabyte */

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
	WIRE_CHECK, /* a keeper: do these requests still run there? */
	WIRE_SHARE_ASK,
	WIRE_SHARE, /* a home's answer: held is the share */
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
	struct mbr_info news[WIRE_NEWS_MAX]; /* the sender itself comes first */
	uint32_t nnews;
	uint64_t members; /* mbr_hash of the sender */
};

/* Ages and times left, as clocks differ between instances; microseconds. */
struct wire_ticket {
	uint64_t request, group, service, engine;
	uint32_t prompt_tokens, generated;
	int64_t age_us, left_us;
};

struct wire_msg {
	enum wire_type type;
	uint64_t from; /* the member it came from: set on receipt, not sent */
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
			struct claim_op op; /* its answer points into the frame on receipt */
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
			const char *data; /* into the frame on receipt */
			uint32_t len;
		} doc; /* also doc_get, without data */
	} u;
};

/* Appends the frame, length first. */
void wire_encode(msgpack_sbuffer *out, const struct wire_msg *m);

/* Whether the lengths inside add up; 0 or -1. wire_decode asks it first. */
int wire_check(const char *body, size_t len);

/* Reads the frame's body; 0, or -EPROTO when it is not one of these messages. */
int wire_decode(const char *body, size_t len, struct wire_msg *m, msgpack_unpacked *hold);
#endif
