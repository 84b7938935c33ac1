/*
 * Bounds that backend servers name: rate limits, and how many rejections they bear. A change in
 * a server's own answers is sent to all instances at once. A limit that answers confirm is sent
 * each second to serving instances, as a message may be lost, and all limits are sent to an
 * instance that starts.
 */
#include "limit.h"
#include "clock.h"
#include "entry_cfg.h"
#include "ev.h"
#include "jlog.h"
#include "mesh_topic.h"
#include "room.h"
#include <errno.h>
#include <math.h>

#define SEND_US 1000000       /* between messages about unchanged limits */
#define OVER_US 10000000      /* for this time the end of a limit is sent too */
#define TRANSIT_US 500000     /* longest delay of a message of another instance */
#define AGE_MAX_US 3600000000 /* older reports are of no use */
#define ROW_FIELDS 5  /* id, incarnation, requests per 1,000 s, ages of from_us and to_us */
#define NO_LIMIT (-1) /* in place of the requests: any number */

static struct ev_timer send_timer;

/* State of one kind of bound. */
static struct kind {
	enum mesh_type type;
	const char *event; /* in logs */
	/* Servers whose own answers named one, or none, since the last message. */
	GPtrArray *pending;
	int any; /* some server has named one, here or elsewhere */
} kinds[LIMIT_KINDS] = {
	[LIMIT_RATE] = {.type = MESH_LIMITS, .event = "backend_limit"},
	[LIMIT_REJECTIONS] = {.type = MESH_BRITTLE, .event = "backend_brittle"}};

static struct be_limit *bound_of(struct be *b, enum limit_kind k)
{
	switch (k) {
	case LIMIT_RATE: return &b->limit;
	case LIMIT_REJECTIONS: return &b->brittle;
	case LIMIT_KINDS: break;
	}
	return NULL;
}

static int is_bound(struct be *b, enum limit_kind k)
{
	return k == LIMIT_RATE ? be_is_limited(b) : be_is_brittle(b);
}

static void log_limit(struct be *b, enum limit_kind k, const char *source)
{
	double per_s = bound_of(b, k)->report.per_s;
	GString *g = jlog_begin("fleet", kinds[k].event);
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_str(g, "per_s",
		 per_s < 0 ? "any" : g_ascii_formatd(text, sizeof text, "%.3f", per_s));
	jlog_str(g, "said_by", source);
	jlog_end(g);
}

static void reset_pace(struct be *b, enum limit_kind k)
{
	if (k == LIMIT_RATE) b->pace[QUOTA_LIMIT] = (struct quota_pace){0};
	if (k == LIMIT_REJECTIONS) b->pace[QUOTA_BRITTLE] = (struct quota_pace){0};
	if (k == LIMIT_REJECTIONS) room_reset(b);
}

/* Returns 1 if the bound in force changed. */
static int apply(struct be *b, enum limit_kind k, const struct limit_report *report,
		 const char *source)
{
	struct be_limit *l = bound_of(b, k);
	int was_bound = is_bound(b, k);

	if (report->per_s >= 0) kinds[k].any = 1;
	if (!limit_update(&l->report, report)) return 0;
	log_limit(b, k, source);
	if (was_bound == is_bound(b, k)) return 1;
	l->changed_us = clock_us(); /* also when it ends */
	reset_pace(b, k);
	return 1;
}

/* ---- frames ---- */

static int64_t in_1000_s(double per_s)
{
	return per_s < 0 ? NO_LIMIT : (int64_t)ceil(per_s * 1000);
}

static void pack(msgpack_packer *p, struct be *b, enum limit_kind k, int64_t now)
{
	const struct limit_report *r = &bound_of(b, k)->report;

	mesh_pack_text(p, b->id);
	msgpack_pack_int64(p, b->incarnation_ms);
	msgpack_pack_int64(p, in_1000_s(r->per_s));
	msgpack_pack_int64(p, now - r->from_us);
	msgpack_pack_int64(p, now - r->to_us);
}

/* Returns 0 or -EBADMSG. */
static int apply_row(const char *from, enum limit_kind k, const msgpack_object *o)
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
	apply(b, k, &report, from);
	return 0;
}

static int apply_frame(const char *from, enum limit_kind k, const msgpack_object_array *a)
{
	uint32_t i;

	for (i = 1; i + ROW_FIELDS <= a->size; i += ROW_FIELDS)
		if (apply_row(from, k, &a->ptr[i])) return -EBADMSG;
	return 0;
}

static int apply_limits(const char *from, const msgpack_object_array *a)
{
	return apply_frame(from, LIMIT_RATE, a);
}

static int apply_brittle(const char *from, const msgpack_object_array *a)
{
	return apply_frame(from, LIMIT_REJECTIONS, a);
}

/* Appends a frame with the bounds of those servers in all for which wanted holds; no frame if
 * there are none. */
static void write_rows(GString *out, const GPtrArray *all, enum limit_kind k,
		       int (*wanted)(struct be *b, enum limit_kind k))
{
	int64_t now = clock_us();
	struct mesh_frame f;
	msgpack_packer *p;
	uint32_t i;
	int n = 0;

	for (i = 0; i < all->len; i++) n += wanted(g_ptr_array_index(all, i), k);
	if (!n) return;
	p = mesh_frame_begin(&f, kinds[k].type, 1 + ROW_FIELDS * n);
	for (i = 0; i < all->len; i++) {
		struct be *b = g_ptr_array_index(all, i);

		if (wanted(b, k)) pack(p, b, k, now);
	}
	mesh_frame_end(&f, out);
}

static void write_limited(GString *out)
{
	if (kinds[LIMIT_RATE].any) write_rows(out, be_all(), LIMIT_RATE, is_bound);
}

static void write_brittle(GString *out)
{
	if (kinds[LIMIT_REJECTIONS].any) write_rows(out, be_all(), LIMIT_REJECTIONS, is_bound);
}

/* ---- sending ---- */

static void send_all(struct be *b, enum limit_kind k)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;

	pack(mesh_frame_begin(&f, kinds[k].type, 1 + ROW_FIELDS), b, k, clock_us());
	mesh_frame_end(&f, out);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

/* Whether a server with a recent answer has a bound, or had one until a short time ago. */
static int must_send(struct be *b, enum limit_kind k)
{
	int64_t changed_us = bound_of(b, k)->changed_us;

	return is_bound(b, k) || (changed_us && clock_us() - changed_us < OVER_US);
}

static void send_pending(enum limit_kind k)
{
	GPtrArray *pending = kinds[k].pending;
	GString *out = g_string_new(NULL);
	uint32_t i;

	write_rows(out, pending, k, must_send);
	if (out->len) mesh_send_serving(out);
	g_string_free(out, TRUE);
	for (i = 0; i < pending->len; i++)
		bound_of(g_ptr_array_index(pending, i), k)->pending = 0;
	g_ptr_array_set_size(pending, 0);
}

static void on_send_timer(struct ev_timer *t)
{
	enum limit_kind k;

	ev_in(t, SEND_US);
	for (k = 0; k < LIMIT_KINDS; k++) send_pending(k);
}

static void add_pending(struct be *b, enum limit_kind k)
{
	struct be_limit *l = bound_of(b, k);

	if (l->pending) return;
	l->pending = 1;
	g_ptr_array_add(kinds[k].pending, be_ref(b));
}

void limit_report(struct be *b, enum limit_kind k, double per_s, int64_t sent_us)
{
	struct limit_report report = {per_s < 0 ? LIMIT_NONE : per_s, sent_us, clock_us()};

	add_pending(b, k);
	if (apply(b, k, &report, "itself")) send_all(b, k);
}

static void unref(gpointer b)
{
	be_unref(b);
}

void limit_start(void)
{
	static const struct mesh_topic limits = {MESH_LIMITS, apply_limits, write_limited,
						 NULL},
				       brittle = {MESH_BRITTLE, apply_brittle, write_brittle,
						  NULL};
	enum limit_kind k;

	mesh_add_topic(&limits);
	mesh_add_topic(&brittle);
	for (k = 0; k < LIMIT_KINDS; k++)
		kinds[k].pending = g_ptr_array_new_with_free_func(unref);
	send_timer.fire = on_send_timer;
	ev_in(&send_timer, SEND_US);
}
