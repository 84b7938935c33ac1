/*
 * Rate limits that backend servers name. A change in a server's own answers is sent to all
 * instances at once. A limit that answers confirm is sent each second to serving instances, as
 * a message may be lost, and all limits are sent to an instance that starts.
 */
#include "limit.h"
#include "clock.h"
#include "entry_cfg.h"
#include "ev.h"
#include "jlog.h"
#include "mesh_topic.h"
#include <errno.h>
#include <math.h>

#define SEND_US 1000000       /* between messages about unchanged limits */
#define OVER_US 10000000      /* for this time the end of a limit is sent too */
#define TRANSIT_US 500000     /* longest delay of a message of another instance */
#define AGE_MAX_US 3600000000 /* older reports are of no use */
#define ROW_FIELDS 5  /* id, incarnation, requests per 1,000 s, ages of from_us and to_us */
#define NO_LIMIT (-1) /* in place of the requests: any number */

static struct ev_timer send_timer;
/* Servers whose own answers named a limit, or none, since the last message. */
static GPtrArray *pending;
static int any_limited; /* some server has named a limit, here or elsewhere */

static void log_limit(const struct be *b, const char *source)
{
	GString *g = jlog_begin("fleet", "backend_limit");
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_str(g, "per_s",
		 b->limit.per_s < 0
			 ? "any"
			 : g_ascii_formatd(text, sizeof text, "%.3f", b->limit.per_s));
	jlog_str(g, "said_by", source);
	jlog_end(g);
}

/* Returns 1 if the limit in force changed. */
static int apply(struct be *b, const struct limit_report *report, const char *source)
{
	int was_limited = be_is_limited(b);

	if (report->per_s >= 0) any_limited = 1;
	if (!limit_update(&b->limit, report)) return 0;
	log_limit(b, source);
	if (was_limited == be_is_limited(b)) return 1;
	b->limit_changed_us = clock_us(); /* also when it ends */
	b->pace[QUOTA_LIMIT] = (struct quota_pace){0};
	return 1;
}

/* ---- frames ---- */

static int64_t in_1000_s(double per_s)
{
	return per_s < 0 ? NO_LIMIT : (int64_t)ceil(per_s * 1000);
}

static void pack(msgpack_packer *p, const struct be *b, int64_t now)
{
	mesh_pack_text(p, b->id);
	msgpack_pack_int64(p, b->incarnation_ms);
	msgpack_pack_int64(p, in_1000_s(b->limit.per_s));
	msgpack_pack_int64(p, now - b->limit.from_us);
	msgpack_pack_int64(p, now - b->limit.to_us);
}

/* Returns 0 or -EBADMSG. */
static int apply_row(const char *from, const msgpack_object *o)
{
	int64_t now = clock_us(), in_1000, from_age, to_age;
	char id[ENTRY_TEXT_MAX + 1];
	struct limit_report report;
	struct be *b;

	if (mesh_text(&o[0], id, sizeof id)) return -EBADMSG;
	in_1000 = mesh_int(&o[2]);
	from_age = CLAMP(mesh_int(&o[3]), 0, AGE_MAX_US);
	to_age = CLAMP(mesh_int(&o[4]), 0, from_age);
	b = be_find(id);
	if (!b || !be_is_incarnation(b, mesh_int(&o[1]))) return 0;
	report.per_s = in_1000 < 0 ? LIMIT_NONE : (double)in_1000 / 1000;
	report.from_us = now - from_age - TRANSIT_US;
	report.to_us = now - to_age;
	apply(b, &report, from);
	return 0;
}

static int apply_frame(const char *from, const msgpack_object_array *a)
{
	uint32_t i;

	for (i = 1; i + ROW_FIELDS <= a->size; i += ROW_FIELDS)
		if (apply_row(from, &a->ptr[i])) return -EBADMSG;
	return 0;
}

/* Appends a frame with the limits of those servers in all for which wanted holds; no frame if
 * there are none. */
static void write_rows(GString *out, const GPtrArray *all, int (*wanted)(const struct be *b))
{
	int64_t now = clock_us();
	struct mesh_frame f;
	msgpack_packer *p;
	uint32_t i;
	int n = 0;

	for (i = 0; i < all->len; i++) n += wanted(g_ptr_array_index(all, i));
	if (!n) return;
	p = mesh_frame_begin(&f, MESH_LIMITS, 1 + ROW_FIELDS * n);
	for (i = 0; i < all->len; i++) {
		const struct be *b = g_ptr_array_index(all, i);

		if (wanted(b)) pack(p, b, now);
	}
	mesh_frame_end(&f, out);
}

static void write_limited(GString *out)
{
	if (any_limited) write_rows(out, be_all(), be_is_limited);
}

/* ---- sending ---- */

static void send_all(const struct be *b)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;

	pack(mesh_frame_begin(&f, MESH_LIMITS, 1 + ROW_FIELDS), b, clock_us());
	mesh_frame_end(&f, out);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

/* Whether a server with a recent answer has a limit, or had one until a short time ago. */
static int must_send(const struct be *b)
{
	return be_is_limited(b) ||
	       (b->limit_changed_us && clock_us() - b->limit_changed_us < OVER_US);
}

static void on_send_timer(struct ev_timer *t)
{
	GString *out = g_string_new(NULL);
	uint32_t i;

	ev_in(t, SEND_US);
	write_rows(out, pending, must_send);
	if (out->len) mesh_send_serving(out);
	g_string_free(out, TRUE);
	for (i = 0; i < pending->len; i++)
		((struct be *)g_ptr_array_index(pending, i))->limit_pending = 0;
	g_ptr_array_set_size(pending, 0);
}

static void add_pending(struct be *b)
{
	if (b->limit_pending) return;
	b->limit_pending = 1;
	g_ptr_array_add(pending, be_ref(b));
}

void limit_report(struct be *b, double per_s, int64_t sent_us)
{
	struct limit_report report = {per_s < 0 ? LIMIT_NONE : per_s, sent_us, clock_us()};

	add_pending(b);
	if (apply(b, &report, "itself")) send_all(b);
}

static void unref(gpointer b)
{
	be_unref(b);
}

void limit_start(void)
{
	static const struct mesh_topic topic = {MESH_LIMITS, apply_frame, write_limited};

	mesh_add_topic(&topic);
	pending = g_ptr_array_new_with_free_func(unref);
	send_timer.fire = on_send_timer;
	ev_in(&send_timer, SEND_US);
}
