/* The ticket of a generation: sent to a keeper, moved to another one, and ended. */
#include "clock.h"
#include "digest.h"
#include "gen.h"
#include "node.h"

static void set_keeper(struct gen *g, uint64_t keeper)
{
	g->keeper = keeper;
	req_set_keeper(g->req, keeper);
}

/* Sends the end or withdrawal of the ticket to its keeper, and forgets the keeper. */
static void send_end(struct gen *g, enum wire_type type, int failed)
{
	struct wire_msg m = {.type = type};

	if (!g->keeper) return;
	m.u.done.request = req_handle(g->req);
	m.u.done.generated = gen_next_offset(g);
	m.u.done.failed = (uint32_t)failed;
	ticket_send(g->keeper, &m);
	set_keeper(g, 0);
}

static void send_ticket(struct gen *g, enum wire_type type)
{
	int64_t now = clock_us();
	struct wire_msg m = {.type = type};

	m.u.ticket = (struct wire_ticket){
		.request = req_handle(g->req),
		.group = g->group->id,
		.service = g->service->id,
		.engine = g->engine_id,
		.prompt_tokens = g->prompt_tokens,
		.generated = gen_next_offset(g),
		.age_us = now - g->arrived_us,
		.left_us = g->deadline_us - now,
	};
	g->ticket_sent_us = now;
	ticket_send(g->keeper, &m);
}

int gen_send_ticket(struct gen *g, uint64_t avoid)
{
	struct view *v = view_get();

	if (v && !g->keeper)
		set_keeper(g, digest_choose(v, g->service->id, node.self.dc, g->prompt_tokens,
					    avoid));
	view_unref(v);
	if (!g->keeper) return -1;
	g->state = GEN_WAITING;
	send_ticket(g, WIRE_TICKET);
	return 0;
}

void gen_adopt(struct gen *g)
{
	struct view *v = view_get();
	const struct backend *b = v ? view_backend(v, g->engine_id) : NULL;

	if (b && b->keeper && b->keeper != g->keeper) {
		set_keeper(g, b->keeper);
		send_ticket(g, WIRE_ADOPT);
	}
	view_unref(v);
}

void gen_release(struct gen *g)
{
	send_end(g, g->state == GEN_WAITING ? WIRE_WITHDRAW : WIRE_DONE, 0);
}

void gen_release_failed(struct gen *g)
{
	send_end(g, WIRE_DONE, 1);
}

void gen_check_keeper(struct gen *g)
{
	struct view *v;
	int alive;

	if (g->state == GEN_RUNNING) {
		gen_adopt(g);
		return;
	}
	if (!g->keeper) return;
	v = view_get();
	alive = v && view_member(v, g->keeper) != NULL;
	view_unref(v);
	if (alive) return;
	met_retried(RETRY_KEEPER_LOST);
	set_keeper(g, 0);
	gen_send_ticket(g, 0);
}
