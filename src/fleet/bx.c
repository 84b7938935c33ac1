/* What all exchanges with backend servers have in common. */
#include "bx.h"
#include "board.h"
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "leave.h"
#include "limit.h"
#include "met.h"
#include "pace.h"

#define LOG_US 1000000 /* a server may say the same in each of its answers */

/* Whom an exchange is with. */
struct peer {
	struct be *be;
	int after_rest; /* counts among the first exchanges after it asked for rest */
};

static void note_unread(struct be *b, const char *field)
{
	int64_t now = clock_us();
	GString *g;

	met_add(MET_NOTICES_INVALID, 1);
	if (now - b->unread_us < LOG_US) return;
	b->unread_us = now;
	g = jlog_begin("fleet", "notice_unread");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "field", field);
	jlog_end(g);
}

static void on_any_head(struct hx *x)
{
	struct peer *p = x->peer;
	struct dl_notice n;

	if (dl_read_notice(&x->hp.head, &n)) return;
	if (n.unread) note_unread(p->be, n.unread);
	if (n.leaving) leave_said(p->be, "its own answer");
	if (n.cold_us) be_cold(p->be, n.cold_us);
	if (n.rest_us)
		pace_rest(p->be, n.rest_us);
	else if (p->after_rest)
		pace_went_well(p->be);
	/* A number that can't be used lifts no limit. */
	if (n.limit_per_s >= 0 || !n.names_limit) limit_said(p->be, n.limit_per_s, x->began_us);
}

static void peer_free(void *peer)
{
	struct peer *p = peer;

	if (p->after_rest) pace_over_after_rest(p->be);
	be_unref(p->be);
	g_free(p);
}

int bx_start(struct hx *x, struct be *b, GString *request, int64_t connect_us)
{
	struct peer *p = g_new0(struct peer, 1);

	p->be = be_ref(b);
	p->after_rest = pace_begins_after_rest(b);
	x->peer = p;
	x->peer_free = peer_free;
	x->on_any_head = on_any_head;
	pace_sent(b, conf_service(board_conf(), b->service));
	return hx_start(x, &b->sa, request, connect_us);
}
