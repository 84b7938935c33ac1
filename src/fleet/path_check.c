/* Checks whether a server is reached from here, or only through other instances. Nothing is
 * sent to it: a connection that comes up is the answer. */
#include "path_check.h"
#include "ev.h"
#include "mesh.h"
#include "met.h"
#include "tunnel.h"
#include <errno.h>
#include <stddef.h>

#define CONNECT_US 250000 /* a running server accepts within a few ms */
/* For a helper's answer. Links to several may hang at once, and verdicts on crashes wait. */
#define HELPER_US 100000
/* Helpers that fail to reach a server before it is taken to be down: a single one may have
 * lost its path in the same moment. */
#define OPINIONS 2
#define HELPERS_MAX 4 /* asked in one check, including those that could not try */

struct path_check {
	struct be *be;
	struct cn cn;
	struct ev_timer timer;
	struct tn *tunnel;         /* NULL: the connection from here is tried */
	struct sockaddr_in helper; /* the last one asked; no port: none was */
	int here_err;              /* how the connection from here failed; 0: it has not */
	int here_only;             /* no other instance is asked */
	int opinions, helpers, asked;
};

static void conclude(struct path_check *k, enum path_verdict v)
{
	struct be *b = k->be;

	b->path.check = NULL;
	ev_stop(&k->timer);
	cn_reset(&k->cn);
	tn_free(k->tunnel);
	ev_free_later(k);
	path_verdict_reached(b, v);
	be_unref(b);
}

static struct path_check *check_of(struct cn *c)
{
	return (struct path_check *)((char *)c - offsetof(struct path_check, cn));
}

static void on_up(struct cn *c)
{
	struct path_check *k = check_of(c);

	conclude(k, k->tunnel ? PATH_AROUND : PATH_DIRECT);
}

static void on_data(struct cn *c, const char *p, size_t n)
{
	(void)c; /* a server sends nothing before a request */
	(void)p;
	(void)n;
}

static void ask_next(struct path_check *k);

static void helper_failed(struct path_check *k)
{
	if (tn_fault(k->tunnel) == TN_SERVER)
		k->opinions++;
	else
		mesh_helper_failed(&k->helper);
	tn_free(k->tunnel);
	k->tunnel = NULL;
	if (k->opinions >= OPINIONS)
		conclude(k, PATH_DOWN);
	else
		ask_next(k);
}

static void failed_here(struct path_check *k, int err)
{
	k->here_err = err;
	path_unreached(k->be);
	if (k->here_only) {
		conclude(k, PATH_UNKNOWN);
		return;
	}
	if (err == -ECONNREFUSED && path_on_refused) path_on_refused(k->be);
	ask_next(k);
}

static void fail(struct path_check *k, int err)
{
	ev_stop(&k->timer);
	cn_reset(&k->cn);
	if (k->tunnel) {
		helper_failed(k);
		return;
	}
	failed_here(k, err);
}

static void on_end(struct cn *c, int err)
{
	fail(check_of(c), err ? err : -ECONNRESET);
}

static void on_timer(struct ev_timer *t)
{
	fail((struct path_check *)((char *)t - offsetof(struct path_check, timer)), -ETIMEDOUT);
}

static void try_to(struct path_check *k, const struct sockaddr_in *to)
{
	ev_in(&k->timer, k->tunnel ? HELPER_US : CONNECT_US);
	if (cn_connect(&k->cn, to)) ev_in(&k->timer, 0);
}

static void reset_callbacks(struct path_check *k)
{
	k->cn = (struct cn){.on_connected = on_up, .on_data = on_data, .on_end = on_end};
	k->cn.ev.fd = -1;
}

/* An instance that is alone has no other opinion than its own. */
static enum path_verdict without_more_helpers(const struct path_check *k, int err)
{
	if (k->opinions) return PATH_DOWN;
	return err == -ENOENT && !k->asked ? PATH_DOWN : PATH_UNKNOWN;
}

static void ask_next(struct path_check *k)
{
	struct sockaddr_in last = k->helper;
	int rc = -EAGAIN;

	if (k->helpers++ < HELPERS_MAX)
		rc = mesh_pick_helper(k->be, last.sin_port ? &last : NULL, &k->helper);
	if (rc) {
		conclude(k, without_more_helpers(k, rc));
		return;
	}
	k->asked = 1;
	reset_callbacks(k);
	k->tunnel = tn_new(&k->cn, k->be);
	try_to(k, &k->helper);
}

static struct path_check *check_new(struct be *b)
{
	struct path_check *k = g_new0(struct path_check, 1);

	k->be = be_ref(b);
	k->timer.fire = on_timer;
	b->path.check = k;
	met_add(MET_PATH_CHECKS, 1);
	reset_callbacks(k);
	return k;
}

void path_check(struct be *b)
{
	if (b->path.check)
		b->path.check->here_only = 0;
	else
		try_to(check_new(b), &b->sa);
}

void path_check_here(struct be *b)
{
	if (b->path.check) return;
	check_new(b)->here_only = 1;
	try_to(b->path.check, &b->sa);
}

void path_check_around(struct be *b, int err)
{
	struct path_check *k = b->path.check;

	if (k && k->here_err) return;
	if (k) {
		k->here_only = 0;
		fail(k, err);
		return;
	}
	failed_here(check_new(b), err);
}

int path_check_failed_here(const struct be *b)
{
	return b->path.check && b->path.check->here_err;
}
