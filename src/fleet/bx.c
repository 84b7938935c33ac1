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

static void log_unread(const struct be *b, const char *field)
{
	GString *g = jlog_begin("fleet", "notice_unread");

	met_add(MET_NOTICES_UNREAD, 1);
	jlog_str(g, "backend", b->id);
	jlog_str(g, "field", field);
	jlog_end(g);
}

static void log_rest(const struct be *b, int64_t for_us)
{
	GString *g = jlog_begin("fleet", "backend_rests");

	jlog_str(g, "backend", b->id);
	jlog_int(g, "for_ms", for_us / 1000);
	jlog_end(g);
}

static void on_any_head(struct hx *x)
{
	struct be *b = x->peer;
	struct dl_notice n;

	dl_read_notice(&x->hp.head, &n);
	if (n.unread) log_unread(b, n.unread);
	if (n.leaving) leave_said(b, "its own answer");
	if (n.rest_us) log_rest(b, n.rest_us);
	/* A number that can't be used lifts no limit. */
	if (n.limit_per_s >= 0 || !n.names_limit) limit_said(b, n.limit_per_s, x->began_us);
}

static void peer_free(void *b)
{
	be_unref(b);
}

int bx_start(struct hx *x, struct be *b, GString *request, int64_t connect_us)
{
	x->peer = be_ref(b);
	x->peer_free = peer_free;
	x->on_any_head = on_any_head;
	pace_sent(b, conf_service(board_conf(), b->service));
	return hx_start(x, &b->sa, request, connect_us);
}
