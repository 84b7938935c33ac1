/* Incremental parser (hp_) of an HTTP/1.1 request or answer, on top of http-parser. */
#ifndef SH_HP_H
#define SH_HP_H
#include "hp_scan.h"
#include <glib.h>
#include <http_parser.h>
#include <stdint.h>
#include <sys/types.h>

/* Offsets into the text of a head. */
struct hp_field {
	uint32_t name, value;
};

/* The head of a message. All strings are in text, each terminated by a NUL. */
struct hp_head {
	GString *text;
	GArray *fields;  /* of struct hp_field */
	uint32_t target; /* offset of the request's target */
	int status;      /* of an answer */
	enum http_method method;
};

/* What ends the body of a message. */
enum hp_framing {
	HP_BY_LENGTH,
	HP_BY_CHUNKS,
	HP_BY_CLOSE, /* of the connection: only an answer can be framed so */
};

struct hp {
	http_parser parser;
	struct hp_scan scan;
	struct hp_head head;
	size_t head_max;   /* bytes; 0: a default */
	size_t head_bytes; /* parsed so far, with those of interim answers */
	int in_value, head_done, done, no_body;
	int interim;             /* the head is that of an interim answer, which is dropped */
	char last[2];            /* bytes parsed */
	int chunk_line_over;     /* a line between chunks has just ended */
	enum hp_framing framing; /* valid once head_done is set */
	int (*on_head)(struct hp *p); /* returns 0, or a negative errno that stops parsing */
	int (*on_body)(struct hp *p, const char *at, size_t n);
	int rc; /* last return value of a callback */
	void *user;
};

void hp_init(struct hp *p, int request);
/* Prepares for the next message on the connection. */
void hp_reset(struct hp *p);
void hp_free(struct hp *p);

/* Returns the number of bytes consumed: all, or up to the end of the message; -EBADMSG if it is
 * not HTTP or its framing is ambiguous, -EMSGSIZE if the head exceeds head_max, or the error of
 * a callback. */
ssize_t hp_feed(struct hp *p, const char *at, size_t n);
/* The peer closed its side. Returns 0 if the message is complete by that, else -EPIPE. */
int hp_end(struct hp *p);

uint32_t hp_count(const struct hp_head *h);
const char *hp_name(const struct hp_head *h, uint32_t i);
const char *hp_value(const struct hp_head *h, uint32_t i);
/* For logs. */
const char *hp_framing_name(enum hp_framing f);
/* Value of the first field of that name, ignoring case, or NULL. */
const char *hp_get(const struct hp_head *h, const char *name);
const char *hp_target(const struct hp_head *h);
/* Whether the field is hop-by-hop and must not be forwarded. */
int hp_hop_by_hop(const struct hp_head *h, const char *name);
#endif
