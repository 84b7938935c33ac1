/* A completion request while this instance serves it. Only the request's own thread accesses
 * its fields. */
#ifndef SH_GEN_H
#define SH_GEN_H
#include "eng.h"
#include "http.h"
#include "met.h"
#include "sink.h"
#include "view.h"
#include <json-c/json.h>

enum gen_state { GEN_WAITING, GEN_RUNNING, GEN_DONE };

struct gen {
	struct mg_connection *conn;
	struct caller caller;
	struct tbl *table;
	const struct tbl_group *group;
	const struct tbl_service *service;
	struct met_group *met;
	json_object *body; /* the request body, parsed */
	int chat, stream;
	uint32_t prompt_tokens;
	uint32_t resume_offset; /* of the first token to send */

	enum gen_state state;
	struct req *req;
	char id[ENG_GEN_MAX + 1]; /* of the generation; empty before it starts */
	char engine[64];
	uint64_t engine_id;
	uint64_t keeper; /* the member that holds the ticket; 0: none */
	uint32_t attempt, retries;
	int resuming; /* the current exchange continues an earlier one's generation */
	struct mux_xfer *xfer;

	struct sink *sink; /* owned by req; its fields are accessed under the lock of req */
	GString *text;     /* generated text when the answer is not streamed */
	char finish_reason[32];
	int64_t arrived_us, deadline_us, ticket_sent_us, caller_checked_us;
};

/* gen_read.c: parses and checks the HTTP request. Nonzero: a refusal has been sent. */
int gen_read_request(struct gen *g, struct mg_connection *c, int chat);
/* The body to send to the engine; free with g_free. */
char *gen_engine_body(struct gen *g);

/* gen_ticket.c: messages to the keeper. */
/* Sends the ticket to a keeper, or again to the one that holds it; -1 when there is no keeper.
 * A keeper other than avoid (0: none) is preferred. */
int gen_send_ticket(struct gen *g, uint64_t avoid);
/* Announces a running generation to the keeper of its engine, unless that keeper has it. */
void gen_adopt(struct gen *g);
/* Withdraws a waiting ticket, or reports the end of a running one. */
void gen_release(struct gen *g);
/* Reports the end of a running ticket and that the engine failed. */
void gen_release_failed(struct gen *g);
/* After a change of members or engines: moves the ticket to another keeper where needed. */
void gen_check_keeper(struct gen *g);

/* gen_reader.c: output to the reader. Functions that return int return -1 when the reader has
 * left. */
void gen_create_sink(struct gen *g);
/* Makes the sink accept the tokens of this attempt, and of no other. */
void gen_attach_sink(struct gen *g, uint32_t attempt);
/* Makes the sink reject all tokens. */
void gen_detach_sink(struct gen *g);
/* Offset of the next token expected from the engine. */
uint32_t gen_next_offset(struct gen *g);
void gen_add_token(struct gen *g, const struct req_msg *m);
/* Writes all pending output, waiting for the reader as needed. */
int gen_flush(struct gen *g);
/* Ends the stream, or sends the answer that is not streamed. */
int gen_finish(struct gen *g);
/* Ends the request with an error: an HTTP answer, or an event when the stream has begun. */
void gen_fail(struct gen *g, const struct http_error *e);

/* gen.c: handles a completion request. */
int gen_serve(struct mg_connection *c, int chat);
#endif
