/* Fetches lists of the platform that this instance lacks from another instance. The fetch has a
 * connection of its own, so that heartbeats don't queue behind it and it can be abandoned. */
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <arpa/inet.h>

#define MANY_MEMBERS 16           /* more members must not all fetch at once */
#define SPREAD_US 30000           /* updates on another link may trail a heartbeat */
#define SPREAD_MANY_US 300000     /* fetches of many instances are spread over it */
#define STALL_US 700000           /* without a byte: another source is tried */
#define DELAY_SLACK_US 2000       /* timers fire up to a millisecond early */
#define RETRY_US 25000            /* average delay before another source is tried */
#define REFUSED_BACKOFF_US 400000 /* half the time of a copy on a narrow link */
/* An instance without a list of servers waits up to NEAR_WAIT_US until one of its own data
 * centre has it, so that one copy crosses to each data centre rather than one to each
 * instance. */
#define NEAR_WAIT_US 2000000
/* By then instances of the same data centre have sent a heartbeat. */
#define NEAR_DISCOVERY_US 600000
/* A link narrower by more than this factor costs more than the distance. */
#define NEAR_MAX_RATIO 2
#define NOTHING_NEWER INT64_MAX /* as a revision: requests no item */

static struct mesh_in *fetch; /* the fetch in progress, or NULL */
static size_t received;       /* bytes of its answer */
static int64_t begin_us;      /* when it began */
static int64_t not_before_us; /* no fetch begins before */
static int64_t
	lacking_since_us; /* since when only the list of servers is missing; 0: it is not */
/* While fetching, detects a stall; else starts the next fetch. */
static struct ev_timer timer;

static int is_newer(struct cache_revs revs)
{
	struct cache_revs mine = cache_revs();

	return revs.conf > mine.conf || revs.backends > mine.backends;
}

/* Versions decide: the store may show an older one under a newer revision. An earlier release
 * reports none. */
static int has_newer_conf(const struct mesh_heartbeat *b)
{
	uint64_t mine = cache_conf() ? cache_conf()->version : 0;

	if (!b->version || b->version == mine) return b->revs.conf > cache_revs().conf;
	return b->version > mine;
}

static int reports_newer(const struct member *m)
{
	return has_newer_conf(&m->hb) || m->hb.revs.backends > cache_revs().backends;
}

/* Newer by its own heartbeat, or by the report of an instance that refused a copy. */
static int has_newer(const struct member *m)
{
	return reports_newer(m) || is_newer(m->reported_revs);
}

static int may_have_newer(const struct member *m)
{
	return (m->alive && reports_newer(m)) || is_newer(m->reported_revs);
}

static int can_be_asked(const struct member *m)
{
	return may_have_newer(m) && clock_us() >= m->fetch_after_us;
}

/* Without a heartbeat the data centre is unknown. Instances that refuse a copy name members
 * near to this one where they can. */
static int is_near(const struct member *m)
{
	return !m->hb.dc || m->hb.dc == mesh_self_dc();
}

static int any_near(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (m->alive && is_near(m)) return 1;
	}
	return 0;
}

/* Whether only the list of servers is missing, and all of it. */
static int lacks_only_backends(void)
{
	const GPtrArray *all = mesh_members();
	struct cache_revs mine = cache_revs();
	uint32_t i;

	if (!cache_conf() || mine.backends) return 0;
	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (m->alive && m->hb.revs.conf > mine.conf) return 0;
	}
	return 1;
}

static int should_wait_for_near(void)
{
	int64_t now = clock_us();

	if (!lacks_only_backends()) {
		lacking_since_us = 0;
		return 0;
	}
	if (!lacking_since_us) lacking_since_us = now;
	return now - lacking_since_us < (any_near() ? NEAR_WAIT_US : NEAR_DISCOVERY_US);
}

/* Weight of m in the choice of a source: the bandwidth of its link, if it has reported it. */
static int weight(const struct member *m, int near)
{
	if (!can_be_asked(m) || (near && !is_near(m))) return 0;
	return MAX(1, m->hb.link_mbps);
}

/* Whether a source in this data centre has a link that is about as wide as any. */
static int has_wide_near_source(void)
{
	const GPtrArray *all = mesh_members();
	int widest = 0, near = 0;
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		widest = MAX(widest, weight(m, 0));
		if (m->hb.dc == mesh_self_dc()) near = MAX(near, weight(m, 1));
	}
	return near && near * NEAR_MAX_RATIO >= widest;
}

/* Picks a random source, weighted by link bandwidth; NULL: none can be asked now. */
static struct member *pick_source(int near)
{
	const GPtrArray *all = mesh_members();
	double sum = 0, at;
	uint32_t i;

	for (i = 0; i < all->len; i++) sum += weight(g_ptr_array_index(all, i), near);
	if (!sum) return NULL;
	at = g_random_double() * sum;
	for (i = 0; i < all->len; i++) {
		struct member *m = g_ptr_array_index(all, i);

		at -= weight(m, near);
		if (at < 0) return m;
	}
	return NULL;
}

static int any_has_newer(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (may_have_newer(m)) return 1;
	}
	return 0;
}

static void drop_fetch(void)
{
	if (!fetch) return;
	ev_stop(&timer);
	cn_reset(&fetch->cn);
	g_string_free(fetch->buf, TRUE);
	ev_free_later(fetch);
	fetch = NULL;
}

static void schedule_next(void)
{
	ev_in(&timer, RETRY_US / 2 + g_random_int_range(0, RETRY_US));
}

/* The source refused or stalled: tries another one, and this one again after a back-off, when
 * it may have capacity. */
static void abandon(void)
{
	fetch->from->fetch_after_us = clock_us() + REFUSED_BACKOFF_US;
	/* The report was wrong, or adds nothing to the source's own heartbeat. */
	fetch->from->reported_revs = (struct cache_revs){0};
	drop_fetch();
	schedule_next();
}

static void on_fetch_end(struct cn *c, int err)
{
	(void)c;
	(void)err;
	abandon();
}

/* Requests the configuration first, alone: it is small as a rule, and any source will do. */
static struct cache_revs wanted_after(void)
{
	struct cache_revs after = cache_revs();

	if (!cache_conf()) after.backends = NOTHING_NEWER;
	if (cache_lacks_version()) after.conf = 0; /* its revision may be older */
	return after;
}

static void on_fetch_up(struct cn *c)
{
	GString *out = g_string_new(NULL);

	mesh_write_fetch(out, wanted_after(), mesh_self_dc());
	cn_write(c, out->str, out->len);
	g_string_free(out, TRUE);
}

static void log_fetched(void)
{
	GString *g = jlog_begin("fleet", "lists_fetched");

	jlog_str(g, "from", fetch->from->hb.name);
	jlog_int(g, "bytes", received);
	jlog_int(g, "took_ms", (clock_us() - begin_us) / 1000);
	jlog_end(g);
}

static void on_fetch_data(struct cn *c, const char *p, size_t n)
{
	(void)c;
	received += n;
	ev_in(&timer, STALL_US);
	if (mesh_split_frames(fetch, p, n) || fetch->redirected) {
		abandon();
		return;
	}
	/* Complete, or received from the store meanwhile. */
	if (has_newer(fetch->from) && fetch->buf->len) return;
	log_fetched();
	drop_fetch();
	mesh_heartbeat_now(); /* announces that this instance has it, too */
	if (any_has_newer()) schedule_next();
}

static void begin_fetch(struct member *m)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(mesh_cfg()->peer_port)};

	if (inet_pton(AF_INET, m->ip, &to.sin_addr) != 1) return;
	fetch = g_new0(struct mesh_in, 1);
	fetch->buf = g_string_new(NULL);
	fetch->from = m;
	fetch->outgoing = 1;
	fetch->cn.on_connected = on_fetch_up;
	fetch->cn.on_data = on_fetch_data;
	fetch->cn.on_end = on_fetch_end;
	received = 0;
	begin_us = clock_us();
	met_add(MET_PEER_FETCHES, 1);
	if (cn_connect(&fetch->cn, &to))
		abandon();
	else
		ev_in(&timer, STALL_US);
}

static void on_timer(struct ev_timer *t)
{
	struct member *m;

	(void)t;
	if (fetch) {
		abandon();
		return;
	}
	if (clock_us() < not_before_us) {
		ev_at(&timer, not_before_us + DELAY_SLACK_US);
		return;
	}
	m = pick_source(should_wait_for_near() || has_wide_near_source());
	if (m)
		begin_fetch(m);
	else if (any_has_newer())
		schedule_next();
}

void mesh_fetch_soon(const struct member *m)
{
	int spread = mesh_members()->len > MANY_MEMBERS ? SPREAD_MANY_US : SPREAD_US;

	if (fetch || timer.armed || !has_newer(m)) return;
	ev_in(&timer, g_random_int_range(0, spread));
}

void mesh_fetch_add_holder(struct member *m, struct cache_revs held)
{
	m->reported_revs = held;
}

int mesh_fetch_in_progress(void)
{
	return fetch && received;
}

void mesh_delay_fetch(int64_t until_us)
{
	not_before_us = until_us;
}

void mesh_fetch_forget(const struct member *m)
{
	if (fetch && fetch->from == m) abandon();
}

void mesh_fetch_start(void)
{
	timer.fire = on_timer;
}
